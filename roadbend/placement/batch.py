"""One transaction of an owner in the making."""

from collections.abc import Callable
from typing import Any

from roadbend.fleet.ended_attempts import Key
from roadbend.parts.ownership import Tenure
from roadbend.settings import Settings
from roadbend.store import keys, records
from roadbend.store.client import delete, put
from roadbend.store.records import Job, Need, Slice, Use, weigh
from roadbend.store.view import View

# Bytes that a transaction's values may have in all; the protocol allows 64 KiB, conditions
# included.
MAX_BODY = 56 * 1024
# What an attempt and the rest of a slice's record take at most.
ATTEMPT_BYTES, SLICE_BYTES = 28, 460


class Batch:
    """One transaction in the making: working copies of what it changes, and its conditions."""

    def __init__(
        self, view: View, part: str, tenure: Tenure, settings: Settings, most: int | None = None
    ):
        self._view, self._part, self._most = (
            view,
            part,
            min(settings.txn_ops, most or settings.txn_ops),
        )
        self._value = settings.value_bytes
        self.when: dict[str, int] = {keys.term_key(part): tenure.mod_revision}
        self.rows: dict[str, dict] = {}
        self.slices: dict[str, Slice] = {}
        self.teams: dict[str, Use] = {}
        # Attempts that this transaction takes out of the records, and what changes in the teams'
        # use.
        self.ended: set[Key] = set()
        self.change: dict[str, tuple[float, float]] = {}
        self._sizes: dict[str, int] = {}
        self.after: list[Callable[[], None]] = []
        # Jobs that it ends, with their final status.
        self.jobs_over: list[tuple[Job, str]] = []

    @property
    def free(self) -> int:
        return max(0, self._most - len(self.rows))

    def most_slices(self, width: int) -> int:
        """How many slices of so many tasks an empty transaction takes, beside a team's record."""
        weight = min(self._value, width * ATTEMPT_BYTES + SLICE_BYTES)
        return max(1, min(self._most - 1, (MAX_BODY - self._value) // weight))

    def room_for(self, *record_keys: str) -> bool:
        fresh = sum(1 for key in record_keys if key not in self.rows)
        return (
            len(self.rows) + fresh <= self._most
            and sum(self._sizes.values()) < MAX_BODY - self._value
        )

    def slice(self, job: str, team: str, need: Need, shard: int) -> Slice:
        key = keys.slice_key(self._part, job, shard)
        if key in self.slices:
            return self.slices[key]
        work = self._view.slices.get(self._part, {}).get(job)
        found = work.shards.get(shard) if work is not None else None
        return found or Slice(job, self._part, team, need, shard=shard)

    def team(self, name: str) -> Use:
        return self.teams.get(name) or self._view.teams.get(name) or Use(name)

    def used(self, team: str) -> tuple[float, float]:
        """What the part uses for a team once this transaction is carried out."""
        cpus, gpus = self._view.used.get(self._part, {}).get(team, (0.0, 0.0))
        more = self.change.get(team, (0.0, 0.0))
        return cpus + more[0], gpus + more[1]

    def charge(self, team: str, need: Need, tasks: int) -> None:
        cpus, gpus = self.change.get(team, (0.0, 0.0))
        self.change[team] = (cpus + tasks * need.cpus, gpus + tasks * need.gpus)

    def need_job(self, job: Job) -> None:
        self.when[keys.job_key(job.id)] = job.mod_revision

    def _put(self, key: str, value: Any, size: int | None = None) -> None:
        self.rows[key] = put(key, value)
        self._sizes[key] = (weigh(value) if size is None else size) + len(key) + 60

    def fits(self, piece: Slice) -> bool:
        return weigh(piece.to_value()) <= self._value * 0.95

    def set_slice(self, piece: Slice) -> bool:
        """False where the record would not fit its value; nothing is changed then."""
        key, value = piece.key, piece.to_value()
        size = weigh(value)
        if size > self._value * 0.95:
            return False
        self.when.setdefault(key, self._view.mod_revision(key))
        self.slices[key] = piece
        self._put(key, value, size)
        return True

    def drop_slice(self, piece: Slice) -> None:
        self.when.setdefault(piece.key, self._view.mod_revision(piece.key))
        self.rows[piece.key] = delete(piece.key)

    def set_team(self, use: Use) -> None:
        key = keys.team_key(use.team)
        self.when.setdefault(key, self._view.mod_revision(key))
        self.teams[use.team] = use
        self._put(key, use.to_value())

    def set_job(self, job: Job) -> None:
        self.need_job(job)
        self._put(keys.job_key(job.id), job.to_small_value(int(self._value * 0.95)))

    def end_job(self, job: Job, status: str, done: int) -> None:
        self.need_job(job)
        key, fin = keys.job_key(job.id), keys.fin_key(job.id)
        self.when[fin] = 0
        self.rows[key] = delete(key)
        if job.spec.gang:
            self.rows[keys.gang_key(job.id)] = delete(keys.gang_key(job.id))
        self.rows[fin] = put(fin, records.fin_value(status, done))
        self.jobs_over.append((job, status))
