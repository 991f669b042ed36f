"""Job slices: what one partition runs of one job, assembled from the recorded shards."""

from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Resources, SliceShard


class JobSlice:
    """What one partition runs of one job: the union of its shards."""

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
        # Changes with every change of the slice's shards; no two slices have the same version.
        self.version = 0
        # The shard from which each recorded attempt was read, and the tasks that another shard also
        # lists: a split writes the shard that receives a task before the one that gives it up.
        self._shard_of_task: dict[int, int] = {}
        self._duplicates: set[int] = set()
        self._done: Ranges | None = None

    @property
    def done(self) -> Ranges:
        """The done tasks of all shards."""
        if self._done is None:
            self._done = ranges.normalize(
                pair for shard in self.shards.values() for pair in shard.done
            )
        return self._done

    @property
    def newest_mod_revision(self) -> int:
        """The revision at which one of the shards last changed."""
        return max(shard.mod_revision for shard in self.shards.values())

    def shard_of(self, task_index: int, width: int) -> int:
        """Return the number of the shard in which a task's attempt is, or would be, recorded.

        A recorded attempt may have been written when shards had another width, or by version 0.1,
        so the shard from which it was read takes precedence.
        """
        return self._shard_of_task.get(task_index, task_index // width)

    def add_attempt(self, shard: int, task_index: int, attempt: Attempt) -> bool:
        """Add a task's attempt that a shard lists; return whether no other shard listed it."""
        if task_index in self.attempts:
            self._duplicates.add(task_index)
            return False
        self.attempts[task_index] = attempt
        self._shard_of_task[task_index] = shard
        return True

    def remove_attempt(self, shard: int, task_index: int) -> bool:
        """Remove a task's attempt from a shard; return whether no shard lists it any more."""
        if self._shard_of_task.get(task_index) != shard:
            return False
        if task_index in self._duplicates and self._move_to_other_shard(shard, task_index):
            return False
        del self.attempts[task_index], self._shard_of_task[task_index]
        return True

    def set_shard(self, shard_number: int, shard: SliceShard | None, version: int) -> None:
        """Replace or remove a shard's record, after its attempts have been added and removed."""
        if shard is not None:
            self.shards[shard_number] = shard
        else:
            self.shards.pop(shard_number, None)
        self._done = None
        self.version = version

    def _move_to_other_shard(self, shard_number: int, task_index: int) -> bool:
        """Attribute a task's attempt to another shard that lists it; return whether one does."""
        for other, shard in self.shards.items():
            if (
                other != shard_number
                and shard.attempts.get(task_index) == self.attempts[task_index]
            ):
                self._shard_of_task[task_index] = other
                return True
        self._duplicates.discard(task_index)
        return False
