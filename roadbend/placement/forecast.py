"""When will queued tasks start on the machines there are? Pure; used for hiring just in time and
for telling peers how long a reoffered job would wait here."""

import heapq
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from roadbend.placement.free_capacity import (
    RESOURCE_TOLERANCE,
    FreeCapacity,
    allowed,
    min_resources,
)
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import Job, Resources

NEVER = float("inf")


def _when(row: tuple[float, Resources]) -> float:
    return row[0]


@dataclass(slots=True)
class MachineTimeline:
    """A machine's future: what is free now, and what comes free when (seconds from now)."""

    capacity: FreeCapacity
    releases: list[tuple[float, Resources]] = field(default_factory=list)
    # What is free counts from here: room left by a task that had to wait is not there before it.
    free_from: float = 0.0

    def earliest(self, resources: Resources) -> float:
        capacity, want_cpus, want_gpus, want_memory = (
            self.capacity,
            resources.cpus - RESOURCE_TOLERANCE,
            resources.gpus - RESOURCE_TOLERANCE,
            resources.memory - RESOURCE_TOLERANCE,
        )
        cpus, gpus, memory = capacity.cpus, capacity.gpus, capacity.memory
        if want_cpus <= cpus and want_gpus <= gpus and want_memory <= memory:
            return max(capacity.ready_in, self.free_from)
        for at, freed in self.releases:
            cpus, gpus, memory = cpus + freed.cpus, gpus + freed.gpus, memory + freed.memory
            if want_cpus <= cpus and want_gpus <= gpus and want_memory <= memory:
                return max(at, capacity.ready_in)
        return NEVER

    def put(self, job: Job, start: float, run: float) -> None:
        """A task is laid on this machine from `start`; its image is there afterwards."""
        resources = job.spec.resources
        while self.releases and self.releases[0][0] <= start and not self.capacity.fits(resources):
            at, freed = self.releases.pop(0)
            self.capacity.give(freed)
            self.free_from = max(self.free_from, at)
        self.capacity.take(resources)
        if run < NEVER:
            end = start + self.capacity.fetch(job.spec.image, job.spec.image_gb) + run
            insort(self.releases, (end, resources), key=_when)
        if job.spec.image not in self.capacity.images:
            self.capacity.images = {*self.capacity.images, job.spec.image}


class ScheduleProjection:
    """The lines in the order in which each could take the least that anybody asks for. Work that is
    laid on a line only ever makes it later, so a job looks no further down than to where it finds
    its places."""

    def __init__(self, timelines: Iterable[MachineTimeline], least: Resources):
        self.timelines = list(timelines)
        self._least = least
        self._soonest = [timeline.earliest(least) for timeline in self.timelines]
        self.order = sorted((at, n) for n, at in enumerate(self._soonest) if at < NEVER)

    def add(self, timeline: MachineTimeline) -> int:
        """One more line, a machine that is to be hired."""
        self.timelines.append(timeline)
        at = timeline.earliest(self._least)
        self._soonest.append(at)
        if at < NEVER:
            insort(self.order, (at, len(self.timelines) - 1))
        return len(self.timelines) - 1

    def filled(self, n: int) -> None:
        """Something was laid on a line."""
        old, new = self._soonest[n], self.timelines[n].earliest(self._least)
        if new != old:
            del self.order[bisect_left(self.order, (old, n))]
            self._soonest[n] = new
            if new < NEVER:
                insort(self.order, (new, n))


class StartCandidates:
    """Where tasks of one job would begin to run, the soonest first, as they are laid on the lines
    one by one. Lines are looked at once a job, not once a task, and only as far as a sooner place
    may be found."""

    def __init__(self, job: Job, schedule: ScheduleProjection, machine_types: Container[str] = ()):
        self._job, self._board, self._rigs = job, schedule, machine_types
        self._rows: list[tuple[float, bool, int, float, MachineTimeline]] = []
        # The last line that was looked at in the board's order; those before it, and some that were
        # there when they were looked at and have come later since, are known here.
        self._last: tuple[float, int] = (-1.0, -1)
        self._known: set[int] = set()

    def _look(self) -> None:
        """Lines that could come before the best one known."""
        order, rows, timelines = self._board.order, self._rows, self._board.timelines
        at, count = bisect_right(order, self._last), len(order)
        while at < count:
            row = order[at]
            # What is as soon but for the rounding is looked at too, for it may be the better one.
            if rows and row[0] > rows[0][0] + 1e-5:
                return
            self._last = row
            at += 1
            n = row[1]
            if n not in self._known:
                self._known.add(n)
                capacity = timelines[n].capacity
                if capacity.machine_type not in self._rigs and allowed(
                    self._job, capacity.machine_type, capacity.zone, capacity.spot
                ):
                    self._push(n, timelines[n])

    def _push(self, n: int, timeline: MachineTimeline) -> None:
        spec = self._job.spec
        start = timeline.earliest(spec.resources)
        if start < NEVER:
            # Level ones: what may run on spot machines leaves the others free.
            runs = round(start + timeline.capacity.fetch(spec.image, spec.image_gb), 6)
            heapq.heappush(
                self._rows, (runs, spec.spot and not timeline.capacity.spot, n, start, timeline)
            )

    def best(self) -> tuple[float, float, MachineTimeline | None]:
        """When the next task would run, from when it would be on its machine, and which that is."""
        self._look()
        if not self._rows:
            return NEVER, NEVER, None
        runs, _, _, start, timeline = self._rows[0]
        return runs, start, timeline

    def put(self, run: float) -> None:
        """The next task is laid where it runs first."""
        _, _, n, start, timeline = heapq.heappop(self._rows)
        timeline.put(self._job, start, run)
        self._board.filled(n)
        self._push(n, timeline)

    def join(self, timeline: MachineTimeline) -> None:
        """One more line, a machine that is to be hired."""
        n = self._board.add(timeline)
        self._known.add(n)
        self._push(n, timeline)


def earliest(job: Job, timelines: list[MachineTimeline]) -> tuple[float, MachineTimeline | None]:
    """Where a task would begin to run first, its fetch counted, and from when it would be there.
    For one task a plain look at every line is the cheapest."""
    spec = job.spec
    best, found = (NEVER, False), (NEVER, None)
    for timeline in timelines:
        capacity = timeline.capacity
        start = timeline.earliest(spec.resources)
        if (
            start <= best[0]
            and start < NEVER
            and allowed(job, capacity.machine_type, capacity.zone, capacity.spot)
        ):
            runs = (
                round(start + capacity.fetch(spec.image, spec.image_gb), 6),
                spec.spot and not capacity.spot,
            )
            if runs < best:
                best, found = runs, (start, timeline)
    return found


def project(
    queue: list[PendingTasks],
    timelines: list[MachineTimeline],
    run_of: Callable[[Job], float],
    most: int,
) -> dict[str, list[float]]:
    """Lays the queue on the machines, at most so many tasks of it; when each job's tasks would
    begin."""
    starts: dict[str, list[float]] = {}
    schedule = ScheduleProjection(
        timelines, min_resources(item.job.spec.resources for item in queue)
    )
    for item in queue:
        if most <= 0:
            break
        rows, run = StartCandidates(item.job, schedule), run_of(item.job)
        for _ in range(min(most, item.count)):
            _, start, timeline = rows.best()
            if timeline is None:
                break
            starts.setdefault(item.job.id, []).append(start)
            rows.put(run)
            most -= 1
    return starts


def run_seconds(job: Job, factor: float) -> float:
    """Predicted run time, without the fetch; a service never comes free."""
    if job.spec.service:
        return NEVER
    return max(timedelta(seconds=5), job.spec.expected_duration).total_seconds() * factor


def slack(item: PendingTasks, waited: float, run: float, times: float = 1.0) -> float:
    """How many seconds from now a task may start and still be in time; without a deadline, a
    service wants to start at once and an array may wait for about twice its run time."""
    spec = item.job.spec
    if spec.gang:
        # Those who wait for each other are to begin at once.
        return 0.0
    if spec.due is not None:
        return spec.due.total_seconds() * times - waited - run
    if spec.service or spec.priority >= 2:
        return 0.0
    return max(0.0, 2 * run - waited)
