"""Tracks the load that a partition has promised to take with its bids: the paper's shadow queue."""

from datetime import datetime, timedelta
from typing import NamedTuple

# How many promises are stored for one partition at most.
MAX_PROMISES = 4096


class Promise(NamedTuple):
    """The load that one bid promised to take, in core-seconds, and when the promise expires."""

    load: float
    expires_at: datetime


class Promises:
    """The promises that make up a partition's shadow load (section 4.2, definition 2).

    A promise is made with each bid, and revoked when the job has been allocated. As revocations
    may get lost, promises also expire.
    """

    def __init__(self, lifetime: timedelta, max_promises: int = MAX_PROMISES) -> None:
        self._lifetime, self._max_promises = lifetime, max_promises
        # By job id, the oldest first.
        self._promises: dict[str, Promise] = {}

    def add(self, job_id: str, load: float, requests: int, now: datetime) -> None:
        """Store a promise to take `load` core-seconds, in place of the job's previous one.

        As bids were requested from `requests` controllers, the promise counts with the probability
        that this one gets the job: 1 / `requests`. The oldest promises are dropped when there are
        too many.
        """
        self._promises.pop(job_id, None)
        while len(self._promises) >= self._max_promises:
            self._promises.pop(next(iter(self._promises)))
        self._promises[job_id] = Promise(load / max(1, requests), now + self._lifetime)

    def revoke(self, job_id: str) -> None:
        """Remove the promise for a job, if there is one (algorithm 3, line 16)."""
        self._promises.pop(job_id, None)

    def load(self, now: datetime) -> float:
        """Return the shadow load in core-seconds, and remove expired promises."""
        self._promises = {
            job_id: promise
            for job_id, promise in self._promises.items()
            if promise.expires_at > now
        }
        return sum(promise.load for promise in self._promises.values())
