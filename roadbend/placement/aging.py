"""How long jobs have waited in a partition.

A job is passed over while capacity that fits it is withheld for other jobs. Aging bounds that time:
from then on nothing is withheld from the job, so that it does not starve.
"""

from collections import deque
from collections.abc import Iterable
from datetime import datetime, timedelta

# How long a job may be passed over, for whatever reasons.
MAX_PASSED_OVER = timedelta(seconds=45)
# Bound on the starts whose waiting times are kept.
MAX_RECENT_WAITS = 64


class JobAging:
    """Since when the jobs of one partition's pending queue have waited."""

    def __init__(self) -> None:
        self._queued_since: dict[str, datetime] = {}
        # Since when jobs have been passed over.
        self._passed_over_since: dict[str, datetime] = {}
        # How long jobs had waited at the most recent starts.
        self.recent_waits: deque[timedelta] = deque(maxlen=MAX_RECENT_WAITS)

    def update_queue(self, jobs: Iterable[str], now: datetime) -> None:
        """Set which jobs wait now, and drop all others."""
        known = self._queued_since
        self._queued_since = {job: known.get(job, now) for job in jobs}

    def queued_since(self, job: str) -> datetime | None:
        """Return since when a job has waited here; None if it does not wait."""
        return self._queued_since.get(job)

    def waited(self, job: str, now: datetime) -> timedelta:
        """Return how long a job has waited here."""
        return now - self._queued_since.get(job, now)

    def record_start(self, job: str, now: datetime) -> None:
        """Record how long a job had waited before this start."""
        self.recent_waits.append(self.waited(job, now))

    def forget(self, job: str) -> None:
        """Drop the waiting time of a job that was released, so that partitions bid for it again."""
        self._queued_since.pop(job, None)

    def update_passed_over(self, jobs: Iterable[str], now: datetime) -> None:
        """Set which jobs are passed over now, and drop all others."""
        known = self._passed_over_since
        self._passed_over_since = {job: known.get(job, now) for job in jobs}

    def is_starving(self, job: str, now: datetime) -> bool:
        """Return whether a job was passed over for so long that nothing is withheld from it."""
        return now - self._passed_over_since.get(job, now) >= MAX_PASSED_OVER
