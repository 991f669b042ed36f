"""The budget of requests to the state service, shared between the controllers.

Everyone has an equal share; what the others say they do not use may be borrowed. Urgent calls
(leases, ownership, cancellations, the read barrier) do not queue behind the rest."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.log import Log

log = Log("store")
# After so long without another refusal the old rate is tried out again: the service may not have
# changed its limits.
FALLEN_FOR = timedelta(minutes=10)


class TokenBucket:
    """Tokens that come at a rate, up to a burst; each request takes one."""

    def __init__(self, rate: float, burst: float, now: datetime):
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._at = now

    def fill(self, now: datetime) -> None:
        self._level = min(self.burst, self._level + (now - self._at).total_seconds() * self.rate)
        self._at = now

    def wait(self, amount: float) -> timedelta:
        """How long until the amount is there; a big amount may go into debt rather than never
        go."""
        lack = min(amount, self.burst) - self._level
        return timedelta(seconds=max(0.0, lack) / self.rate)

    def spend(self, amount: float) -> None:
        self._level -= amount

    def drain(self) -> None:
        self._level = min(self._level, 0.0)


class SharedTokenBucket:
    """One of several controllers' share of a limit that all of them have together."""

    def __init__(self, total: float, sharers: int, burst: float = 1.0):
        self._total, self._sharers, self._burst = total, max(1, sharers), burst
        self._bucket = TokenBucket(
            total / self._sharers, burst * total / self._sharers, clock.now()
        )
        self._count, self._counted_at = 0.0, clock.now()
        self.used = 0.0

    def wait(self, amount: float) -> timedelta:
        self._bucket.fill(clock.now())
        return self._bucket.wait(amount)

    def spend(self, amount: float) -> None:
        self._bucket.spend(amount)
        self._count += amount

    def set_total(self, total: float) -> None:
        self._total = total
        fair = total / self._sharers
        self._bucket.fill(clock.now())
        self._bucket.rate = fair
        self._bucket.burst = max(1.0, self._bucket.rate * 0.9 * self._burst)

    def drain(self) -> None:
        """The service says that together we went over."""
        self._bucket.drain()

    def measure(self) -> None:
        now = clock.now()
        length = (now - self._counted_at).total_seconds()
        if length >= 1.0:
            self.used = 0.5 * self.used + 0.5 * self._count / length
            self._count, self._counted_at = 0.0, now

    def lend(self, others: list[float]) -> None:
        """Takes what the others leave: what they used lately, with room to grow, stays theirs."""
        fair = self._total / self._sharers
        left = self._total - sum(min(fair, max(0.4 * fair, 1.5 * used)) for used in others)
        left -= 0.4 * fair * (self._sharers - 1 - len(others))
        self._bucket.fill(clock.now())
        self._bucket.rate = max(fair, left)
        self._bucket.burst = max(1.0, self._bucket.rate * 0.9 * self._burst)


class RequestBudget:
    """What this controller may ask of the state service, of what all may together."""

    """Requests and changes of the state service. What keeps the rules and the leases never waits;
    submissions go before starts and ends."""

    def __init__(
        self, rps: float, write_rps: float, sharers: int, next_write_rps: float | None = None
    ):
        self._calls = SharedTokenBucket(rps * 0.92, sharers)
        self._writes = SharedTokenBucket(write_rps * 0.92, sharers)
        self._rates = (write_rps * 0.92, min(write_rps, next_write_rps or write_rps) * 0.92)
        self._fell: datetime | None = None
        self._first = 0

    @property
    def used(self) -> tuple[float, float]:
        return self._calls.used, self._writes.used

    async def ready(self) -> None:
        """Until a change could go out at once; nothing is taken."""
        while self._first or (wait := max(self._calls.wait(1), self._writes.wait(1))) > clock.ZERO:
            await clock.pause(
                timedelta(milliseconds=20) if self._first else wait + timedelta(milliseconds=1)
            )

    async def take(self, writes: int, urgent: bool, first: bool = False) -> None:
        if not urgent:
            self._first += first
            try:
                while True:
                    wait = max(
                        self._calls.wait(1), self._writes.wait(writes) if writes else clock.ZERO
                    )
                    if wait <= clock.ZERO and (first or not self._first):
                        break
                    await clock.pause(wait + timedelta(milliseconds=1 if first else 5))
            finally:
                self._first -= first
        # Urgent calls are counted but never wait: they keep the rules, and they are few.
        self._calls.spend(1)
        if writes:
            self._writes.spend(writes)

    def push_back(self, writing: bool = False) -> None:
        """The service says that together we went over. For a change that may be since the limit
        that was to come is in force now: the rate falls to it, and is tried out again only after a
        long while."""
        self._calls.drain()
        self._writes.drain()
        if writing and self._rates[1] < self._rates[0]:
            if self._fell is None:
                log.info("write-rate-reduced", changes_per_s=f"{self._rates[1]:.1f}")
            self._fell = clock.now()
            self._writes.set_total(self._rates[1])

    def share(self, others: list[tuple[float, float]]) -> None:
        if self._fell is not None and clock.now() - self._fell > FALLEN_FOR:
            self._fell = None
            self._writes.set_total(self._rates[0])
        for at, bucket in enumerate((self._calls, self._writes)):
            bucket.measure()
            bucket.lend([used[at] for used in others])
