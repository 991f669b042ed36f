"""The community-aware scheduling algorithm as pure functions.

Names and numbers are those of Huang et al., sections 3 and 4; docs/design.md says what was kept and
what was changed. Times here are durations of work; `cores` are those of a part's machines."""

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
    """An accept message: what a part promises for a job (section 4.2)."""

    part: str
    node: str
    job_time: timedelta
    queue_time: timedelta
    shadow_time: timedelta
    # Tasks of this job that it can start now, and that it could take in all.
    now: int
    room: int


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


def allot(
    job: Job,
    bids: Sequence[Bid],
    omega: float,
    rng: random.Random,
    slice_most: int = 64,
    left: timedelta | None = None,
) -> dict[str, ranges.Ranges]:
    """Which part gets which of the job's free tasks, by slices. Among the parts that can start some
    now, one of those wins; only when there is none is one of all drawn. Zone caps hold throughout.

    `left`: what is left until the job is due. Where some bids promise to be in time, those that
    don't are not drawn: an inverse weight hardly tells a part just in time from one just too
    late."""
    spec = job.spec
    free = job.free
    if not free:
        return {}
    if spec.gang and spec.apart and spec.task_count > 1:
        return _apart(job, bids, omega, rng)
    if spec.together or spec.gang:
        return _whole(job, bids, omega, rng)
    room = {}
    for bid in bids:
        cap = spec.zone_cap - ranges.size(job.alloc.get(bid.part, ()))
        # Tasks that are over no longer count against a zone, but keeping to the cap needs no proof.
        room[bid.part] = max(0, min(bid.room, cap))
    now = {bid.part: min(bid.now, room[bid.part]) for bid in bids}
    out: dict[str, ranges.Ranges] = {}
    while free:
        ready = [bid for bid in bids if now[bid.part] > 0 and room[bid.part] > 0]
        able = ready or [bid for bid in bids if room[bid.part] > 0]
        chosen = draw(
            [bid for bid in able if left is None or response(bid, omega) <= left] or able,
            omega,
            rng,
        )
        if chosen is None:
            break
        part = chosen.part
        count = min(now[part] if ready else room[part], room[part], slice_most)
        piece = ranges.first(free, count)
        out[part] = ranges.union(out.get(part, ()), piece)
        free = ranges.minus(free, piece)
        got = ranges.size(piece)
        now[part] -= min(now[part], got)
        room[part] -= got
        if not ready:
            # The load just drawn is not in the bid: the next slice is drawn among the others first.
            room[part] = 0 if any(r > 0 for p, r in room.items() if p != part) else room[part]
    return out


def _whole(
    job: Job, bids: Sequence[Bid], omega: float, rng: random.Random
) -> dict[str, ranges.Ranges]:
    held = [part for part, rs in job.alloc.items() if rs]
    if held:
        return {held[0]: job.free} if any(bid.part == held[0] for bid in bids) else {}
    if job.done:
        # Its zone is known only to the part that held it; parts never give back started slices.
        return {}
    count = ranges.size(job.free)
    able = [bid for bid in bids if bid.room >= count]
    ready = [bid for bid in able if bid.now >= count]
    chosen = draw(ready or able, omega, rng)
    return {} if chosen is None else {chosen.part: job.free}


def _apart(
    job: Job, bids: Sequence[Bid], omega: float, rng: random.Random
) -> dict[str, ranges.Ranges]:
    """Shares of a gang that is to be apart: all of it is given out at once, or nothing. As ever,
    parts that can start their shares now come first, and the draw is by inverse time."""
    if job.alloc or job.done:
        return {}
    now = {bid.part: min(bid.now, job.spec.zone_cap) for bid in bids}
    room = {bid.part: min(bid.room, job.spec.zone_cap) for bid in bids}
    amounts = now if sum(now.values()) >= job.spec.task_count else room
    if sum(amounts.values()) < job.spec.task_count:
        return {}
    free, open_to, out = job.free, [bid for bid in bids if amounts[bid.part] > 0], {}
    while free:
        chosen = draw(open_to, omega, rng)
        open_to.remove(chosen)
        out[chosen.part] = ranges.first(free, amounts[chosen.part])
        free = ranges.minus(free, out[chosen.part])
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
