"""Builds one transaction of a partition's leader."""

from collections.abc import Callable
from typing import Any

from roadbend.fleet.terminations import TaskKey
from roadbend.partitions.leadership import Leadership
from roadbend.settings import PlatformSettings
from roadbend.store import keys, records
from roadbend.store.client import Change, delete, put
from roadbend.store.record_view import RecordView
from roadbend.store.records import Job, QuotaRecord, Resources, SliceShard, value_size_bound

# The total size of a transaction's values; the protocol allows 64 KiB, including conditions.
MAX_BODY_BYTES = 56 * 1024
# Upper bounds for the size of an attempt in a shard's record and of the rest of the record.
MAX_ATTEMPT_BYTES, MAX_SHARD_OVERHEAD_BYTES = 28, 460


class TransactionBuilder:
    """A transaction under construction: working copies of changed records, and its conditions."""

    def __init__(
        self,
        view: RecordView,
        partition: str,
        leadership: Leadership,
        settings: PlatformSettings,
        max_changes: int | None = None,
    ) -> None:
        self._view, self._partition, self._max_changes = (
            view,
            partition,
            min(settings.txn_ops, max_changes or settings.txn_ops),
        )
        self._max_value_bytes = settings.value_bytes
        self.conditions: dict[str, int] = {keys.term_key(partition): leadership.mod_revision}
        self.changes: dict[str, Change] = {}
        self.shards: dict[str, SliceShard] = {}
        self.quotas: dict[str, QuotaRecord] = {}
        # Attempts that this transaction removes from the records, and the change of each team's
        # resource usage (CPUs, GPUs).
        self.ended_attempts: set[TaskKey] = set()
        self.usage_changes: dict[str, tuple[float, float]] = {}
        self._sizes: dict[str, int] = {}
        # Called once the transaction is committed and the record view shows it.
        self.on_commit: list[Callable[[], None]] = []
        # Jobs that this transaction ends, with their final status.
        self.ended_jobs: list[tuple[Job, str]] = []

    @property
    def remaining_changes(self) -> int:
        """Return how many more changes the transaction can hold."""
        return max(0, self._max_changes - len(self.changes))

    def machines(self) -> frozenset[str]:
        """Return the machines of all attempts in the changed shards."""
        return frozenset(
            attempt.machine for shard in self.shards.values() for attempt in shard.attempts.values()
        )

    def max_shards(self, width: int) -> int:
        """Return how many shards of `width` tasks a transaction holds besides a quota record."""
        shard_bytes = min(
            self._max_value_bytes, width * MAX_ATTEMPT_BYTES + MAX_SHARD_OVERHEAD_BYTES
        )
        return max(
            1, min(self._max_changes - 1, (MAX_BODY_BYTES - self._max_value_bytes) // shard_bytes)
        )

    def has_space_for(self, *record_keys: str) -> bool:
        """Return whether the records with these keys can be changed in this transaction, too."""
        new_changes = sum(1 for key in record_keys if key not in self.changes)
        return (
            len(self.changes) + new_changes <= self._max_changes
            and sum(self._sizes.values()) < MAX_BODY_BYTES - self._max_value_bytes
        )

    def shard(self, job: str, team: str, resources: Resources, shard: int) -> SliceShard:
        """Return a shard with this transaction's changes; an empty one if there is none."""
        key = keys.slice_key(self._partition, job, shard)
        if key in self.shards:
            return self.shards[key]
        job_slice = self._view.job_slices.get(self._partition, {}).get(job)
        found = job_slice.shards.get(shard) if job_slice is not None else None
        return found or SliceShard(job, self._partition, team, resources, shard=shard)

    def quota(self, name: str) -> QuotaRecord:
        """Return a team's quota record with this transaction's changes."""
        return self.quotas.get(name) or self._view.quotas.get(name) or QuotaRecord(name)

    def used(self, team: str) -> tuple[float, float]:
        """Return the CPUs and GPUs that a team uses in the partition after this transaction."""
        cpus, gpus = self._view.usage.get(self._partition, {}).get(team, (0.0, 0.0))
        change = self.usage_changes.get(team, (0.0, 0.0))
        return cpus + change[0], gpus + change[1]

    def charge(self, team: str, resources: Resources, tasks: int) -> None:
        """Add tasks to a team's usage in the partition; a negative number removes tasks."""
        cpus, gpus = self.usage_changes.get(team, (0.0, 0.0))
        self.usage_changes[team] = (cpus + tasks * resources.cpus, gpus + tasks * resources.gpus)

    def require_job(self, job: Job) -> None:
        """Make the transaction conditional on an unchanged job record."""
        self.conditions[keys.job_key(job.id)] = job.mod_revision

    def _put(self, key: str, value: Any, size: int | None = None) -> None:
        self.changes[key] = put(key, value)
        self._sizes[key] = (value_size_bound(value) if size is None else size) + len(key) + 60

    def fits(self, shard: SliceShard) -> bool:
        """Return whether a shard fits into one record."""
        return value_size_bound(shard.to_value()) <= self._max_value_bytes * 0.95

    def set_shard(self, shard: SliceShard) -> bool:
        """Write a shard; change nothing and return False if it does not fit into one record."""
        key, value = shard.key, shard.to_value()
        size = value_size_bound(value)
        if size > self._max_value_bytes * 0.95:
            return False
        self.conditions.setdefault(key, self._view.mod_revision(key))
        self.shards[key] = shard
        self._put(key, value, size)
        return True

    def delete_shard(self, shard: SliceShard) -> None:
        """Delete the record of a shard."""
        self.conditions.setdefault(shard.key, self._view.mod_revision(shard.key))
        self.changes[shard.key] = delete(shard.key)

    def set_quota(self, quota: QuotaRecord) -> None:
        """Write a quota record."""
        key = keys.team_key(quota.team)
        self.conditions.setdefault(key, self._view.mod_revision(key))
        self.quotas[quota.team] = quota
        self._put(key, quota.to_value())

    def set_job(self, job: Job) -> None:
        """Write a job's record."""
        self.require_job(job)
        self._put(keys.job_key(job.id), job.to_compact_value(int(self._max_value_bytes * 0.95)))

    def end_job(self, job: Job, status: str, done: int) -> None:
        """Replace a job's record with a record of its end."""
        self.require_job(job)
        key, job_end = keys.job_key(job.id), keys.job_end_key(job.id)
        self.conditions[job_end] = 0
        self.changes[key] = delete(key)
        if job.spec.gang:
            self.changes[keys.gang_key(job.id)] = delete(keys.gang_key(job.id))
        self.changes[job_end] = put(job_end, records.job_end_value(status, done))
        self.ended_jobs.append((job, status))
