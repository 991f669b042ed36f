"""Rate limits for requests to the state store, shared by all controllers.

Each controller has an equal share and may borrow what the others report as unused. Urgent requests
(leases, elections, cancellations, the read barrier) do not queue behind the rest.
"""

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.log import Log

log = Log("store")

# The share of the limits that is used; the rest covers differences between our count and the state
# store's.
USED_SHARE = 0.92
# After a change of rate, a bucket's burst, in seconds of its rate, is this share of the original.
BURST_S = 0.9
# A controller that uses less than its equal share still keeps this part of it, or its recent usage
# times this growth if that is more.
KEPT_SHARE = 0.4
USAGE_GROWTH = 1.5
# The minimum length of a measurement of the used rates, in seconds, and the weight of the latest
# measurement in their exponential average.
MEASUREMENT_S = 1.0
LAST_MEASUREMENT_WEIGHT = 0.5
# The former rate is tried again after this time without another refusal, since the state store may
# not have changed its limits.
RETRY_FORMER_RATE_AFTER = timedelta(minutes=10)
# Added to the computed time at which the tokens are available.
READY_MARGIN, TAKE_MARGIN = timedelta(milliseconds=1), timedelta(milliseconds=5)


class TokenBucket:
    """A token bucket: refilled at a rate per second, up to a burst; each request takes tokens."""

    def __init__(self, rate: float, burst: float, now: datetime) -> None:
        """Create a full bucket."""
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._filled_at = now

    def fill(self, now: datetime) -> None:
        """Add the tokens for the time since the last call."""
        added = (now - self._filled_at).total_seconds() * self.rate
        self._level = min(self.burst, self._level + added)
        self._filled_at = now

    def wait(self, amount: float) -> timedelta:
        """Return how long it takes until so many tokens are available.

        An amount larger than the burst would never be; it waits for a full bucket and then takes
        the level below zero.
        """
        shortage = min(amount, self.burst) - self._level
        return timedelta(seconds=max(0.0, shortage) / self.rate)

    def spend(self, amount: float) -> None:
        """Take tokens, even if that takes the level below zero."""
        self._level -= amount

    def empty(self) -> None:
        """Discard the available tokens."""
        self._level = min(self._level, 0.0)


class SharedTokenBucket:
    """One controller's share of a rate limit that several controllers have together."""

    def __init__(self, total: float, controller_count: int, burst: float = 1.0) -> None:
        """Create a full bucket.

        `total` is the rate per second of all controllers; `burst` is in seconds at the own rate.
        """
        self._total, self._controller_count, self._burst = total, max(1, controller_count), burst
        self._bucket = TokenBucket(
            total / self._controller_count, burst * total / self._controller_count, clock.now()
        )
        self._count, self._counted_since = 0.0, clock.now()
        # The recent usage per second, which is reported to the other controllers.
        self.used = 0.0

    def wait(self, amount: float) -> timedelta:
        """Return how long it takes until so many tokens are available."""
        self._bucket.fill(clock.now())
        return self._bucket.wait(amount)

    def spend(self, amount: float) -> None:
        """Take tokens, even if that takes the level below zero."""
        self._bucket.spend(amount)
        self._count += amount

    def empty(self) -> None:
        """Discard the available tokens: the service reports that the shared limit was exceeded."""
        self._bucket.empty()

    def set_total(self, total: float) -> None:
        """Set the total rate per second; borrowed rate is given back."""
        self._total = total
        self._set_rate(total / self._controller_count)

    def measure(self) -> None:
        """Update the recent usage."""
        now = clock.now()
        length = (now - self._counted_since).total_seconds()
        if length >= MEASUREMENT_S:
            former = (1 - LAST_MEASUREMENT_WEIGHT) * self.used
            self.used = former + LAST_MEASUREMENT_WEIGHT * self._count / length
            self._count, self._counted_since = 0.0, now

    def borrow(self, others: Sequence[float]) -> None:
        """Add to the own share what the others leave, given the recent usage of each.

        The others keep their usage with some growth; those that did not report keep `KEPT_SHARE`
        of their equal shares.
        """
        equal_share = self._total / self._controller_count
        available = self._total - sum(
            min(equal_share, max(KEPT_SHARE * equal_share, USAGE_GROWTH * used)) for used in others
        )
        available -= KEPT_SHARE * equal_share * (self._controller_count - 1 - len(others))
        self._set_rate(max(equal_share, available))

    def _set_rate(self, rate: float) -> None:
        self._bucket.fill(clock.now())
        self._bucket.rate = rate
        self._bucket.burst = max(1.0, rate * BURST_S * self._burst)


class RequestRates(NamedTuple):
    """Requests per second, and the changes (puts and deletes) in them per second."""

    requests: float
    changes: float


class RequestBudget:
    """This controller's share of the rates that the state store permits to all of them.

    Urgent requests, on which leases and the safety rules depend, never wait.
    """

    def __init__(
        self,
        rps: float,
        write_rps: float,
        controller_count: int,
        next_write_rps: float | None = None,
    ) -> None:
        """Create a budget from the state store's limits per second and the number of controllers.

        `next_write_rps` is a lower limit for changes, which will apply from an unknown time on.
        """
        self._requests = SharedTokenBucket(rps * USED_SHARE, controller_count)
        self._changes = SharedTokenBucket(write_rps * USED_SHARE, controller_count)
        self._change_rate = write_rps * USED_SHARE
        self._next_change_rate = min(write_rps, next_write_rps or write_rps) * USED_SHARE
        # When the state store last refused changes; None while their rate is not reduced.
        self._reduced_at: datetime | None = None

    @property
    def used(self) -> RequestRates:
        """The recent usage per second."""
        return RequestRates(self._requests.used, self._changes.used)

    async def wait_until_ready(self) -> None:
        """Wait until a change could be sent without delay; takes no tokens."""
        while (wait := self._wait(1)) > clock.ZERO:
            await clock.pause(wait + READY_MARGIN)

    async def take(self, writes: int, urgent: bool) -> None:
        """Take the tokens for one request with `writes` changes; wait for them unless it is urgent.

        Urgent requests are counted but never wait: the safety rules depend on them, and they are
        few.
        """
        if not urgent:
            while (wait := self._wait(writes)) > clock.ZERO:
                await clock.pause(wait + TAKE_MARGIN)
        self._requests.spend(1)
        if writes:
            self._changes.spend(writes)

    def throttle(self, writing: bool = False) -> None:
        """Slow down after the state store reported that the controllers exceed its limits.

        For a change the cause may be that the announced lower limit is now in force: the rate
        drops to it, and the former rate is tried again only after `RETRY_FORMER_RATE_AFTER`.
        """
        self._requests.empty()
        self._changes.empty()
        if writing and self._next_change_rate < self._change_rate:
            if self._reduced_at is None:
                log.info("write-rate-reduced", changes_per_s=f"{self._next_change_rate:.1f}")
            self._reduced_at = clock.now()
            self._changes.set_total(self._next_change_rate)

    def borrow(self, others: Sequence[tuple[float, float]]) -> None:
        """Borrow what the other controllers leave, given the requests and changes each used."""
        now = clock.now()
        if self._reduced_at is not None and now - self._reduced_at > RETRY_FORMER_RATE_AFTER:
            self._reduced_at = None
            self._changes.set_total(self._change_rate)
        self._requests.measure()
        self._requests.borrow([requests for requests, _ in others])
        self._changes.measure()
        self._changes.borrow([changes for _, changes in others])

    def _wait(self, changes: int) -> timedelta:
        """Return how long it takes until a request with so many changes may be sent."""
        wait = self._requests.wait(1)
        return max(wait, self._changes.wait(changes)) if changes else wait
