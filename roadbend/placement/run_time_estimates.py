"""How long tasks really run, learnt as they end."""

from datetime import timedelta

from roadbend.store.records import Job

# Most job classes of which a factor is remembered.
MAX_CLASSES = 256
# Of jobs that are expected to run for less than this, nothing is learnt.
MIN_EXPECTED = timedelta(seconds=1)
# Bounds of the ratio that one task counts with.
MIN_RATIO, MAX_RATIO = 0.25, 4.0
# The share of the newest task in the exponential moving average.
NEWEST_WEIGHT = 0.07
OLDER_WEIGHT = 0.93


class RunTimeEstimates:
    """By job class, how long tasks ran over how long their owners said."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def factor(self, job_class: str) -> float:
        """Return the factor by which owners' estimates of a job class are multiplied."""
        return self._factors.get(job_class, 1.0)

    def record_run(self, job: Job, ran: timedelta) -> None:
        """Take in how long a task of a job ran until it was done."""
        expected, job_class = job.spec.expected_duration, job.spec.job_class
        if expected <= MIN_EXPECTED:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, ran / expected))
        self._factors[job_class] = OLDER_WEIGHT * self.factor(job_class) + NEWEST_WEIGHT * ratio
        while len(self._factors) > MAX_CLASSES:
            self._factors.pop(next(iter(self._factors)))
