"""How long jobs have waited in a partition.

A job that has been passed over for long is starving. Aging prevents that: such a job is kept from
no machine any more for the sake of others.
"""

from collections import deque
from collections.abc import Iterable
from datetime import datetime, timedelta

# For how long a job is kept from capacity that fits it for the sake of others, all in all.
MAX_PASSED_OVER = timedelta(seconds=45)
# Starts of which the waiting times are remembered.
MAX_RECENT_WAITS = 64


class JobAging:
    """Since when the jobs of one partition's pending queue wait."""

    def __init__(self) -> None:
        self._queued_since: dict[str, datetime] = {}
        # Since when jobs are kept from capacity that fits them for the sake of others.
        self._passed_over_since: dict[str, datetime] = {}
        # How long what was started lately had waited.
        self.recent_waits: deque[timedelta] = deque(maxlen=MAX_RECENT_WAITS)

    def update_queue(self, jobs: Iterable[str], now: datetime) -> None:
        """Take in which jobs wait now; the others are forgotten."""
        known = self._queued_since
        self._queued_since = {job: known.get(job, now) for job in jobs}

    def queued_since(self, job: str) -> datetime | None:
        """Return since when a job waits here; None if it does not."""
        return self._queued_since.get(job)

    def waited(self, job: str, now: datetime) -> timedelta:
        """Return for how long a job has waited here."""
        return now - self._queued_since.get(job, now)

    def record_start(self, job: str, now: datetime) -> None:
        """Remember how long a job had waited for this start."""
        self.recent_waits.append(self.waited(job, now))

    def forget(self, job: str) -> None:
        """Forget since when a job waits: it was given back, to be bid for anew."""
        self._queued_since.pop(job, None)

    def update_passed_over(self, jobs: Iterable[str], now: datetime) -> None:
        """Take in which jobs are kept from capacity that fits them for the sake of others now."""
        known = self._passed_over_since
        self._passed_over_since = {job: known.get(job, now) for job in jobs}

    def is_starving(self, job: str, now: datetime) -> bool:
        """Whether a job has been passed over for so long that it is kept from nothing any more."""
        return now - self._passed_over_since.get(job, now) >= MAX_PASSED_OVER
