"""A partition's answer to a request: the paper's times, and real fit on machines instead of
totals."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.autoscaler import policy as renting
from roadbend.autoscaler.cloud import MAX_HIRED, MachineType
from roadbend.bidding import casa
from roadbend.bidding.casa import Bid, Promises
from roadbend.bidding.messages import BidRequest
from roadbend.placement import forecast, free_capacity
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.queue_projection import QueueProjection
from roadbend.store import ranges
from roadbend.store.records import Job, JobSpec


def fetch_time(spec: JobSpec, machine_type: MachineType | None) -> timedelta:
    return (
        timedelta(seconds=spec.image_gb / machine_type.fetch_gb_per_s)
        if machine_type
        else clock.ZERO
    )


class Responder:
    """Bids for one partition while we own it."""

    def __init__(self, leader: PartitionLeader, controller: str, closed, shadow: Promises):
        self._leader, self._controller, self._closed, self._shadow = (
            leader,
            controller,
            closed,
            shadow,
        )

    def bid(self, ask: BidRequest, now: datetime) -> Bid | None:
        leader, spec = self._leader, ask.spec
        if spec.zone is not None and spec.zone != leader.partition:
            return None
        job = Job(ask.job, spec, clock.wall())
        dear = self._dear(job, ask)
        queue = leader.queue.lately()
        own = sum(item.count for item in queue if item.job.id == ask.job)
        # What queues here comes first: what is left after it can start the asked job now.
        projection = leader.projections.of(spec.priority, frozenset(dear))
        timelines = projection.timelines
        cores, ready = projection.cores, projection.ready
        now_count, when_booted = self._fitting(job, projection)
        # All of a gang at once on machines' real free room, or it can't start now; of one that is
        # to be apart, what one partition may run of it.
        whole = spec.task_count if spec.gang and not spec.apart else 1
        if now_count < whole:
            now_count = 0
        capacity = now_count + when_booted
        wait, timeline = (0.0, None) if now_count else forecast.earliest(job, timelines)
        could_rent = self._rent(job, ask, dear)
        if could_rent is not None:
            # What waits here and found no place calls for machines first.
            waits = sum(item.count for item in queue) - projection.laid
            capacity += max(0, could_rent[1] - waits)
            if spec.gang:
                # Wider than one request rents: more requests follow.
                capacity = max(capacity, spec.task_count)
            if could_rent[0] < wait:
                wait, timeline = could_rent[0], None
        if wait == forecast.NEVER:
            return None
        # Slices fit the free room: what the team's limit or our own queue keeps waiting is not
        # asked for, or a huge array would pile up here range by range. A gang is held whole by one
        # partition, and queues there while its team is at its limit.
        left = spec.task_count if spec.gang else self._team_left(job) - own
        now_count, capacity = min(now_count, left), min(max(capacity, 0 if own else 1), left)
        if capacity <= 0 or capacity < whole:
            return None
        if timeline is not None:
            fetch = timedelta(seconds=timeline.capacity.fetch(spec.image, spec.image_gb))
        elif could_rent is not None and not now_count:
            fetch = fetch_time(spec, could_rent[2])
        else:
            fetch = (
                clock.ZERO
                if self._cached(job, ready)
                else fetch_time(spec, self._fastest(job, ready))
            )
        load = sum(casa.job_load(item.job.spec, item.count) for item in queue)
        bid = Bid(
            partition=leader.partition,
            controller=self._controller,
            job_time=spec.expected_duration + fetch + timedelta(seconds=wait),
            queue_time=casa.load_time(load, cores),
            shadow_time=casa.load_time(self._shadow.load(now), cores),
            startable_now=now_count,
            capacity=capacity,
        )
        self._shadow.add(
            ask.job, casa.job_load(spec, min(ask.tasks, max(1, capacity))), ask.requests, now
        )
        return bid

    def average_queuing(self, now: datetime) -> timedelta:
        """Definition 4 for this partition: of those that wait, else of those that were started."""
        leader = self._leader
        waiting = [leader.aging.waited(item.job.id, now) for item in leader.queue.lately()]
        return casa.average_queuing(waiting, list(leader.aging.recent_waits))

    def estimate(self, job: Job, now: datetime) -> timedelta:
        """What this partition itself expects for a job that waits here: its run, and when the last
        of what waits can start; a slice is not over before its last task is."""
        leader = self._leader
        starts = self.starts(job)
        start = starts[-1] if starts else forecast.NEVER
        choices = renting.options(
            leader.context.machine_types.values(), leader.partition, self._closed()
        )
        option = renting.cheapest(
            PendingTasks(job, ((0, 1),), False),
            choices,
            leader.partition,
            job.spec.task_count,
        )
        if option is not None:
            start = min(start, option.machine_type.startup.total_seconds())
        return job.spec.expected_duration + timedelta(seconds=min(start, 3600.0))

    def starts(self, job: Job) -> list[float]:
        """When the tasks that wait here would begin, in seconds; never, for those beyond the
        forecast."""
        leader = self._leader
        starts = leader.projections.of(0, frozenset()).starts.get(job.id, [])
        return sorted(starts) + [forecast.NEVER] * (
            ranges.size(leader.queue.unplaced(job)) - len(starts)
        )

    def _team_left(self, job: Job) -> int:
        left = self._leader.context.room_left(job.spec, self._leader.partition)
        # A full team's jobs queue all the same, a few tasks at a time.
        return max(left, 2)

    def _dear(self, job: Job, ask: BidRequest) -> set[str]:
        """Machine types that a service should not settle on, for as long as it can wait: it would
        hold a machine that costs much more a task than another type does."""
        if not job.spec.service:
            return set()
        context = self._leader.context
        boot = max(
            (machine_type.startup for machine_type in context.machine_types.values()),
            default=clock.ZERO,
        )
        if ask.waited >= context.patience(job.spec, boot):
            return set()
        return renting.expensive_machine_types(
            job, context.machine_types.values(), context.operator.dear, self._leader.partition
        )

    def _fitting(self, job: Job, projection: QueueProjection) -> tuple[int, int]:
        """How many tasks of a job fit on the machines that are up, and on those that boot."""
        if not self._leader.exclusions.failed_on(job.id):
            return projection.fitting(job)
        booting = [
            timeline.capacity for timeline in projection.timelines if timeline.capacity.ready_in > 0
        ]
        return self._fit(job, projection.ready), self._fit(job, booting)

    def _fit(self, job: Job, capacities: list[FreeCapacity]) -> int:
        return sum(
            capacity.count(job.spec.resources)
            for capacity in capacities
            if free_capacity.allowed(job, capacity.machine_type, capacity.zone, capacity.spot)
            and capacity.id not in self._leader.exclusions.failed_on(job.id)
        )

    def _cached(self, job: Job, capacities: list[FreeCapacity]) -> bool:
        return any(
            job.spec.image in capacity.images and self._fit(job, [capacity])
            for capacity in capacities
        )

    def _rent(
        self, job: Job, ask: BidRequest, dear: set[str]
    ) -> tuple[float, int, MachineType] | None:
        """Boot time, places and type of the cheapest machine that we believe we can hire.

        A partition that could only hire dearly leaves a job to those who can do it cheaply, for as
        long as the job can wait: the paper's acceptance takes the responder's own preferences into
        account."""
        leader, operator = self._leader, self._leader.context.operator
        machine_types = leader.context.machine_types.values()
        choices = [
            o
            for o in renting.options(machine_types, leader.partition, self._closed())
            if o.machine_type.name not in dear
        ]
        item = PendingTasks(job, ((0, 1),), False)
        option = renting.cheapest(item, choices, leader.partition, ask.tasks)
        if option is None:
            return None
        price = renting.cost(item, option, leader.partition, ask.tasks)
        least = renting.least_cost(item, machine_types, ask.tasks)
        if price > least * operator.dear and ask.waited < operator.dear_wait:
            return None
        places = renting.empty_room("", option, leader.partition).count(job.spec.resources)
        # As many as one request hires; where the cloud has fewer, it says so and the type is closed
        # here.
        return option.machine_type.startup.total_seconds(), places * MAX_HIRED, option.machine_type

    def _fastest(self, job: Job, capacities: list[FreeCapacity]) -> MachineType | None:
        machine_types = self._leader.context.machine_types
        fitting = [
            machine_types[r.machine_type]
            for r in capacities
            if r.machine_type in machine_types and self._fit(job, [r])
        ]
        if not fitting:
            fitting = [
                machine_type
                for machine_type in machine_types.values()
                if self._leader.partition in machine_type.zones
            ]
        return max(fitting, key=lambda machine_type: machine_type.fetch_gb_per_s, default=None)
