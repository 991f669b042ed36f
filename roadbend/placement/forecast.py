"""Forecasts when pending tasks will start on the machines that exist.

Used to scale out just in time, and to report to other controllers how long a job that is
rescheduled would wait here. All times are in seconds from now. Pure functions: everything is passed
as an argument.
"""

import heapq
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from operator import attrgetter
from typing import NamedTuple

from roadbend.placement.free_capacity import (
    RESOURCE_TOLERANCE,
    FreeCapacity,
    allowed,
    min_resources,
)
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import PRIORITY, Job, Resources

NEVER = float("inf")
# Starts are compared in microseconds, so that those that differ by rounding alone are equal.
START_DIGITS = 6
# A start may be this much earlier than its timeline's entry in the order says, due to rounding.
ROUNDING_SECONDS = 1e-5
# The shortest run time that is predicted, before the job class's factor.
MIN_RUN_SECONDS = 5.0
# An array without a deadline may wait for this many times its run time, less what it has waited
# already.
ARRAY_MAX_WAIT_RUNS = 2


class Release(NamedTuple):
    """Resources that are expected to become free on a machine, and when."""

    at: float
    resources: Resources


# The sort key of releases; annotated, since `attrgetter` returns Any.
release_time: Callable[[Release], float] = attrgetter("at")


@dataclass(slots=True)
class MachineTimeline:
    """A machine with what is free on it now, and what becomes free when.

    `releases` are sorted by time. `assign` changes the timeline and its capacity.
    """

    capacity: FreeCapacity
    releases: list[Release] = field(default_factory=list)
    # When the free capacity becomes available: what a task that had to wait left over is not free
    # before that task was placed.
    free_from: float = 0.0

    def earliest_start(self, resources: Resources) -> float:
        """Return when a task that needs these resources could be placed here, or NEVER."""
        capacity = self.capacity
        needed_cpus = resources.cpus - RESOURCE_TOLERANCE
        needed_gpus = resources.gpus - RESOURCE_TOLERANCE
        needed_memory = resources.memory - RESOURCE_TOLERANCE
        cpus, gpus, memory = capacity.cpus, capacity.gpus, capacity.memory
        if needed_cpus <= cpus and needed_gpus <= gpus and needed_memory <= memory:
            # This runs twice for each task that is assigned, and is faster than `max`.
            ready_in, free_from = capacity.ready_in, self.free_from
            return ready_in if ready_in >= free_from else free_from
        for at, freed in self.releases:
            cpus, gpus, memory = cpus + freed.cpus, gpus + freed.gpus, memory + freed.memory
            if needed_cpus <= cpus and needed_gpus <= gpus and needed_memory <= memory:
                return max(at, capacity.ready_in)
        return NEVER

    def assign(self, job: Job, start: float, run: float) -> None:
        """Add a task of a job that is placed here at `start` and runs for `run` seconds.

        The machine has its image afterwards.
        """
        capacity, spec = self.capacity, job.spec
        while self.releases and self.releases[0].at <= start and not capacity.fits(spec.resources):
            release = self.releases.pop(0)
            capacity.release(release.resources)
            self.free_from = max(self.free_from, release.at)
        capacity.allocate(spec.resources)
        if run < NEVER:
            end = start + capacity.image_fetch_seconds(spec.image, spec.image_gb) + run
            insort(self.releases, Release(end, spec.resources), key=release_time)
        if spec.image not in capacity.images:
            capacity.images = {*capacity.images, spec.image}


class ScheduleProjection:
    """Machine timelines, ordered by when each could take the smallest pending task.

    Assigning a task to a timeline can only move it down the order, so for a job only as much of the
    order is examined as its tasks need.
    """

    def __init__(self, timelines: Iterable[MachineTimeline], smallest: Resources) -> None:
        self.timelines = list(timelines)
        self._smallest = smallest
        self._soonest = [timeline.earliest_start(smallest) for timeline in self.timelines]
        # The soonest start on a timeline, and its index; sorted. Plain tuples, since all of them
        # are sorted for each forecast.
        self.order: list[tuple[float, int]] = [
            (soonest, index) for index, soonest in enumerate(self._soonest) if soonest < NEVER
        ]
        self.order.sort()

    def add(self, timeline: MachineTimeline) -> int:
        """Add a machine that is to be created; return the index of its timeline."""
        index = len(self.timelines)
        self.timelines.append(timeline)
        soonest = timeline.earliest_start(self._smallest)
        self._soonest.append(soonest)
        if soonest < NEVER:
            insort(self.order, (soonest, index))
        return index

    def update(self, index: int) -> None:
        """Move a timeline to its position in the order after a task was assigned to it."""
        old, new = self._soonest[index], self.timelines[index].earliest_start(self._smallest)
        if new != old:
            del self.order[bisect_left(self.order, (old, index))]
            self._soonest[index] = new
            if new < NEVER:
                insort(self.order, (new, index))


# A possible start of the next task of a job; the smallest candidate is the best. The elements: when
# the task would run, its image fetched; whether it may use spot machines but would occupy another,
# which is avoided if the times are equal; the timeline's index in the projection, which no other
# candidate of the job has; when the task would be placed on the machine; the timeline. A plain
# tuple, since one is built for each task that is assigned.
StartCandidate = tuple[float, bool, int, float, MachineTimeline]


class StartCandidates:
    """Where tasks of one job would start, soonest first, as they are assigned one by one.

    Each timeline is examined once per job, not once per task, and only as far down the projection's
    order as a sooner start may be found.
    """

    def __init__(
        self, job: Job, schedule: ScheduleProjection, excluded_types: Container[str] = ()
    ) -> None:
        self._job, self._schedule, self._excluded_types = job, schedule, excluded_types
        self._spec = job.spec
        self._heap: list[StartCandidate] = []
        # The last entry of the projection's order that was examined. `_known` holds the timelines
        # before it, and those that were examined and have moved behind it since.
        self._last_examined: tuple[float, int] = (-1.0, -1)
        self._known: set[int] = set()

    def next_run(self) -> float:
        """Return when the next task would run at the soonest; NEVER if it fits nowhere."""
        self._examine()
        return self._heap[0][0] if self._heap else NEVER

    def next_start(self) -> float:
        """Return when the task of `next_run` would be placed; NEVER if it fits nowhere."""
        self._examine()
        return self._heap[0][3] if self._heap else NEVER

    def assign(self, run: float) -> None:
        """Assign the next task, which runs for `run` seconds, to where it runs soonest.

        `next_run` or `next_start` must have been called before, and must not have returned NEVER.
        """
        _, _, index, start, timeline = heapq.heappop(self._heap)
        timeline.assign(self._job, start, run)
        self._schedule.update(index)
        self._push(index, timeline)

    def add(self, timeline: MachineTimeline) -> None:
        """Add a machine that is to be created."""
        index = self._schedule.add(timeline)
        self._known.add(index)
        self._push(index, timeline)

    def _examine(self) -> None:
        """Examine the timelines that could be sooner than the best candidate known."""
        order, heap = self._schedule.order, self._heap
        position, count = bisect_right(order, self._last_examined), len(order)
        while position < count:
            entry = order[position]
            if heap and entry[0] > heap[0][0] + ROUNDING_SECONDS:
                return
            self._last_examined = entry
            position += 1
            index = entry[1]
            if index not in self._known:
                self._known.add(index)
                timeline = self._schedule.timelines[index]
                capacity = timeline.capacity
                if capacity.machine_type not in self._excluded_types and allowed(
                    self._job, capacity.machine_type, capacity.zone, capacity.spot
                ):
                    self._push(index, timeline)

    def _push(self, index: int, timeline: MachineTimeline) -> None:
        spec, capacity = self._spec, timeline.capacity
        start = timeline.earliest_start(spec.resources)
        if start < NEVER:
            runs_at = round(
                start + capacity.image_fetch_seconds(spec.image, spec.image_gb), START_DIGITS
            )
            wastes_non_spot = spec.spot and not capacity.spot
            heapq.heappush(self._heap, (runs_at, wastes_non_spot, index, start, timeline))


class EarliestStart(NamedTuple):
    """When a task would be placed on a machine, and on which; NEVER and None if it fits nowhere."""

    start: float
    timeline: MachineTimeline | None


def earliest_start(job: Job, timelines: list[MachineTimeline]) -> EarliestStart:
    """Find where one task of a job would run soonest, including its image fetch.

    For a single task it is fastest to examine every timeline.
    """
    spec = job.spec
    best, found = (NEVER, False), EarliestStart(NEVER, None)
    for timeline in timelines:
        capacity = timeline.capacity
        start = timeline.earliest_start(spec.resources)
        if (
            start <= best[0]
            and start < NEVER
            and allowed(job, capacity.machine_type, capacity.zone, capacity.spot)
        ):
            runs_at = round(
                start + capacity.image_fetch_seconds(spec.image, spec.image_gb), START_DIGITS
            )
            rank = (runs_at, spec.spot and not capacity.spot)
            if rank < best:
                best, found = rank, EarliestStart(start, timeline)
    return found


def project(
    queue: list[PendingTasks],
    timelines: list[MachineTimeline],
    run_seconds_of: Callable[[Job], float],
    max_tasks: int,
) -> dict[str, list[float]]:
    """Assign the first `max_tasks` tasks of the queue to the machines.

    Returns when the tasks of each job, by its id, would be placed on their machines.
    """
    starts: dict[str, list[float]] = {}
    smallest = min_resources(item.job.spec.resources for item in queue)
    schedule = ScheduleProjection(timelines, smallest)
    for item in queue:
        if max_tasks <= 0:
            break
        candidates, run = StartCandidates(item.job, schedule), run_seconds_of(item.job)
        for _ in range(min(max_tasks, item.count)):
            start = candidates.next_start()
            if start == NEVER:
                break
            starts.setdefault(item.job.id, []).append(start)
            candidates.assign(run)
            max_tasks -= 1
    return starts


def run_seconds(job: Job, factor: float) -> float:
    """Predict a task's run time without the image fetch; a service never ends.

    `factor` is the ratio of actual to stated run time of tasks of the job's class.
    """
    if job.spec.service:
        return NEVER
    return max(MIN_RUN_SECONDS, job.spec.expected_duration.total_seconds()) * factor


def slack(item: PendingTasks, waited: float, run: float, deadline_factor: float = 1.0) -> float:
    """Return how many seconds from now a task may start and still be in time.

    `waited` is how long its job has waited, `run` the time that is reserved for its run, and the
    deadline that counts is `deadline_factor` times the due time. Without a deadline, services and
    high-priority work should start at once, and an array may wait for about twice its run time.
    """
    spec = item.job.spec
    if spec.gang:
        # A gang's tasks wait for each other, and should start at once.
        return 0.0
    if spec.due is not None:
        return spec.due.total_seconds() * deadline_factor - waited - run
    if spec.service or spec.priority >= PRIORITY["high"]:
        return 0.0
    return max(0.0, ARRAY_MAX_WAIT_RUNS * run - waited)
