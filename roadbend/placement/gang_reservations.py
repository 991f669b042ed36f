"""Reserves machines for gangs that would starve behind a steady stream of smaller jobs.

Free capacity goes to smaller jobs at once, so a wide gang might never find enough of it at one
time. After a while machines are reserved for one gang at a time, for less than the time for which
any other job may be kept from capacity that fits it.
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
# How long a gang is pending before machines are reserved for it, how long they stay reserved, and
# the pause after that before the next reservation.
MIN_WAIT = timedelta(seconds=45)
RESERVATION_LIFETIME = timedelta(seconds=42)
PAUSE_AFTER_RESERVATION = timedelta(seconds=45)
# Machines are reserved for this many times the gang's tasks, since not all tasks that run on them
# end while the reservation lasts.
OVERPROVISIONING_FACTOR = 1.5


class GangReservations:
    """Reserves machines of one partition for gangs."""

    def __init__(self, state: PartitionState, usable_machines: UsableMachines) -> None:
        self._records = state.records
        self._aging = state.aging
        self._reservations = state.reservations
        self._partition = state.records.partition
        self._usable_machines = usable_machines

    def reserve_for_gangs(self, not_placed: list[PendingTasks], now: datetime) -> None:
        """Reserve machines for the first gang that has been pending for long.

        The whole gang must fit on them once the tasks that run there have ended.
        """
        gangs = [item for item in not_placed if item.job.spec.gang]
        if not gangs or self._reservations.are_gang_reservations_paused(now):
            return
        for item in gangs:
            if self._aging.waited(item.job.id, now) < MIN_WAIT:
                continue
            machines = self.choose_machines(item)
            if not machines:
                continue
            log.info(
                "gang-capacity-reserved",
                partition=self._partition,
                job=item.job.id,
                machines=len(machines),
            )
            expires_at = now + RESERVATION_LIFETIME
            self._reservations.reserve(machines, item.job.id, expires_at, ReservationReason.GANG)
            self._reservations.pause_gang_reservations(expires_at + PAUSE_AFTER_RESERVATION)
            return

    def excluded_machines(self, item: PendingTasks) -> set[str]:
        """Return the machines on which an item must not start because a gang has them reserved.

        An item of higher priority than the gang may use them.
        """
        excluded = set()
        for machine, reservation in self._reservations.for_gangs.items():
            gang = self._records.live_job(reservation.job)
            if (
                reservation.job != item.job.id
                and gang is not None
                and gang.spec.priority >= item.job.spec.priority
            ):
                excluded.add(machine)
        return excluded

    def choose_machines(self, item: PendingTasks) -> list[str]:
        """Return the machines with the most capacity for the gang; none if not all of it fits.

        Capacity used by tasks that will end by themselves counts as free.
        """
        chosen, fitting_tasks = [], 0
        counts = [
            (self.fitting_tasks_on(item, capacity), capacity.id)
            for capacity in self._usable_machines.capacities()
        ]
        for count, machine in sorted(counts, key=lambda entry: (-entry[0], entry[1])):
            if count == 0 or fitting_tasks >= item.count * OVERPROVISIONING_FACTOR:
                break
            if machine in self._reservations:
                continue
            chosen.append(machine)
            fitting_tasks += count
        return chosen if fitting_tasks >= item.count else []

    def fitting_tasks_on(self, item: PendingTasks, capacity: FreeCapacity) -> int:
        """Return how many tasks of a gang fit on a machine once all but its services have ended."""
        job = item.job
        if not free_capacity.allowed(job, capacity.machine_type, capacity.zone, capacity.spot):
            return 0
        drained_capacity = FreeCapacity(
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
                drained_capacity.release(job_slice.resources)
        return drained_capacity.count(job.spec.resources)
