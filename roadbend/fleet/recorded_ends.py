"""When the ends of attempts were recorded, to tell how old an attempt is that runs once more."""

from datetime import datetime

from roadbend.fleet.terminations import TaskKey
from roadbend.store.records import Attempt

# The number of ends that are remembered; of the others it is not known when they were recorded.
MAX_RECORDED_ENDS = 16_384


class RecordedEnds:
    """The ends that a controller has recorded last, with their times.

    For the log only. It is bounded by `MAX_RECORDED_ENDS`; the oldest ends are dropped first.
    """

    def __init__(self) -> None:
        self._recorded_at: dict[tuple[TaskKey, Attempt], datetime] = {}

    def __len__(self) -> int:
        return len(self._recorded_at)

    def add(self, key: TaskKey, attempt: Attempt, now: datetime) -> None:
        """Remember that the end of a task's attempt was recorded now."""
        self._recorded_at.pop((key, attempt), None)
        if len(self._recorded_at) >= MAX_RECORDED_ENDS:
            del self._recorded_at[next(iter(self._recorded_at))]
        self._recorded_at[key, attempt] = now

    def recorded_at(self, key: TaskKey, attempt: Attempt) -> datetime | None:
        """Return when the end of a task's attempt was recorded, or None if that is not known."""
        return self._recorded_at.get((key, attempt))
