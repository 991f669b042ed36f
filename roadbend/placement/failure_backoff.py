"""Backoff for jobs whose tasks fail."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock

# The longest backoff, and how many failures in a row cause none.
MAX_BACKOFF = timedelta(seconds=24)
FAILURES_WITHOUT_BACKOFF = 3
BACKOFF_BASE_S, MAX_DOUBLINGS = 0.5, 8
# How long the failures of a job are kept after its backoff.
RETENTION = timedelta(minutes=5)


@dataclass(frozen=True, slots=True)
class _Backoff:
    """How many times in a row a job has failed, and until when it is not started."""

    failures: int
    until: datetime


class FailureBackoff:
    """The jobs of one partition that are not started for a while after failures."""

    def __init__(self) -> None:
        self._backoffs: dict[str, _Backoff] = {}

    def delayed_jobs(self, now: datetime) -> set[str]:
        """Return the jobs that are not to be started now."""
        return {job for job, backoff in self._backoffs.items() if backoff.until > now}

    def record_failure(self, job: str, now: datetime) -> int:
        """Record a failed task; return how many times in a row the job has failed.

        A job that fails everywhere is retried at ever longer intervals, until its user intervenes.
        """
        failures = self._failures(job) + 1
        delay = clock.ZERO
        if failures > FAILURES_WITHOUT_BACKOFF:
            doubled = timedelta(seconds=BACKOFF_BASE_S * 2 ** min(failures, MAX_DOUBLINGS))
            delay = min(MAX_BACKOFF, doubled)
        self._backoffs[job] = _Backoff(failures, now + delay)
        return failures

    def delay_until(self, job: str, until: datetime) -> None:
        """Delay a job's next start although none of its tasks failed."""
        self._backoffs[job] = _Backoff(self._failures(job), until)

    def clear(self, job: str) -> None:
        """Forget the failures of a job, since one of its tasks is done."""
        self._backoffs.pop(job, None)

    def drop_expired(self, now: datetime) -> None:
        """Forget failures that are kept no longer."""
        for job in [j for j, backoff in self._backoffs.items() if backoff.until + RETENTION < now]:
            del self._backoffs[job]

    def _failures(self, job: str) -> int:
        backoff = self._backoffs.get(job)
        return backoff.failures if backoff is not None else 0
