"""The responder's side of CASA for one partition: bids, and estimates for its own pending jobs.

Times are as defined in the paper. A partition's capacity is counted machine by machine, not by the
paper's totals, which include free capacity in fragments too small for a task.
"""

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.bidding import casa, machine_fit
from roadbend.bidding.casa import Bid
from roadbend.bidding.messages import BidRequest
from roadbend.bidding.promises import Promises
from roadbend.bidding.scale_out import ScaleOutEstimator, ScaleOutOffer, UnavailableKinds
from roadbend.placement import forecast
from roadbend.placement.forecast import MachineTimeline
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.queue_projection import QueueProjection
from roadbend.store import ranges
from roadbend.store.records import Job, JobSpec

# How many tasks of a job a partition bids for even if the job's team is at its quota.
MIN_TEAM_TASKS = 2
# The longest wait that an estimate states, in seconds.
MAX_WAIT_SECONDS = 3600.0


class _Estimate(NamedTuple):
    """How many tasks of a job a partition can run, and when."""

    # How many tasks it can start now, and how many it can accept in total.
    startable_now: int
    capacity: int
    # Seconds until the first task can start; `forecast.NEVER` if none can.
    wait: float
    # The machine on which that task starts; None if it is any that is up, or one to be created.
    timeline: MachineTimeline | None
    scale_out: ScaleOutOffer | None


class Responder:
    """Bids for one partition that this controller leads."""

    def __init__(
        self,
        leader: PartitionLeader,
        controller: str,
        unavailable_kinds: UnavailableKinds,
        promises: Promises,
    ) -> None:
        self._leader, self._controller, self._promises = leader, controller, promises
        self._scale_out = ScaleOutEstimator(leader, unavailable_kinds)

    def bid(self, request: BidRequest, now: datetime) -> Bid | None:
        """Return the partition's bid, or None if it can't run the job: algorithm 2.

        The bid is a promise, which adds to the partition's shadow load. `now` is a monotonic
        instant.
        """
        leader, spec = self._leader, request.spec
        if spec.zone is not None and spec.zone != leader.partition:
            return None
        job = Job(request.job, spec, clock.wall())
        expensive = frozenset(self._scale_out.expensive_machine_types(job, request.waited))
        queue = leader.queue.recent()
        # The partition's own pending tasks go first: the bid offers the capacity that they leave.
        projection = leader.projections.projection(spec.priority, expensive)
        estimate = self._estimate(job, request, queue, projection, expensive)
        if estimate.wait == forecast.NEVER:
            return None
        estimate = self._apply_team_limit(job, estimate, queue)
        if estimate.capacity <= 0 or estimate.capacity < _tasks_at_once(spec):
            return None
        fetch = self._fetch_time(job, estimate, projection.ready)
        queue_load = sum(casa.job_load(item.job.spec, item.count) for item in queue)
        bid = Bid(
            partition=leader.partition,
            controller=self._controller,
            job_time=spec.expected_duration + fetch + timedelta(seconds=estimate.wait),
            queue_time=casa.load_time(queue_load, projection.total_cpus),
            shadow_time=casa.load_time(self._promises.load(now), projection.total_cpus),
            startable_now=estimate.startable_now,
            capacity=estimate.capacity,
        )
        promised = casa.job_load(spec, min(request.tasks, max(1, estimate.capacity)))
        self._promises.add(request.job, promised, request.requests, now)
        return bid

    def average_queuing(self, now: datetime) -> timedelta:
        """Return the partition's average queuing time (definition 4).

        The waits of recently started tasks stand for those of the paper's executed jobs.
        """
        leader = self._leader
        waiting = [leader.aging.waited(item.job.id, now) for item in leader.queue.recent()]
        return casa.average_queuing(waiting, list(leader.aging.recent_waits))

    def estimate_response_time(self, job: Job) -> timedelta:
        """Return the response time that the partition expects for a job that waits in it.

        That is the job's duration plus the wait until the last of its pending tasks can start: a
        slice is not done before its last task is.
        """
        starts = self.start_times(job)
        wait = starts[-1] if starts else forecast.NEVER
        startup = self._scale_out.startup_for(job)
        if startup is not None:
            wait = min(wait, startup)
        return job.spec.expected_duration + timedelta(seconds=min(wait, MAX_WAIT_SECONDS))

    def start_times(self, job: Job) -> list[float]:
        """Return when the job's pending tasks would start here, in seconds from now, ascending.

        For tasks beyond the forecast that is `forecast.NEVER`.
        """
        leader = self._leader
        known = leader.projections.projection(0, frozenset()).starts.get(job.id, [])
        unknown = ranges.size(leader.queue.unplaced(job)) - len(known)
        return sorted(known) + [forecast.NEVER] * unknown

    def _estimate(
        self,
        job: Job,
        request: BidRequest,
        queue: Sequence[PendingTasks],
        projection: QueueProjection,
        expensive: frozenset[str],
    ) -> _Estimate:
        """Estimate what existing machines and those that could be created allow."""
        startable_now, fit_on_booting = machine_fit.count_fitting(self._leader, job, projection)
        if startable_now < _tasks_at_once(job.spec):
            startable_now = 0
        capacity = startable_now + fit_on_booting
        wait, timeline = (
            (0.0, None) if startable_now else forecast.earliest_start(job, projection.timelines)
        )
        scale_out = self._scale_out.offer(job, request, expensive)
        if scale_out is not None:
            # New machines go first to the pending tasks that no existing machine can take.
            unplaced_count = sum(item.count for item in queue) - projection.placed_count
            capacity += max(0, scale_out.capacity - unplaced_count)
            if job.spec.gang:
                # A gang may need more machines than one request creates: more requests follow.
                capacity = max(capacity, job.spec.task_count)
            if scale_out.startup < wait:
                wait, timeline = scale_out.startup, None
        return _Estimate(startable_now, capacity, wait, timeline, scale_out)

    def _apply_team_limit(
        self, job: Job, estimate: _Estimate, queue: Sequence[PendingTasks]
    ) -> _Estimate:
        """Limit an estimate to the number of tasks that the job's team may start here.

        The partition doesn't bid for tasks that would have to wait for the team's quota or behind
        the partition's own queue, or a huge array would accumulate here range by range. A gang is
        exempt: one partition holds all of it, and it queues there while its team is at its quota.
        """
        waiting_here = sum(item.count for item in queue if item.job.id == job.id)
        spec = job.spec
        limit = spec.task_count if spec.gang else self._team_limit(spec) - waiting_here
        # One task may queue here if none of the job's tasks does yet.
        capacity = max(estimate.capacity, 0 if waiting_here else 1)
        return estimate._replace(
            startable_now=min(estimate.startable_now, limit), capacity=min(capacity, limit)
        )

    def _team_limit(self, spec: JobSpec) -> int:
        """Return how many tasks of a job its team may start here.

        Jobs of a team at its quota may still queue a few tasks at a time.
        """
        startable = self._leader.context.fair_share.startable_tasks(spec, self._leader.partition)
        return max(startable, MIN_TEAM_TASKS)

    def _fetch_time(
        self, job: Job, estimate: _Estimate, ready: Sequence[FreeCapacity]
    ) -> timedelta:
        """Return how long the machine on which the first task starts takes to fetch its image.

        `ready` is the free capacity of the machines that are up.
        """
        leader, spec = self._leader, job.spec
        if estimate.timeline is not None:
            capacity = estimate.timeline.capacity
            return timedelta(seconds=capacity.image_fetch_seconds(spec.image, spec.image_gb))
        if estimate.scale_out is not None and not estimate.startable_now:
            return machine_fit.fetch_time(spec, estimate.scale_out.machine_type)
        if machine_fit.has_image(leader, job, ready):
            return clock.ZERO
        fastest = machine_fit.fastest_fetching_type(leader, job, ready)
        return machine_fit.fetch_time(spec, fastest)


def _tasks_at_once(spec: JobSpec) -> int:
    """Return how many tasks of a job a partition must be able to start together.

    All tasks of a gang start together in one partition, except with anti-affinity, where a
    partition may run a part of them.
    """
    return spec.task_count if spec.gang and not spec.apart else 1
