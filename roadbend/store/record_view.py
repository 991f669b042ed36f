"""This controller's view of the live records, and the read barrier.

Every record is applied by its stamp, from whichever side it comes first: our own transactions'
answers or the service's log. A read that began after a question came makes the view fresh enough to
answer that question, whoever wrote last."""

import threading
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.store import keys, ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import (
    Attempt,
    ControllerRecord,
    Job,
    LeaderRecord,
    QuotaRecord,
    RecoveryProgress,
    Resources,
    SliceShard,
    TermRecord,
)

log = Log("store")


class JobSlice:
    """A partition's work on one job: its shards put together."""

    __slots__ = (
        "job",
        "partition",
        "team",
        "resources",
        "shards",
        "attempts",
        "homes",
        "twice",
        "changed",
        "_done",
    )

    def __init__(self, job: str, partition: str, team: str, resources: Resources):
        self.job, self.partition, self.team, self.resources = job, partition, team, resources
        self.shards: dict[int, SliceShard] = {}
        self.attempts: dict[int, Attempt] = {}
        # The shard that each running task was read from, and the tasks that another shard names,
        # too: a split writes the record that takes a task before the one that gives it up.
        self.homes: dict[int, int] = {}
        self.twice: set[int] = set()
        # Another number after every change of the records of any work.
        self.changed = 0
        self._done: Ranges | None = None

    @property
    def done(self) -> Ranges:
        if self._done is None:
            self._done = ranges.normal(
                pair for piece in self.shards.values() for pair in piece.done
            )
        return self._done

    def shard_of(self, task_index: int, width: int) -> int:
        """Where a task's attempt is, or would be, written."""
        # One that runs may have been written under another width, or by version 0.1.
        return self.homes.get(task_index, task_index // width)

    def remove(self, shard: int, task_index: int) -> Attempt | None:
        """A shard names a task's attempt no more. Gives the attempt if it does not run any more."""
        if self.homes.get(task_index) != shard:
            return None
        attempt = self.attempts[task_index]
        if task_index in self.twice and self._read_elsewhere(shard, task_index):
            return None
        del self.attempts[task_index], self.homes[task_index]
        return attempt

    def add(self, shard: int, task_index: int, attempt: Attempt) -> bool:
        """A shard names a task's attempt; says whether no other one did."""
        if task_index in self.attempts:
            self.twice.add(task_index)
            return False
        self.attempts[task_index], self.homes[task_index] = attempt, shard
        return True

    def _read_elsewhere(self, shard: int, task_index: int) -> bool:
        """Takes a task to be where another shard names it; says whether one does so, with the same
        attempt."""
        for other, piece in self.shards.items():
            if other != shard and piece.attempts.get(task_index) == self.attempts[task_index]:
                self.homes[task_index] = other
                return True
        self.twice.discard(task_index)
        return False


# What runs on a machine by the records: (job, task) -> its partition's work on the job, and the
# attempt.
MachineAttempts = dict[tuple[str, int], tuple[JobSlice, Attempt]]


class RecordView:
    """The records, with indexes that follow every change; none of them is ever worked out anew."""

    def __init__(self):
        self.lock = threading.RLock()
        self.revision = 0
        self.version = 0
        self.loaded = False
        self.jobs: dict[str, Job] = {}
        # Grows when a job comes or goes, not when one changes.
        self.membership = 0
        # Jobs of which a partition holds tasks, by partition, in the order in which they came.
        self.assigned_jobs: dict[str, dict[str, None]] = {}
        self.job_slices: dict[str, dict[str, JobSlice]] = {}
        self.attempts_by_machine: dict[str, dict[str, MachineAttempts]] = {}
        # Tells the changes of what is recorded on a machine.
        self.machine_versions: dict[str, dict[str, int]] = {}
        self._marked = 0
        # Cores and GPUs of all recorded attempts: partition -> team -> amounts.
        self.usage: dict[str, dict[str, tuple[float, float]]] = {}
        self.quotas: dict[str, QuotaRecord] = {}
        self.terms: dict[str, TermRecord] = {}
        self.partition_leaders: dict[str, LeaderRecord] = {}
        self.controllers: dict[str, ControllerRecord] = {}
        # Jobs that are gangs, whatever their own records say.
        self.gangs: set[str] = set()
        # How far the recovery of each partition is, as its owner wrote it, and by which partition
        # jobs that no record names are being stopped.
        self.recoveries: dict[str, RecoveryProgress] = {}
        self.unrecorded: dict[str, str] = {}
        self.catalog: Any = None
        self.catalog_mod_revision = 0
        self._mod_revisions: dict[str, int] = {}
        self._gone: dict[str, int] = {}
        self.watchers: list[Callable[[str], None]] = []

    def mod_revision(self, key: str) -> int:
        return self._mod_revisions.get(key, 0)

    def value(self, key: str) -> Any:
        """What a job's, a slice's or a team's record holds, to write the same again."""
        kind, rest = self._split(key)
        if kind == "slice":
            partition, job, shard = self._split_slice(rest)
            job_slice = self.job_slices.get(partition, {}).get(job)
            row = job_slice.shards.get(shard) if job_slice is not None else None
        else:
            row = {"job": self.jobs, "team": self.quotas}.get(kind, {}).get(unquote(rest))
        return None if row is None else row.to_value()

    def put(self, key: str, value: Any, mod_revision: int) -> None:
        with self.lock:
            if mod_revision <= self._mod_revisions.get(key, 0) or mod_revision <= self._gone.get(
                key, 0
            ):
                return
            try:
                self._store(key, value, mod_revision)
            except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
                # A record that can't be read must not stop the rest from being served.
                log.error("record-unreadable", key=key, error=repr(error)[:120])
                return
            self._mod_revisions[key] = mod_revision
            self._gone.pop(key, None)
            self.version += 1
        self._tell(key)

    def drop(self, key: str, mod_revision: int) -> None:
        with self.lock:
            if mod_revision <= self._mod_revisions.get(key, 0) or mod_revision <= self._gone.get(
                key, 0
            ):
                return
            self._gone[key] = mod_revision
            if self._mod_revisions.pop(key, None) is None:
                return
            kind, rest = self._split(key)
            if kind == "job":
                self._swap_job(rest, None)
            elif kind == "gang":
                self.gangs.discard(rest)
            elif kind == "slice":
                partition, job, shard = self._split_slice(rest)
                self._swap(partition, job, shard, None)
            elif kind == "team":
                self.quotas.pop(unquote(rest), None)
            elif kind == "term":
                self.terms.pop(unquote(rest), None)
            elif kind == "own":
                self.partition_leaders.pop(unquote(rest), None)
            elif kind == "node":
                self.controllers.pop(unquote(rest), None)
            elif kind == "recovery":
                self.recoveries.pop(unquote(rest), None)
            elif kind == "unrecorded":
                self.unrecorded.pop(rest, None)
            self.version += 1
        self._tell(key)

    def applied(self, changes: list[dict], revision: int) -> None:
        """Our own transaction was carried out at this revision. An answer that comes after the log
        has passed that revision is old news: applying it could bring back a record removed
        since."""
        if revision <= self.revision:
            return
        for row in changes:
            if "write" in row:
                if row["write"].startswith(keys.LIVE):
                    self.put(row["write"], row["value"], revision)
            elif row["delete"].startswith(keys.LIVE):
                self.drop(row["delete"], revision)

    def events(self, rows: list[dict], revision: int) -> None:
        for row in rows:
            mod_revision = row.get("stamp")
            if not isinstance(mod_revision, int):
                raise NoAnswerError("nonsense: stamp")
            if isinstance(row.get("write"), str):
                self.put(row["write"], row.get("value"), mod_revision)
            elif isinstance(row.get("delete"), str):
                self.drop(row["delete"], mod_revision)
        with self.lock:
            self.revision = max(self.revision, revision)
            if self._gone:
                self._gone = {k: s for k, s in self._gone.items() if s > self.revision}

    def load(self, rows: list[tuple[str, Any, int]], revision: int) -> None:
        """Everything read anew: what is not listed and not newer than the listing is gone."""
        listed = {key for key, _, _ in rows}
        for key, value, mod_revision in rows:
            self.put(key, value, mod_revision)
        for key in [k for k, s in self._mod_revisions.items() if k not in listed and s <= revision]:
            self.drop(key, revision)
        with self.lock:
            self.revision = revision
            self.loaded = True

    @staticmethod
    def _split(key: str) -> tuple[str, str]:
        _, _, tail = key.partition("/")
        kind, _, rest = tail.partition("/")
        return kind, rest

    @staticmethod
    def _split_slice(rest: str) -> tuple[str, str, int]:
        partition, _, rest = rest.partition("/")
        job, slash, shard = rest.partition("/")
        return unquote(partition), job, int(shard) if slash else -1

    def _swap_job(self, name: str, new: Job | None) -> None:
        old = self.jobs.get(name)
        before, after = (old.allocation if old else {}), (new.allocation if new else {})
        for partition in before:
            if partition not in after:
                self.assigned_jobs[partition].pop(name, None)
        for partition in after:
            self.assigned_jobs.setdefault(partition, {})[name] = None
        if new is not None:
            self.jobs[name] = new
        elif old is not None:
            del self.jobs[name]
        if (old is None) != (new is None):
            self.membership += 1
        if old is not None and new is None or before.keys() - after.keys():
            # Its tasks are to be stopped: machines that have some are looked at again.
            for partition, job_slices in self.job_slices.items():
                job_slice = job_slices.get(name)
                if job_slice is not None:
                    for attempt in job_slice.attempts.values():
                        self._mark(partition, attempt.machine)

    def _mark(self, partition: str, machine: str) -> None:
        # One count for all, so that a mark that was dropped and began anew is never taken for the
        # old one.
        self._marked += 1
        self.machine_versions.setdefault(partition, {})[machine] = self._marked

    def _swap(self, partition: str, job: str, shard: int, new: SliceShard | None) -> None:
        """A shard's record changed: the indexes follow by what differs."""
        job_slices = self.job_slices.setdefault(partition, {})
        job_slice = job_slices.get(job)
        if job_slice is None:
            if new is None:
                return
            job_slice = job_slices[job] = JobSlice(job, partition, new.team, new.resources)
        old = job_slice.shards.get(shard)
        before, after = (old.attempts if old else {}), (new.attempts if new else {})
        machines = self.attempts_by_machine.setdefault(partition, {})
        change = 0
        for task_index, attempt in before.items():
            if after.get(task_index) != attempt and job_slice.remove(shard, task_index) is not None:
                change -= 1
                rows = machines.get(attempt.machine)
                if rows is not None:
                    rows.pop((job, task_index), None)
                    if not rows:
                        del machines[attempt.machine]
                self._mark(partition, attempt.machine)
        for task_index, attempt in after.items():
            if before.get(task_index) != attempt and job_slice.add(shard, task_index, attempt):
                change += 1
                machines.setdefault(attempt.machine, {})[(job, task_index)] = (job_slice, attempt)
                self._mark(partition, attempt.machine)
        if change:
            teams = self.usage.setdefault(partition, {})
            cpus, gpus = teams.get(job_slice.team, (0.0, 0.0))
            teams[job_slice.team] = (
                round(cpus + change * job_slice.resources.cpus, 6),
                round(gpus + change * job_slice.resources.gpus, 6),
            )
        if new is not None:
            job_slice.shards[shard] = new
        else:
            job_slice.shards.pop(shard, None)
            if not job_slice.shards:
                del job_slices[job]
        job_slice._done = None
        self._marked += 1
        job_slice.changed = self._marked
        if len(self.machine_versions.get(partition, ())) > 20_000:
            # Marks only ever tell a machine's change from no change; those without work may start
            # anew.
            self.machine_versions[partition] = {
                name: n for name, n in self.machine_versions[partition].items() if name in machines
            }

    def used_by(self, team: str) -> tuple[float, float]:
        rows = [teams.get(team, (0.0, 0.0)) for teams in self.usage.values()]
        return sum(c for c, _ in rows), sum(g for _, g in rows)

    def _store(self, key: str, value: Any, mod_revision: int) -> None:
        kind, rest = self._split(key)
        if kind == "job":
            job = Job.from_value(rest, value, mod_revision)
            self._swap_job(rest, job.as_gang() if rest in self.gangs else job)
        elif kind == "gang":
            self.gangs.add(rest)
            if rest in self.jobs:
                self._swap_job(rest, self.jobs[rest].as_gang())
        elif kind == "slice":
            partition, job, shard = self._split_slice(rest)
            self._swap(
                partition,
                job,
                shard,
                SliceShard.from_value(partition, job, shard, value, mod_revision),
            )
        elif kind == "team":
            team = unquote(rest)
            partitions = {partition: (float(c), float(g)) for partition, (c, g) in value.items()}
            self.quotas[team] = QuotaRecord(team, partitions, mod_revision)
        elif kind == "term":
            self.terms[unquote(rest)] = TermRecord(int(value["n"]), value["node"], mod_revision)
        elif kind == "own":
            self.partition_leaders[unquote(rest)] = LeaderRecord(
                value["node"], value["boot"], int(value["term"]), mod_revision
            )
        elif kind == "node":
            self.controllers[unquote(rest)] = ControllerRecord(
                unquote(rest), value["boot"], mod_revision
            )
        elif kind == "recovery":
            self.recoveries[unquote(rest)] = RecoveryProgress.from_value(value, mod_revision)
        elif kind == "unrecorded":
            self.unrecorded[rest] = str(value["part"])
        elif kind == "catalog":
            self.catalog, self.catalog_mod_revision = value, mod_revision

    def _tell(self, key: str) -> None:
        for watcher in self.watchers:
            watcher(key)
