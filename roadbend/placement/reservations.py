"""Reservations: machines of a partition that are kept for one job each."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime
from types import MappingProxyType

from roadbend import clock


class ReservationReason(enum.StrEnum):
    """Why a machine is reserved for a job."""

    # Tasks on it are being preempted for the job.
    PREEMPTION = "preemption"
    # As its tasks end, the capacity accumulates for a gang that has been pending for long.
    GANG = "gang"


@dataclass(frozen=True, slots=True)
class Reservation:
    """A machine is reserved for a job until a point in time."""

    job: str
    until: datetime


class Reservations:
    """The reservations of one partition; a machine may have one for each reason."""

    def __init__(self) -> None:
        self._by_reason: dict[ReservationReason, dict[str, Reservation]] = {
            reason: {} for reason in ReservationReason
        }
        # The reservations by machine; read-only views.
        self.for_preemption: Mapping[str, Reservation] = MappingProxyType(
            self._by_reason[ReservationReason.PREEMPTION]
        )
        self.for_gangs: Mapping[str, Reservation] = MappingProxyType(
            self._by_reason[ReservationReason.GANG]
        )
        self._gang_reservations_paused_until = clock.ORIGIN

    def __bool__(self) -> bool:
        return any(self._by_reason.values())

    def __contains__(self, machine: str) -> bool:
        return any(machine in reservations for reservations in self._by_reason.values())

    def machines(self) -> set[str]:
        """Return all reserved machines."""
        return set().union(*self._by_reason.values())

    def reserve(
        self, machines: Iterable[str], job: str, until: datetime, reason: ReservationReason
    ) -> None:
        """Reserve machines for a job, replacing earlier reservations for the same reason."""
        self._by_reason[reason].update(dict.fromkeys(machines, Reservation(job, until)))

    def pause_gang_reservations(self, until: datetime) -> None:
        """Make no new reservations for gangs before a point in time."""
        self._gang_reservations_paused_until = until

    def are_gang_reservations_paused(self, now: datetime) -> bool:
        """Return whether no new reservations for gangs may be made now."""
        return self._gang_reservations_paused_until > now

    def preemption_count(self, job: str) -> int:
        """Return the number of machines on which tasks are being preempted for a job."""
        return sum(1 for reservation in self.for_preemption.values() if reservation.job == job)

    def drop_obsolete(self, pending_jobs: set[str], now: datetime) -> None:
        """Drop reservations that have expired or whose job is no longer pending."""
        for reservations in self._by_reason.values():
            obsolete = [
                machine_id
                for machine_id, reservation in reservations.items()
                if reservation.until <= now or reservation.job not in pending_jobs
            ]
            for machine in obsolete:
                del reservations[machine]
