"""What waits in a partition, in the order in which it is to start."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.placement import gangs, queue_order
from roadbend.placement.queue_order import PendingTasks
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Job

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

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


class PendingQueue:
    """Worked out from the records, and remembered until they change."""

    def __init__(self, leader: PartitionLeader):
        self._leader = leader
        # Tasks not placed, by job, and the marks of the records that this was worked out from.
        self._unplaced: dict[str, tuple[tuple[int, int], Ranges]] = {}
        self._queue: tuple[tuple[int, int], datetime, list[PendingTasks]] = (
            (-1, -1),
            clock.ORIGIN,
            [],
        )
        self._took = clock.ZERO

    def pending(self) -> list[PendingTasks]:
        """The queue, in order; worked out anew only when the records have changed or a moment has
        passed. Callers do not change it."""
        leader = self._leader
        view, now = leader.context.view, clock.now()
        mark = (view.version, len(leader.context.cancellations.jobs))
        if self._queue[0] == mark and now - self._queue[1] < REUSE:
            return self._queue[2]
        sure, late = (
            leader.context.fair_share.guaranteed_jobs(),
            leader.context.starvation.starved_jobs(now),
        )
        out: list[PendingTasks] = []
        for name in view.assigned_jobs.get(leader.partition, ()):
            job = view.jobs[name]
            if (
                name in leader.context.cancellations.jobs
                or name in leader.backoff
                and leader.backoff[name][1] > now
            ):
                continue
            tasks = self.unplaced(job)
            if job.spec.gang:
                if tasks and (item := gangs.waiting(leader, job, tasks)) is not None:
                    out.append(
                        replace(
                            item,
                            guaranteed=name in sure,
                            starved=name in late.get(job.spec.team, ()),
                        )
                    )
                continue
            tasks = ranges.first(tasks, MAX_PENDING)
            if not tasks:
                continue
            if name in late.get(job.spec.team, ()):
                first = ranges.first(tasks, 1)
                out.append(PendingTasks(job, first, name in sure, True))
                tasks = ranges.minus(tasks, first)
            if tasks:
                out.append(PendingTasks(job, tasks, name in sure))
        wall, deadlines = clock.wall(), leader.context.objectives.deadline_factors
        out.sort(
            key=lambda item: queue_order.rank(
                item, queue_order.lateness(item.job, wall, deadlines(item.job.spec))
            )
        )
        self._queue, self._took = (mark, now, out), clock.now() - now
        return out

    def lately(self) -> list[PendingTasks]:
        """The queue as it was a moment ago, for bids and estimates. Records change many times a
        second, and what a bid promises is only a forecast; starts go by `pending`."""
        window = max(REUSE, min(REUSE_MOST, self._took * REST))
        if clock.now() - self._queue[1] < window:
            return self._queue[2]
        return self.pending()

    def unplaced(self, job: Job) -> Ranges:
        """Tasks of a job that this partition holds, has not placed, and may place."""
        return self._leader.recovery.placeable(job, self._not_placed(job))

    def _not_placed(self, job: Job) -> Ranges:
        leader = self._leader
        job_slice = leader.job_slices().get(job.id)
        if job_slice is None:
            return job.allocation.get(leader.partition, ())
        known, mark = self._unplaced.get(job.id), (job.mod_revision, job_slice.changed)
        if known is None or known[0] != mark:
            if len(self._unplaced) >= MAX_KNOWN:
                self._unplaced.clear()
            known = self._unplaced[job.id] = (mark, self._find_unplaced(job, job_slice))
        return known[1]

    def _find_unplaced(self, job: Job, job_slice: JobSlice) -> Ranges:
        leader = self._leader
        held = job.allocation.get(leader.partition, ())
        if len(job_slice.attempts) + ranges.size(job_slice.done) >= ranges.size(held):
            if job_slice.attempts.keys() >= set(ranges.numbers(ranges.minus(held, job_slice.done))):
                return ()
        return ranges.minus(
            held, ranges.union(job_slice.done, ((n, n + 1) for n in job_slice.attempts))
        )
