"""A partition's pending tasks, in the order in which they are to start."""

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

# Tasks of one job that are in the queue at once; the rest of a wider job follows as these are
# placed.
MAX_TASKS_PER_JOB = 1024
# How long a computed queue is reused.
REUSE_TIME = timedelta(milliseconds=300)
# For bids a queue is reused for this multiple of the time that computing it took, and for at most
# this long.
REUSE_FACTOR = 12
MAX_REUSE_TIME = timedelta(seconds=2)
# Bound on the jobs whose unplaced tasks are cached.
MAX_CACHED_JOBS = 4096


class PendingQueue:
    """The queue as computed from the records, cached until they change."""

    def __init__(self, state: PartitionState, gangs: Gangs) -> None:
        self._records, self._context = state.records, state.records.context
        self._partition, self._backoff = state.records.partition, state.backoff
        self._gangs = gangs
        # Decides which unplaced tasks may be given a machine.
        self.recovery = PartitionRecovery()
        # Unplaced tasks by job, with the versions of the records that they were computed from.
        self._unplaced: dict[str, tuple[tuple[int, int], Ranges]] = {}
        self._queue: tuple[tuple[int, int], datetime, list[PendingTasks]] = (
            (-1, -1),
            clock.ORIGIN,
            [],
        )
        self._compute_time = clock.ZERO
        # Tasks that the last step could not place, as far as quotas permit them.
        self.not_placed: list[PendingTasks] = []

    def pending(self) -> list[PendingTasks]:
        """Return the queue, in order. Callers must not change it.

        It is computed again only when the records have changed or REUSE_TIME has passed.
        """
        view, now = self._context.view, clock.now()
        version = (view.version, len(self._context.cancellations.jobs))
        if self._queue[0] == version and now - self._queue[1] < REUSE_TIME:
            return self._queue[2]
        items = self._items(now)
        wall, deadlines = clock.wall(), self._context.objectives.deadline_factors
        items.sort(
            key=lambda item: queue_order.rank(
                item, queue_order.lateness(item.job, wall, deadlines(item.job.spec))
            )
        )
        self._queue, self._compute_time = (version, now, items), clock.now() - now
        return items

    def _items(self, now: datetime) -> list[PendingTasks]:
        """Return the items of the queue, in no order."""
        guaranteed = self._context.fair_share.guaranteed_jobs()
        starved = self._context.starvation.starved_jobs(now)
        view, cancelled = self._context.view, self._context.cancellations.jobs
        items: list[PendingTasks] = []
        delayed = self._backoff.delayed_jobs(now)
        for name in view.assigned_jobs.get(self._partition, ()):
            if name in cancelled or name in delayed:
                continue
            job = view.jobs[name]
            items += self._items_of_job(
                job, name in guaranteed, name in starved.get(job.spec.team, ())
            )
        return items

    def _items_of_job(self, job: Job, guaranteed: bool, starved: bool) -> list[PendingTasks]:
        """Return a job's items; the first task of a starved one is an item of its own."""
        tasks = self.unplaced(job)
        if job.spec.gang:
            item = self._gangs.placeable_tasks(job, tasks) if tasks else None
            return [] if item is None else [replace(item, guaranteed=guaranteed, starved=starved)]
        items = []
        tasks = ranges.first(tasks, MAX_TASKS_PER_JOB)
        if tasks and starved:
            first = ranges.first(tasks, 1)
            items.append(PendingTasks(job, first, guaranteed, True))
            tasks = ranges.minus(tasks, first)
        if tasks:
            items.append(PendingTasks(job, tasks, guaranteed))
        return items

    def update_not_placed(self, items: list[PendingTasks]) -> None:
        """Replace the tasks that the last step could not place."""
        self.not_placed = items

    def recent(self) -> list[PendingTasks]:
        """Return the queue as of a short time ago, for bids and estimates.

        Records change many times a second, and what a bid promises is only a forecast; starts use
        `pending`.
        """
        window = max(REUSE_TIME, min(MAX_REUSE_TIME, self._compute_time * REUSE_FACTOR))
        if clock.now() - self._queue[1] < window:
            return self._queue[2]
        return self.pending()

    def unplaced(self, job: Job) -> Ranges:
        """Return the tasks of a job that this partition holds, has not placed, and may place."""
        return self.recovery.placeable(job, self._cached_unplaced(job))

    def _cached_unplaced(self, job: Job) -> Ranges:
        job_slice = self._records.job_slices().get(job.id)
        if job_slice is None:
            return job.allocation.get(self._partition, ())
        cached, version = self._unplaced.get(job.id), (job.mod_revision, job_slice.version)
        if cached is None or cached[0] != version:
            if len(self._unplaced) >= MAX_CACHED_JOBS:
                self._unplaced.clear()
            cached = self._unplaced[job.id] = (version, self._find_unplaced(job, job_slice))
        return cached[1]

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
