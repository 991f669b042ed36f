"""The community-aware scheduling algorithm (CASA) as pure functions.

Definitions and algorithms are numbered as in Huang et al., "Exploring decentralized dynamic
scheduling for grids and clouds using the community-aware scheduling algorithm", sections 3 and 4.
The paper's node is a partition here; docs/design.md says what was kept and what was changed.

Units: times are durations, loads core-seconds; `cores` are those of a partition's machines.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta

from roadbend.clock import ZERO
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Job, JobSpec

# The duration assumed for a task whose user stated none.
UNKNOWN_DURATION = timedelta(seconds=60)
# Response times below this have the same weight in the draw.
MIN_RESPONSE_TIME = timedelta(milliseconds=50)
# Upper bound on the time in which a load is processed, and lower bound on the rate.
MAX_LOAD_SECONDS = 1e7
MIN_RATE = 1e-9
# How many tasks of a job one draw allocates at most.
MAX_SLICE_TASKS = 64

# The tasks that each partition gets.
Shares = dict[str, Ranges]


@dataclass(frozen=True, kw_only=True)
class Bid:
    """What a partition promises for a job: the paper's accept message (section 4.2).

    The three times are those of algorithm 2, lines 3 to 5: for the job itself, for the partition's
    pending queue, and for its shadow load.
    """

    partition: str
    controller: str
    job_time: timedelta
    queue_time: timedelta
    shadow_time: timedelta
    # How many tasks of the job the partition can start now, and how many it accepts in total.
    startable_now: int
    capacity: int


def expected_duration(spec: JobSpec) -> timedelta:
    """Return how long one task of a job is expected to run, the paper's `length`."""
    if spec.expected_duration <= ZERO:
        return UNKNOWN_DURATION
    return spec.expected_duration


def job_load(spec: JobSpec, tasks: int) -> float:
    """Return the load of `tasks` tasks of a job in core-seconds (section 3), at speed 1."""
    return spec.resources.cpus * expected_duration(spec).total_seconds() * tasks


def load_time(load: float, cores: float, speed: float = 1.0) -> timedelta:
    """Return how long a load takes: algorithm 2, lines 4 and 5.

    `load` is that of definition 1 or 2, in core-seconds.
    """
    return timedelta(seconds=min(MAX_LOAD_SECONDS, load / max(MIN_RATE, cores * speed)))


def response_time(bid: Bid, omega: float) -> timedelta:
    """Return a bid's response time, in which `omega` weights the shadow load (definition 3)."""
    return bid.job_time + bid.queue_time + bid.shadow_time * omega


def draw(bids: Sequence[Bid], omega: float, rng: random.Random) -> Bid | None:
    """Draw one bid with a probability inversely proportional to its response time (definition 3).

    Returns None without bids; `rng` is not used then.
    """
    if not bids:
        return None
    weights = [
        1.0 / max(MIN_RESPONSE_TIME, response_time(bid, omega)).total_seconds() for bid in bids
    ]
    return rng.choices(bids, weights)[0]


def allocate(
    job: Job,
    bids: Sequence[Bid],
    omega: float,
    rng: random.Random,
    time_left: timedelta | None = None,
) -> Shares:
    """Draw which partitions get which of a job's unassigned tasks (algorithm 3).

    The paper draws one node for a whole job. Here a job is allocated in slices, except for jobs
    whose tasks must all run in one partition and for gangs with anti-affinity. Partitions that can
    start tasks now take precedence. No partition gets more tasks than the job's zone cap.

    `time_left` is the time until the job is due; None without a deadline. `bids` has at most one
    bid for each partition.
    """
    spec = job.spec
    if not job.unassigned:
        return {}
    if spec.gang and spec.apart and spec.task_count > 1:
        return _allocate_gang_shares(job, bids, omega, rng)
    if spec.together or spec.gang:
        return _allocate_whole(job, bids, omega, rng)
    return _allocate_slices(job, bids, omega, rng, time_left)


def _allocate_slices(
    job: Job,
    bids: Sequence[Bid],
    omega: float,
    rng: random.Random,
    time_left: timedelta | None,
) -> Shares:
    """Draw a partition for one slice after the other, until no bidder has capacity left."""
    remaining = _RemainingCapacity(job, bids)
    unassigned = job.unassigned
    shares: Shares = {}
    while unassigned:
        startable = remaining.startable_bids()
        candidates = startable or remaining.bids_with_capacity()
        chosen = draw(_bids_in_time(candidates, omega, time_left), omega, rng)
        if chosen is None:
            break
        partition = chosen.partition
        tasks = ranges.first(unassigned, remaining.slice_size(partition, bool(startable)))
        shares[partition] = ranges.union(shares.get(partition, ()), tasks)
        unassigned = ranges.minus(unassigned, tasks)
        remaining.deduct_slice(partition, ranges.size(tasks), bool(startable))
    return shares


def _bids_in_time(bids: list[Bid], omega: float, time_left: timedelta | None) -> list[Bid]:
    """Return the bids that promise to meet the deadline, or all of them if none does.

    The inverse weights alone hardly distinguish a partition that is just in time from one that is
    just too late.
    """
    in_time = [bid for bid in bids if time_left is None or response_time(bid, omega) <= time_left]
    return in_time or bids


class _RemainingCapacity:
    """The bidders' remaining capacity, in tasks, while a job's slices are drawn."""

    def __init__(self, job: Job, bids: Sequence[Bid]) -> None:
        self._bids = bids
        self._capacity: dict[str, int] = {}
        for bid in bids:
            # Terminated tasks need not count against the zone cap, but counting them needs no
            # evidence of termination.
            zone_left = job.spec.zone_cap - ranges.size(job.allocation.get(bid.partition, ()))
            self._capacity[bid.partition] = max(0, min(bid.capacity, zone_left))
        self._startable_now = {
            bid.partition: min(bid.startable_now, self._capacity[bid.partition]) for bid in bids
        }

    def startable_bids(self) -> list[Bid]:
        """Return the bids of the partitions that can start more tasks now."""
        startable, capacity = self._startable_now, self._capacity
        return [
            bid
            for bid in self._bids
            if startable[bid.partition] > 0 and capacity[bid.partition] > 0
        ]

    def bids_with_capacity(self) -> list[Bid]:
        """Return the bids of the partitions that accept more tasks, to start now or later."""
        return [bid for bid in self._bids if self._capacity[bid.partition] > 0]

    def slice_size(self, partition: str, starts_now: bool) -> int:
        """Return how many tasks a partition's next slice has at most."""
        capacity = self._capacity[partition]
        wanted = self._startable_now[partition] if starts_now else capacity
        return min(wanted, capacity, MAX_SLICE_TASKS)

    def deduct_slice(self, partition: str, tasks: int, starts_now: bool) -> None:
        """Deduct a slice of `tasks` tasks from the capacity of a partition that gets it."""
        capacity = self._capacity
        self._startable_now[partition] -= min(self._startable_now[partition], tasks)
        capacity[partition] -= tasks
        if starts_now:
            return
        # The bid does not include the load of the slice just drawn: the next slice is drawn among
        # the other partitions as long as any has capacity.
        if any(left > 0 for other, left in capacity.items() if other != partition):
            capacity[partition] = 0


def _allocate_whole(job: Job, bids: Sequence[Bid], omega: float, rng: random.Random) -> Shares:
    """Draw one partition for all tasks of a job that must run in the same partition."""
    holders = [partition for partition, tasks in job.allocation.items() if tasks]
    if holders:
        holder = holders[0]
        return {holder: job.unassigned} if any(bid.partition == holder for bid in bids) else {}
    if job.done:
        # Only the partition that held the job knows its zone, and partitions never release a slice
        # that has started.
        return {}
    count = ranges.size(job.unassigned)
    able = [bid for bid in bids if bid.capacity >= count]
    startable = [bid for bid in able if bid.startable_now >= count]
    chosen = draw(startable or able, omega, rng)
    return {} if chosen is None else {chosen.partition: job.unassigned}


def _allocate_gang_shares(
    job: Job, bids: Sequence[Bid], omega: float, rng: random.Random
) -> Shares:
    """Draw partitions for all tasks of a gang with anti-affinity, or for none of them.

    No partition gets more than the zone cap. Partitions get what they can start now if that is
    enough for the whole gang, else up to their total capacity.
    """
    if job.allocation or job.done:
        return {}
    spec = job.spec
    startable = {bid.partition: min(bid.startable_now, spec.zone_cap) for bid in bids}
    capacity = {bid.partition: min(bid.capacity, spec.zone_cap) for bid in bids}
    limits = startable if sum(startable.values()) >= spec.task_count else capacity
    if sum(limits.values()) < spec.task_count:
        return {}
    unassigned, shares = job.unassigned, Shares()
    candidates = [bid for bid in bids if limits[bid.partition] > 0]
    while unassigned and (chosen := draw(candidates, omega, rng)) is not None:
        candidates.remove(chosen)
        shares[chosen.partition] = ranges.first(unassigned, limits[chosen.partition])
        unassigned = ranges.minus(unassigned, shares[chosen.partition])
    return shares


def average_queuing(waiting: Sequence[timedelta], executed: Sequence[timedelta]) -> timedelta:
    """Return a partition's average queuing time (definition 4).

    It is the average over the jobs that wait, else over those that were executed, else zero.
    """
    times = waiting or executed
    return sum(times, ZERO) / len(times) if times else ZERO


def relative_delay(wait: timedelta, average: timedelta) -> float:
    """Return a job's relative queuing delay (definition 5); zero if the average is zero."""
    return wait / average if average > ZERO else 0.0


def accepts_reschedule(
    response: timedelta,
    requester_response: timedelta,
    average: timedelta,
    requester_average: timedelta,
    varpi: float,
) -> bool:
    """Return whether a partition bids for a job that waits elsewhere: both tests of algorithm 5.

    The job's response time must be shorter in the bidding partition than in the requester's, and so
    must the average queuing time, weighted by `varpi`.
    """
    return response < requester_response and average * varpi < requester_average
