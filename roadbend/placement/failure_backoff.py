"""How long jobs whose tasks fail rest before they are tried again."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock

# The longest rest, and after how many failures in a row a job rests at all.
MAX_BACKOFF = timedelta(seconds=24)
FREE_FAILURES = 3
FIRST_REST_S, MAX_DOUBLINGS = 0.5, 8
# For how long the failures of a job are remembered after its rest.
REMEMBERED_FOR = timedelta(minutes=5)


@dataclass(frozen=True, slots=True)
class _Rest:
    """How often a job has failed in a row, and until when it rests."""

    failures: int
    until: datetime


class FailureBackoff:
    """The jobs of one partition that rest."""

    def __init__(self) -> None:
        self._rests: dict[str, _Rest] = {}

    def resting(self, now: datetime) -> set[str]:
        """Return the jobs that are not to be started now."""
        return {job for job, rest in self._rests.items() if rest.until > now}

    def record_failure(self, job: str, now: datetime) -> int:
        """Take in a failed task; return how often the job has failed in a row.

        A job that fails everywhere comes back ever more slowly and waits for its user.
        """
        failures = self._failures(job) + 1
        rest = clock.ZERO
        if failures > FREE_FAILURES:
            doubled = timedelta(seconds=FIRST_REST_S * 2 ** min(failures, MAX_DOUBLINGS))
            rest = min(MAX_BACKOFF, doubled)
        self._rests[job] = _Rest(failures, now + rest)
        return failures

    def delay_until(self, job: str, until: datetime) -> None:
        """Have a job rest though none of its tasks failed."""
        self._rests[job] = _Rest(self._failures(job), until)

    def clear(self, job: str) -> None:
        """Forget the failures of a job of which a task is done."""
        self._rests.pop(job, None)

    def drop_expired(self, now: datetime) -> None:
        """Forget the failures that are long past."""
        for job in [j for j, rest in self._rests.items() if rest.until + REMEMBERED_FOR < now]:
            del self._rests[job]

    def _failures(self, job: str) -> int:
        rest = self._rests.get(job)
        return rest.failures if rest is not None else 0
