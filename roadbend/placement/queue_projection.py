"""The queue projected onto a partition's machines, for bids, rescheduling and estimates."""

from collections import deque
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import cached_property
from typing import NamedTuple, cast

from roadbend import clock
from roadbend.fleet.terminations import TaskKey
from roadbend.placement import forecast, free_capacity
from roadbend.placement.bin_packing import TaskShape
from roadbend.placement.forecast import MachineTimeline, Release, release_time
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.pending_queue import PendingQueue
from roadbend.placement.usable_machines import UsableMachines
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, Job

# How long a computed projection is reused at least.
MIN_REUSE_TIME = timedelta(milliseconds=600)
# Bound on the projections that are cached, by their parameters.
MAX_PROJECTIONS = 4


@dataclass
class QueueProjection:
    """The timelines of the machines, with the queue assigned to them."""

    timelines: list[MachineTimeline]
    # When the pending tasks of each job would start, in seconds; those beyond the forecast are
    # missing.
    starts: dict[str, list[float]]
    # How many tasks of a shape fit, as far as that was computed.
    _fitting: dict[TaskShape, tuple[int, int]] = field(default_factory=dict)

    @cached_property
    def total_cpus(self) -> float:
        """Return the CPUs of all machines, at least one."""
        return max(1.0, sum(timeline.capacity.total.cpus for timeline in self.timelines))

    @cached_property
    def ready(self) -> list[FreeCapacity]:
        """Return the machines that are up."""
        return [timeline.capacity for timeline in self.timelines if timeline.capacity.ready_in <= 0]

    @cached_property
    def placed_count(self) -> int:
        """Return how many pending tasks were assigned to a machine."""
        return sum(len(rows) for rows in self.starts.values())

    def fitting(self, job: Job) -> tuple[int, int]:
        """Return how many tasks of a job fit on machines that are up, and on those that boot."""
        spec = job.spec
        shape = TaskShape(spec.resources, spec.machine_types, spec.zone, spec.spot)
        found = self._fitting.get(shape)
        if found is None:
            counts = [0, 0]
            for timeline in self.timelines:
                capacity = timeline.capacity
                if capacity.fits(spec.resources) and free_capacity.allowed(
                    job, capacity.machine_type, capacity.zone, capacity.spot
                ):
                    counts[capacity.ready_in > 0] += capacity.count(spec.resources)
            found = self._fitting[shape] = (counts[0], counts[1])
        return found


class _ProjectionKey(NamedTuple):
    """The parameters that a projection was computed for."""

    min_priority: int
    excluded_types: frozenset[str]
    # How many machines were booting.
    booting_count: int


class QueueProjections:
    """Computes projections, and caches the latest ones for a short time."""

    def __init__(
        self, state: PartitionState, usable_machines: UsableMachines, queue: PendingQueue
    ) -> None:
        self._records, self._context = state.records, state.records.context
        self._registry, self._machines = state.registry, state.registry.by_id
        self._stops, self._usable_machines, self._queue = state.stops, usable_machines, queue
        self._projections: deque[tuple[_ProjectionKey, datetime, timedelta, QueueProjection]] = (
            deque(maxlen=MAX_PROJECTIONS)
        )

    def projection(self, min_priority: int, excluded_types: frozenset[str]) -> QueueProjection:
        """Return the projection of the queue from a priority on, without some machine types.

        It is reused for a short time, since bid requests come by the dozen in a burst, and for
        longer if computing it took long.
        """
        now, key = (
            clock.now(),
            _ProjectionKey(min_priority, excluded_types, len(self._registry.booting)),
        )
        for cached_key, computed_at, window, projection in self._projections:
            if cached_key == key and now - computed_at < window:
                return projection
        booting = [
            replace(capacity)
            for capacity in self._registry.booting
            if capacity.id not in self._machines
        ]
        timelines = [
            timeline
            for timeline in self.timelines(booting)
            if timeline.capacity.machine_type not in excluded_types
        ]
        queue = [item for item in self._queue.pending() if item.job.spec.priority >= min_priority]
        starts = forecast.project(
            queue, timelines, self.run_seconds, self.max_forecast_tasks(timelines)
        )
        projection = QueueProjection(timelines, starts)
        self._projections.append(
            (
                key,
                now,
                max(MIN_REUSE_TIME, self._context.reuse_window(clock.now() - now)),
                projection,
            )
        )
        return projection

    @staticmethod
    def max_forecast_tasks(timelines: list[MachineTimeline]) -> int:
        """Return how many tasks of the queue a forecast covers.

        That is about as many as it takes to fill every machine once more.
        """
        return max(128, 6 * len(timelines))

    def run_seconds(self, job: Job) -> float:
        """Return how long a task of a job is expected to run."""
        return forecast.run_seconds(job, self._context.run_times.factor(job.spec.job_class))

    def _attempts_by_machine(self) -> dict[str, dict[TaskKey, tuple[JobSlice, Attempt]]]:
        # The record view's keys are plain tuples, which equal task keys.
        return cast(
            "dict[str, dict[TaskKey, tuple[JobSlice, Attempt]]]",
            self._records.attempts_by_machine(),
        )

    def timelines(self, additional: list[FreeCapacity]) -> list[MachineTimeline]:
        """Return the timelines of the machines: what runs on them and when that is expected to end.

        `additional` machines are empty.
        """
        now = clock.now()
        index = self._attempts_by_machine()
        stops = self._stops.by_task
        timelines = []
        run_times: dict[str, float | None] = {}
        for capacity in self._usable_machines.capacities():
            machine = self._machines[capacity.id]
            releases = []
            for key, (job_slice, attempt) in index.get(capacity.id, {}).items():
                if key in stops:
                    grace = stops[key].grace.total_seconds()
                    releases.append(Release(grace + 1.0, job_slice.resources))
                    continue
                if job_slice.job not in run_times:
                    job = self._context.view.jobs.get(job_slice.job)
                    run_times[job_slice.job] = (
                        None if job is None or job.spec.service else self.run_seconds(job)
                    )
                run = run_times[job_slice.job]
                if run is None:
                    continue
                reported = machine.tasks.get(key)
                if (
                    reported is not None
                    and reported.attempt == attempt.number
                    and reported.running_since is not None
                ):
                    elapsed = (now - reported.running_since).total_seconds()
                    # Once the estimate is exceeded it says little: the longer a task has run, the
                    # longer it may go on.
                    remaining = max(run - elapsed, 0.25 * elapsed, 1.0)
                else:
                    spec = self._context.view.jobs[job_slice.job].spec
                    remaining = run + capacity.image_fetch_seconds(spec.image, spec.image_gb)
                releases.append(Release(remaining, job_slice.resources))
            releases.sort(key=release_time)
            timelines.append(MachineTimeline(capacity, releases))
        return timelines + [MachineTimeline(capacity) for capacity in additional]
