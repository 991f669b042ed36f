"""What waits in a part, in the order in which it is to start."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.placement import gangs, policy
from roadbend.placement.policy import Pending
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Job
from roadbend.store.view import Work

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

# Tasks of one job that a queue shows at once; the rest of a wider one follows as these are placed.
MAX_PENDING = 1024
# For how long a queue that was worked out may serve again.
REUSE = timedelta(milliseconds=300)
# How many times as long as it took to work out a queue serves for bids, and for how long at the
# most.
REST = 12
REUSE_MOST = timedelta(seconds=2)
# Most jobs whose unplaced tasks are remembered.
MAX_KNOWN = 4096


class Queue:
    """Worked out from the records, and remembered until they change."""

    def __init__(self, runtime: PartRuntime):
        self._runtime = runtime
        # Tasks not placed, by job, and the marks of the records that this was worked out from.
        self._unplaced: dict[str, tuple[tuple[int, int], Ranges]] = {}
        self._queue: tuple[tuple[int, int], datetime, list[Pending]] = ((-1, -1), clock.ORIGIN, [])
        self._took = clock.ZERO

    def pending(self) -> list[Pending]:
        """The queue, in order; worked out anew only when the records have changed or a moment has
        passed. Callers do not change it."""
        runtime = self._runtime
        view, now = runtime.shared.view, clock.now()
        mark = (view.version, len(runtime.shared.cancelled))
        if self._queue[0] == mark and now - self._queue[1] < REUSE:
            return self._queue[2]
        sure, late = runtime.shared.guaranteed(), runtime.shared.overdue(now)
        out: list[Pending] = []
        for name in view.held.get(runtime.part, ()):
            job = view.jobs[name]
            if (
                name in runtime.shared.cancelled
                or name in runtime.backoff
                and runtime.backoff[name][1] > now
            ):
                continue
            tasks = self.unplaced(job)
            if job.spec.gang:
                if tasks and (item := gangs.waiting(runtime, job, tasks)) is not None:
                    out.append(
                        replace(
                            item,
                            guaranteed=name in sure,
                            overdue=name in late.get(job.spec.team, ()),
                        )
                    )
                continue
            tasks = ranges.first(tasks, MAX_PENDING)
            if not tasks:
                continue
            if name in late.get(job.spec.team, ()):
                first = ranges.first(tasks, 1)
                out.append(Pending(job, first, name in sure, True))
                tasks = ranges.minus(tasks, first)
            if tasks:
                out.append(Pending(job, tasks, name in sure))
        wall, deadlines = clock.wall(), runtime.shared.deadlines
        out.sort(
            key=lambda item: policy.rank(
                item, policy.lateness(item.job, wall, deadlines(item.job.spec))
            )
        )
        self._queue, self._took = (mark, now, out), clock.now() - now
        return out

    def lately(self) -> list[Pending]:
        """The queue as it was a moment ago, for bids and estimates. Records change many times a
        second, and what a bid promises is only a forecast; starts go by `pending`."""
        window = max(REUSE, min(REUSE_MOST, self._took * REST))
        if clock.now() - self._queue[1] < window:
            return self._queue[2]
        return self.pending()

    def unplaced(self, job: Job) -> Ranges:
        """Tasks of a job that this part holds, has not placed, and may place."""
        return self._runtime.recovery.placeable(job, self._not_placed(job))

    def _not_placed(self, job: Job) -> Ranges:
        runtime = self._runtime
        work = runtime.works().get(job.id)
        if work is None:
            return job.alloc.get(runtime.part, ())
        known, mark = self._unplaced.get(job.id), (job.mod_revision, work.changed)
        if known is None or known[0] != mark:
            if len(self._unplaced) >= MAX_KNOWN:
                self._unplaced.clear()
            known = self._unplaced[job.id] = (mark, self._find_unplaced(job, work))
        return known[1]

    def _find_unplaced(self, job: Job, work: Work) -> Ranges:
        runtime = self._runtime
        held = job.alloc.get(runtime.part, ())
        if len(work.run) + ranges.size(work.done) >= ranges.size(held):
            if work.run.keys() >= set(ranges.numbers(ranges.minus(held, work.done))):
                return ()
        return ranges.minus(held, ranges.union(work.done, ((n, n + 1) for n in work.run)))
