"""Waits between repeated tries: they grow, and are drawn, so that many who failed together don't
come back together."""

import random
from datetime import timedelta


def drawn(length: timedelta, rng: random.Random) -> timedelta:
    """Between half of a wait and all of it."""
    return length * rng.uniform(0.5, 1.0)


class Backoff:
    """Waits between tries that grow to a bound, with jitter."""

    def __init__(self, first: timedelta, most: timedelta, rng: random.Random):
        self._first, self._most, self._rng = first, most, rng
        self._wait = first

    def next(self) -> timedelta:
        wait, self._wait = self._wait, min(self._wait * 2, self._most)
        return drawn(wait, self._rng)

    def reset(self) -> None:
        self._wait = self._first
