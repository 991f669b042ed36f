"""Bin packing: which pending task goes on which machine.

Tasks are taken in the order of the queue. A machine that has the task's image is preferred (the
design's rule), then the one on which the least is left over, so that others become empty. Pure
functions: everything is passed as an argument.
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
    """A task of an item of the queue, and the machine on which it is placed."""

    item: PendingTasks
    task_index: int
    capacity: FreeCapacity


class PlacementResult(NamedTuple):
    """The result of `place`, in the order of the queue."""

    placed: list[Placement]
    unplaced: list[PendingTasks]
    # Whether the rest of the queue was left out, as no more jobs may be placed.
    stopped_early: bool


class Exclusions(NamedTuple):
    """Machines (by id) and machine types that an item may not use."""

    machines: Container[str] = ()
    machine_types: Container[str] = ()


NO_EXCLUSIONS = Exclusions()


class TaskShape(NamedTuple):
    """All that decides which machines a task may use, except for its item's exclusions."""

    resources: Resources
    machine_types: tuple[str, ...] | None
    zone: str | None
    spot: bool


def suitable(
    job: Job, capacities: Iterable[FreeCapacity], exclusions: Exclusions = NO_EXCLUSIONS
) -> list[FreeCapacity]:
    """Return the machines on which a task of the job fits, now or once they are up, best first.

    A machine stays the best one from its first task until it is full, so the order stays valid
    while tasks are placed.
    """
    spec = job.spec
    resources, image, spot = spec.resources, spec.image, spec.spot
    excluded_machines, excluded_types = exclusions

    def preference(capacity: FreeCapacity) -> tuple[float, bool, bool, float, str]:
        return (
            capacity.ready_in,
            # Tasks that may run on spot machines leave the others to tasks that may not.
            spot and not capacity.spot,
            image not in capacity.images,
            capacity.leftover_share(resources),
            capacity.id,
        )

    found = [
        capacity
        for capacity in capacities
        # Inlined `FreeCapacity.fits`, to save the call for each of many full machines.
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
    """Place the tasks of a queue in its order, of at most `max_jobs` jobs.

    Takes from the capacities, and from the quota only what is placed: a wide job that does not fit
    must not keep its team's other jobs from machines that would fit them. Tasks beyond the quota
    are neither placed nor unplaced.
    """
    queue = list(queue)
    # Most machines are full: they are filtered out once, not once per job.
    smallest = min_resources(item.job.spec.resources for item in queue)
    usable = [
        capacity for capacity in capacities if capacity.ready_in <= 0 and capacity.fits(smallest)
    ]
    packing = _Packing(usable, max_jobs, exclusions_of, quota)
    stopped_early = False
    for item in queue:
        permitted = item if quota is None else quota.permitted_part(item)
        if permitted is not None and not packing.add(permitted):
            stopped_early = True
            break
    return PlacementResult(packing.placed, packing.unplaced, stopped_early)


class _Packing:
    """One run of `place`: the machines as they fill up, and what was placed so far."""

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
        # Shapes of which some tasks did not fit: items of these shapes don't search again.
        self._exhausted_shapes: set[TaskShape] = set()

    def add(self, item: PendingTasks) -> bool:
        """Place as much of an item as fits; return False if that would be one job too many."""
        spec = item.job.spec
        shape = TaskShape(spec.resources, spec.machine_types, spec.zone, spec.spot)
        exclusions = self._exclusions_of(item) if self._exclusions_of is not None else NO_EXCLUSIONS
        found: list[FreeCapacity] = []
        if shape not in self._exhausted_shapes:
            found = suitable(item.job, self._capacities, exclusions)
        if spec.gang and sum(capacity.count(spec.resources) for capacity in found) < item.count:
            # All or nothing: one gang must not hold a part of the capacity while another holds the
            # rest. The shape is not exhausted, as other items of it may need less.
            self._add_unplaced(item)
            return True
        if found and self._exceeds_max_jobs(item.job):
            return False
        rest: PendingTasks | None = item
        if found:
            rest = fill_capacities(item, found, self.placed, self._quota)
            self._placed_jobs.add(item.job.id)
        if rest is not None:
            if not exclusions.machines and not exclusions.machine_types:
                self._exhausted_shapes.add(shape)
            self._add_unplaced(rest)
        return True

    def _exceeds_max_jobs(self, job: Job) -> bool:
        return job.id not in self._placed_jobs and len(self._placed_jobs) >= self._max_jobs

    def _add_unplaced(self, rest: PendingTasks) -> None:
        """Record tasks that could not be placed, which may hold their team's quota."""
        self.unplaced.append(rest)
        if self._quota is not None:
            self._quota.hold(rest.job, rest.count)


def fill_capacities(
    item: PendingTasks,
    capacities: list[FreeCapacity],
    placed: list[Placement],
    quota: QuotaAllowance | None,
) -> PendingTasks | None:
    """Place an item's tasks on the machines in their order; return those that don't fit.

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
