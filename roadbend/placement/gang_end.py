"""Ends a gang in the records once one of its tasks is done."""

from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys
from roadbend.store.records import Job, SliceShard


def end_gang(
    transaction: TransactionBuilder,
    job: Job,
    touched: dict[int, SliceShard],
    others: list[SliceShard],
) -> set[int] | None:
    """End a gang of which a task is done: then all are, and the job is, whoever reports first.

    What of it may still be on machines stays in the slices until it is certainly terminated, as
    with a cancelled job. Return the touched shards that are written with it; a gang wider than one
    transaction leaves the rest for the next. None: not even the job's end has room now.
    """
    end_keys = (keys.job_key(job.id), keys.job_end_key(job.id), keys.gang_key(job.id))
    all_fits = transaction.has_space_for(*end_keys, *(shard.key for shard in touched.values()))
    if not all_fits and (transaction.changes or not transaction.has_space_for(*end_keys)):
        return None
    transaction.end_job(job, "done", job.spec.task_count)
    written: set[int] = set()
    for n, shard in touched.items():
        if not transaction.has_space_for(shard.key):
            break
        written.add(n)
        if shard.attempts:
            transaction.set_shard(shard)
        else:
            transaction.delete_shard(shard)
    for shard in others:
        if not shard.attempts and transaction.has_space_for(shard.key):
            transaction.delete_shard(shard)
    return written
