"""Gangs that are to be apart.

No partition may run more than half of such a gang, so several partitions hold a share of it each,
and start their shares under one attempt number.

The partitions begin in the order of their names: the first one when nothing of an earlier attempt
is recorded anywhere, each other one when all before it have recorded their whole shares. So of two
gangs none holds room that the other waits for while waiting for the other's room. Every start is
conditional on the records of the other shares being as they were read, whoever leads the partitions
by then. On machines the tasks wait for each other, as those of any gang do.
"""

from datetime import datetime, timedelta

from roadbend.fleet.terminations import TaskKey
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys, ranges
from roadbend.store.records import Attempt, Job

# How long a share that may not begin yet has room kept for it.
KEEP_ROOM = timedelta(seconds=45)
# How long after a gang was seen running the records of all its shares must have been read.
RECORDS_LAG = timedelta(seconds=2)
# How long an attempt that some partition did not join rests before the next one.
REST = timedelta(seconds=5)
# The bits of an attempt's sequence number that name the partition which began it: numbers of
# different partitions are never equal, though each partition counts for itself.
PARTITION_SHIFT = 24


def is_apart(job: Job) -> bool:
    """Whether several partitions hold shares of the gang."""
    return job.spec.gang and job.spec.apart and job.spec.task_count > 1


def partitions_of(job: Job) -> list[str]:
    """Return the partitions that hold shares, in the order in which they begin."""
    return sorted(partition for partition, held in job.allocation.items() if held)


class ApartGangs:
    """The shares that one partition holds of gangs that are to be apart."""

    def __init__(self, state: PartitionState) -> None:
        self._records = state.records
        self._aging = state.aging
        self._backoff = state.backoff
        self._gang_attempts = state.gang_attempts
        self._machines = state.registry.by_id
        self._context = state.records.context
        self._partition = state.records.partition
        self._leadership = state.records.leadership

    def recorded(self, job: Job, partition: str) -> dict[int, Attempt]:
        """Return the attempts that the records name of a partition's share."""
        job_slice = self._context.view.job_slices.get(partition, {}).get(job.id)
        return job_slice.attempts if job_slice is not None else {}

    def complete_under(self, job: Job, partition: str) -> int | None:
        """Return the attempt number under which a partition has recorded its whole share.

        None: it has not.
        """
        run = self.recorded(job, partition)
        numbers = {attempt.number for attempt in run.values()}
        if len(numbers) != 1 or ranges.of(run) != job.allocation.get(partition, ()):
            return None
        return numbers.pop()

    def number_to_join(self, job: Job) -> int | None:
        """Return the attempt that the partitions before this one have begun; None for none."""
        partitions = partitions_of(job)
        before = (
            partitions[: partitions.index(self._partition)] if self._partition in partitions else []
        )
        numbers = {self.complete_under(job, partition) for partition in before}
        return numbers.pop() if len(numbers) == 1 else None

    def may_start(self, job: Job) -> bool:
        """Whether it is this partition's turn to start its share."""
        partitions = partitions_of(job)
        if job.unassigned or self._partition not in partitions:
            return False
        if self._partition == partitions[0]:
            return not any(self.recorded(job, partition) for partition in partitions[1:])
        number = self.number_to_join(job)
        return number is not None and not self._gang_attempts.has_joined(job.id, number)

    def sequence_mark(self) -> int:
        """Return what marks the numbers of attempts that this partition begins."""
        partitions = self._context.election.partitions()
        return (partitions.index(self._partition) + 1) << PARTITION_SHIFT

    def add_conditions(self, transaction: TransactionBuilder, job: Job) -> None:
        """Make the transaction depend on the other shares' records being as they were read."""
        for partition in partitions_of(job):
            if partition != self._partition:
                transaction.conditions.update(self.share_conditions(job, partition))

    def share_conditions(self, job: Job, partition: str) -> dict[str, int]:
        """Return the revisions of the records of a partition's share; 0 where there is none."""
        held = job.allocation.get(partition, ())
        shards = {index // self._records.shard_width for index in ranges.iter_indexes(held)}
        record_keys = [keys.slice_key(partition, job.id, shard) for shard in sorted(shards)]
        return {key: self._context.view.mod_revision(key) for key in record_keys}

    def intact(self, job: Job, now: datetime) -> bool:
        """Whether the attempt of which this partition runs a share may still begin or go on."""
        number = self._gang_attempts.filling(job.id) or self.complete_under(job, self._partition)
        if number is None:
            return False
        partitions = partitions_of(job)
        mine = partitions.index(self._partition)
        for at, partition in enumerate(partitions):
            if partition == self._partition or self.complete_under(job, partition) == number:
                continue
            # Those that come later may be about to begin, or be recording a wide share; anything
            # else says that the attempt is over.
            numbers = {attempt.number for attempt in self.recorded(job, partition).values()}
            if at < mine or numbers - {number} or not self._still_waits(job, now):
                return False
        return True

    def _still_waits(self, job: Job, now: datetime) -> bool:
        """Whether our own tasks can still be joined.

        A gang that runs has all its shares recorded, though we may not have read that yet.
        """
        patience = self._context.settings.gang_wait * 0.75
        for index, attempt in self.recorded(job, self._partition).items():
            machine = self._machines.get(attempt.machine)
            row = machine.tasks.get(TaskKey(job.id, index)) if machine is not None else None
            if row is None or row.attempt != attempt.number or row.state == "fetching":
                continue
            if now - row.since > (patience if row.state == "gathering" else RECORDS_LAG):
                return False
        return True

    def rest(self, job: Job, now: datetime) -> None:
        """Note that an attempt is over.

        The next one does not begin at once, and its shares are bid for anew, since one of them may
        find no room where it is.
        """
        self._backoff.delay_until(job.id, now + REST)
        self._gang_attempts.note_over(job.id)

    def release_conditions(self, job: Job) -> dict[str, int] | None:
        """Return the conditions under which all shares are given back to be bid for again.

        None where it is not this partition's turn to do so, or something of the gang is still
        recorded.
        """
        partitions = partitions_of(job)
        if not partitions or partitions[0] != self._partition:
            return None
        if any(self.recorded(job, partition) for partition in partitions):
            return None
        conditions = {keys.term_key(self._partition): self._leadership.mod_revision}
        for partition in partitions:
            conditions.update(self.share_conditions(job, partition))
        return conditions
