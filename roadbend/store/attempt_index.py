"""The index of recorded attempts: by job, by machine, and their usage by team."""

from collections.abc import Callable, Iterator
from typing import Any

from roadbend.store import keys
from roadbend.store.job_slice import JobSlice
from roadbend.store.records import NO_USAGE, Attempt, SliceShard, Usage

# The recorded attempts on one machine: (job, task index) -> the job slice, and the attempt.
MachineAttempts = dict[tuple[str, int], tuple[JobSlice, Attempt]]

# Above this many versions in a partition, those of machines without attempts are dropped.
MAX_MACHINE_VERSIONS = 20_000


class AttemptIndex:
    """All shards of job slices, with indexes that are updated incrementally."""

    def __init__(self) -> None:
        # Partition -> job -> its slice.
        self.job_slices: dict[str, dict[str, JobSlice]] = {}
        # Partition -> machine -> its attempts; machines without attempts have no entry.
        self.attempts_by_machine: dict[str, dict[str, MachineAttempts]] = {}
        # Partition -> machine -> a version that changes with the attempts recorded on the machine.
        self.machine_versions: dict[str, dict[str, int]] = {}
        # Partition -> team -> the usage of its recorded attempts.
        self.usage: dict[str, dict[str, Usage]] = {}
        # Job -> the partitions whose slice of it lists done tasks.
        self.partitions_with_done: dict[str, set[str]] = {}
        # Called with partition, job, task index and attempt when an attempt is newly recorded.
        self.listeners: list[Callable[[str, str, int, Attempt], None]] = []
        # One counter for all versions: one that is set again after it was dropped never equals the
        # former one.
        self._last_version = 0

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Add or replace a shard, given its record's value in the state store."""
        partition, job, shard_number = keys.split_slice_name(name)
        shard = SliceShard.from_value(partition, job, shard_number, value, mod_revision)
        self._replace_shard(partition, job, shard_number, shard)

    def remove(self, name: str) -> None:
        """Remove a shard whose record was deleted."""
        partition, job, shard_number = keys.split_slice_name(name)
        self._replace_shard(partition, job, shard_number, None)

    def find(self, name: str) -> SliceShard | None:
        """Return a shard; None if there is no such shard."""
        partition, job, shard_number = keys.split_slice_name(name)
        job_slice = self.job_slices.get(partition, {}).get(job)
        return job_slice.shards.get(shard_number) if job_slice is not None else None

    def bump_machine_versions(self, job: str) -> None:
        """Raise the versions of all machines with attempts of a job, so they are evaluated."""
        for partition, job_slices in self.job_slices.items():
            job_slice = job_slices.get(job)
            if job_slice is not None:
                for attempt in job_slice.attempts.values():
                    self._bump_version(partition, attempt.machine)

    def _replace_shard(
        self, partition: str, job: str, shard_number: int, new: SliceShard | None
    ) -> None:
        """Replace or remove a shard, and update the indexes."""
        job_slices = self.job_slices.setdefault(partition, {})
        job_slice = job_slices.get(job)
        if job_slice is None:
            if new is None:
                return
            job_slice = job_slices[job] = JobSlice(job, partition, new.team, new.resources)
        old = job_slice.shards.get(shard_number)
        before, after = (old.attempts if old else {}), (new.attempts if new else {})
        growth = -self._remove_attempts(job_slice, shard_number, before, after)
        growth += self._add_attempts(job_slice, shard_number, before, after)
        if growth:
            self._update_usage(job_slice, growth)
        self._last_version += 1
        job_slice.set_shard(shard_number, new, self._last_version)
        if new is not None and new.done:
            self.partitions_with_done.setdefault(job, set()).add(partition)
        elif old is not None and old.done and not job_slice.done:
            self._remove_done(partition, job)
        if not job_slice.shards:
            del job_slices[job]
        self._limit_versions(partition)

    def _remove_done(self, partition: str, job: str) -> None:
        """Update the index after the last shard of a slice with done tasks was removed."""
        partitions = self.partitions_with_done[job]
        partitions.discard(partition)
        if not partitions:
            del self.partitions_with_done[job]

    def _remove_attempts(
        self,
        job_slice: JobSlice,
        shard_number: int,
        before: dict[int, Attempt],
        after: dict[int, Attempt],
    ) -> int:
        """Remove the attempts that a shard no longer lists; return how many no shard lists now."""
        partition, job = job_slice.partition, job_slice.job
        machines = self.attempts_by_machine.setdefault(partition, {})
        removed = 0
        for task_index, attempt in _only_in_first(before, after):
            if not job_slice.remove_attempt(shard_number, task_index):
                continue
            removed += 1
            attempts = machines.get(attempt.machine)
            if attempts is not None:
                attempts.pop((job, task_index), None)
                if not attempts:
                    del machines[attempt.machine]
            self._bump_version(partition, attempt.machine)
        return removed

    def _add_attempts(
        self,
        job_slice: JobSlice,
        shard_number: int,
        before: dict[int, Attempt],
        after: dict[int, Attempt],
    ) -> int:
        """Add the attempts that a shard newly lists; return how many no shard listed before."""
        partition, job = job_slice.partition, job_slice.job
        machines = self.attempts_by_machine.setdefault(partition, {})
        added = 0
        for task_index, attempt in _only_in_first(after, before):
            if not job_slice.add_attempt(shard_number, task_index, attempt):
                continue
            added += 1
            machines.setdefault(attempt.machine, {})[job, task_index] = (job_slice, attempt)
            self._bump_version(partition, attempt.machine)
            for listener in self.listeners:
                listener(partition, job, task_index, attempt)
        return added

    def _update_usage(self, job_slice: JobSlice, growth: int) -> None:
        """Add the usage of `growth` more attempts of a slice to that of its team."""
        teams = self.usage.setdefault(job_slice.partition, {})
        used = teams.get(job_slice.team, NO_USAGE)
        teams[job_slice.team] = Usage(
            round(used.cpus + growth * job_slice.resources.cpus, 6),
            round(used.gpus + growth * job_slice.resources.gpus, 6),
        )

    def _bump_version(self, partition: str, machine: str) -> None:
        self._last_version += 1
        self.machine_versions.setdefault(partition, {})[machine] = self._last_version

    def _limit_versions(self, partition: str) -> None:
        """Bound the number of versions by dropping those of machines without attempts."""
        versions = self.machine_versions.get(partition)
        if versions is not None and len(versions) > MAX_MACHINE_VERSIONS:
            machines = self.attempts_by_machine[partition]
            self.machine_versions[partition] = {
                name: version for name, version in versions.items() if name in machines
            }


def _only_in_first(
    first: dict[int, Attempt], second: dict[int, Attempt]
) -> Iterator[tuple[int, Attempt]]:
    """Yield the tasks whose attempts are missing from the second dict, or differ there."""
    for task_index, attempt in first.items():
        if second.get(task_index) != attempt:
            yield task_index, attempt
