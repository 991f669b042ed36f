"""One transaction of a leader in the making."""

from collections.abc import Callable
from typing import Any

from roadbend.fleet.terminations import TaskKey
from roadbend.partitions.leadership import Leadership
from roadbend.settings import PlatformSettings
from roadbend.store import keys, records
from roadbend.store.client import Change, delete, put
from roadbend.store.record_view import RecordView
from roadbend.store.records import Job, QuotaRecord, Resources, SliceShard, value_size_bound

# Bytes that a transaction's values may have in all; the protocol allows 64 KiB, conditions
# included.
MAX_BODY = 56 * 1024
# What an attempt and the rest of a slice's record take at most.
ATTEMPT_BYTES, SLICE_BYTES = 28, 460


class TransactionBuilder:
    """One transaction in the making: working copies of what it changes, and its conditions."""

    def __init__(
        self,
        view: RecordView,
        partition: str,
        leadership: Leadership,
        settings: PlatformSettings,
        most: int | None = None,
    ) -> None:
        self._view, self._part, self._most = (
            view,
            partition,
            min(settings.txn_ops, most or settings.txn_ops),
        )
        self._value = settings.value_bytes
        self.conditions: dict[str, int] = {keys.term_key(partition): leadership.mod_revision}
        self.changes: dict[str, Change] = {}
        self.slices: dict[str, SliceShard] = {}
        self.teams: dict[str, QuotaRecord] = {}
        # Attempts that this transaction takes out of the records, and what changes in the teams'
        # use.
        self.ended_attempts: set[TaskKey] = set()
        self.change: dict[str, tuple[float, float]] = {}
        self._sizes: dict[str, int] = {}
        self.on_commit: list[Callable[[], None]] = []
        # Jobs that it ends, with their final status.
        self.jobs_over: list[tuple[Job, str]] = []

    @property
    def remaining_changes(self) -> int:
        """Return how many more changes fit."""
        return max(0, self._most - len(self.changes))

    def machines(self) -> frozenset[str]:
        """Return the machines that the changed shards name."""
        return frozenset(
            attempt.machine for shard in self.slices.values() for attempt in shard.attempts.values()
        )

    def most_slices(self, width: int) -> int:
        """Return how many slices of so many tasks a transaction takes beside a quota record."""
        weight = min(self._value, width * ATTEMPT_BYTES + SLICE_BYTES)
        return max(1, min(self._most - 1, (MAX_BODY - self._value) // weight))

    def has_space_for(self, *record_keys: str) -> bool:
        """Whether the records with these keys may be changed, too."""
        fresh = sum(1 for key in record_keys if key not in self.changes)
        return (
            len(self.changes) + fresh <= self._most
            and sum(self._sizes.values()) < MAX_BODY - self._value
        )

    def shard(self, job: str, team: str, resources: Resources, shard: int) -> SliceShard:
        """Return a shard as this transaction leaves it so far; an empty one if there is none."""
        key = keys.slice_key(self._part, job, shard)
        if key in self.slices:
            return self.slices[key]
        job_slice = self._view.job_slices.get(self._part, {}).get(job)
        found = job_slice.shards.get(shard) if job_slice is not None else None
        return found or SliceShard(job, self._part, team, resources, shard=shard)

    def quota(self, name: str) -> QuotaRecord:
        """Return a quota record as this transaction leaves it so far."""
        return self.teams.get(name) or self._view.quotas.get(name) or QuotaRecord(name)

    def used(self, team: str) -> tuple[float, float]:
        """Return what the partition uses for a team once this transaction is carried out."""
        cpus, gpus = self._view.usage.get(self._part, {}).get(team, (0.0, 0.0))
        more = self.change.get(team, (0.0, 0.0))
        return cpus + more[0], gpus + more[1]

    def charge(self, team: str, resources: Resources, tasks: int) -> None:
        """Count so many tasks, fewer if negative, in what the partition uses of a team's quota."""
        cpus, gpus = self.change.get(team, (0.0, 0.0))
        self.change[team] = (cpus + tasks * resources.cpus, gpus + tasks * resources.gpus)

    def require_job(self, job: Job) -> None:
        """Make the transaction depend on the job's record being as it was read."""
        self.conditions[keys.job_key(job.id)] = job.mod_revision

    def _put(self, key: str, value: Any, size: int | None = None) -> None:
        self.changes[key] = put(key, value)
        self._sizes[key] = (value_size_bound(value) if size is None else size) + len(key) + 60

    def fits(self, piece: SliceShard) -> bool:
        """Whether a shard fits into the value of its record."""
        return value_size_bound(piece.to_value()) <= self._value * 0.95

    def set_shard(self, piece: SliceShard) -> bool:
        """Write a shard; False, and nothing is changed, where it would not fit its value."""
        key, value = piece.key, piece.to_value()
        size = value_size_bound(value)
        if size > self._value * 0.95:
            return False
        self.conditions.setdefault(key, self._view.mod_revision(key))
        self.slices[key] = piece
        self._put(key, value, size)
        return True

    def delete_shard(self, piece: SliceShard) -> None:
        """Delete the record of a shard."""
        self.conditions.setdefault(piece.key, self._view.mod_revision(piece.key))
        self.changes[piece.key] = delete(piece.key)

    def set_quota(self, use: QuotaRecord) -> None:
        """Write a quota record."""
        key = keys.team_key(use.team)
        self.conditions.setdefault(key, self._view.mod_revision(key))
        self.teams[use.team] = use
        self._put(key, use.to_value())

    def set_job(self, job: Job) -> None:
        """Write a job's record."""
        self.require_job(job)
        self._put(keys.job_key(job.id), job.to_compact_value(int(self._value * 0.95)))

    def end_job(self, job: Job, status: str, done: int) -> None:
        """Replace a job's record by its end."""
        self.require_job(job)
        key, job_end = keys.job_key(job.id), keys.job_end_key(job.id)
        self.conditions[job_end] = 0
        self.changes[key] = delete(key)
        if job.spec.gang:
            self.changes[keys.gang_key(job.id)] = delete(keys.gang_key(job.id))
        self.changes[job_end] = put(job_end, records.job_end_value(status, done))
        self.jobs_over.append((job, status))
