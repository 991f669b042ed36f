"""Estimates of how long tasks run, corrected as tasks finish."""

from datetime import timedelta

from roadbend.store.records import Job

# Bound on the job classes whose factor is kept.
MAX_CLASSES = 256
# Jobs that are expected to run no longer than this don't change the estimates.
MIN_EXPECTED = timedelta(seconds=1)
# Bounds on the ratio of actual to expected run time that one task contributes.
MIN_RATIO, MAX_RATIO = 0.25, 4.0
# The weights of the newest task and of the earlier ones in the exponential moving average.
NEWEST_WEIGHT = 0.07
OLDER_WEIGHT = 0.93


class RunTimeEstimates:
    """The ratio of actual run time to the duration that users state, by job class."""

    def __init__(self) -> None:
        self._factors: dict[str, float] = {}

    def factor(self, job_class: str) -> float:
        """Return the factor by which users' estimates of a job class are multiplied."""
        return self._factors.get(job_class, 1.0)

    def record_run(self, job: Job, run_time: timedelta) -> None:
        """Update the factor of the job's class with the run time of a task that is done."""
        expected, job_class = job.spec.expected_duration, job.spec.job_class
        if expected <= MIN_EXPECTED:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, run_time / expected))
        self._factors[job_class] = OLDER_WEIGHT * self.factor(job_class) + NEWEST_WEIGHT * ratio
        while len(self._factors) > MAX_CLASSES:
            self._factors.pop(next(iter(self._factors)))
