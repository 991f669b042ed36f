"""The responder's side of CASA for one partition: bids, and what it expects for its own jobs.

Times are the paper's. What a partition can take is counted on its machines, one by one, not by the
paper's totals: these hide free capacity in pieces that are too small.
"""

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.bidding import casa, machine_fit
from roadbend.bidding.casa import Bid
from roadbend.bidding.messages import BidRequest
from roadbend.bidding.promises import Promises
from roadbend.bidding.scale_out import ScaleOut, ScaleOutOffer, UnavailableKinds
from roadbend.placement import forecast
from roadbend.placement.forecast import MachineTimeline
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.queue_projection import QueueProjection
from roadbend.store import ranges
from roadbend.store.records import Job, JobSpec

# How many tasks of a job a partition asks for although the job's team is at its limit.
MIN_TEAM_TASKS = 2
# The longest wait that an estimate states, in seconds.
MAX_WAIT_SECONDS = 3600.0


class _Prospect(NamedTuple):
    """What a partition can do for a job."""

    # How many tasks it can start now, and how many it can take in all.
    startable_now: int
    capacity: int
    # Seconds until the first task can start; `forecast.NEVER` if none can.
    wait: float
    # The machine on which that task starts; None for any that is up, and for one to be created.
    timeline: MachineTimeline | None
    scale_out: ScaleOutOffer | None


class Responder:
    """Bids for one partition that this controller leads."""

    def __init__(
        self,
        leader: PartitionLeader,
        controller: str,
        unavailable_kinds: UnavailableKinds,
        shadow: Promises,
    ) -> None:
        self._leader, self._controller, self._shadow = leader, controller, shadow
        self._scale_out = ScaleOut(leader, unavailable_kinds)

    def bid(self, request: BidRequest, now: datetime) -> Bid | None:
        """Return the partition's bid, or None if it can't run the job: algorithm 2.

        The bid is a promise, which adds to the partition's shadow load. `now` is a steady instant.
        """
        leader, spec = self._leader, request.spec
        if spec.zone is not None and spec.zone != leader.partition:
            return None
        job = Job(request.job, spec, clock.wall())
        expensive = frozenset(self._scale_out.expensive_machine_types(job, request.waited))
        queue = leader.queue.lately()
        # What waits here goes first: the job is offered what that leaves.
        projection = leader.projections.of(spec.priority, expensive)
        prospect = self._prospect(job, request, queue, projection, expensive)
        if prospect.wait == forecast.NEVER:
            return None
        prospect = self._limit(job, prospect, queue)
        if prospect.capacity <= 0 or prospect.capacity < _tasks_at_once(spec):
            return None
        fetch = self._fetch_time(job, prospect, projection.ready)
        queue_load = sum(casa.job_load(item.job.spec, item.count) for item in queue)
        bid = Bid(
            partition=leader.partition,
            controller=self._controller,
            job_time=spec.expected_duration + fetch + timedelta(seconds=prospect.wait),
            queue_time=casa.load_time(queue_load, projection.cores),
            shadow_time=casa.load_time(self._shadow.load(now), projection.cores),
            startable_now=prospect.startable_now,
            capacity=prospect.capacity,
        )
        promised = casa.job_load(spec, min(request.tasks, max(1, prospect.capacity)))
        self._shadow.add(request.job, promised, request.requests, now)
        return bid

    def average_queuing(self, now: datetime) -> timedelta:
        """Return the partition's average queuing time (definition 4).

        Jobs whose tasks were started count as the paper's executed jobs.
        """
        leader = self._leader
        waiting = [leader.aging.waited(item.job.id, now) for item in leader.queue.lately()]
        return casa.average_queuing(waiting, list(leader.aging.recent_waits))

    def estimate_response_time(self, job: Job) -> timedelta:
        """Return the response time that the partition expects for a job that waits in it.

        That is the job's duration, and the wait until the last of its waiting tasks can start: a
        slice is not over before its last task is.
        """
        starts = self.start_times(job)
        wait = starts[-1] if starts else forecast.NEVER
        startup = self._scale_out.startup_for(job)
        if startup is not None:
            wait = min(wait, startup)
        return job.spec.expected_duration + timedelta(seconds=min(wait, MAX_WAIT_SECONDS))

    def start_times(self, job: Job) -> list[float]:
        """Return when the job's tasks that wait here would start, in seconds from now, ascending.

        For tasks beyond the forecast that is `forecast.NEVER`.
        """
        leader = self._leader
        known = leader.projections.of(0, frozenset()).starts.get(job.id, [])
        unknown = ranges.size(leader.queue.unplaced(job)) - len(known)
        return sorted(known) + [forecast.NEVER] * unknown

    def _prospect(
        self,
        job: Job,
        request: BidRequest,
        queue: Sequence[PendingTasks],
        projection: QueueProjection,
        expensive: frozenset[str],
    ) -> _Prospect:
        """Return what machines allow: those that there are, and those that could be created."""
        startable_now, fit_on_booting = machine_fit.count_fitting(self._leader, job, projection)
        if startable_now < _tasks_at_once(job.spec):
            startable_now = 0
        capacity = startable_now + fit_on_booting
        wait, timeline = (
            (0.0, None) if startable_now else forecast.earliest(job, projection.timelines)
        )
        scale_out = self._scale_out.offer(job, request, expensive)
        if scale_out is not None:
            # What waits here and found no place calls for machines first.
            displaced = sum(item.count for item in queue) - projection.laid
            capacity += max(0, scale_out.capacity - displaced)
            if job.spec.gang:
                # A gang may be wider than what one request creates: more requests follow.
                capacity = max(capacity, job.spec.task_count)
            if scale_out.startup < wait:
                wait, timeline = scale_out.startup, None
        return _Prospect(startable_now, capacity, wait, timeline, scale_out)

    def _limit(self, job: Job, prospect: _Prospect, queue: Sequence[PendingTasks]) -> _Prospect:
        """Limit a prospect to what the job's team may start here.

        A slice fits the free capacity: what the team's quota or the partition's own queue keeps
        waiting is not asked for, or a huge array would pile up here range by range. A gang is held
        whole by one partition, and queues there while its team is at its quota.
        """
        waiting_here = sum(item.count for item in queue if item.job.id == job.id)
        spec = job.spec
        limit = spec.task_count if spec.gang else self._team_limit(spec) - waiting_here
        # A job that doesn't wait here yet may queue with one task.
        capacity = max(prospect.capacity, 0 if waiting_here else 1)
        return prospect._replace(
            startable_now=min(prospect.startable_now, limit), capacity=min(capacity, limit)
        )

    def _team_limit(self, spec: JobSpec) -> int:
        """Return how many tasks of a job its team may start here.

        The jobs of a team at its quota queue all the same, a few tasks at a time.
        """
        startable = self._leader.context.fair_share.startable_tasks(spec, self._leader.partition)
        return max(startable, MIN_TEAM_TASKS)

    def _fetch_time(
        self, job: Job, prospect: _Prospect, ready: Sequence[FreeCapacity]
    ) -> timedelta:
        """Return how long the machine on which the first task starts takes to fetch its image.

        `ready` are the machines that are up.
        """
        leader, spec = self._leader, job.spec
        if prospect.timeline is not None:
            capacity = prospect.timeline.capacity
            return timedelta(seconds=capacity.fetch(spec.image, spec.image_gb))
        if prospect.scale_out is not None and not prospect.startable_now:
            return machine_fit.fetch_time(spec, prospect.scale_out.machine_type)
        if machine_fit.has_image(leader, job, ready):
            return clock.ZERO
        fastest = machine_fit.fastest_fetching_type(leader, job, ready)
        return machine_fit.fetch_time(spec, fastest)


def _tasks_at_once(spec: JobSpec) -> int:
    """Return how many tasks of a job a partition must start at once, or start none.

    A gang goes to the free capacity of one partition whole; of one with anti-affinity a partition
    may run but a share.
    """
    return spec.task_count if spec.gang and not spec.apart else 1
