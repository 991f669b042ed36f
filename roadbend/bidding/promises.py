"""The ledger of what a partition has promised with its bids: the paper's shadow queue."""

from datetime import datetime, timedelta
from typing import NamedTuple

# The most promises that one partition remembers.
MAX_PROMISES = 4096


class Promise(NamedTuple):
    """The load that one bid promised to take, in core-seconds, and when it ceases to count."""

    load: float
    expires_at: datetime


class Promises:
    """The ledger of a partition's shadow load (section 4.2, definition 2).

    A promise is made with each bid, and revoked when the job has been allocated. Revocations get
    lost, so a promise also expires by itself.
    """

    def __init__(self, lifetime: timedelta, max_promises: int = MAX_PROMISES) -> None:
        self._lifetime, self._max_promises = lifetime, max_promises
        # By job, the oldest first.
        self._promises: dict[str, Promise] = {}

    def add(self, job: str, load: float, requests: int, now: datetime) -> None:
        """Count a promise to take `load` core-seconds, in place of the job's last one.

        The job was offered to `requests` controllers, so it comes here with a chance of one over
        these. The oldest promises are dropped when there are too many.
        """
        self._promises.pop(job, None)
        while len(self._promises) >= self._max_promises:
            self._promises.pop(next(iter(self._promises)))
        self._promises[job] = Promise(load / max(1, requests), now + self._lifetime)

    def revoke(self, job: str) -> None:
        """Cease to count the promise for a job, if there is one (algorithm 3, line 16)."""
        self._promises.pop(job, None)

    def load(self, now: datetime) -> float:
        """Return the shadow load in core-seconds, and forget what has expired."""
        self._promises = {
            job: promise for job, promise in self._promises.items() if promise.expires_at > now
        }
        return sum(promise.load for promise in self._promises.values())
