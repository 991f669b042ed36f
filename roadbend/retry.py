"""Exponential backoff with jitter.

The jitter keeps callers that failed at the same time from retrying at the same time.
"""

import random
from datetime import timedelta

# The minimum share of a wait after jitter, and the growth of the wait with each attempt.
MIN_JITTER_SHARE = 0.5
GROWTH = 2


def jittered(wait: timedelta, rng: random.Random) -> timedelta:
    """Return a random duration between half of a wait and all of it."""
    return wait * rng.uniform(MIN_JITTER_SHARE, 1.0)


class Backoff:
    """Exponential backoff with jitter."""

    def __init__(self, first: timedelta, longest: timedelta, rng: random.Random) -> None:
        self._first = first
        self._longest = longest
        self._rng = rng
        self._wait = first

    def next_wait(self) -> timedelta:
        """Return how long to wait before the next attempt, and increase the wait after that."""
        wait = self._wait
        self._wait = min(wait * GROWTH, self._longest)
        return jittered(wait, self._rng)

    def reset(self) -> None:
        """Start again with the first wait, after a successful attempt."""
        self._wait = self._first
