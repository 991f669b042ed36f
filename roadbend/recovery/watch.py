"""Tracks differences over several polls: which are new, settled, or persistent.

Every difference gets one integer id, so that a poll is stored as a compressed bitmap of a few
kilobytes, even with many machines; ages are kept in a quantile sketch. The libraries for both are
in `requirements-recovery.txt`; controllers need neither of them.
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

# How many polls are kept, and the size parameter k of the KLL sketch (200: a rank error of about
# 1.3%).
MAX_POLLS, SKETCH_SIZE = 1000, 200


@dataclass(frozen=True)
class PollResult:
    """What one poll found."""

    open: int
    new: tuple[Difference, ...]
    settled: int
    # Differences that were present in each of the last polls.
    persistent: tuple[Difference, ...]


class Watch:
    """Tracks differences over several polls."""

    def __init__(self, persistent_after: int = 3) -> None:
        self._index = DenseIndex()
        self._polls: deque[BitMap] = deque(maxlen=MAX_POLLS)
        self._since: dict[int, datetime] = {}
        self._persistent_after = persistent_after
        self._ages = kll_floats_sketch(SKETCH_SIZE)

    def update(self, differences: list[Difference], now: datetime) -> PollResult:
        """Add the differences of a poll, and return what has changed since the previous one."""
        present = BitMap(self._index.ids_of(differences))
        before = self._polls[-1] if self._polls else BitMap()
        new, settled = present - before, before - present
        for difference_id in new:
            self._since[difference_id] = now
        for difference_id in settled:
            self._ages.update((now - self._since.pop(difference_id)).total_seconds())
        self._polls.append(present)
        return PollResult(
            len(present),
            self._differences_of(new),
            len(settled),
            self._differences_of(self._persistent()),
        )

    def _persistent(self) -> BitMap:
        if len(self._polls) < self._persistent_after:
            return BitMap()
        return BitMap.intersection(*list(self._polls)[-self._persistent_after :])

    def _differences_of(self, ids: BitMap) -> tuple[Difference, ...]:
        return tuple(cast(Difference, self._index.key_of(difference_id)) for difference_id in ids)

    def age_quantile(self, rank: float) -> float | None:
        """Return a quantile of the ages at settlement, in seconds, to within one poll interval."""
        return None if self._ages.is_empty() else float(self._ages.get_quantile(rank))

    def serialize_ages(self) -> bytes:
        """Return the sketch of the ages, to be merged into that of another `Watch`."""
        return cast(bytes, self._ages.serialize())

    def merge_ages(self, serialize_ages: bytes) -> None:
        """Merge the serialized ages of another `Watch` into this one."""
        self._ages.merge(kll_floats_sketch.deserialize(serialize_ages))
