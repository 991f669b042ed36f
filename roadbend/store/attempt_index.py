"""The index of recorded attempts: by job, by machine, and what they use of teams' quotas."""

from collections.abc import Callable, Iterator
from typing import Any

from roadbend.store import keys
from roadbend.store.job_slice import JobSlice
from roadbend.store.records import NO_USAGE, Attempt, SliceShard, Usage

# The attempts that the records name on one machine: (job, task index) -> the job slice that they
# belong to, and the attempt.
MachineAttempts = dict[tuple[str, int], tuple[JobSlice, Attempt]]

# So many machines of a partition keep a version; beyond that only those with attempts do.
MAX_MACHINE_VERSIONS = 20_000


class AttemptIndex:
    """All shards of job slices, with indexes that follow every change by what differs."""

    def __init__(self) -> None:
        # Partition -> job -> its slice.
        self.job_slices: dict[str, dict[str, JobSlice]] = {}
        # Partition -> machine -> its attempts; machines without any are left out.
        self.attempts_by_machine: dict[str, dict[str, MachineAttempts]] = {}
        # Partition -> machine -> a number that changes with what is recorded on the machine.
        self.machine_versions: dict[str, dict[str, int]] = {}
        # Partition -> team -> what its recorded attempts use.
        self.usage: dict[str, dict[str, Usage]] = {}
        # Job -> the partitions whose slice of it says that tasks are done.
        self.partitions_with_done: dict[str, set[str]] = {}
        # Called with partition, job, task index and attempt when an attempt is named newly.
        self.listeners: list[Callable[[str, str, int, Attempt], None]] = []
        # One count for all versions, so that one that was dropped and began anew is never taken for
        # the former one.
        self._last_version = 0

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Take in a shard's record as read from the state store."""
        partition, job, number = keys.split_slice_name(name)
        shard = SliceShard.from_value(partition, job, number, value, mod_revision)
        self._replace_shard(partition, job, number, shard)

    def remove(self, name: str) -> None:
        """Take in that a shard's record was deleted."""
        partition, job, number = keys.split_slice_name(name)
        self._replace_shard(partition, job, number, None)

    def find(self, name: str) -> SliceShard | None:
        """Return a shard's record."""
        partition, job, number = keys.split_slice_name(name)
        job_slice = self.job_slices.get(partition, {}).get(job)
        return job_slice.shards.get(number) if job_slice is not None else None

    def touch_machines_of(self, job: str) -> None:
        """Count all machines with attempts of a job as changed, so that they are looked at."""
        for partition, job_slices in self.job_slices.items():
            job_slice = job_slices.get(job)
            if job_slice is not None:
                for attempt in job_slice.attempts.values():
                    self._touch(partition, attempt.machine)

    def _replace_shard(self, partition: str, job: str, number: int, new: SliceShard | None) -> None:
        """Replace a shard by what its record holds now, and let the indexes follow."""
        job_slices = self.job_slices.setdefault(partition, {})
        job_slice = job_slices.get(job)
        if job_slice is None:
            if new is None:
                return
            job_slice = job_slices[job] = JobSlice(job, partition, new.team, new.resources)
        old = job_slice.shards.get(number)
        before, after = (old.attempts if old else {}), (new.attempts if new else {})
        growth = -self._remove_attempts(job_slice, number, before, after)
        growth += self._add_attempts(job_slice, number, before, after)
        if growth:
            self._charge(job_slice, growth)
        self._last_version += 1
        job_slice.set_shard(number, new, self._last_version)
        if new is not None and new.done:
            self.partitions_with_done.setdefault(job, set()).add(partition)
        elif old is not None and old.done and not job_slice.done:
            self._drop_done(partition, job)
        if not job_slice.shards:
            del job_slices[job]
        self._bound_versions(partition)

    def _drop_done(self, partition: str, job: str) -> None:
        """Note that no shard of a slice says any more that tasks are done."""
        partitions = self.partitions_with_done[job]
        partitions.discard(partition)
        if not partitions:
            del self.partitions_with_done[job]

    def _remove_attempts(
        self,
        job_slice: JobSlice,
        number: int,
        before: dict[int, Attempt],
        after: dict[int, Attempt],
    ) -> int:
        """Remove the attempts that a shard no longer names; return how many ended with that."""
        partition, job = job_slice.partition, job_slice.job
        machines = self.attempts_by_machine.setdefault(partition, {})
        removed = 0
        for task_index, attempt in _only_in_first(before, after):
            if not job_slice.remove_attempt(number, task_index):
                continue
            removed += 1
            attempts = machines.get(attempt.machine)
            if attempts is not None:
                attempts.pop((job, task_index), None)
                if not attempts:
                    del machines[attempt.machine]
            self._touch(partition, attempt.machine)
        return removed

    def _add_attempts(
        self,
        job_slice: JobSlice,
        number: int,
        before: dict[int, Attempt],
        after: dict[int, Attempt],
    ) -> int:
        """Add the attempts that a shard names newly; return how many no shard named before."""
        partition, job = job_slice.partition, job_slice.job
        machines = self.attempts_by_machine.setdefault(partition, {})
        added = 0
        for task_index, attempt in _only_in_first(after, before):
            if not job_slice.add_attempt(number, task_index, attempt):
                continue
            added += 1
            machines.setdefault(attempt.machine, {})[job, task_index] = (job_slice, attempt)
            self._touch(partition, attempt.machine)
            for listener in self.listeners:
                listener(partition, job, task_index, attempt)
        return added

    def _charge(self, job_slice: JobSlice, growth: int) -> None:
        """Add to its team's usage what so many more attempts of a slice use."""
        teams = self.usage.setdefault(job_slice.partition, {})
        used = teams.get(job_slice.team, NO_USAGE)
        teams[job_slice.team] = Usage(
            round(used.cpus + growth * job_slice.resources.cpus, 6),
            round(used.gpus + growth * job_slice.resources.gpus, 6),
        )

    def _touch(self, partition: str, machine: str) -> None:
        self._last_version += 1
        self.machine_versions.setdefault(partition, {})[machine] = self._last_version

    def _bound_versions(self, partition: str) -> None:
        """Keep the versions bounded: machines without attempts may start anew."""
        versions = self.machine_versions.get(partition)
        if versions is not None and len(versions) > MAX_MACHINE_VERSIONS:
            machines = self.attempts_by_machine[partition]
            self.machine_versions[partition] = {
                name: version for name, version in versions.items() if name in machines
            }


def _only_in_first(
    first: dict[int, Attempt], second: dict[int, Attempt]
) -> Iterator[tuple[int, Attempt]]:
    """Yield the tasks with their attempts that the second does not name alike."""
    for task_index, attempt in first.items():
        if second.get(task_index) != attempt:
            yield task_index, attempt
