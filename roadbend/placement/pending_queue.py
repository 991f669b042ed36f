"""What waits in a partition, in the order in which it is to start."""

from dataclasses import replace
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.placement import queue_order
from roadbend.placement.gangs import Gangs
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.recovery_hooks import PartitionRecovery
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Job

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
    """The queue as worked out from the records, remembered until they change."""

    def __init__(self, state: PartitionState, gangs: Gangs) -> None:
        self._records, self._context = state.records, state.records.context
        self._partition, self._backoff = state.records.partition, state.backoff
        self._gangs = gangs
        # Asked which unplaced tasks may be given a machine.
        self.recovery = PartitionRecovery()
        # Tasks not placed, by job, and the marks of the records that this was worked out from.
        self._unplaced: dict[str, tuple[tuple[int, int], Ranges]] = {}
        self._queue: tuple[tuple[int, int], datetime, list[PendingTasks]] = (
            (-1, -1),
            clock.ORIGIN,
            [],
        )
        self._took = clock.ZERO
        # What the last step found no place for, as far as quotas permit it.
        self.not_placed: list[PendingTasks] = []

    def pending(self) -> list[PendingTasks]:
        """Return the queue, in order. Callers do not change it.

        It is worked out anew only when the records have changed or a moment has passed.
        """
        view, now = self._context.view, clock.now()
        mark = (view.version, len(self._context.cancellations.jobs))
        if self._queue[0] == mark and now - self._queue[1] < REUSE:
            return self._queue[2]
        items = self._items(now)
        wall, deadlines = clock.wall(), self._context.objectives.deadline_factors
        items.sort(
            key=lambda item: queue_order.rank(
                item, queue_order.lateness(item.job, wall, deadlines(item.job.spec))
            )
        )
        self._queue, self._took = (mark, now, items), clock.now() - now
        return items

    def _items(self, now: datetime) -> list[PendingTasks]:
        """Return what waits, in no order."""
        guaranteed = self._context.fair_share.guaranteed_jobs()
        starved = self._context.starvation.starved_jobs(now)
        view, cancelled = self._context.view, self._context.cancellations.jobs
        items: list[PendingTasks] = []
        delayed = self._backoff.delayed_jobs(now)
        for name in view.assigned_jobs.get(self._partition, ()):
            if name in cancelled or name in delayed:
                continue
            job = view.jobs[name]
            items += self._items_of(job, name in guaranteed, name in starved.get(job.spec.team, ()))
        return items

    def _items_of(self, job: Job, guaranteed: bool, starved: bool) -> list[PendingTasks]:
        """Return what of a job waits; the first task of a starved one stands apart."""
        tasks = self.unplaced(job)
        if job.spec.gang:
            item = self._gangs.placeable_tasks(job, tasks) if tasks else None
            return [] if item is None else [replace(item, guaranteed=guaranteed, starved=starved)]
        items = []
        tasks = ranges.first(tasks, MAX_PENDING)
        if tasks and starved:
            first = ranges.first(tasks, 1)
            items.append(PendingTasks(job, first, guaranteed, True))
            tasks = ranges.minus(tasks, first)
        if tasks:
            items.append(PendingTasks(job, tasks, guaranteed))
        return items

    def update_not_placed(self, items: list[PendingTasks]) -> None:
        """Replace what the last step found no place for."""
        self.not_placed = items

    def recent(self) -> list[PendingTasks]:
        """Return the queue as it was a moment ago, for bids and estimates.

        Records change many times a second, and what a bid promises is only a forecast; starts go by
        `pending`.
        """
        window = max(REUSE, min(REUSE_MOST, self._took * REST))
        if clock.now() - self._queue[1] < window:
            return self._queue[2]
        return self.pending()

    def unplaced(self, job: Job) -> Ranges:
        """Return the tasks of a job that this partition holds, has not placed, and may place."""
        return self.recovery.placeable(job, self._not_placed(job))

    def _not_placed(self, job: Job) -> Ranges:
        job_slice = self._records.job_slices().get(job.id)
        if job_slice is None:
            return job.allocation.get(self._partition, ())
        known, mark = self._unplaced.get(job.id), (job.mod_revision, job_slice.version)
        if known is None or known[0] != mark:
            if len(self._unplaced) >= MAX_KNOWN:
                self._unplaced.clear()
            known = self._unplaced[job.id] = (mark, self._find_unplaced(job, job_slice))
        return known[1]

    def _find_unplaced(self, job: Job, job_slice: JobSlice) -> Ranges:
        held = job.allocation.get(self._partition, ())
        if len(job_slice.attempts) + ranges.size(job_slice.done) >= ranges.size(
            held
        ) and job_slice.attempts.keys() >= set(
            ranges.iter_indexes(ranges.minus(held, job_slice.done))
        ):
            return ()
        return ranges.minus(
            held, ranges.union(job_slice.done, ((n, n + 1) for n in job_slice.attempts))
        )
