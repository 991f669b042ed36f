"""When will queued tasks start on the machines there are? Pure; used for hiring just in time and
for telling peers how long a reoffered job would wait here."""

import heapq
from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from roadbend.placement.policy import EPS, Pending, Room, allowed, least_of
from roadbend.store.records import Job, Need

NEVER = float("inf")


def _when(row: tuple[float, Need]) -> float:
    return row[0]


@dataclass(slots=True)
class Line:
    """A machine's future: what is free now, and what comes free when (seconds from now)."""

    room: Room
    releases: list[tuple[float, Need]] = field(default_factory=list)
    # What is free counts from here: room left by a task that had to wait is not there before it.
    free_from: float = 0.0

    def earliest(self, need: Need) -> float:
        room, want_cpus, want_gpus, want_memory = (
            self.room,
            need.cpus - EPS,
            need.gpus - EPS,
            need.memory - EPS,
        )
        cpus, gpus, memory = room.cpus, room.gpus, room.memory
        if want_cpus <= cpus and want_gpus <= gpus and want_memory <= memory:
            return max(room.ready_in, self.free_from)
        for at, freed in self.releases:
            cpus, gpus, memory = cpus + freed.cpus, gpus + freed.gpus, memory + freed.memory
            if want_cpus <= cpus and want_gpus <= gpus and want_memory <= memory:
                return max(at, room.ready_in)
        return NEVER

    def put(self, job: Job, start: float, run: float) -> None:
        """A task is laid on this machine from `start`; its image is there afterwards."""
        need = job.spec.need
        while self.releases and self.releases[0][0] <= start and not self.room.fits(need):
            at, freed = self.releases.pop(0)
            self.room.give(freed)
            self.free_from = max(self.free_from, at)
        self.room.take(need)
        if run < NEVER:
            end = start + self.room.fetch(job.spec.image, job.spec.image_gb) + run
            insort(self.releases, (end, need), key=_when)
        if job.spec.image not in self.room.images:
            self.room.images = {*self.room.images, job.spec.image}


class Board:
    """The lines in the order in which each could take the least that anybody asks for. Work that is
    laid on a line only ever makes it later, so a job looks no further down than to where it finds
    its places."""

    def __init__(self, lines: Iterable[Line], least: Need):
        self.lines = list(lines)
        self._least = least
        self._soonest = [line.earliest(least) for line in self.lines]
        self.order = sorted((at, n) for n, at in enumerate(self._soonest) if at < NEVER)

    def add(self, line: Line) -> int:
        """One more line, a machine that is to be hired."""
        self.lines.append(line)
        at = line.earliest(self._least)
        self._soonest.append(at)
        if at < NEVER:
            insort(self.order, (at, len(self.lines) - 1))
        return len(self.lines) - 1

    def filled(self, n: int) -> None:
        """Something was laid on a line."""
        old, new = self._soonest[n], self.lines[n].earliest(self._least)
        if new != old:
            del self.order[bisect_left(self.order, (old, n))]
            self._soonest[n] = new
            if new < NEVER:
                insort(self.order, (new, n))


class Starts:
    """Where tasks of one job would begin to run, the soonest first, as they are laid on the lines
    one by one. Lines are looked at once a job, not once a task, and only as far as a sooner place
    may be found."""

    def __init__(self, job: Job, board: Board, machine_types: Container[str] = ()):
        self._job, self._board, self._rigs = job, board, machine_types
        self._rows: list[tuple[float, bool, int, float, Line]] = []
        # The last line that was looked at in the board's order; those before it, and some that were
        # there when they were looked at and have come later since, are known here.
        self._last: tuple[float, int] = (-1.0, -1)
        self._known: set[int] = set()

    def _look(self) -> None:
        """Lines that could come before the best one known."""
        order, rows, lines = self._board.order, self._rows, self._board.lines
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
                room = lines[n].room
                if room.machine_type not in self._rigs and allowed(
                    self._job, room.machine_type, room.zone, room.spot
                ):
                    self._push(n, lines[n])

    def _push(self, n: int, line: Line) -> None:
        spec = self._job.spec
        start = line.earliest(spec.need)
        if start < NEVER:
            # Level ones: what may run on spot machines leaves the others free.
            runs = round(start + line.room.fetch(spec.image, spec.image_gb), 6)
            heapq.heappush(self._rows, (runs, spec.spot and not line.room.spot, n, start, line))

    def best(self) -> tuple[float, float, Line | None]:
        """When the next task would run, from when it would be on its machine, and which that is."""
        self._look()
        if not self._rows:
            return NEVER, NEVER, None
        runs, _, _, start, line = self._rows[0]
        return runs, start, line

    def put(self, run: float) -> None:
        """The next task is laid where it runs first."""
        _, _, n, start, line = heapq.heappop(self._rows)
        line.put(self._job, start, run)
        self._board.filled(n)
        self._push(n, line)

    def join(self, line: Line) -> None:
        """One more line, a machine that is to be hired."""
        n = self._board.add(line)
        self._known.add(n)
        self._push(n, line)


def earliest(job: Job, lines: list[Line]) -> tuple[float, Line | None]:
    """Where a task would begin to run first, its fetch counted, and from when it would be there.
    For one task a plain look at every line is the cheapest."""
    spec = job.spec
    best, found = (NEVER, False), (NEVER, None)
    for line in lines:
        room = line.room
        start = line.earliest(spec.need)
        if (
            start <= best[0]
            and start < NEVER
            and allowed(job, room.machine_type, room.zone, room.spot)
        ):
            runs = (
                round(start + room.fetch(spec.image, spec.image_gb), 6),
                spec.spot and not room.spot,
            )
            if runs < best:
                best, found = runs, (start, line)
    return found


def lay(
    queue: list[Pending], lines: list[Line], run_of: Callable[[Job], float], most: int
) -> dict[str, list[float]]:
    """Lays the queue on the machines, at most so many tasks of it; when each job's tasks would
    begin."""
    starts: dict[str, list[float]] = {}
    board = Board(lines, least_of(item.job.spec.need for item in queue))
    for item in queue:
        if most <= 0:
            break
        rows, run = Starts(item.job, board), run_of(item.job)
        for _ in range(min(most, item.count)):
            _, start, line = rows.best()
            if line is None:
                break
            starts.setdefault(item.job.id, []).append(start)
            rows.put(run)
            most -= 1
    return starts


def run_seconds(job: Job, factor: float) -> float:
    """Predicted run time, without the fetch; a service never comes free."""
    if job.spec.service:
        return NEVER
    return max(timedelta(seconds=5), job.spec.expected).total_seconds() * factor


def slack(item: Pending, waited: float, run: float, times: float = 1.0) -> float:
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
