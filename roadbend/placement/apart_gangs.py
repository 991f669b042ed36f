"""Gangs that are to be apart. No partition may run more than half of such a gang, so several
partitions hold a share of it each, and start their shares under one attempt number.

The partitions begin in the order of their names: the first one when nothing of an earlier attempt
is recorded anywhere, each other one when all before it have recorded their whole shares. So of two
gangs none holds room that the other waits for while waiting for the other's room. Every start is
conditional on the records of the other shares being as they were read, whoever owns the partitions
by then. On machines the tasks wait for each other, as those of any gang do."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend.store import keys, ranges
from roadbend.store.records import Attempt, Job

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader
    from roadbend.placement.transaction import TransactionBuilder

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
    """The partitions that hold shares, in the order in which they begin."""
    return sorted(partition for partition, held in job.allocation.items() if held)


def recorded(leader: PartitionLeader, job: Job, partition: str) -> dict[int, Attempt]:
    """What the records say is started of a partition's share."""
    job_slice = leader.context.view.job_slices.get(partition, {}).get(job.id)
    return job_slice.attempts if job_slice is not None else {}


def complete_under(leader: PartitionLeader, job: Job, partition: str) -> int | None:
    """The attempt number under which a partition has recorded its whole share; None: it has not."""
    run = recorded(leader, job, partition)
    numbers = {attempt.number for attempt in run.values()}
    if len(numbers) != 1 or ranges.of(run) != job.allocation.get(partition, ()):
        return None
    return numbers.pop()


def number_to_join(leader: PartitionLeader, job: Job) -> int | None:
    """The attempt that the partitions before this one have begun; None: nothing to join."""
    partitions = partitions_of(job)
    before = (
        partitions[: partitions.index(leader.partition)] if leader.partition in partitions else []
    )
    numbers = {complete_under(leader, job, partition) for partition in before}
    return numbers.pop() if len(numbers) == 1 else None


def may_start(leader: PartitionLeader, job: Job) -> bool:
    """Whether it is this partition's turn to start its share."""
    partitions = partitions_of(job)
    if job.unassigned or leader.partition not in partitions:
        return False
    if leader.partition == partitions[0]:
        return not any(recorded(leader, job, partition) for partition in partitions[1:])
    number = number_to_join(leader, job)
    return number is not None and not leader.gang_attempts.has_joined(job.id, number)


def sequence_mark(leader: PartitionLeader) -> int:
    """What is added to the sequence number of an attempt that this partition begins."""
    partitions = leader.context.election.partitions()
    return (partitions.index(leader.partition) + 1) << PARTITION_SHIFT


def add_conditions(leader: PartitionLeader, transaction: TransactionBuilder, job: Job) -> None:
    """Makes the transaction depend on the other shares' records being as they were read."""
    for partition in partitions_of(job):
        if partition != leader.partition:
            transaction.conditions.update(share_conditions(leader, job, partition))


def share_conditions(leader: PartitionLeader, job: Job, partition: str) -> dict[str, int]:
    """The revisions of the records of a partition's share; 0 for those that don't exist."""
    held = job.allocation.get(partition, ())
    shards = {index // leader.records.shard_width for index in ranges.numbers(held)}
    record_keys = [keys.slice_key(partition, job.id, shard) for shard in sorted(shards)]
    return {key: leader.context.view.mod_revision(key) for key in record_keys}


def intact(leader: PartitionLeader, job: Job, now: datetime) -> bool:
    """Whether the attempt of which this partition runs a share may still begin or go on."""
    number = leader.gang_attempts.filling(job.id) or complete_under(leader, job, leader.partition)
    if number is None:
        return False
    partitions = partitions_of(job)
    mine = partitions.index(leader.partition)
    for at, partition in enumerate(partitions):
        if partition == leader.partition or complete_under(leader, job, partition) == number:
            continue
        # Those that come later may be about to begin, or be recording a wide share; anything else
        # says that the attempt is over.
        numbers = {attempt.number for attempt in recorded(leader, job, partition).values()}
        if at < mine or numbers - {number} or not _still_waits(leader, job, now):
            return False
    return True


def _still_waits(leader: PartitionLeader, job: Job, now: datetime) -> bool:
    """Whether our own tasks can still be joined. A gang that runs has all its shares recorded,
    though we may not have read that yet."""
    patience = leader.context.settings.gang_wait * 0.75
    for index, attempt in recorded(leader, job, leader.partition).items():
        machine = leader.machines.get(attempt.machine)
        row = machine.tasks.get((job.id, index)) if machine is not None else None
        if row is None or row.attempt != attempt.number or row.state == "fetching":
            continue
        if now - row.since > (patience if row.state == "gathering" else RECORDS_LAG):
            return False
    return True


def rest(leader: PartitionLeader, job: Job, now: datetime) -> None:
    """An attempt is over: the next one does not begin at once, and its shares are bid for anew,
    since one of them may find no room where it is."""
    leader.backoff.rest_until(job.id, now + REST)
    leader.gang_attempts.note_over(job.id)


def keeps_room(leader: PartitionLeader, job: Job, now: datetime) -> bool:
    """Whether room is kept for a share that may not begin yet: only for a while, since the other
    shares may never find theirs."""
    return leader.aging.waited(job.id, now) < KEEP_ROOM


def may_release(leader: PartitionLeader, job: Job) -> dict[str, int] | None:
    """The conditions under which all shares are given back to be bid for again; None where it is
    not this partition's turn to do so, or something of the gang is still recorded."""
    partitions = partitions_of(job)
    if not partitions or partitions[0] != leader.partition:
        return None
    if any(recorded(leader, job, partition) for partition in partitions):
        return None
    conditions = {keys.term_key(leader.partition): leader.leadership.mod_revision}
    for partition in partitions:
        conditions.update(share_conditions(leader, job, partition))
    return conditions
