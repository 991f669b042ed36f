"""The live records by kind, with their indexes."""

from typing import Any

from roadbend.store import keys
from roadbend.store.attempt_index import AttemptIndex
from roadbend.store.job_index import JobIndex
from roadbend.store.keys import RecordKind
from roadbend.store.record_tables import (
    CatalogRecord,
    GangTable,
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
    """The live records as last read, with indexes that are updated and never rebuilt.

    Tables that are used with every heartbeat or start are attributes that are set once; these
    dicts are never replaced.
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
            RecordKind.GANG: GangTable(self._jobs),
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
        # Partition -> ids of the jobs of which it holds tasks, in order of arrival.
        self.assigned_jobs = self._jobs.assigned_jobs
        # Partition -> job id -> the slice of the job.
        self.job_slices = attempts.job_slices
        # Partition -> machine -> the attempts recorded on it; and a version that changes with them.
        self.attempts_by_machine = attempts.attempts_by_machine
        self.machine_versions = attempts.machine_versions
        # Called when an attempt is newly recorded.
        self.attempt_listeners = attempts.listeners
        # Partition -> team -> the usage of its recorded attempts.
        self.usage = attempts.usage
        # Team -> what each partition has reserved of its quota.
        self.quotas = quotas.records
        # Partition -> its term, and its leader.
        self.terms = terms.records
        self.partition_leaders = leaders.records

    @property
    def membership_version(self) -> int:
        """A version that grows when a live job is added or removed."""
        return self._jobs.membership_version

    @property
    def gangs(self) -> set[str]:
        """The ids of the jobs with a gang record."""
        return self._jobs.gangs

    def done_gangs(self) -> list[str]:
        """Return the gangs of which a task is recorded as done, sorted by name.

        If one task of a gang is done, all are. Ended jobs are included while slices of them are
        left. Only versions without gangs write such records, since they record each task's
        termination by itself.
        """
        gangs = self._jobs.gangs
        in_slices = gangs & self._attempts.partitions_with_done.keys()
        return sorted(in_slices | (gangs & self._jobs.jobs_with_done_tasks))

    def has_done_tasks(self, job: Job) -> bool:
        """Return whether any task of a live job is recorded as done, in any partition."""
        return bool(job.done) or job.id in self._attempts.partitions_with_done

    @property
    def controllers(self) -> dict[str, ControllerRecord]:
        """The live controllers by name."""
        return self._controllers.records

    @property
    def recoveries(self) -> dict[str, RecoveryProgress]:
        """The progress of each partition's recovery, as recorded by its leader."""
        return self._recoveries.records

    @property
    def unrecorded(self) -> dict[str, str]:
        """The jobs that machines run without a job record, with the partition that stops each."""
        return self._unrecorded.records

    @property
    def catalog(self) -> Any:
        """The machine types as last seen by any controller, as the value of their record."""
        return self._catalog.value

    @property
    def catalog_mod_revision(self) -> int:
        """The mod revision of the record of the machine types, 0 if there is none."""
        return self._catalog.mod_revision

    def value(self, key: str) -> Any:
        """Return the value of a job, slice or quota record, for rewriting it unchanged.

        None for other kinds, and if there is no such record.
        """
        kind, name = keys.split_key(key)
        collection = self._collections.get(kind)
        record = collection.find(name) if collection is not None else None
        return None if record is None else record.to_value()

    def team_usage(self, team: str) -> Usage:
        """Return the usage of all recorded attempts of a team, in all partitions."""
        rows = [teams.get(team, NO_USAGE) for teams in self.usage.values()]
        return Usage(sum(row.cpus for row in rows), sum(row.gpus for row in rows))

    def _store(self, key: str, value: Any, mod_revision: int) -> None:
        """Add or replace a record. Unknown kinds, which newer versions may add, are ignored."""
        kind, name = keys.split_key(key)
        collection = self._collections.get(kind)
        if collection is not None:
            collection.store(name, value, mod_revision)

    def _remove(self, key: str) -> None:
        """Remove a deleted record."""
        kind, name = keys.split_key(key)
        collection = self._collections.get(kind)
        if collection is not None:
            collection.remove(name)
