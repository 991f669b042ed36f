"""What leaders and controllers ask before they act on records that may not match the machines yet.

The classes here hold nothing back: they stand in where recovery (`roadbend.recovery`) is switched
off, so that the core has no condition on it and imports none of it.
"""

from datetime import datetime

from roadbend.fleet.machines import Machine, StopOrder
from roadbend.fleet.messages import TaskStatus, WorkerHeartbeat
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store.ranges import Ranges
from roadbend.store.records import Job


class PartitionRecovery:
    """Questions about one partition, for one term."""

    def keeps_unrecorded(self, machine: Machine, task: TaskStatus, now: datetime) -> bool:
        """Whether a task that no record names is left alone for now."""
        return False

    def placeable(self, job: Job, tasks: Ranges) -> Ranges:
        """Return those of a job's unplaced tasks that may be given a machine now."""
        return tasks

    def knows_machines(self) -> bool:
        """Whether the partition's machines are known well enough to create more in advance."""
        return True

    def should_delay_stop(self, key: TaskKey, stop: StopOrder, now: datetime) -> bool:
        """Whether a direct kill may wait.

        The answer to a heartbeat has just carried it, or the task has ended.
        """
        return False

    def note_heartbeat(self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime) -> None:
        """Note a heartbeat that was admitted and read."""

    def note_term_in_use(self, machine: str, term: int) -> None:
        """Note that a machine which we have not answered has seen our term or a higher one."""

    def adopt(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Put unrecorded attempts that are to be kept into the transaction.

        Return whether some are left for the next one.
        """
        return False


class Recovery:
    """Questions about a whole controller."""

    def holds_back(self, job: str) -> bool:
        """Whether a job that nobody holds is not offered for now."""
        return False

    def knows_jobs(self) -> bool:
        """Whether a job that no record names is known to be none."""
        return True
