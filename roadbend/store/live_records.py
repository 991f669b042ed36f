"""The live records by kind, with their indexes."""

from typing import Any

from roadbend.store import keys
from roadbend.store.attempt_index import AttemptIndex
from roadbend.store.job_index import JobIndex
from roadbend.store.keys import RecordKind
from roadbend.store.record_tables import (
    CatalogRecord,
    GangMarks,
    QuotaTable,
    RecordCollection,
    RecordTable,
)
from roadbend.store.records import (
    NO_USAGE,
    ControllerRecord,
    Job,
    LeaderRecord,
    RecoveryProgress,
    TermRecord,
    Usage,
    read_recovery_progress,
    read_unrecorded_job,
)


class LiveRecords:
    """The live records as last read; no index is ever worked out anew.

    What is asked for with every heartbeat or start is an attribute, set once; the dicts behind
    them are never replaced.
    """

    def __init__(self) -> None:
        self._attempts, quotas = AttemptIndex(), QuotaTable()
        attempts = self._attempts
        terms = RecordTable(TermRecord.from_value)
        leaders = RecordTable(LeaderRecord.from_value)
        self._jobs = JobIndex(attempts)
        self._controllers = RecordTable(ControllerRecord.from_value)
        self._recoveries = RecordTable(read_recovery_progress)
        self._unrecorded = RecordTable(read_unrecorded_job)
        self._catalog = CatalogRecord()
        self._collections: dict[str, RecordCollection] = {
            RecordKind.JOB: self._jobs,
            RecordKind.GANG: GangMarks(self._jobs),
            RecordKind.SLICE: attempts,
            RecordKind.QUOTA: quotas,
            RecordKind.TERM: terms,
            RecordKind.LEADER: leaders,
            RecordKind.CONTROLLER: self._controllers,
            RecordKind.RECOVERY: self._recoveries,
            RecordKind.UNRECORDED: self._unrecorded,
            RecordKind.CATALOG: self._catalog,
        }
        # Job id -> live job.
        self.jobs = self._jobs.jobs
        # Partition -> ids of the jobs of which it holds tasks, in the order in which they came.
        self.assigned_jobs = self._jobs.assigned_jobs
        # Partition -> job id -> what the partition runs of it.
        self.job_slices = attempts.job_slices
        # Partition -> machine -> the attempts recorded on it; and a number that changes with them.
        self.attempts_by_machine = attempts.attempts_by_machine
        self.machine_versions = attempts.machine_versions
        # Called when an attempt is named newly.
        self.attempt_listeners = attempts.listeners
        # Partition -> team -> what the recorded attempts use.
        self.usage = attempts.usage
        # Team -> what each partition has reserved of its quota.
        self.quotas = quotas.records
        # Partition -> its term, and its leader.
        self.terms = terms.records
        self.partition_leaders = leaders.records

    @property
    def membership_version(self) -> int:
        """A number that grows when a job comes or goes."""
        return self._jobs.membership_version

    @property
    def gangs(self) -> set[str]:
        """The jobs that a record of its own says are gangs."""
        return self._jobs.gangs

    def done_gangs(self) -> list[str]:
        """Return the gangs of which the records say of a task that it is done: then all are.

        In the order of their names. Jobs that are over are among them while slices of them are
        left. Only versions before gangs write this, for they record the tasks' ends one by one.
        """
        gangs = self._jobs.gangs
        in_slices = gangs & self._attempts.partitions_with_done.keys()
        return sorted(in_slices | (gangs & self._jobs.partly_done))

    def has_done_tasks(self, job: Job) -> bool:
        """Whether the records say of any task of a live job that it is done, in any partition."""
        return bool(job.done) or job.id in self._attempts.partitions_with_done

    @property
    def controllers(self) -> dict[str, ControllerRecord]:
        """The live controllers by name."""
        return self._controllers.records

    @property
    def recoveries(self) -> dict[str, RecoveryProgress]:
        """How far the recovery of each partition is, as its leader wrote it."""
        return self._recoveries.records

    @property
    def unrecorded(self) -> dict[str, str]:
        """The jobs that machines run and no record names, with the partition that stops each."""
        return self._unrecorded.records

    @property
    def catalog(self) -> Any:
        """The machine types as last seen by any controller, in the form of their record."""
        return self._catalog.value

    @property
    def catalog_mod_revision(self) -> int:
        """The mod revision of the machine types' record, 0 if there is none."""
        return self._catalog.mod_revision

    def value(self, key: str) -> Any:
        """Return what a job's, a slice's or a team's record holds, to write the same again.

        None for other kinds, and where there is no such record.
        """
        kind, name = keys.split_key(key)
        collection = self._collections.get(kind)
        record = collection.find(name) if collection is not None else None
        return None if record is None else record.to_value()

    def team_usage(self, team: str) -> Usage:
        """Return what all of a team's recorded attempts use, in all partitions."""
        rows = [teams.get(team, NO_USAGE) for teams in self.usage.values()]
        return Usage(sum(row.cpus for row in rows), sum(row.gpus for row in rows))

    def _store(self, key: str, value: Any, mod_revision: int) -> None:
        """Take in a record as read. Kinds that newer versions may add are left out."""
        kind, name = keys.split_key(key)
        collection = self._collections.get(kind)
        if collection is not None:
            collection.store(name, value, mod_revision)

    def _remove(self, key: str) -> None:
        """Take in that a record was deleted."""
        kind, name = keys.split_key(key)
        collection = self._collections.get(kind)
        if collection is not None:
            collection.remove(name)
