"""A limit on requests in progress that adapts to measured times.

The gradient rule as published for adaptive concurrency limits (Netflix, "Performance Under Load",
2018): the limit follows limit × (long-run time / recent time), plus room for a short queue. Each
kind of request has a share of the limit: submissions are refused first, so that queries and
cancellations get through.
"""

from datetime import timedelta

MIN_SECONDS = 1e-4
# Weights of a new measurement in the two averages, and of the new limit in the limit.
RECENT_WEIGHT = 0.2
LONG_RUN_WEIGHT = 0.01
LIMIT_WEIGHT = 0.2
# The long-run time that counts as inflated, in recent times, and how fast it is brought down.
INFLATED_RATIO = 2
DEFLATION = 0.95
# Recent times up to this many long-run times leave the limit alone.
TOLERANCE = 2.0
MIN_GRADIENT = 0.5


class AdaptiveLimit:
    """Bounds how many requests may be in progress, by how long they take."""

    def __init__(self, floor: int = 4, ceiling: int = 64) -> None:
        self._floor, self._ceiling = floor, ceiling
        self.limit = float(ceiling) / 2
        self.in_progress = 0
        self._long_run_s: float | None = None
        self._recent_s: float | None = None

    def enter(self, share: float) -> bool:
        """Begin one more request and return True, or return False where there is no room for it.

        `share`: the share of the limit that is open to its kind, from 0 to 1.
        """
        if self.in_progress >= max(1.0, self.limit * share):
            return False
        self.in_progress += 1
        return True

    def leave(self, took: timedelta | None) -> None:
        """End a request.

        `took`: the measured time, or None where it says nothing (refused elsewhere, an outage).
        """
        self.in_progress -= 1
        if took is None:
            return
        gradient = self._gradient(max(MIN_SECONDS, took.total_seconds()))
        queue = max(1.0, self.limit**0.5 / 2)
        target = self.limit * gradient + queue
        limit = self.limit * (1 - LIMIT_WEIGHT) + target * LIMIT_WEIGHT
        self.limit = min(float(self._ceiling), max(float(self._floor), limit))

    def _gradient(self, seconds: float) -> float:
        """Take in a measurement; return the factor by which it lets the limit shrink."""
        recent_s = _average(self._recent_s, seconds, RECENT_WEIGHT)
        long_run_s = _average(self._long_run_s, seconds, LONG_RUN_WEIGHT)
        # After a slow spell the long-run time must not stay inflated.
        if long_run_s > recent_s * INFLATED_RATIO:
            long_run_s *= DEFLATION
        self._recent_s, self._long_run_s = recent_s, long_run_s
        return max(MIN_GRADIENT, min(1.0, TOLERANCE * long_run_s / recent_s))


def _average(average: float | None, seconds: float, weight: float) -> float:
    """Return an exponentially weighted average with a new measurement taken in."""
    return seconds if average is None else average * (1 - weight) + seconds * weight
