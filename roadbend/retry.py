"""Waits between attempts: they grow to a bound, with jitter.

The jitter keeps those who failed together from coming back together.
"""

import random
from datetime import timedelta

# The shortest part of a wait that jitter leaves, and by how much a wait grows with each attempt.
LEAST_SHARE = 0.5
GROWTH = 2


def jittered(wait: timedelta, rng: random.Random) -> timedelta:
    """Draw a duration between half of a wait and all of it."""
    return wait * rng.uniform(LEAST_SHARE, 1.0)


class Backoff:
    """Exponential backoff with jitter."""

    def __init__(self, first: timedelta, longest: timedelta, rng: random.Random) -> None:
        self._first = first
        self._longest = longest
        self._rng = rng
        self._wait = first

    def next_wait(self) -> timedelta:
        """Return how long to wait before the next attempt; the wait after that is longer."""
        wait = self._wait
        self._wait = min(wait * GROWTH, self._longest)
        return jittered(wait, self._rng)

    def reset(self) -> None:
        """Begin anew with the first wait, after an attempt that succeeded."""
        self._wait = self._first
