"""Machines of a partition that are kept for one job each."""

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime
from types import MappingProxyType

from roadbend import clock


class ReservationReason(enum.StrEnum):
    """Why a machine is kept for a job."""

    # Lesser work on it is being stopped for the job.
    PREEMPTION = "preemption"
    # What ends there by itself makes place for a gang that has waited for long.
    GANG = "gang"


@dataclass(frozen=True, slots=True)
class Reservation:
    """A machine is kept for a job until an instant."""

    job: str
    until: datetime


class Reservations:
    """The reservations of one partition; a machine may have one for each reason."""

    def __init__(self) -> None:
        self._by_reason: dict[ReservationReason, dict[str, Reservation]] = {
            reason: {} for reason in ReservationReason
        }
        # The reservations by machine, to be read.
        self.for_preemption: Mapping[str, Reservation] = MappingProxyType(
            self._by_reason[ReservationReason.PREEMPTION]
        )
        self.for_gangs: Mapping[str, Reservation] = MappingProxyType(
            self._by_reason[ReservationReason.GANG]
        )
        self._gangs_paused_until = clock.ORIGIN

    def __bool__(self) -> bool:
        return any(self._by_reason.values())

    def __contains__(self, machine: str) -> bool:
        return any(machine in rows for rows in self._by_reason.values())

    def machines(self) -> set[str]:
        """Return all machines that are kept for some job."""
        return set().union(*self._by_reason.values())

    def reserve(
        self, machines: Iterable[str], job: str, until: datetime, reason: ReservationReason
    ) -> None:
        """Keep machines for a job, in place of earlier reservations for the same reason."""
        self._by_reason[reason].update(dict.fromkeys(machines, Reservation(job, until)))

    def pause_gangs(self, until: datetime) -> None:
        """Let no machines be kept for further gangs before an instant."""
        self._gangs_paused_until = until

    def gangs_paused(self, now: datetime) -> bool:
        """Whether no machines may be kept for further gangs now."""
        return self._gangs_paused_until > now

    def preemptions_for(self, job: str) -> int:
        """Return on how many machines lesser work is being stopped for a job."""
        return sum(1 for row in self.for_preemption.values() if row.job == job)

    def drop_stale(self, waiting: set[str], now: datetime) -> None:
        """Drop what has expired, and what is kept for jobs that no longer wait."""
        for rows in self._by_reason.values():
            stale = [m for m, row in rows.items() if row.until <= now or row.job not in waiting]
            for machine in stale:
                del rows[machine]
