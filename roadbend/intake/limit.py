"""A limit on requests in progress that adapts to measured times.

The gradient rule as published for adaptive concurrency limits (Netflix's "Performance Under Load",
2018): the limit follows limit × (long-run time / recent time) plus room for a short queue. Each
kind of request has a weight: submissions are refused first, so that polls, withdrawals and reports
get through."""

from datetime import timedelta


class AdaptiveLimit:
    """How many requests may be in progress, by how long they take."""

    def __init__(self, floor: int = 4, ceiling: int = 64):
        self._floor, self._ceiling = floor, ceiling
        self.limit = float(ceiling) / 2
        self.busy = 0
        self._long: float | None = None
        self._short: float | None = None

    def enter(self, share: float) -> bool:
        """Whether one more may begin; `share` of the limit is open to this kind of request."""
        if self.busy >= max(1.0, self.limit * share):
            return False
        self.busy += 1
        return True

    def leave(self, took: timedelta | None) -> None:
        """`took`: the measured time, or None where it says nothing (refused elsewhere, an
        outage)."""
        self.busy -= 1
        if took is None:
            return
        x = max(1e-4, took.total_seconds())
        self._short = x if self._short is None else self._short * 0.8 + x * 0.2
        self._long = x if self._long is None else self._long * 0.99 + x * 0.01
        # After a slow spell the long-run time must not stay inflated.
        if self._long > self._short * 2:
            self._long *= 0.95
        gradient = max(0.5, min(1.0, 2.0 * self._long / self._short))
        target = self.limit * gradient + max(1.0, self.limit**0.5 / 2)
        self.limit = min(
            float(self._ceiling), max(float(self._floor), self.limit * 0.8 + target * 0.2)
        )
