"""The community-aware scheduling algorithm as pure functions.

Names and numbers are those of Huang et al., sections 3 and 4; docs/design.md says what was kept and
what was changed. Times here are durations of work; `cores` are those of a partition's machines."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend.clock import ZERO
from roadbend.store import ranges
from roadbend.store.records import Job

LEAST = timedelta(milliseconds=50)


@dataclass(frozen=True)
class Bid:
    """An accept message: what a partition promises for a job (section 4.2)."""

    partition: str
    controller: str
    job_time: timedelta
    queue_time: timedelta
    shadow_time: timedelta
    # Tasks of this job that it can start now, and that it could take in all.
    startable_now: int
    capacity: int


def load_time(load: float, cores: float, speed: float = 1.0) -> timedelta:
    """Definitions 1 and 2 divided as in algorithm 2: load over cores times speed."""
    return timedelta(seconds=min(1e7, load / max(1e-9, cores * speed)))


def response(bid: Bid, omega: float) -> timedelta:
    return bid.job_time + bid.queue_time + bid.shadow_time * omega


def draw(bids: Sequence[Bid], omega: float, rng: random.Random) -> Bid | None:
    """Definition 3: the chance is in inverse proportion to the response time."""
    if not bids:
        return None
    weights = [1.0 / max(LEAST, response(bid, omega)).total_seconds() for bid in bids]
    return rng.choices(bids, weights)[0]


class Promises:
    """The shadow queue: each promise counts one over the requests sent. Revocations get lost, so a
    promise also ends by itself."""

    def __init__(self, incarnation: timedelta, most: int = 4096):
        self._life, self._most = incarnation, most
        self._rows: dict[str, tuple[float, datetime]] = {}

    def add(self, job: str, load: float, requests: int, now: datetime) -> None:
        self._rows.pop(job, None)
        while len(self._rows) >= self._most:
            self._rows.pop(next(iter(self._rows)))
        self._rows[job] = (load / max(1, requests), now + self._life)

    def revoke(self, job: str) -> None:
        self._rows.pop(job, None)

    def load(self, now: datetime) -> float:
        self._rows = {job: row for job, row in self._rows.items() if row[1] > now}
        return sum(row[0] for row in self._rows.values())


def allocate(
    job: Job,
    bids: Sequence[Bid],
    omega: float,
    rng: random.Random,
    slice_most: int = 64,
    left: timedelta | None = None,
) -> dict[str, ranges.Ranges]:
    """Which partition gets which of the job's free tasks, by slices. Among the partitions that can
    start some now, one of those wins; only when there is none is one of all drawn. Zone caps hold
    throughout.

    `left`: what is left until the job is due. Where some bids promise to be in time, those that
    don't are not drawn: an inverse weight hardly tells a partition just in time from one just too
    late."""
    spec = job.spec
    free = job.unassigned
    if not free:
        return {}
    if spec.gang and spec.apart and spec.task_count > 1:
        return _apart(job, bids, omega, rng)
    if spec.together or spec.gang:
        return _whole(job, bids, omega, rng)
    capacity = {}
    for bid in bids:
        cap = spec.zone_cap - ranges.size(job.allocation.get(bid.partition, ()))
        # Tasks that are over no longer count against a zone, but keeping to the cap needs no proof.
        capacity[bid.partition] = max(0, min(bid.capacity, cap))
    now = {bid.partition: min(bid.startable_now, capacity[bid.partition]) for bid in bids}
    out: dict[str, ranges.Ranges] = {}
    while free:
        ready = [bid for bid in bids if now[bid.partition] > 0 and capacity[bid.partition] > 0]
        able = ready or [bid for bid in bids if capacity[bid.partition] > 0]
        chosen = draw(
            [bid for bid in able if left is None or response(bid, omega) <= left] or able,
            omega,
            rng,
        )
        if chosen is None:
            break
        partition = chosen.partition
        count = min(
            now[partition] if ready else capacity[partition], capacity[partition], slice_most
        )
        piece = ranges.first(free, count)
        out[partition] = ranges.union(out.get(partition, ()), piece)
        free = ranges.minus(free, piece)
        got = ranges.size(piece)
        now[partition] -= min(now[partition], got)
        capacity[partition] -= got
        if not ready:
            # The load just drawn is not in the bid: the next slice is drawn among the others first.
            capacity[partition] = (
                0
                if any(r > 0 for p, r in capacity.items() if p != partition)
                else capacity[partition]
            )
    return out


def _whole(
    job: Job, bids: Sequence[Bid], omega: float, rng: random.Random
) -> dict[str, ranges.Ranges]:
    held = [partition for partition, rs in job.allocation.items() if rs]
    if held:
        return {held[0]: job.unassigned} if any(bid.partition == held[0] for bid in bids) else {}
    if job.done:
        # Its zone is known only to the partition that held it; partitions never give back started
        # slices.
        return {}
    count = ranges.size(job.unassigned)
    able = [bid for bid in bids if bid.capacity >= count]
    ready = [bid for bid in able if bid.startable_now >= count]
    chosen = draw(ready or able, omega, rng)
    return {} if chosen is None else {chosen.partition: job.unassigned}


def _apart(
    job: Job, bids: Sequence[Bid], omega: float, rng: random.Random
) -> dict[str, ranges.Ranges]:
    """Shares of a gang that is to be apart: all of it is given out at once, or nothing. As ever,
    partitions that can start their shares now come first, and the draw is by inverse time."""
    if job.allocation or job.done:
        return {}
    now = {bid.partition: min(bid.startable_now, job.spec.zone_cap) for bid in bids}
    capacity = {bid.partition: min(bid.capacity, job.spec.zone_cap) for bid in bids}
    amounts = now if sum(now.values()) >= job.spec.task_count else capacity
    if sum(amounts.values()) < job.spec.task_count:
        return {}
    free, open_to, out = job.unassigned, [bid for bid in bids if amounts[bid.partition] > 0], {}
    while free:
        chosen = draw(open_to, omega, rng)
        open_to.remove(chosen)
        out[chosen.partition] = ranges.first(free, amounts[chosen.partition])
        free = ranges.minus(free, out[chosen.partition])
    return out


def average_queuing(waiting: Sequence[timedelta], executed: Sequence[timedelta]) -> timedelta:
    """Definition 4: of those that wait, else of those that were executed, else zero."""
    rows = waiting or executed
    return sum(rows, ZERO) / len(rows) if rows else ZERO


def relative_delay(wait: timedelta, average: timedelta) -> float:
    """Definition 5."""
    return wait / average if average > ZERO else 0.0


def accepts_reoffer(
    estimate: timedelta,
    theirs: timedelta,
    average: timedelta,
    their_average: timedelta,
    varpi: float,
) -> bool:
    """Both tests of algorithm 5."""
    return estimate < theirs and average * varpi < their_average
