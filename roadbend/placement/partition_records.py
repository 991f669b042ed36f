"""Access to one partition's records in the record view."""

from roadbend.fleet.terminations import TaskKey
from roadbend.partitions.leadership import Leadership
from roadbend.placement.context import ControllerContext
from roadbend.store import records
from roadbend.store.record_view import JobSlice, MachineAttempts
from roadbend.store.records import Attempt, Job


class PartitionRecords:
    """The records of one partition, read under one leadership; stateless itself."""

    def __init__(self, context: ControllerContext, leadership: Leadership) -> None:
        self.context, self.leadership, self.partition = context, leadership, leadership.partition
        # The number of tasks per shard.
        self.shard_width = records.shard_width(context.settings.value_bytes)

    def attempts_by_machine(self) -> dict[str, MachineAttempts]:
        """Return the recorded attempts by machine; callers must not modify the result."""
        return self.context.view.attempts_by_machine.get(self.partition, {})

    def job_slices(self) -> dict[str, JobSlice]:
        """Return the partition's slice of each job; callers must not modify the result."""
        return self.context.view.job_slices.get(self.partition, {})

    def live_job(self, job: str) -> Job | None:
        """Return a job, or None if it has ended or is cancelled."""
        return None if job in self.context.cancellations.jobs else self.context.view.jobs.get(job)

    def recorded_attempt(self, key: TaskKey) -> Attempt | None:
        """Return the recorded attempt of a task."""
        job_slice = self.job_slices().get(key[0])
        return job_slice.attempts.get(key[1]) if job_slice is not None else None

    def machine_version(self, machine: str) -> int:
        """Return a version that changes with each recorded change to a machine's attempts."""
        versions = self.context.view.machine_versions.get(self.partition, {})
        return versions.get(machine, 0)

    def is_leading(self) -> bool:
        """Return whether this controller still leads the partition in the same term."""
        return self.context.election.leadership(self.partition) == self.leadership
