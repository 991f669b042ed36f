"""The index of live jobs: which jobs are gangs, and of which jobs each partition holds tasks."""

from typing import Any

from roadbend.store.attempt_index import AttemptIndex
from roadbend.store.records import Job


class JobIndex:
    """The live jobs, with indexes that are updated with every change."""

    def __init__(self, attempts: AttemptIndex) -> None:
        self.jobs: dict[str, Job] = {}
        # Partition -> the jobs of which it holds tasks, in order of arrival.
        self.assigned_jobs: dict[str, dict[str, None]] = {}
        # Grows when a job is added or removed, not when one changes.
        self.membership_version = 0
        # Jobs that are gangs according to their gang records. The job records are not sufficient:
        # versions without gangs drop the mark when they rewrite them.
        self.gangs: set[str] = set()
        # Live jobs whose own record lists done tasks.
        self.jobs_with_done_tasks: set[str] = set()
        self._attempts = attempts

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Add or replace a job, given its record's value in the state store."""
        job = Job.from_value(name, value, mod_revision)
        self._replace(name, job.as_gang() if name in self.gangs else job)

    def remove(self, name: str) -> None:
        """Remove a job whose record was deleted."""
        self._replace(name, None)

    def find(self, name: str) -> Job | None:
        """Return a live job; None if there is no such job."""
        return self.jobs.get(name)

    def add_gang(self, name: str) -> None:
        """Mark a job as a gang, whether its own record is known yet or not."""
        self.gangs.add(name)
        job = self.jobs.get(name)
        if job is not None:
            self._replace(name, job.as_gang())

    def remove_gang(self, name: str) -> None:
        """Remove a job's gang mark after its gang record was deleted."""
        self.gangs.discard(name)

    def _replace(self, name: str, new: Job | None) -> None:
        old = self.jobs.get(name)
        before, after = (old.allocation if old else {}), (new.allocation if new else {})
        # Whether running tasks may have to be stopped: the job has ended, or a partition lost it.
        released = old is not None and new is None
        for partition in before:
            if partition not in after:
                self.assigned_jobs[partition].pop(name, None)
                released = True
        for partition in after:
            self.assigned_jobs.setdefault(partition, {})[name] = None
        if new is not None:
            self.jobs[name] = new
        elif old is not None:
            del self.jobs[name]
        if new is not None and new.done:
            self.jobs_with_done_tasks.add(name)
        else:
            self.jobs_with_done_tasks.discard(name)
        if (old is None) != (new is None):
            self.membership_version += 1
        if released:
            self._attempts.bump_machine_versions(name)
