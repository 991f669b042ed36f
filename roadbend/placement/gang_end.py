"""Ends a gang in the records once one of its tasks has completed."""

from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys
from roadbend.store.records import Job, SliceShard


def end_gang(
    transaction: TransactionBuilder,
    job: Job,
    changed_shards: dict[int, SliceShard],
    other_shards: list[SliceShard],
) -> set[int] | None:
    """End a gang of which a task has completed: all tasks and the job then count as completed.

    Attempts that may still be on machines stay in the job slice until they have certainly
    terminated, as with a cancelled job. Return the numbers of the changed shards that are written
    in this transaction; a gang wider than one transaction leaves the rest to the next. None if the
    transaction has no space even for the end of the job.
    """
    end_keys = (keys.job_key(job.id), keys.job_end_key(job.id), keys.gang_key(job.id))
    has_space_for_all = transaction.has_space_for(
        *end_keys, *(shard.key for shard in changed_shards.values())
    )
    if not has_space_for_all and (transaction.changes or not transaction.has_space_for(*end_keys)):
        return None
    transaction.end_job(job, "done", job.spec.task_count)
    written_shards: set[int] = set()
    for shard_number, shard in changed_shards.items():
        if not transaction.has_space_for(shard.key):
            break
        written_shards.add(shard_number)
        if shard.attempts:
            transaction.set_shard(shard)
        else:
            transaction.delete_shard(shard)
    for shard in other_shards:
        if not shard.attempts and transaction.has_space_for(shard.key):
            transaction.delete_shard(shard)
    return written_shards
