"""What one partition runs of one job, put together from the shards that record it."""

from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Resources, SliceShard


class JobSlice:
    """A partition's part of one job: its shards put together."""

    __slots__ = (
        "_done",
        "_duplicates",
        "_shard_of_task",
        "attempts",
        "job",
        "partition",
        "resources",
        "shards",
        "team",
        "version",
    )

    def __init__(self, job: str, partition: str, team: str, resources: Resources) -> None:
        self.job, self.partition, self.team, self.resources = job, partition, team, resources
        self.shards: dict[int, SliceShard] = {}
        # The recorded attempts by task index.
        self.attempts: dict[int, Attempt] = {}
        # Another number after every change of any slice's shards: tells a change from no change.
        self.version = 0
        # The shard that each recorded attempt was read from, and the tasks that a further shard
        # names, too: a split writes the shard that takes a task before the one that gives it up.
        self._shard_of_task: dict[int, int] = {}
        self._duplicates: set[int] = set()
        self._done: Ranges | None = None

    @property
    def done(self) -> Ranges:
        """The tasks that are done, of all shards."""
        if self._done is None:
            self._done = ranges.normalize(
                pair for shard in self.shards.values() for pair in shard.done
            )
        return self._done

    @property
    def newest_mod_revision(self) -> int:
        """The revision at which what the records say of it last changed."""
        return max(shard.mod_revision for shard in self.shards.values())

    def shard_of(self, task_index: int, width: int) -> int:
        """Return the shard in which a task's attempt is, or would be, recorded.

        A recorded attempt may have been written when shards had another width, or by version 0.1,
        so where it was read from counts first.
        """
        return self._shard_of_task.get(task_index, task_index // width)

    def add_attempt(self, shard: int, task_index: int, attempt: Attempt) -> bool:
        """Note that a shard names a task's attempt; return whether no other shard did."""
        if task_index in self.attempts:
            self._duplicates.add(task_index)
            return False
        self.attempts[task_index] = attempt
        self._shard_of_task[task_index] = shard
        return True

    def remove_attempt(self, shard: int, task_index: int) -> bool:
        """Note that a shard no longer names a task's attempt; return whether no shard does now."""
        if self._shard_of_task.get(task_index) != shard:
            return False
        if task_index in self._duplicates and self._move_to_other_shard(shard, task_index):
            return False
        del self.attempts[task_index], self._shard_of_task[task_index]
        return True

    def set_shard(self, number: int, shard: SliceShard | None, version: int) -> None:
        """Replace a shard's record, or remove it, after its attempts were added and removed."""
        if shard is not None:
            self.shards[number] = shard
        else:
            self.shards.pop(number, None)
        self._done = None
        self.version = version

    def _move_to_other_shard(self, number: int, task_index: int) -> bool:
        """Look for another shard that names the same attempt of a task; return whether one does."""
        for other, shard in self.shards.items():
            if other != number and shard.attempts.get(task_index) == self.attempts[task_index]:
                self._shard_of_task[task_index] = other
                return True
        self._duplicates.discard(task_index)
        return False
