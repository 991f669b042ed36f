"""Hooks called before acting on records that may not match the state of the machines yet.

The implementations here allow everything. They are used where recovery (`roadbend.recovery`) is
switched off, so that the core has no condition on it and imports none of it.
"""

from datetime import datetime

from roadbend.fleet.machines import Machine, StopOrder
from roadbend.fleet.messages import TaskStatus, WorkerHeartbeat
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store.ranges import Ranges
from roadbend.store.records import Job


class PartitionRecovery:
    """Hooks of one partition, for one term."""

    def keeps_unrecorded(self, machine: Machine, task: TaskStatus, now: datetime) -> bool:
        """Return whether a task that no record names is left alone for now."""
        return False

    def placeable(self, job: Job, tasks: Ranges) -> Ranges:
        """Return those of a job's unplaced tasks that may be given a machine now."""
        return tasks

    def can_fill_warm_pool(self) -> bool:
        """Return whether enough is known of the partition's machines to create more in advance."""
        return True

    def should_delay_stop(self, key: TaskKey, stop: StopOrder, now: datetime) -> bool:
        """Return whether the direct command for a stop may wait.

        That is if the answer to a heartbeat has just carried the stop, or the task has ended.
        """
        return False

    def record_heartbeat(self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime) -> None:
        """Record a heartbeat that was admitted and evaluated."""

    def record_term_in_use(self, machine: str, term: int) -> None:
        """Record that a machine, left unanswered, has seen this leader's term or a higher one."""

    def adopt(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Add unrecorded attempts that are to be kept to the transaction.

        Return whether some are left for the next one.
        """
        return False


class Recovery:
    """Hooks of a whole controller."""

    def defers_allocation(self, job: str) -> bool:
        """Return whether a job that no partition holds is not to be allocated for now."""
        return False

    def are_job_records_complete(self) -> bool:
        """Return whether a job that no record names is known not to exist."""
        return True
