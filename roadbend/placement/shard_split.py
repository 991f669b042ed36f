"""Splits shards that a version with larger values wrote, and that are too large today."""

from dataclasses import replace

from roadbend.placement.transaction import TransactionBuilder
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, SliceShard


def split(
    transaction: TransactionBuilder, job_slice: JobSlice, shard: SliceShard, width: int
) -> list[SliceShard]:
    """Split a shard that is larger than values may be now; return the pieces.

    `width`: how many tasks a shard holds today.

    One transaction takes them all. Its attempts go where they would be written today, so a task
    is in one record before and after. The one that gives comes first: a version that keeps a
    task where it read it first would otherwise lose it. Empty where that can't be done yet.
    """
    homes: dict[int, dict[int, Attempt]] = {}
    for task_index, attempt in shard.attempts.items():
        homes.setdefault(task_index // width, {})[task_index] = attempt
    kept, pieces = dict(shard.attempts), []
    for n, attempts in sorted(homes.items(), key=lambda home: -len(home[1])):
        if transaction.fits(replace(shard, attempts=kept)):
            break
        if n == shard.shard:
            continue
        other = transaction.shard(job_slice.job, job_slice.team, job_slice.resources, n)
        other = replace(other, attempts={**other.attempts, **attempts})
        if transaction.fits(other):
            pieces.append(other)
            kept = {
                task_index: attempt
                for task_index, attempt in kept.items()
                if task_index not in attempts
            }
    giving = replace(shard, attempts=kept)
    pieces.insert(0, giving)
    return (
        pieces
        if transaction.fits(giving) and transaction.has_space_for(*(row.key for row in pieces))
        else []
    )
