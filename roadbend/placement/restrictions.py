"""Machines and machine types that pending tasks may not use for now.

Those where their job just failed, where capacity is reserved for other work, where they would be
expensive, and where their image is missing.
"""

from collections.abc import Callable
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.log import Log
from roadbend.placement import free_capacity, machine_options
from roadbend.placement.bin_packing import Exclusions, TaskShape
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.gang_reservations import GangReservations
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import JobSpec

log = Log("placement")


class Restrictions:
    """Computes which machines and types the pending jobs of one partition may not use."""

    def __init__(self, state: PartitionState, gang_reservations: GangReservations) -> None:
        self._records = state.records
        self._aging = state.aging
        self._exclusions = state.exclusions
        self._reservations = state.reservations
        self._gang_attempts = state.gang_attempts
        self._context = state.records.context
        self._partition = state.records.partition
        self._gang_reservations = gang_reservations

    def update_passed_over(
        self,
        items: list[PendingTasks],
        yielding: set[str],
        capacities: list[FreeCapacity],
        now: datetime,
    ) -> None:
        """Set which jobs are passed over now, as they yield quota or fit reserved capacity."""
        reserved_ids = self._reservations.machines()
        reserved = [capacity for capacity in capacities if capacity.id in reserved_ids]
        fits_reserved: dict[TaskShape, bool] = {}
        passed_over = set(yielding)
        for item in items if reserved else ():
            spec = item.job.spec
            shape = TaskShape(spec.resources, spec.machine_types, spec.zone, spec.spot)
            if shape not in fits_reserved:
                fits_reserved[shape] = any(
                    capacity.fits(spec.resources)
                    and free_capacity.allowed(
                        item.job, capacity.machine_type, capacity.zone, capacity.spot
                    )
                    for capacity in reserved
                )
            if fits_reserved[shape]:
                passed_over.add(item.job.id)
        self._aging.update_passed_over(passed_over, now)

    def exclude_expensive_types(self, queue: list[PendingTasks]) -> None:
        """Set the machine types that pending services may not use, by the rule that bids follow."""
        machine_types, wall = self._context.machine_types.values(), clock.wall()
        longest_startup = max(
            (machine_type.startup for machine_type in machine_types), default=clock.ZERO
        )
        excluded_types: dict[str, frozenset[str]] = {}
        for item in queue:
            job = item.job
            if (
                job.spec.service
                and job.id not in excluded_types
                and wall - job.submitted_at
                < self._context.objectives.max_wait_for_cheaper_type(job.spec, longest_startup)
            ):
                expensive = machine_options.expensive_machine_types(
                    job, machine_types, self._context.operator.dear, self._partition
                )
                if expensive:
                    excluded_types[job.id] = frozenset(expensive)
        self._exclusions.exclude_types(excluded_types)

    def prefer_cached_images(
        self, queue: list[PendingTasks], capacities: list[FreeCapacity]
    ) -> None:
        """Exclude services that would be late by their image fetch from machines without the image.

        That is for a short time, and only where a machine that has the image can be cleared for
        them sooner: cached images come first in placement, even before free capacity.
        """
        without_image: dict[str, frozenset[str]] = {}
        wall, fetch_rates = (
            clock.wall(),
            [machine_type.fetch_gb_per_s for machine_type in self._context.machine_types.values()],
        )
        for item in queue:
            spec = item.job.spec
            within = self._context.objectives.start_within(spec)
            if within is None or spec.gang or item.job.id in without_image:
                continue
            remaining = within - (wall - item.job.submitted_at)
            fetch = timedelta(seconds=spec.image_gb / max(fetch_rates, default=1.0))
            if (
                remaining < within * 0.4
                or fetch + self._context.settings.heartbeat_interval / 2 < remaining
            ):
                continue
            if any(
                self.fits_with_preemption(capacity, spec)
                for capacity in capacities
                if spec.image in capacity.images
            ):
                without_image[item.job.id] = frozenset(
                    capacity.id for capacity in capacities if spec.image not in capacity.images
                )
        self._exclusions.exclude_machines_without_image(without_image)

    def fits_with_preemption(self, capacity: FreeCapacity, spec: JobSpec) -> bool:
        """Return whether a task fits on a machine if lower-priority tasks there are preempted."""
        if capacity.spot and not spec.spot:
            return False
        cpus, gpus, memory = capacity.cpus, capacity.gpus, capacity.memory
        for key, (job_slice, _) in self._records.attempts_by_machine().get(capacity.id, {}).items():
            job = self._records.live_job(key[0])
            if job is not None and job.spec.priority < spec.priority:
                cpus, gpus, memory = (
                    cpus + job_slice.resources.cpus,
                    gpus + job_slice.resources.gpus,
                    memory + job_slice.resources.memory,
                )
        return (
            spec.resources.cpus <= cpus
            and spec.resources.gpus <= gpus
            and spec.resources.memory <= memory
        )

    def exclusions_function(self) -> Callable[[PendingTasks], Exclusions] | None:
        """Return the function that gives an item's exclusions; None if there are none."""
        any_excluded = (
            self._exclusions or self._reservations or self._gang_attempts.has_lost_machines()
        )
        return self.exclusions_for if any_excluded else None

    def exclusions_for(self, item: PendingTasks) -> Exclusions:
        """Return the machines and types that an item may not use.

        Among them are those where its job just failed, and machines that are being cleared for
        other work, which are not filled while the preempted tasks stop.
        """
        name = item.job.id
        reserved: set[str] = set()
        if not self._aging.is_starving(name, clock.now()):
            reserved = {
                machine
                for machine, reservation in self._reservations.for_preemption.items()
                if reservation.job != name
            }
            reserved |= self._gang_reservations.excluded_machines(item)
        exclusions = self._exclusions
        excluded = reserved.union(
            self._gang_attempts.lost_machines(name),
            exclusions.failed_on(name),
            exclusions.machines_without_image(name),
        )
        return Exclusions(excluded, exclusions.excluded_types(name))
