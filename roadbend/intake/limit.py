"""A limit on requests in progress that adapts to measured times.

The gradient rule as published for adaptive concurrency limits (Netflix, "Performance Under Load",
2018): the limit follows limit × (long-run time / recent time), plus an allowance for a short queue.
Each class of requests may use a share of the limit: submissions are refused first, so that queries
and cancellations get through.
"""

from datetime import timedelta

MIN_SECONDS = 1e-4
# The weights of a new measurement in the two averages, and of the new target in the limit.
RECENT_WEIGHT = 0.2
LONG_RUN_WEIGHT = 0.01
LIMIT_WEIGHT = 0.2
# A long-run time over this multiple of the recent time is inflated, and is reduced by this factor
# with each measurement.
INFLATED_RATIO = 2
DEFLATION = 0.95
# Recent times up to this multiple of the long-run time don't reduce the limit.
TOLERANCE = 2.0
MIN_GRADIENT = 0.5


class AdaptiveLimit:
    """Limits how many requests may be in progress, by how long they take."""

    def __init__(self, floor: int = 4, ceiling: int = 64) -> None:
        self._floor, self._ceiling = floor, ceiling
        self.limit = float(ceiling) / 2
        self.in_progress = 0
        self._long_run_s: float | None = None
        self._recent_s: float | None = None

    def acquire(self, share: float) -> bool:
        """Admit one more request and return True, or return False if the limit is reached.

        `share`: the share of the limit that the request's class may use, from 0 to 1.
        """
        if self.in_progress >= max(1.0, self.limit * share):
            return False
        self.in_progress += 1
        return True

    def release(self, took: timedelta | None) -> None:
        """End an admitted request and adapt the limit.

        `took`: the measured time; None if it doesn't show the load (a refusal, an outage).
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
        """Add a measurement to the averages; return the factor by which it reduces the limit."""
        recent_s = _average(self._recent_s, seconds, RECENT_WEIGHT)
        long_run_s = _average(self._long_run_s, seconds, LONG_RUN_WEIGHT)
        # After a slow period the long-run time must not stay inflated.
        if long_run_s > recent_s * INFLATED_RATIO:
            long_run_s *= DEFLATION
        self._recent_s, self._long_run_s = recent_s, long_run_s
        return max(MIN_GRADIENT, min(1.0, TOLERANCE * long_run_s / recent_s))


def _average(average: float | None, seconds: float, weight: float) -> float:
    """Return an exponentially weighted moving average, updated with a new measurement."""
    return seconds if average is None else average * (1 - weight) + seconds * weight
