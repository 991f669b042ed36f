"""Follows differences over several looks: what is new, what was settled, what stays.

Every difference gets a number once, so that each look is a compressed bitmap of some kilobytes,
however many machines there are; ages are kept in a quantile sketch. The libraries are those of
`requirements-recovery.txt`; controllers need neither of them.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import datetime
from typing import cast

from datasketches import kll_floats_sketch
from pyroaring import BitMap

from roadbend.recovery.differences import Difference
from roadbend.recovery.index import DenseIndex

# Looks that are kept, and the accuracy of the sketch (a rank error of about 1.3%).
MOST_LOOKS, SKETCH_SIZE = 1000, 200


@dataclass(frozen=True)
class Look:
    """What one look brought."""

    open: int
    new: tuple[Difference, ...]
    settled: int
    # Differences that were there at every one of the last looks.
    staying: tuple[Difference, ...]


class Watch:
    """Differences over several looks."""

    def __init__(self, stays_after: int = 3) -> None:
        self._index = DenseIndex()
        self._looks: deque[BitMap] = deque(maxlen=MOST_LOOKS)
        self._since: dict[int, datetime] = {}
        self._stays_after = stays_after
        self._ages = kll_floats_sketch(SKETCH_SIZE)

    def look(self, differences: list[Difference], now: datetime) -> Look:
        """Take in what differs now, and return what that changes."""
        present = BitMap(self._index.numbers(differences))
        before = self._looks[-1] if self._looks else BitMap()
        new, settled = present - before, before - present
        for number in new:
            self._since[number] = now
        for number in settled:
            self._ages.update((now - self._since.pop(number)).total_seconds())
        self._looks.append(present)
        return Look(len(present), self._named(new), len(settled), self._named(self._staying()))

    def _staying(self) -> BitMap:
        if len(self._looks) < self._stays_after:
            return BitMap()
        return BitMap.intersection(*list(self._looks)[-self._stays_after :])

    def _named(self, numbers: BitMap) -> tuple[Difference, ...]:
        return tuple(cast(Difference, self._index.name(number)) for number in numbers)

    def age_quantile(self, rank: float) -> float | None:
        """Return how old differences were when they were settled, in seconds, up to one look."""
        return None if self._ages.is_empty() else float(self._ages.get_quantile(rank))

    def ages(self) -> bytes:
        """Return the ages as a sketch, to be merged with those of other watches."""
        return cast(bytes, self._ages.serialize())

    def merge(self, ages: bytes) -> None:
        """Take in the ages of another watch."""
        self._ages.merge(kll_floats_sketch.deserialize(ages))
