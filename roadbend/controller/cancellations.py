"""Propagate confirmed cancellations to the other controllers.

A cancellation may be confirmed to a user before every leader has read it from the records. Each
peer heartbeat lists what its sender recently confirmed, so that leaders stop the tasks of these
jobs in time. docs/meetings.md has the argument.
"""

from collections import OrderedDict
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock

# Cancellations per heartbeat; if there are more, its list covers a shorter span, and says so.
MAX_CANCELLATIONS = 1024
# Cancellations kept in memory, as a multiple of those in a heartbeat.
RETENTION_FACTOR = 4
# The span that the list covers, as a multiple of the time within which a cancelled task must end.
SPAN_FACTOR = 3


class RecentCancellations(NamedTuple):
    """All jobs whose cancellation was confirmed to users within the last `span`."""

    span: timedelta
    jobs: tuple[str, ...]


class ConfirmedCancellations:
    """Cancellations that this controller recently confirmed, or is about to confirm, to users."""

    def __init__(self, cancel_within: timedelta) -> None:
        self._span = cancel_within * SPAN_FACTOR
        self._confirmed_at: OrderedDict[str, datetime] = OrderedDict()

    def add(self, job: str) -> None:
        """Record that this controller is about to confirm a cancellation to a user."""
        if job in self._confirmed_at:
            return
        self._confirmed_at[job] = clock.now()
        while len(self._confirmed_at) > RETENTION_FACTOR * MAX_CANCELLATIONS:
            self._confirmed_at.popitem(last=False)

    def added_at(self, job: str) -> datetime | None:
        """Return when a cancellation was added; None if it never was, or has been dropped."""
        return self._confirmed_at.get(job)

    def added_since(self, instant: datetime) -> list[str]:
        """Return the cancellations added since a point in time, the latest first."""
        jobs = []
        for job, added_at in reversed(self._confirmed_at.items()):
            if added_at < instant:
                break
            jobs.append(job)
        return jobs

    def recent(self, now: datetime) -> RecentCancellations:
        """Return the cancellations to send in a heartbeat; drop those that are too old."""
        confirmed_at, span = self._confirmed_at, self._span
        while confirmed_at and now - next(iter(confirmed_at.values())) > span:
            confirmed_at.popitem(last=False)
        latest = list(confirmed_at.items())[-MAX_CANCELLATIONS:]
        if len(latest) < len(confirmed_at):
            _, oldest = latest[0]
            span = now - oldest
        return RecentCancellations(span, tuple(job for job, _ in latest))
