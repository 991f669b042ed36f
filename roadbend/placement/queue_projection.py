"""The queue laid on a partition's machines: what bids, reoffers and estimates look at."""

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

# For how long a layout that was worked out may serve again, at the least.
REUSE = timedelta(milliseconds=600)
# Layouts that are kept, by what was asked for.
MAX_LAYOUTS = 4


@dataclass
class QueueProjection:
    """The machines with the queue laid on them."""

    timelines: list[MachineTimeline]
    # When the waiting tasks of each job would begin, in seconds; those beyond the forecast are
    # missing.
    starts: dict[str, list[float]]
    # How many tasks of a kind fit, as far as it was asked for.
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
        """Return how many waiting tasks found a place."""
        return sum(len(rows) for rows in self.starts.values())

    def fitting(self, job: Job) -> tuple[int, int]:
        """Return how many tasks of a job fit on machines that are up, and on those that boot."""
        spec = job.spec
        kind = TaskShape(spec.resources, spec.machine_types, spec.zone, spec.spot)
        found = self._fitting.get(kind)
        if found is None:
            counts = [0, 0]
            for timeline in self.timelines:
                capacity = timeline.capacity
                if capacity.fits(spec.resources) and free_capacity.allowed(
                    job, capacity.machine_type, capacity.zone, capacity.spot
                ):
                    counts[capacity.ready_in > 0] += capacity.count(spec.resources)
            found = self._fitting[kind] = (counts[0], counts[1])
        return found


class _Asked(NamedTuple):
    """What a projection was asked for."""

    least_priority: int
    without_types: frozenset[str]
    # How many machines booted then.
    booting: int


class QueueProjections:
    """Works projections out, and keeps the last ones for a moment."""

    def __init__(
        self, state: PartitionState, usable_machines: UsableMachines, queue: PendingQueue
    ) -> None:
        self._records, self._context = state.records, state.records.context
        self._registry, self._machines = state.registry, state.registry.by_id
        self._stops, self._usable_machines, self._queue = state.stops, usable_machines, queue
        self._projections: deque[tuple[_Asked, datetime, timedelta, QueueProjection]] = deque(
            maxlen=MAX_LAYOUTS
        )

    def projection(self, least: int, avoid: frozenset[str]) -> QueueProjection:
        """Return the machines with the queue from a priority on laid on them.

        One projection serves all that is asked of a moment, for in a burst bids come by the dozen;
        what took long to work out serves longer.
        """
        now, mark = clock.now(), _Asked(least, avoid, len(self._registry.booting))
        for key, at, window, projection in self._projections:
            if key == mark and now - at < window:
                return projection
        booting = [
            replace(capacity)
            for capacity in self._registry.booting
            if capacity.id not in self._machines
        ]
        timelines = [
            timeline
            for timeline in self.timelines(booting)
            if timeline.capacity.machine_type not in avoid
        ]
        queue = [item for item in self._queue.pending() if item.job.spec.priority >= least]
        starts = forecast.project(
            queue, timelines, self.run_seconds, self.max_forecast_tasks(timelines)
        )
        projection = QueueProjection(timelines, starts)
        self._projections.append(
            (mark, now, max(REUSE, self._context.reuse_window(clock.now() - now)), projection)
        )
        return projection

    @staticmethod
    def max_forecast_tasks(timelines: list[MachineTimeline]) -> int:
        """Return how far down the queue a forecast looks.

        That is to about where every machine has been filled anew.
        """
        return max(128, 6 * len(timelines))

    def run_seconds(self, job: Job) -> float:
        """Return how long a task of a job is thought to run."""
        return forecast.run_seconds(job, self._context.run_times.factor(job.spec.job_class))

    def _attempts_by_machine(self) -> dict[str, dict[TaskKey, tuple[JobSlice, Attempt]]]:
        # The record view's keys are plain tuples, which equal task keys.
        return cast(
            "dict[str, dict[TaskKey, tuple[JobSlice, Attempt]]]",
            self._records.attempts_by_machine(),
        )

    def timelines(self, more: list[FreeCapacity]) -> list[MachineTimeline]:
        """Return the machines with what runs on them and when that is thought to end."""
        now = clock.now()
        index = self._attempts_by_machine()
        stops = self._stops.by_task
        out = []
        lengths: dict[str, float | None] = {}
        for capacity in self._usable_machines.capacities():
            machine = self._machines[capacity.id]
            releases = []
            for key, (job_slice, attempt) in index.get(capacity.id, {}).items():
                if key in stops:
                    grace = stops[key].grace.total_seconds()
                    releases.append(Release(grace + 1.0, job_slice.resources))
                    continue
                if job_slice.job not in lengths:
                    job = self._context.view.jobs.get(job_slice.job)
                    lengths[job_slice.job] = (
                        None if job is None or job.spec.service else self.run_seconds(job)
                    )
                run = lengths[job_slice.job]
                if run is None:
                    continue
                seen = machine.tasks.get(key)
                if (
                    seen is not None
                    and seen.attempt == attempt.number
                    and seen.running_since is not None
                ):
                    spent = (now - seen.running_since).total_seconds()
                    # An estimate that has been passed says little: the longer it ran, the longer it
                    # may.
                    left = max(run - spent, 0.25 * spent, 1.0)
                else:
                    spec = self._context.view.jobs[job_slice.job].spec
                    left = run + capacity.image_fetch_seconds(spec.image, spec.image_gb)
                releases.append(Release(left, job_slice.resources))
            releases.sort(key=release_time)
            out.append(MachineTimeline(capacity, releases))
        return out + [MachineTimeline(capacity) for capacity in more]
