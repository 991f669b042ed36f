"""A part's answer to a request: the paper's times, and real fit on machines instead of totals."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.bidding import casa
from roadbend.bidding.casa import Bid, Promises
from roadbend.bidding.messages import Ask
from roadbend.placement import forecast
from roadbend.placement import policy as placing
from roadbend.placement.layouts import Layout
from roadbend.placement.policy import Room
from roadbend.placement.runtime import PartRuntime
from roadbend.rental import policy as renting
from roadbend.rental.cloud import MAX_HIRED, MachineType
from roadbend.store import ranges
from roadbend.store.records import Job, Spec

# The load of a task whose run time nobody gave.
UNKNOWN = timedelta(seconds=60)


def length(spec: Spec) -> timedelta:
    return UNKNOWN if spec.expected <= clock.ZERO else spec.expected


def job_load(spec: Spec, tasks: int) -> float:
    return spec.need.cpus * length(spec).total_seconds() * tasks


def fetch_time(spec: Spec, machine_type: MachineType | None) -> timedelta:
    return timedelta(seconds=spec.image_gb / machine_type.pull) if machine_type else clock.ZERO


class Bidder:
    """Bids for one part while we own it."""

    def __init__(self, runtime: PartRuntime, node: str, closed, shadow: Promises):
        self._runtime, self._node, self._closed, self._shadow = runtime, node, closed, shadow

    def bid(self, ask: Ask, now: datetime) -> Bid | None:
        runtime, spec = self._runtime, ask.spec
        if spec.zone is not None and spec.zone != runtime.part:
            return None
        job = Job(ask.job, spec, clock.wall())
        dear = self._dear(job, ask)
        queue = runtime.queue.lately()
        own = sum(item.count for item in queue if item.job.id == ask.job)
        # What queues here comes first: what is left after it can start the asked job now.
        layout = runtime.layouts.of(spec.priority, frozenset(dear))
        lines = layout.lines
        cores, ready = layout.cores, layout.ready
        now_count, when_booted = self._fitting(job, layout)
        # All of a gang at once on machines' real free room, or it can't start now; of one that is
        # to be apart, what one part may run of it.
        whole = spec.task_count if spec.gang and not spec.apart else 1
        if now_count < whole:
            now_count = 0
        room = now_count + when_booted
        wait, line = (0.0, None) if now_count else forecast.earliest(job, lines)
        could_rent = self._rent(job, ask, dear)
        if could_rent is not None:
            # What waits here and found no place calls for machines first.
            waits = sum(item.count for item in queue) - layout.laid
            room += max(0, could_rent[1] - waits)
            if spec.gang:
                # Wider than one request rents: more requests follow.
                room = max(room, spec.task_count)
            if could_rent[0] < wait:
                wait, line = could_rent[0], None
        if wait == forecast.NEVER:
            return None
        # Slices fit the free room: what the team's limit or our own queue keeps waiting is not
        # asked for, or a huge array would pile up here range by range. A gang is held whole by one
        # part, and queues there while its team is at its limit.
        left = spec.task_count if spec.gang else self._team_left(job) - own
        now_count, room = min(now_count, left), min(max(room, 0 if own else 1), left)
        if room <= 0 or room < whole:
            return None
        if line is not None:
            fetch = timedelta(seconds=line.room.fetch(spec.image, spec.image_gb))
        elif could_rent is not None and not now_count:
            fetch = fetch_time(spec, could_rent[2])
        else:
            fetch = (
                clock.ZERO
                if self._cached(job, ready)
                else fetch_time(spec, self._fastest(job, ready))
            )
        load = sum(job_load(item.job.spec, item.count) for item in queue)
        bid = Bid(
            runtime.part,
            self._node,
            spec.expected + fetch + timedelta(seconds=wait),
            casa.load_time(load, cores),
            casa.load_time(self._shadow.load(now), cores),
            now_count,
            room,
        )
        self._shadow.add(ask.job, job_load(spec, min(ask.free, max(1, room))), ask.requests, now)
        return bid

    def average_queuing(self, now: datetime) -> timedelta:
        """Definition 4 for this part: of those that wait, else of those that were started."""
        runtime = self._runtime
        waiting = [now - runtime.queued.get(item.job.id, now) for item in runtime.queue.lately()]
        return casa.average_queuing(waiting, list(runtime.waits))

    def estimate(self, job: Job, now: datetime) -> timedelta:
        """What this part itself expects for a job that waits here: its run, and when the last of
        what waits can start; a slice is not over before its last task is."""
        runtime = self._runtime
        starts = self.starts(job)
        start = starts[-1] if starts else forecast.NEVER
        choices = renting.options(
            runtime.shared.machine_types.values(), runtime.part, self._closed()
        )
        option = renting.cheapest(
            placing.Pending(job, ((0, 1),), False), choices, runtime.part, job.spec.task_count
        )
        if option is not None:
            start = min(start, option.machine_type.startup.total_seconds())
        return job.spec.expected + timedelta(seconds=min(start, 3600.0))

    def starts(self, job: Job) -> list[float]:
        """When the tasks that wait here would begin, in seconds; never, for those beyond the
        forecast."""
        runtime = self._runtime
        starts = runtime.layouts.of(0, frozenset()).starts.get(job.id, [])
        return sorted(starts) + [forecast.NEVER] * (
            ranges.size(runtime.queue.unplaced(job)) - len(starts)
        )

    def _team_left(self, job: Job) -> int:
        left = self._runtime.shared.room_left(job.spec, self._runtime.part)
        # A full team's jobs queue all the same, a few tasks at a time.
        return max(left, 2)

    def _dear(self, job: Job, ask: Ask) -> set[str]:
        """Machine types that a service should not settle on, for as long as it can wait: it would
        hold a machine that costs much more a task than another type does."""
        if not job.spec.service:
            return set()
        shared = self._runtime.shared
        boot = max(
            (machine_type.startup for machine_type in shared.machine_types.values()),
            default=clock.ZERO,
        )
        if ask.waited >= shared.patience(job.spec, boot):
            return set()
        return renting.expensive_machine_types(
            job, shared.machine_types.values(), shared.operator.dear, self._runtime.part
        )

    def _fitting(self, job: Job, layout: Layout) -> tuple[int, int]:
        """How many tasks of a job fit on the machines that are up, and on those that boot."""
        if job.id not in self._runtime.avoid:
            return layout.fitting(job)
        booting = [line.room for line in layout.lines if line.room.ready_in > 0]
        return self._fit(job, layout.ready), self._fit(job, booting)

    def _fit(self, job: Job, rooms: list[Room]) -> int:
        return sum(
            room.count(job.spec.need)
            for room in rooms
            if placing.allowed(job, room.machine_type, room.zone, room.spot)
            and room.id not in self._runtime.avoid.get(job.id, ())
        )

    def _cached(self, job: Job, rooms: list[Room]) -> bool:
        return any(job.spec.image in room.images and self._fit(job, [room]) for room in rooms)

    def _rent(self, job: Job, ask: Ask, dear: set[str]) -> tuple[float, int, MachineType] | None:
        """Boot time, places and type of the cheapest machine that we believe we can hire.

        A part that could only hire dearly leaves a job to those who can do it cheaply, for as long
        as the job can wait: the paper's acceptance takes the responder's own preferences into
        account."""
        runtime, operator = self._runtime, self._runtime.shared.operator
        machine_types = runtime.shared.machine_types.values()
        choices = [
            o
            for o in renting.options(machine_types, runtime.part, self._closed())
            if o.machine_type.name not in dear
        ]
        item = placing.Pending(job, ((0, 1),), False)
        option = renting.cheapest(item, choices, runtime.part, ask.free)
        if option is None:
            return None
        price = renting.cost(item, option, runtime.part, ask.free)
        least = renting.least_cost(item, machine_types, ask.free)
        if price > least * operator.dear and ask.waited < operator.dear_wait:
            return None
        places = renting.empty_room("", option, runtime.part).count(job.spec.need)
        # As many as one request hires; where the cloud has fewer, it says so and the type is closed
        # here.
        return option.machine_type.startup.total_seconds(), places * MAX_HIRED, option.machine_type

    def _fastest(self, job: Job, rooms: list[Room]) -> MachineType | None:
        machine_types = self._runtime.shared.machine_types
        fitting = [
            machine_types[r.machine_type]
            for r in rooms
            if r.machine_type in machine_types and self._fit(job, [r])
        ]
        if not fitting:
            fitting = [
                machine_type
                for machine_type in machine_types.values()
                if self._runtime.part in machine_type.zones
            ]
        return max(fitting, key=lambda machine_type: machine_type.pull, default=None)
