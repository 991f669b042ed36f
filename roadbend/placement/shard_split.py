"""Splits shards that a version with a larger value limit wrote and that are too large now."""

from dataclasses import replace

from roadbend.placement.transaction import TransactionBuilder
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, SliceShard


def split(
    transaction: TransactionBuilder, job_slice: JobSlice, shard: SliceShard, width: int
) -> list[SliceShard]:
    """Split a shard that exceeds the value limit; return all shards to write, or none.

    `width`: the number of tasks per shard under the present limit.

    All shards are written in one transaction, and attempts move to the shards that hold their tasks
    under the present limit, so each task is in one record before and after. The source shard comes
    first: a version that assigns a task to the record in which it read it first would otherwise
    lose the task. Returns an empty list if the split is not possible yet.
    """
    attempts_by_shard: dict[int, dict[int, Attempt]] = {}
    for task_index, attempt in shard.attempts.items():
        attempts_by_shard.setdefault(task_index // width, {})[task_index] = attempt
    remaining, shards = dict(shard.attempts), []
    for shard_number, attempts in sorted(
        attempts_by_shard.items(), key=lambda entry: -len(entry[1])
    ):
        if transaction.fits(replace(shard, attempts=remaining)):
            break
        if shard_number == shard.shard:
            continue
        target = transaction.shard(job_slice.job, job_slice.team, job_slice.resources, shard_number)
        target = replace(target, attempts={**target.attempts, **attempts})
        if transaction.fits(target):
            shards.append(target)
            remaining = {
                task_index: attempt
                for task_index, attempt in remaining.items()
                if task_index not in attempts
            }
    source = replace(shard, attempts=remaining)
    shards.insert(0, source)
    return (
        shards
        if transaction.fits(source) and transaction.has_space_for(*(row.key for row in shards))
        else []
    )
