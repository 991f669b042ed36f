"""The budget of requests to the state store, of which each controller has a share.

Everyone has an equal share; what the others say they do not use may be borrowed. Urgent requests
(leases, elections, cancellations, the read barrier) do not queue behind the rest.
"""

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.log import Log

log = Log("store")

# What is used of the limits: the rest is room for what is not counted as we count it.
USED_SHARE = 0.92
# A rate that was changed permits bursts of so many seconds, times what the bucket was made with.
BURST_S = 0.9
# Of its equal share, what a controller keeps for itself however little it used; and how much more
# than it used lately it may use soon.
KEPT_SHARE = 0.4
GROWTH = 1.5
# Rates are averaged over measurements of at least so many seconds, the last counting this much.
MEASUREMENT_S = 1.0
LAST_MEASUREMENT = 0.5
# After so long without another refusal the former rate is tried again: the state store may not have
# changed its limits.
RETRY_FORMER_RATE_AFTER = timedelta(minutes=10)
# What is waited beyond the time at which the tokens should be there.
READY_MARGIN, TAKE_MARGIN = timedelta(milliseconds=1), timedelta(milliseconds=5)


class TokenBucket:
    """Tokens that come at a rate per second, up to a burst; each request takes some."""

    def __init__(self, rate: float, burst: float, now: datetime) -> None:
        """Make a full bucket."""
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._filled_at = now

    def fill(self, now: datetime) -> None:
        """Add the tokens that have come since the last time."""
        came = (now - self._filled_at).total_seconds() * self.rate
        self._level = min(self.burst, self._level + came)
        self._filled_at = now

    def wait(self, amount: float) -> timedelta:
        """Return how long it takes until so many tokens are there.

        More than a burst never are; such an amount may go into debt rather than never go.
        """
        lack = min(amount, self.burst) - self._level
        return timedelta(seconds=max(0.0, lack) / self.rate)

    def spend(self, amount: float) -> None:
        """Take tokens, whether they are there or not."""
        self._level -= amount

    def empty(self) -> None:
        """Lose what tokens there are."""
        self._level = min(self._level, 0.0)


class SharedTokenBucket:
    """One controller's share of a limit that several have together."""

    def __init__(self, total: float, sharers: int, burst: float = 1.0) -> None:
        """Make a full bucket.

        `total` is what all may use per second; `burst` how many seconds' worth may go at once.
        """
        self._total, self._sharers, self._burst = total, max(1, sharers), burst
        self._bucket = TokenBucket(
            total / self._sharers, burst * total / self._sharers, clock.now()
        )
        self._count, self._counted_since = 0.0, clock.now()
        # What was used per second lately, for the others to know.
        self.used = 0.0

    def wait(self, amount: float) -> timedelta:
        """Return how long it takes until so many tokens are there."""
        self._bucket.fill(clock.now())
        return self._bucket.wait(amount)

    def spend(self, amount: float) -> None:
        """Take tokens, whether they are there or not."""
        self._bucket.spend(amount)
        self._count += amount

    def empty(self) -> None:
        """Lose what tokens there are: the service says that together we went over the limit."""
        self._bucket.empty()

    def set_total(self, total: float) -> None:
        """Set what all may use per second together; what was borrowed is given back."""
        self._total = total
        self._set_rate(total / self._sharers)

    def measure(self) -> None:
        """Update what was used lately."""
        now = clock.now()
        length = (now - self._counted_since).total_seconds()
        if length >= MEASUREMENT_S:
            former = (1 - LAST_MEASUREMENT) * self.used
            self.used = former + LAST_MEASUREMENT * self._count / length
            self._count, self._counted_since = 0.0, now

    def borrow(self, others: Sequence[float]) -> None:
        """Take what the others leave, by what each used per second lately.

        That, with room to grow, stays theirs; those that are not heard of keep a part of theirs.
        """
        equal = self._total / self._sharers
        left = self._total - sum(
            min(equal, max(KEPT_SHARE * equal, GROWTH * used)) for used in others
        )
        left -= KEPT_SHARE * equal * (self._sharers - 1 - len(others))
        self._set_rate(max(equal, left))

    def _set_rate(self, rate: float) -> None:
        self._bucket.fill(clock.now())
        self._bucket.rate = rate
        self._bucket.burst = max(1.0, rate * BURST_S * self._burst)


class RequestRates(NamedTuple):
    """Requests, and puts and deletes within them, per second."""

    requests: float
    changes: float


class RequestBudget:
    """What this controller may ask of the state store, of what all may together.

    Urgent requests keep the rules and the leases, and never wait.
    """

    def __init__(
        self, rps: float, write_rps: float, sharers: int, next_write_rps: float | None = None
    ) -> None:
        """Make a budget of the state store's limits per second, for so many controllers.

        `next_write_rps` is a lower limit of changes that is to come, at a time that is not known.
        """
        self._requests = SharedTokenBucket(rps * USED_SHARE, sharers)
        self._changes = SharedTokenBucket(write_rps * USED_SHARE, sharers)
        self._change_rate = write_rps * USED_SHARE
        self._next_change_rate = min(write_rps, next_write_rps or write_rps) * USED_SHARE
        # When the state store last refused changes, if their rate is reduced.
        self._reduced_at: datetime | None = None

    @property
    def used(self) -> RequestRates:
        """What was used per second lately."""
        return RequestRates(self._requests.used, self._changes.used)

    async def wait_until_ready(self) -> None:
        """Wait until a change could go out at once; nothing is taken."""
        while (wait := self._wait(1)) > clock.ZERO:
            await clock.pause(wait + READY_MARGIN)

    async def take(self, writes: int, urgent: bool) -> None:
        """Take one request with so many changes, after a wait unless it is urgent.

        Urgent ones are counted but never wait: they keep the rules, and they are few.
        """
        if not urgent:
            while (wait := self._wait(writes)) > clock.ZERO:
                await clock.pause(wait + TAKE_MARGIN)
        self._requests.spend(1)
        if writes:
            self._changes.spend(writes)

    def throttle(self, writing: bool = False) -> None:
        """Slow down: the state store says that together we went over its limits.

        For a change that may be since the limit that was to come is in force now: the rate falls to
        it, and the former one is tried again only after a long while.
        """
        self._requests.empty()
        self._changes.empty()
        if writing and self._next_change_rate < self._change_rate:
            if self._reduced_at is None:
                log.info("write-rate-reduced", changes_per_s=f"{self._next_change_rate:.1f}")
            self._reduced_at = clock.now()
            self._changes.set_total(self._next_change_rate)

    def borrow(self, others: Sequence[tuple[float, float]]) -> None:
        """Borrow what the other controllers leave, by the requests and changes each used."""
        now = clock.now()
        if self._reduced_at is not None and now - self._reduced_at > RETRY_FORMER_RATE_AFTER:
            self._reduced_at = None
            self._changes.set_total(self._change_rate)
        self._requests.measure()
        self._requests.borrow([requests for requests, _ in others])
        self._changes.measure()
        self._changes.borrow([changes for _, changes in others])

    def _wait(self, changes: int) -> timedelta:
        """Return how long it takes until a request with so many changes may go."""
        wait = self._requests.wait(1)
        return max(wait, self._changes.wait(changes)) if changes else wait
