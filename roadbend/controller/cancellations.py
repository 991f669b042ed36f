"""Make known to the other controllers which jobs users were told are cancelled.

A user may learn of a cancellation before every leader has read it in the records. Each peer
heartbeat lists what its sender told users lately, so that leaders stop these jobs' tasks in time.
docs/meetings.md has the argument.
"""

from collections import OrderedDict
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock

# Cancellations that a heartbeat names; with more its list reaches back less far, and says so.
MAX_CANCELLATIONS = 1024
# Cancellations remembered, as a multiple of those that a heartbeat names.
REMEMBERED_HEARTBEATS = 4
# How far the list reaches back, as a multiple of the time within which a cancelled task must end.
SPAN_FACTOR = 3


class RecentCancellations(NamedTuple):
    """All jobs that users were told are cancelled within the last `span`."""

    span: timedelta
    jobs: tuple[str, ...]


class ConfirmedCancellations:
    """The cancellations that this controller confirmed, or is about to confirm, to users lately."""

    def __init__(self, cancel_within: timedelta) -> None:
        self._span = cancel_within * SPAN_FACTOR
        self._confirmed_at: OrderedDict[str, datetime] = OrderedDict()

    def add(self, job: str) -> None:
        """Note that a user is about to learn from this controller that its job is cancelled."""
        if job in self._confirmed_at:
            return
        self._confirmed_at[job] = clock.now()
        while len(self._confirmed_at) > REMEMBERED_HEARTBEATS * MAX_CANCELLATIONS:
            self._confirmed_at.popitem(last=False)

    def noted_at(self, job: str) -> datetime | None:
        """Return when a cancellation was noted; None if it was not, or is forgotten by now."""
        return self._confirmed_at.get(job)

    def noted_since(self, instant: datetime) -> list[str]:
        """List the cancellations noted since an instant, the latest first."""
        jobs = []
        for job, noted_at in reversed(self._confirmed_at.items()):
            if noted_at < instant:
                break
            jobs.append(job)
        return jobs

    def recent(self, now: datetime) -> RecentCancellations:
        """List what a heartbeat names; forget what is older."""
        confirmed_at, span = self._confirmed_at, self._span
        while confirmed_at and now - next(iter(confirmed_at.values())) > span:
            confirmed_at.popitem(last=False)
        latest = list(confirmed_at.items())[-MAX_CANCELLATIONS:]
        if len(latest) < len(confirmed_at):
            _, oldest = latest[0]
            span = now - oldest
        return RecentCancellations(span, tuple(job for job, _ in latest))
