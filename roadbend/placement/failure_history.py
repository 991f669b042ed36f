"""Which jobs' tasks failed lately on which machines of one partition."""

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock

# How long a failure is kept after the job's latest one on the machine.
RETENTION = timedelta(minutes=5)
# Bound on the failures that are kept; beyond it the oldest are dropped.
MAX_FAILURES = 16_384


class Failure(NamedTuple):
    """That tasks of a job failed on a machine; both by id."""

    job: str
    machine: str


@dataclass(slots=True)
class JobFailures:
    """The failures of one job."""

    machines: set[str] = field(default_factory=set)
    # The longest time for which a task had run when it failed.
    longest_run: timedelta = clock.ZERO
    # Whether a task of the job is known to have run well, so that no mistake of the job's owner
    # explains the failures.
    has_succeeded: bool = False


class FailureHistory:
    """The recent failures of one partition, by job and by machine.

    A deleted machine stays, since its failures tell something of the jobs.
    """

    def __init__(self) -> None:
        # The time of the latest failure of each job on each machine, the oldest first.
        self._failed_at: dict[Failure, datetime] = {}
        self._by_job: dict[str, JobFailures] = {}
        self._jobs_by_machine: dict[str, set[str]] = {}
        # Grows with every change.
        self.version = 0

    def __len__(self) -> int:
        return len(self._failed_at)

    @property
    def jobs(self) -> Collection[str]:
        """The jobs with failures."""
        return self._by_job.keys()

    def of_job(self, job: str) -> JobFailures:
        """Return the failures of a job that has some."""
        return self._by_job[job]

    def jobs_failed_on(self, machine: str) -> Collection[str]:
        """Return the jobs of which tasks failed on a machine."""
        return self._jobs_by_machine.get(machine, ())

    def failed_at(self, job: str, machine: str) -> datetime:
        """Return when a task of the job last failed on the machine, where one did."""
        return self._failed_at[Failure(job, machine)]

    def machines_with(self, min_jobs: int) -> list[str]:
        """Return the machines on which tasks of at least `min_jobs` different jobs failed."""
        return [machine for machine, jobs in self._jobs_by_machine.items() if len(jobs) >= min_jobs]

    def record(self, job: str, machine: str, ran_for: timedelta, now: datetime) -> None:
        """Record that a task failed, which had run for `ran_for`."""
        failure = Failure(job, machine)
        # The failures stay in the order of their times.
        self._failed_at.pop(failure, None)
        self._failed_at[failure] = now
        failures = self._by_job.setdefault(job, JobFailures())
        failures.machines.add(machine)
        failures.longest_run = max(failures.longest_run, ran_for)
        self._jobs_by_machine.setdefault(machine, set()).add(job)
        self.version += 1
        while len(self._failed_at) > MAX_FAILURES:
            self._drop(next(iter(self._failed_at)))

    def mark_succeeded(self, job: str) -> None:
        """Mark a job as one whose tasks run well, if it has failures."""
        failures = self._by_job.get(job)
        if failures is not None and not failures.has_succeeded:
            failures.has_succeeded = True
            self.version += 1

    def drop_job(self, job: str) -> None:
        """Drop the failures of a job."""
        for machine in list(self._by_job[job].machines):
            self._drop(Failure(job, machine))

    def drop_before(self, machine: str, instant: datetime) -> None:
        """Drop the failures on a machine before an instant."""
        for job in list(self.jobs_failed_on(machine)):
            if self.failed_at(job, machine) < instant:
                self._drop(Failure(job, machine))

    def drop_expired(self, now: datetime) -> None:
        """Drop the failures that are kept no longer."""
        while self._failed_at:
            oldest = next(iter(self._failed_at))
            if now - self._failed_at[oldest] < RETENTION:
                return
            self._drop(oldest)

    def _drop(self, failure: Failure) -> None:
        job, machine = failure
        del self._failed_at[failure]
        self._by_job[job].machines.discard(machine)
        if not self._by_job[job].machines:
            del self._by_job[job]
        self._jobs_by_machine[machine].discard(job)
        if not self._jobs_by_machine[machine]:
            del self._jobs_by_machine[machine]
        self.version += 1
