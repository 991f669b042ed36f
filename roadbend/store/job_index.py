"""The index of live jobs: which are gangs, and which partitions hold tasks of which."""

from typing import Any

from roadbend.store.attempt_index import AttemptIndex
from roadbend.store.records import Job


class JobIndex:
    """The live jobs, with indexes that follow every change."""

    def __init__(self, attempts: AttemptIndex) -> None:
        self.jobs: dict[str, Job] = {}
        # Partition -> the jobs of which it holds tasks, in the order in which they came to it.
        self.assigned_jobs: dict[str, dict[str, None]] = {}
        # Grows when a job comes or goes, not when one changes.
        self.membership_version = 0
        # Jobs that are gangs, whatever their own records say: versions before gangs rewrite a job's
        # record without that.
        self.gangs: set[str] = set()
        # Live jobs of which the job's own record says that tasks are done.
        self.partly_done: set[str] = set()
        self._attempts = attempts

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Take in a job's record as read from the state store."""
        job = Job.from_value(name, value, mod_revision)
        self._replace(name, job.as_gang() if name in self.gangs else job)

    def remove(self, name: str) -> None:
        """Take in that a job's record was deleted."""
        self._replace(name, None)

    def find(self, name: str) -> Job | None:
        """Return a live job."""
        return self.jobs.get(name)

    def add_gang(self, name: str) -> None:
        """Take in that a job is a gang, whether its own record is known yet or not."""
        self.gangs.add(name)
        job = self.jobs.get(name)
        if job is not None:
            self._replace(name, job.as_gang())

    def remove_gang(self, name: str) -> None:
        """Take in that the record that says that a job is a gang was deleted."""
        self.gangs.discard(name)

    def _replace(self, name: str, new: Job | None) -> None:
        old = self.jobs.get(name)
        before, after = (old.allocation if old else {}), (new.allocation if new else {})
        # Whether tasks that may run are to be stopped: the job is over, or partitions lost it.
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
            self.partly_done.add(name)
        else:
            self.partly_done.discard(name)
        if (old is None) != (new is None):
            self.membership_version += 1
        if released:
            self._attempts.touch_machines_of(name)
