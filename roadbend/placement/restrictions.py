"""Machines and types that what waits is kept from for now.

Where its job just failed, where room is kept for other work, where it is expensive, and where its
image is not.
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
    """Works out what the pending jobs of one partition are kept from."""

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
        """Remember since when jobs are kept from capacity that fits them for the sake of others."""
        kept_ids = self._reservations.machines()
        kept = [capacity for capacity in capacities if capacity.id in kept_ids]
        known: dict[TaskShape, bool] = {}
        passed = set(yielding)
        for item in items if kept else ():
            spec = item.job.spec
            kind = TaskShape(spec.resources, spec.machine_types, spec.zone, spec.spot)
            if kind not in known:
                known[kind] = any(
                    capacity.fits(spec.resources)
                    and free_capacity.allowed(
                        item.job, capacity.machine_type, capacity.zone, capacity.spot
                    )
                    for capacity in kept
                )
            if known[kind]:
                passed.add(item.job.id)
        self._aging.update_passed_over(passed, now)

    def withhold_expensive_types(self, queue: list[PendingTasks]) -> None:
        """Decide which types a waiting service is kept from, as when bidding."""
        machine_types, wall = self._context.machine_types.values(), clock.wall()
        boot = max((machine_type.startup for machine_type in machine_types), default=clock.ZERO)
        withheld: dict[str, frozenset[str]] = {}
        for item in queue:
            job = item.job
            if (
                job.spec.service
                and job.id not in withheld
                and wall - job.submitted_at
                < self._context.objectives.max_wait_for_cheaper_type(job.spec, boot)
            ):
                expensive = machine_options.expensive_machine_types(
                    job, machine_types, self._context.operator.dear, self._partition
                )
                if expensive:
                    withheld[job.id] = frozenset(expensive)
        self._exclusions.exclude_types(withheld)

    def prefer_cached_images(
        self, queue: list[PendingTasks], capacities: list[FreeCapacity]
    ) -> None:
        """Keep services that would be late by their fetch off machines without their image.

        That is for a moment, and where a machine that has the image can be cleared for them sooner:
        images lead placement, also against free room.
        """
        without_image: dict[str, frozenset[str]] = {}
        wall, pulls = (
            clock.wall(),
            [machine_type.fetch_gb_per_s for machine_type in self._context.machine_types.values()],
        )
        for item in queue:
            spec = item.job.spec
            within = self._context.objectives.start_within(spec)
            if within is None or spec.gang or item.job.id in without_image:
                continue
            left = within - (wall - item.job.submitted_at)
            fetch = timedelta(seconds=spec.image_gb / max(pulls, default=1.0))
            if left < within * 0.4 or fetch + self._context.settings.heartbeat_interval / 2 < left:
                continue
            if any(
                self.clearable(capacity, spec)
                for capacity in capacities
                if spec.image in capacity.images
            ):
                without_image[item.job.id] = frozenset(
                    capacity.id for capacity in capacities if spec.image not in capacity.images
                )
        self._exclusions.exclude_machines_without_image(without_image)

    def clearable(self, capacity: FreeCapacity, spec: JobSpec) -> bool:
        """Whether a machine has room for a task, or would, less what may be stopped for it."""
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

    def exclusions_of(self) -> Callable[[PendingTasks], Exclusions] | None:
        """Return what tells an item's exclusions; None if nothing is kept from anything."""
        any_excluded = (
            self._exclusions or self._reservations or self._gang_attempts.has_lost_machines()
        )
        return self.bars if any_excluded else None

    def bars(self, item: PendingTasks) -> Exclusions:
        """Return the machines and types that an item keeps off.

        Those where its job just failed, and room that is being made for other work, which is not
        filled while its victims go.
        """
        name = item.job.id
        reserved: set[str] = set()
        if not self._aging.is_starving(name, clock.now()):
            reserved = {
                machine
                for machine, row in self._reservations.for_preemption.items()
                if row.job != name
            }
            reserved |= self._gang_reservations.excluded_machines(item)
        exclusions = self._exclusions
        barred = reserved.union(
            self._gang_attempts.lost_machines(name),
            exclusions.failed_on(name),
            exclusions.machines_without_image(name),
        )
        return Exclusions(barred, exclusions.excluded_types(name))
