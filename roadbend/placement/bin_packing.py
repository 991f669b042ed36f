"""Bin packing: which waiting task goes on which machine.

Tasks are taken in the order of the queue. Each goes where its image lies (the design's rule), then
where the least is left over, so that other machines empty. Pure: everything comes as an argument.
"""

from collections.abc import Callable, Container, Iterable
from dataclasses import replace
from typing import NamedTuple

from roadbend.placement.free_capacity import (
    RESOURCE_TOLERANCE,
    FreeCapacity,
    allowed,
    min_resources,
)
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.quota_allowance import QuotaAllowance
from roadbend.store import ranges
from roadbend.store.records import Job, Resources

UNLIMITED_JOBS = 1_000_000


class Placement(NamedTuple):
    """A task of an item of the queue, and the machine on which it goes."""

    item: PendingTasks
    task_index: int
    capacity: FreeCapacity


class PlacementResult(NamedTuple):
    """What `place` found, in the order of the queue."""

    placed: list[Placement]
    unplaced: list[PendingTasks]
    # Whether it ended before the queue did, after as many jobs as it may place.
    stopped_early: bool


class Exclusions(NamedTuple):
    """Machines (by id) and machine types that an item keeps off."""

    machines: Container[str] = ()
    machine_types: Container[str] = ()


NO_EXCLUSIONS = Exclusions()


class TaskShape(NamedTuple):
    """All that decides which machines a task may go on, but for its item's exclusions."""

    resources: Resources
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool


def suitable(
    job: Job, capacities: Iterable[FreeCapacity], exclusions: Exclusions = NO_EXCLUSIONS
) -> list[FreeCapacity]:
    """Return the machines on which a task of the job may go, now or once they are up, best first.

    A machine stays the best one from its first task until it is full, so the order holds while
    tasks are placed.
    """
    spec = job.spec
    resources, image, spot = spec.resources, spec.image, spec.spot
    excluded_machines, excluded_types = exclusions

    def preference(capacity: FreeCapacity) -> tuple[float, bool, bool, float, str]:
        return (
            capacity.ready_in,
            # Work that may run on spot machines leaves the others to work that may not.
            spot and not capacity.spot,
            image not in capacity.images,
            capacity.leftover_share(resources),
            capacity.id,
        )

    found = [
        capacity
        for capacity in capacities
        # As `FreeCapacity.fits`, without a call for each of many machines that are full.
        if resources.gpus <= capacity.gpus + RESOURCE_TOLERANCE
        and resources.cpus <= capacity.cpus + RESOURCE_TOLERANCE
        and resources.memory <= capacity.memory + RESOURCE_TOLERANCE
        and (spot or not capacity.spot)
        and allowed(job, capacity.machine_type, capacity.zone, capacity.spot)
        and capacity.id not in excluded_machines
        and capacity.machine_type not in excluded_types
    ]
    found.sort(key=preference)
    return found


def place(
    queue: Iterable[PendingTasks],
    capacities: Iterable[FreeCapacity],
    max_jobs: int = UNLIMITED_JOBS,
    exclusions_of: Callable[[PendingTasks], Exclusions] | None = None,
    quota: QuotaAllowance | None = None,
) -> PlacementResult:
    """Place the tasks of a queue in its order, at most so many jobs.

    Takes from the capacities, and from the quota only what is placed: a wide job that finds no
    room must not keep its team's other jobs from machines that would fit them. Tasks beyond the
    quota are neither placed nor unplaced.
    """
    queue = list(queue)
    # Most machines are full: they are passed over once, not once a job.
    smallest = min_resources(item.job.spec.resources for item in queue)
    usable = [
        capacity for capacity in capacities if capacity.ready_in <= 0 and capacity.fits(smallest)
    ]
    packing = _Packing(usable, max_jobs, exclusions_of, quota)
    stopped_early = False
    for item in queue:
        permitted = item if quota is None else quota.cut(item)
        if permitted is not None and not packing.add(permitted):
            stopped_early = True
            break
    return PlacementResult(packing.placed, packing.unplaced, stopped_early)


class _Packing:
    """One run of `place`: the machines as they fill, and what was placed so far."""

    def __init__(
        self,
        capacities: list[FreeCapacity],
        max_jobs: int,
        exclusions_of: Callable[[PendingTasks], Exclusions] | None,
        quota: QuotaAllowance | None,
    ) -> None:
        self._capacities, self._max_jobs = capacities, max_jobs
        self._exclusions_of, self._quota = exclusions_of, quota
        self.placed: list[Placement] = []
        self.unplaced: list[PendingTasks] = []
        self._placed_jobs: set[str] = set()
        # Where one item found too little room, others alike don't look again.
        self._shapes_without_room: set[TaskShape] = set()

    def add(self, item: PendingTasks) -> bool:
        """Place as much of an item as fits; False if it would be one job too many."""
        spec = item.job.spec
        shape = TaskShape(spec.resources, spec.machine_types, spec.zone, spec.spot)
        exclusions = self._exclusions_of(item) if self._exclusions_of is not None else NO_EXCLUSIONS
        found: list[FreeCapacity] = []
        if shape not in self._shapes_without_room:
            found = suitable(item.job, self._capacities, exclusions)
        if spec.gang and sum(capacity.count(spec.resources) for capacity in found) < item.count:
            # Whole or not at all: no gang holds some of the room while another holds the rest. It
            # says nothing of others alike, which may need less.
            self._leave(item)
            return True
        if found and self._is_one_job_too_many(item.job):
            return False
        rest: PendingTasks | None = item
        if found:
            rest = fill_capacities(item, found, self.placed, self._quota)
            self._placed_jobs.add(item.job.id)
        if rest is not None:
            if not exclusions.machines and not exclusions.machine_types:
                self._shapes_without_room.add(shape)
            self._leave(rest)
        return True

    def _is_one_job_too_many(self, job: Job) -> bool:
        return job.id not in self._placed_jobs and len(self._placed_jobs) >= self._max_jobs

    def _leave(self, rest: PendingTasks) -> None:
        """Note tasks that found no place, which may hold their team's quota."""
        self.unplaced.append(rest)
        if self._quota is not None:
            self._quota.hold(rest.job, rest.count)


def fill_capacities(
    item: PendingTasks,
    capacities: list[FreeCapacity],
    placed: list[Placement],
    quota: QuotaAllowance | None,
) -> PendingTasks | None:
    """Put an item's tasks on machines in their order; return those that found no place.

    Appends to `placed`, and takes from the machines and the quota.
    """
    resources, tasks, left = item.job.spec.resources, ranges.iter_indexes(item.tasks), item.count
    for capacity in capacities:
        fitting = min(left, capacity.count(resources))
        for _ in range(fitting):
            capacity.allocate(resources)
            placed.append(Placement(item, next(tasks), capacity))
        if quota is not None:
            quota.take(item.job.spec, fitting)
        left -= fitting
        if not left:
            return None
    if left == item.count:
        return item
    return replace(
        item, tasks=ranges.minus(item.tasks, ranges.first(item.tasks, item.count - left))
    )
