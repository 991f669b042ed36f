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
    Job,
    Live,
    Need,
    Own,
    RecoveryProgress,
    Slice,
    Term,
    Use,
)

log = Log("store")


class Work:
    """A part's work on one job: its shards put together."""

    __slots__ = (
        "job",
        "part",
        "team",
        "need",
        "shards",
        "run",
        "homes",
        "twice",
        "changed",
        "_done",
    )

    def __init__(self, job: str, part: str, team: str, need: Need):
        self.job, self.part, self.team, self.need = job, part, team, need
        self.shards: dict[int, Slice] = {}
        self.run: dict[int, Attempt] = {}
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
        attempt = self.run[task_index]
        if task_index in self.twice and self._read_elsewhere(shard, task_index):
            return None
        del self.run[task_index], self.homes[task_index]
        return attempt

    def add(self, shard: int, task_index: int, attempt: Attempt) -> bool:
        """A shard names a task's attempt; says whether no other one did."""
        if task_index in self.run:
            self.twice.add(task_index)
            return False
        self.run[task_index], self.homes[task_index] = attempt, shard
        return True

    def _read_elsewhere(self, shard: int, task_index: int) -> bool:
        """Takes a task to be where another shard names it; says whether one does so, with the same
        attempt."""
        for other, piece in self.shards.items():
            if other != shard and piece.run.get(task_index) == self.run[task_index]:
                self.homes[task_index] = other
                return True
        self.twice.discard(task_index)
        return False


# What runs on a machine by the records: (job, task) -> its part's work on the job, and the attempt.
Rows = dict[tuple[str, int], tuple[Work, Attempt]]


class View:
    """The records, with indexes that follow every change; none of them is ever worked out anew."""

    def __init__(self):
        self.lock = threading.RLock()
        self.revision = 0
        self.version = 0
        self.loaded = False
        self.jobs: dict[str, Job] = {}
        # Grows when a job comes or goes, not when one changes.
        self.membership = 0
        # Jobs of which a part holds tasks, by part, in the order in which they came.
        self.held: dict[str, dict[str, None]] = {}
        self.slices: dict[str, dict[str, Work]] = {}
        self.machines: dict[str, dict[str, Rows]] = {}
        # Tells the changes of what is recorded on a machine.
        self.marks: dict[str, dict[str, int]] = {}
        self._marked = 0
        # Cores and GPUs of all recorded attempts: part -> team -> amounts.
        self.used: dict[str, dict[str, tuple[float, float]]] = {}
        self.teams: dict[str, Use] = {}
        self.terms: dict[str, Term] = {}
        self.owns: dict[str, Own] = {}
        self.nodes: dict[str, Live] = {}
        # Jobs that are gangs, whatever their own records say.
        self.gangs: set[str] = set()
        # How far the recovery of each part is, as its owner wrote it, and by which part jobs that
        # no record names are being stopped.
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
            part, job, shard = self._split_slice(rest)
            work = self.slices.get(part, {}).get(job)
            row = work.shards.get(shard) if work is not None else None
        else:
            row = {"job": self.jobs, "team": self.teams}.get(kind, {}).get(unquote(rest))
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
                log.error("bad-record", key=key, error=repr(error)[:120])
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
                part, job, shard = self._split_slice(rest)
                self._swap(part, job, shard, None)
            elif kind in ("team", "term", "own", "node"):
                getattr(self, f"{kind}s").pop(unquote(rest), None)
            elif kind == "recovery":
                self.recoveries.pop(unquote(rest), None)
            elif kind == "unrecorded":
                self.unrecorded.pop(rest, None)
            self.version += 1
        self._tell(key)

    def applied(self, apply: list[dict], revision: int) -> None:
        """Our own transaction was carried out at this revision. An answer that comes after the log
        has passed that revision is old news: applying it could bring back a record removed
        since."""
        if revision <= self.revision:
            return
        for row in apply:
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
        part, _, rest = rest.partition("/")
        job, slash, shard = rest.partition("/")
        return unquote(part), job, int(shard) if slash else -1

    def _swap_job(self, name: str, new: Job | None) -> None:
        old = self.jobs.get(name)
        before, after = (old.alloc if old else {}), (new.alloc if new else {})
        for part in before:
            if part not in after:
                self.held[part].pop(name, None)
        for part in after:
            self.held.setdefault(part, {})[name] = None
        if new is not None:
            self.jobs[name] = new
        elif old is not None:
            del self.jobs[name]
        if (old is None) != (new is None):
            self.membership += 1
        if old is not None and new is None or before.keys() - after.keys():
            # Its tasks are to be stopped: machines that have some are looked at again.
            for part, works in self.slices.items():
                work = works.get(name)
                if work is not None:
                    for attempt in work.run.values():
                        self._mark(part, attempt.machine)

    def _mark(self, part: str, machine: str) -> None:
        # One count for all, so that a mark that was dropped and began anew is never taken for the
        # old one.
        self._marked += 1
        self.marks.setdefault(part, {})[machine] = self._marked

    def _swap(self, part: str, job: str, shard: int, new: Slice | None) -> None:
        """A shard's record changed: the indexes follow by what differs."""
        works = self.slices.setdefault(part, {})
        work = works.get(job)
        if work is None:
            if new is None:
                return
            work = works[job] = Work(job, part, new.team, new.need)
        old = work.shards.get(shard)
        before, after = (old.run if old else {}), (new.run if new else {})
        machines = self.machines.setdefault(part, {})
        change = 0
        for task_index, attempt in before.items():
            if after.get(task_index) != attempt and work.remove(shard, task_index) is not None:
                change -= 1
                rows = machines.get(attempt.machine)
                if rows is not None:
                    rows.pop((job, task_index), None)
                    if not rows:
                        del machines[attempt.machine]
                self._mark(part, attempt.machine)
        for task_index, attempt in after.items():
            if before.get(task_index) != attempt and work.add(shard, task_index, attempt):
                change += 1
                machines.setdefault(attempt.machine, {})[(job, task_index)] = (work, attempt)
                self._mark(part, attempt.machine)
        if change:
            teams = self.used.setdefault(part, {})
            cpus, gpus = teams.get(work.team, (0.0, 0.0))
            teams[work.team] = (
                round(cpus + change * work.need.cpus, 6),
                round(gpus + change * work.need.gpus, 6),
            )
        if new is not None:
            work.shards[shard] = new
        else:
            work.shards.pop(shard, None)
            if not work.shards:
                del works[job]
        work._done = None
        self._marked += 1
        work.changed = self._marked
        if len(self.marks.get(part, ())) > 20_000:
            # Marks only ever tell a machine's change from no change; those without work may start
            # anew.
            self.marks[part] = {name: n for name, n in self.marks[part].items() if name in machines}

    def used_by(self, team: str) -> tuple[float, float]:
        rows = [teams.get(team, (0.0, 0.0)) for teams in self.used.values()]
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
            part, job, shard = self._split_slice(rest)
            self._swap(part, job, shard, Slice.from_value(part, job, shard, value, mod_revision))
        elif kind == "team":
            team = unquote(rest)
            parts = {part: (float(c), float(g)) for part, (c, g) in value.items()}
            self.teams[team] = Use(team, parts, mod_revision)
        elif kind == "term":
            self.terms[unquote(rest)] = Term(int(value["n"]), value["node"], mod_revision)
        elif kind == "own":
            self.owns[unquote(rest)] = Own(
                value["node"], value["boot"], int(value["term"]), mod_revision
            )
        elif kind == "node":
            self.nodes[unquote(rest)] = Live(unquote(rest), value["boot"], mod_revision)
        elif kind == "recovery":
            self.recoveries[unquote(rest)] = RecoveryProgress.from_value(value, mod_revision)
        elif kind == "unrecorded":
            self.unrecorded[rest] = str(value["part"])
        elif kind == "catalog":
            self.catalog, self.catalog_mod_revision = value, mod_revision

    def _tell(self, key: str) -> None:
        for watcher in self.watchers:
            watcher(key)
