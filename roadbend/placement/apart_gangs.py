"""Gangs with anti-affinity between zones (`apart` in a submission).

No partition may run more than half of such a gang, so several partitions hold a share of it each
and start their shares under one attempt number.

The partitions start in the order of their names: the first one when no earlier attempt is recorded
anywhere, each other one when all before it have recorded their whole shares. This order prevents a
deadlock in which two gangs each hold capacity that the other waits for. Every start is conditional
on the records of the other shares being unchanged since they were read, whoever leads the
partitions by then. On machines the tasks wait for each other, like those of any gang.
"""

from datetime import datetime, timedelta

from roadbend.fleet.terminations import TaskKey
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys, ranges
from roadbend.store.records import Attempt, Job

# How long a pending share that may not start yet can have capacity reserved for it.
MAX_BLOCKED_RESERVATION = timedelta(seconds=45)
# How long after a gang was reported running the records of all its shares must have been read.
MAX_RECORDS_LAG = timedelta(seconds=2)
# Delay before the next attempt after some partition did not join one.
RETRY_DELAY = timedelta(seconds=5)
# The bits from this one on in an attempt's sequence number identify the partition that began it, so
# that numbers of different partitions are never equal though each partition counts on its own.
PARTITION_SHIFT = 24


def is_apart(job: Job) -> bool:
    """Return whether several partitions hold shares of the gang."""
    return job.spec.gang and job.spec.apart and job.spec.task_count > 1


def partitions_of(job: Job) -> list[str]:
    """Return the partitions that hold shares, in the order in which they start."""
    return sorted(partition for partition, tasks in job.allocation.items() if tasks)


class ApartGangs:
    """One partition's shares of gangs with anti-affinity."""

    def __init__(self, state: PartitionState) -> None:
        self._records = state.records
        self._aging = state.aging
        self._backoff = state.backoff
        self._gang_attempts = state.gang_attempts
        self._machines = state.registry.by_id
        self._context = state.records.context
        self._partition = state.records.partition
        self._leadership = state.records.leadership

    def recorded_attempts(self, job: Job, partition: str) -> dict[int, Attempt]:
        """Return the recorded attempts of a partition's share, by task index."""
        job_slice = self._context.view.job_slices.get(partition, {}).get(job.id)
        return job_slice.attempts if job_slice is not None else {}

    def fully_recorded_number(self, job: Job, partition: str) -> int | None:
        """Return the attempt number under which a partition has recorded its whole share.

        None if it has not.
        """
        attempts = self.recorded_attempts(job, partition)
        numbers = {attempt.number for attempt in attempts.values()}
        if len(numbers) != 1 or ranges.of(attempts) != job.allocation.get(partition, ()):
            return None
        return numbers.pop()

    def number_to_join(self, job: Job) -> int | None:
        """Return the attempt that all partitions before this one have recorded; None if none."""
        partitions = partitions_of(job)
        predecessors = (
            partitions[: partitions.index(self._partition)] if self._partition in partitions else []
        )
        numbers = {self.fully_recorded_number(job, partition) for partition in predecessors}
        return numbers.pop() if len(numbers) == 1 else None

    def may_start(self, job: Job) -> bool:
        """Return whether it is this partition's turn to start its share."""
        partitions = partitions_of(job)
        if job.unassigned or self._partition not in partitions:
            return False
        if self._partition == partitions[0]:
            return not any(self.recorded_attempts(job, partition) for partition in partitions[1:])
        number = self.number_to_join(job)
        return number is not None and not self._gang_attempts.has_joined(job.id, number)

    def sequence_prefix(self) -> int:
        """Return the high bits of the numbers of attempts that this partition begins."""
        partitions = self._context.election.partitions()
        return (partitions.index(self._partition) + 1) << PARTITION_SHIFT

    def add_conditions(self, transaction: TransactionBuilder, job: Job) -> None:
        """Make the transaction conditional on unchanged records of the other shares."""
        for partition in partitions_of(job):
            if partition != self._partition:
                transaction.conditions.update(self.share_conditions(job, partition))

    def share_conditions(self, job: Job, partition: str) -> dict[str, int]:
        """Return the mod revisions of the records of a partition's share; 0 for a missing one."""
        tasks = job.allocation.get(partition, ())
        shards = {index // self._records.shard_width for index in ranges.iter_indexes(tasks)}
        record_keys = [keys.slice_key(partition, job.id, shard) for shard in sorted(shards)]
        return {key: self._context.view.mod_revision(key) for key in record_keys}

    def is_intact(self, job: Job, now: datetime) -> bool:
        """Return whether the attempt of which this partition runs a share may start or continue."""
        number = self._gang_attempts.partly_recorded_attempt(job.id) or self.fully_recorded_number(
            job, self._partition
        )
        if number is None:
            return False
        partitions = partitions_of(job)
        own_position = partitions.index(self._partition)
        for position, partition in enumerate(partitions):
            if partition == self._partition or self.fully_recorded_number(job, partition) == number:
                continue
            # Partitions later in the order may be about to start, or may still be recording a wide
            # share; anything else means that the attempt has failed.
            numbers = {
                attempt.number for attempt in self.recorded_attempts(job, partition).values()
            }
            if (
                position < own_position
                or numbers - {number}
                or not self._may_still_gather(job, now)
            ):
                return False
        return True

    def _may_still_gather(self, job: Job, now: datetime) -> bool:
        """Return whether other shares can still join this partition's tasks.

        A running gang has all its shares recorded, though this controller may not have read the
        records yet.
        """
        max_wait = self._context.settings.gang_wait * 0.75
        for index, attempt in self.recorded_attempts(job, self._partition).items():
            machine = self._machines.get(attempt.machine)
            observed = machine.tasks.get(TaskKey(job.id, index)) if machine is not None else None
            if (
                observed is None
                or observed.attempt != attempt.number
                or observed.state == "fetching"
            ):
                continue
            if now - observed.since > (
                max_wait if observed.state == "gathering" else MAX_RECORDS_LAG
            ):
                return False
        return True

    def mark_abandoned(self, job: Job, now: datetime) -> None:
        """Record that an attempt was abandoned.

        The next one is delayed, and its shares go back to bidding, since one of them may not fit
        into the partition that holds it.
        """
        self._backoff.delay_until(job.id, now + RETRY_DELAY)
        self._gang_attempts.mark_for_release(job.id)

    def release_conditions(self, job: Job) -> dict[str, int] | None:
        """Return the transaction conditions for releasing all shares to be bid for again.

        None if another partition is responsible for that, or some attempt of the gang is still
        recorded.
        """
        partitions = partitions_of(job)
        if not partitions or partitions[0] != self._partition:
            return None
        if any(self.recorded_attempts(job, partition) for partition in partitions):
            return None
        conditions = {keys.term_key(self._partition): self._leadership.mod_revision}
        for partition in partitions:
            conditions.update(self.share_conditions(job, partition))
        return conditions
