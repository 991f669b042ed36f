"""The budget of requests to the state service, shared between the controllers.

Everyone has an equal share; what the others say they do not use may be borrowed. Urgent calls
(leases, ownership, cancellations, the read barrier) do not queue behind the rest."""

from datetime import datetime, timedelta

from roadbend import clock


class Bucket:
    def __init__(self, rate: float, burst: float, now: datetime):
        self.rate = rate
        self.burst = max(1.0, burst)
        self._level = self.burst
        self._at = now

    def fill(self, now: datetime) -> None:
        self._level = min(self.burst, self._level + (now - self._at).total_seconds() * self.rate)
        self._at = now

    def wait(self, amount: float) -> timedelta:
        """How long until the amount is there; a big amount may go into debt rather than never go."""
        lack = min(amount, self.burst) - self._level
        return timedelta(seconds=max(0.0, lack) / self.rate)

    def spend(self, amount: float) -> None:
        self._level -= amount

    def drain(self) -> None:
        self._level = min(self._level, 0.0)


class Budget:
    def __init__(self, rps: float, write_rps: float, sharers: int):
        self._total = (rps * 0.92, write_rps * 0.92)
        self._sharers = max(1, sharers)
        now = clock.now()
        share = [total / self._sharers for total in self._total]
        self._calls = Bucket(share[0], share[0], now)
        self._writes = Bucket(share[1], share[1], now)
        self._count = [0.0, 0.0]
        self._counted_at = now
        self.used = (0.0, 0.0)

    async def take(self, writes: int, urgent: bool) -> None:
        # Urgent calls are counted but never wait: they keep the rules, and they are few.
        while not urgent:
            now = clock.now()
            self._calls.fill(now)
            self._writes.fill(now)
            wait = max(self._calls.wait(1), self._writes.wait(writes) if writes else clock.ZERO)
            if wait <= clock.ZERO:
                break
            await clock.pause(wait + timedelta(milliseconds=1))
        self._calls.spend(1)
        self._count[0] += 1
        if writes:
            self._writes.spend(writes)
            self._count[1] += writes

    def push_back(self) -> None:
        """The service says that together we went over."""
        self._calls.drain()
        self._writes.drain()

    def measure(self) -> tuple[float, float]:
        now = clock.now()
        length = (now - self._counted_at).total_seconds()
        if length >= 1.0:
            fresh = [count / length for count in self._count]
            self.used = tuple(0.5 * old + 0.5 * new for old, new in zip(self.used, fresh, strict=True))
            self._count = [0.0, 0.0]
            self._counted_at = now
        return self.used

    def lend(self, others: list[tuple[float, float]]) -> None:
        """Takes what the others leave: what they used lately, with room to grow, stays theirs."""
        now = clock.now()
        for at, bucket in enumerate((self._calls, self._writes)):
            total = self._total[at]
            fair = total / self._sharers
            left = total - sum(min(fair, max(0.4 * fair, 1.5 * used[at])) for used in others)
            left -= 0.4 * fair * (self._sharers - 1 - len(others))
            bucket.fill(now)
            bucket.rate = max(fair, left)
            bucket.burst = max(1.0, bucket.rate * 0.9)
