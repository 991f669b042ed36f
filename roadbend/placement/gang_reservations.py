"""Room for gangs that wait behind a steady stream.

What comes free goes to smaller work at once, so a wide gang might never find enough of it at one
moment. After a while room is kept for one gang at a time, for less long than any other job may be
kept from room that fits it.
"""

from datetime import datetime, timedelta

from roadbend.log import Log
from roadbend.placement import free_capacity
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.reservations import ReservationReason
from roadbend.placement.usable_machines import UsableMachines

log = Log("placement")
# How long a gang waits before room is kept for it, how long that is, and for how long then not.
PATIENCE = timedelta(seconds=45)
KEEP = timedelta(seconds=42)
PAUSE = timedelta(seconds=45)
# Not all of what runs there ends while room is kept: machines for so many times the gang.
SPARE = 1.5


class GangReservations:
    """Keeps machines of one partition for gangs."""

    def __init__(self, state: PartitionState, usable_machines: UsableMachines) -> None:
        self._records = state.records
        self._aging = state.aging
        self._reservations = state.reservations
        self._partition = state.records.partition
        self._usable_machines = usable_machines

    def keep_for_gangs(self, not_placed: list[PendingTasks], now: datetime) -> None:
        """Reserve machines for the first of the gangs that have waited for long.

        It must be able to begin on them once what runs there has ended.
        """
        gangs = [item for item in not_placed if item.job.spec.gang]
        if not gangs or self._reservations.gangs_paused(now):
            return
        for item in gangs:
            if self._aging.waited(item.job.id, now) < PATIENCE:
                continue
            machines = self.machines_for(item)
            if not machines:
                continue
            log.info(
                "gang-capacity-reserved",
                partition=self._partition,
                job=item.job.id,
                machines=len(machines),
            )
            until = now + KEEP
            self._reservations.reserve(machines, item.job.id, until, ReservationReason.GANG)
            self._reservations.pause_gangs(until + PAUSE)
            return

    def excluded_machines(self, item: PendingTasks) -> set[str]:
        """Return the machines that an item keeps off for the sake of a gang.

        Work of higher priority does not wait for one.
        """
        out = set()
        for machine, row in self._reservations.for_gangs.items():
            gang = self._records.live_job(row.job)
            if (
                row.job != item.job.id
                and gang is not None
                and gang.spec.priority >= item.job.spec.priority
            ):
                out.add(machine)
        return out

    def machines_for(self, item: PendingTasks) -> list[str]:
        """Return the machines with the most room for the gang; none if all of them are too few.

        What will end by itself counts as free.
        """
        chosen, places = [], 0
        rows = [
            (self.places_on(item, capacity), capacity.id)
            for capacity in self._usable_machines.capacities()
        ]
        for count, machine in sorted(rows, key=lambda row: (-row[0], row[1])):
            if count == 0 or places >= item.count * SPARE:
                break
            if machine in self._reservations:
                continue
            chosen.append(machine)
            places += count
        return chosen if places >= item.count else []

    def places_on(self, item: PendingTasks, capacity: FreeCapacity) -> int:
        """Return how many tasks of a gang fit on a machine once what ends by itself has ended."""
        job = item.job
        if not free_capacity.allowed(job, capacity.machine_type, capacity.zone, capacity.spot):
            return 0
        trial = FreeCapacity(
            capacity.id,
            capacity.machine_type,
            capacity.zone,
            capacity.spot,
            capacity.cpus,
            capacity.gpus,
            capacity.memory,
        )
        for key, (job_slice, _) in self._records.attempts_by_machine().get(capacity.id, {}).items():
            other = self._records.live_job(key[0])
            if other is None or not other.spec.service:
                trial.release(job_slice.resources)
        return trial.count(job.spec.resources)
