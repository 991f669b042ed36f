"""Ends of attempts into the records, and slices and jobs that are over out of them."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.terminations import Termination
from roadbend.log import Log
from roadbend.placement import gangs
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys, ranges
from roadbend.store.ranges import Ranges
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, Job, SliceShard

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("placement")
# Shards of a job that is still running leave the records when there are this many to go.
FOLD = 4
# For how long a job keeps off a machine on which it failed, and what fails everywhere at most
# rests.
AVOID = timedelta(seconds=20)
BACKOFF_MOST = timedelta(seconds=24)


@dataclass
class JobTerminations:
    """Ends of one job's attempts on their way into a transaction."""

    name: str
    # None: the job is over or cancelled, and only its slices are left.
    job: Job | None
    job_slice: JobSlice
    # The shards that change, as they will be, and the ends that they record.
    touched: dict[int, SliceShard] = field(default_factory=dict)
    ended: list[tuple[int, Termination]] = field(default_factory=list)
    # In what pieces those are written that are too large by today's limits.
    plans: dict[int, list[SliceShard]] = field(default_factory=dict)

    def keep_only(self, shards: Container[int], width: int) -> None:
        """Leaves out the ends in other shards; they wait for the next transaction."""
        self.touched = {n: piece for n, piece in self.touched.items() if n in shards}
        self.ended = [row for row in self.ended if self.job_slice.shard_of(row[0], width) in shards]


def record_ends(leader: PartitionLeader, transaction: TransactionBuilder, now: datetime) -> bool:
    """Puts ends into the transaction, and takes slices and jobs that are over out of the records;
    says whether more is left for the next one."""
    more = False
    for name, found in ends_by_job(leader).items():
        job_slice = leader.job_slices().get(name)
        if job_slice is None:
            continue
        ends = collect(leader, transaction, name, job_slice, found)
        more = plan_splits(leader, transaction, ends) or more
        if ends.job is not None and ends.job.spec.gang and any(f.done for _, f in ends.ended):
            written = end_gang(
                transaction,
                ends.job,
                ends.touched,
                [piece for n, piece in job_slice.shards.items() if n not in ends.touched],
            )
            if written is None:
                return True
            # What is left out is recorded next, like the end of a cancelled task: the job is over.
            more = more or written != ends.touched.keys()
            ends.keep_only(written, leader.width)
            note_ends(leader, transaction, ends, now)
            continue
        result = record_job(leader, transaction, ends)
        if result is None:
            return True
        more = more or result
        note_ends(leader, transaction, ends, now)
    return more


def ends_by_job(leader: PartitionLeader) -> dict[str, list[tuple[int, Termination]]]:
    """The ends to be recorded, by job; also the jobs with slices of which nothing runs."""
    by_job: dict[str, list[tuple[int, Termination]]] = {}
    for (job, task_index), end in leader.ended.items():
        by_job.setdefault(job, []).append((task_index, end))
    # Slices of cancelled jobs with nothing left, and slices all done, also end here.
    for name, job_slice in leader.job_slices().items():
        if not job_slice.attempts:
            by_job.setdefault(name, [])
    return by_job


def collect(
    leader: PartitionLeader,
    transaction: TransactionBuilder,
    name: str,
    job_slice: JobSlice,
    found: list[tuple[int, Termination]],
) -> JobTerminations:
    """The shards of one job without the attempts that have ended."""
    job = leader.context.view.jobs.get(name)
    ends = JobTerminations(name, job, job_slice)
    counts_done = job is not None and not job.spec.service and not job.spec.gang
    for task_index, end in found:
        attempt = job_slice.attempts.get(task_index)
        if attempt != Attempt(end.attempt, end.machine):
            continue
        at = job_slice.shard_of(task_index, leader.width)
        piece = ends.touched.get(at) or transaction.slice(
            name, job_slice.team, job_slice.resources, at
        )
        run = {n: a for n, a in piece.attempts.items() if n != task_index}
        done = piece.done
        if end.done and counts_done:
            done = ranges.union(done, ((task_index, task_index + 1),))
        ends.touched[at] = replace(piece, attempts=run, done=done)
        ends.ended.append((task_index, end))
    return ends


def plan_splits(
    leader: PartitionLeader, transaction: TransactionBuilder, ends: JobTerminations
) -> bool:
    """What a version with larger values wrote and is too large now is split as it is written.
    Where that can't be done in one transaction, the ends wait until fewer of its tasks are left;
    says whether the next transaction may do better.

    A split also writes the shards that take its tasks. None of them may be written twice in one
    transaction, for the second writing would lose what the first one moved there: so one shard is
    split at a time, and the ends in the job's other shards wait for the next transaction."""
    wide = [n for n, piece in ends.touched.items() if not transaction.fits(piece)]
    for n in wide:
        plan = split(leader, transaction, ends.job_slice, ends.touched[n])
        if plan:
            waiting = len(ends.touched) > 1
            ends.plans = {n: plan}
            ends.keep_only({n}, leader.width)
            return waiting
    ends.keep_only(ends.touched.keys() - set(wide), leader.width)
    return bool(wide) and bool(transaction.changes)


def record_job(
    leader: PartitionLeader, transaction: TransactionBuilder, ends: JobTerminations
) -> bool | None:
    """Writes one job's ends; says whether some of them wait for the next transaction. None: all
    do, for this one has no room left."""
    over, whole = shards_over(leader, ends)
    record_keys = [
        keys.slice_key(leader.partition, ends.name, n) for n in ends.touched.keys() | over.keys()
    ]
    record_keys += [piece.key for plan in ends.plans.values() for piece in plan]
    if ends.job is not None and over:
        record_keys += [keys.job_key(ends.name), keys.job_end_key(ends.name)]
    if not record_keys:
        return False
    partly = not transaction.room_for(*record_keys)
    if partly:
        if transaction.changes:
            return None
        # Wider than one transaction: some of it now, the rest in the next.
        some = sorted(over.keys() | ends.touched.keys())[: max(1, transaction.free - 2)]
        over = {n: piece for n, piece in over.items() if n in some}
        ends.keep_only([n for n in some if n not in ends.plans], leader.width)
        whole = False
    write_slices(leader, transaction, ends, over)
    if ends.job is not None and over:
        write_job(leader, transaction, ends.job, over, whole)
    return partly


def shards_over(
    leader: PartitionLeader, ends: JobTerminations
) -> tuple[dict[int, SliceShard], bool]:
    """The shards that leave the records, and whether the partition is through with all that it
    holds of the job."""
    shards = {**ends.job_slice.shards, **ends.touched}
    idle = {n: piece for n, piece in shards.items() if not piece.attempts}
    if ends.job is None:
        return idle, len(idle) == len(shards)
    done = ranges.normal(pair for piece in shards.values() for pair in piece.done)
    held = ends.job.allocation.get(leader.partition, ())
    if len(idle) == len(shards) and not ranges.minus(held, done):
        return idle, True
    # A wide array's shards leave the records a few at a time, not one by one.
    over = {
        n: piece
        for n, piece in idle.items()
        if not ranges.minus(within(leader, held, n), piece.done)
    }
    return (over if len(over) >= FOLD else {}), False


def write_slices(
    leader: PartitionLeader,
    transaction: TransactionBuilder,
    ends: JobTerminations,
    over: dict[int, SliceShard],
) -> None:
    """The changed shards, split where they must be, and those that leave the records."""
    for n, piece in ends.touched.items():
        if n in ends.plans:
            for row in ends.plans[n]:
                transaction.set_slice(row)
            into = len(ends.plans[n])
            log.info(
                "shard-split", partition=leader.partition, job=ends.name, shard=n, into_shards=into
            )
        elif n not in over:
            # Fewer attempts never make the record larger than a range each.
            transaction.set_slice(piece)
    for piece in over.values():
        transaction.drop_slice(piece)


def write_job(
    leader: PartitionLeader,
    transaction: TransactionBuilder,
    job: Job,
    over: dict[int, SliceShard],
    whole: bool,
) -> None:
    """The job's record, or its end, once shards of it are over."""
    held = job.allocation.get(leader.partition, ())
    all_done = ranges.normal([*job.done, *(pair for piece in over.values() for pair in piece.done)])
    if whole and ranges.size(all_done) >= job.spec.task_count:
        transaction.end_job(job, "done", job.spec.task_count)
    else:
        rest = job.with_partition(leader.partition, ranges.minus(held, all_done))
        transaction.set_job(replace(rest, done=all_done))


def note_ends(
    leader: PartitionLeader, transaction: TransactionBuilder, ends: JobTerminations, now: datetime
) -> None:
    """What follows once the transaction is carried out, and what its later partitions may count
    on."""
    for task_index, end in ends.ended:
        transaction.ended_attempts.add((ends.name, task_index))
        transaction.charge(ends.job_slice.team, ends.job_slice.resources, -1)
        transaction.after.append(partial(note_end, leader, ends.name, task_index, end, now))


def end_gang(
    transaction: TransactionBuilder,
    job: Job,
    touched: dict[int, SliceShard],
    others: list[SliceShard],
) -> set[int] | None:
    """One task that is done means that all are, and the job is: once, whoever reports first. What
    of it may still be on machines stays in the slices until that is proven gone, as with a
    cancelled job. Gives the touched shards that are written with it; a gang wider than one
    transaction leaves the rest for the next. None: not even the job's end has room now."""
    ends = (keys.job_key(job.id), keys.job_end_key(job.id), keys.gang_key(job.id))
    all_fits = transaction.room_for(*ends, *(piece.key for piece in touched.values()))
    if not all_fits and (transaction.changes or not transaction.room_for(*ends)):
        return None
    transaction.end_job(job, "done", job.spec.task_count)
    written: set[int] = set()
    for shard, piece in touched.items():
        if not transaction.room_for(piece.key):
            break
        written.add(shard)
        if piece.attempts:
            transaction.set_slice(piece)
        else:
            transaction.drop_slice(piece)
    for piece in others:
        if not piece.attempts and transaction.room_for(piece.key):
            transaction.drop_slice(piece)
    return written


def split(
    leader: PartitionLeader, transaction: TransactionBuilder, job_slice: JobSlice, piece: SliceShard
) -> list[SliceShard]:
    """A slice that is larger than values may be now, in pieces that one transaction takes: its
    attempts go where they would be written today, so a task is in one record before and after.
    The one that gives comes first: a version that keeps a task where it read it first would
    otherwise lose it. Empty where that can't be done yet."""
    homes: dict[int, dict[int, Attempt]] = {}
    for task_index, attempt in piece.attempts.items():
        homes.setdefault(task_index // leader.width, {})[task_index] = attempt
    kept, pieces = dict(piece.attempts), []
    for at, rows in sorted(homes.items(), key=lambda row: -len(row[1])):
        if transaction.fits(replace(piece, attempts=kept)):
            break
        if at == piece.shard:
            continue
        other = transaction.slice(job_slice.job, job_slice.team, job_slice.resources, at)
        other = replace(other, attempts={**other.attempts, **rows})
        if transaction.fits(other):
            pieces.append(other)
            kept = {
                task_index: attempt
                for task_index, attempt in kept.items()
                if task_index not in rows
            }
    giving = replace(piece, attempts=kept)
    pieces.insert(0, giving)
    return (
        pieces
        if transaction.fits(giving) and transaction.room_for(*(row.key for row in pieces))
        else []
    )


def within(leader: PartitionLeader, held: Ranges, shard: int) -> Ranges:
    """The held tasks whose attempts are written into this shard."""
    if shard < 0:
        return held
    low, high = shard * leader.width, (shard + 1) * leader.width
    return tuple((max(a, low), min(b, high)) for a, b in held if a < high and b > low)


def note_end(
    leader: PartitionLeader, job: str, task_index: int, end: Termination, now: datetime
) -> None:
    leader.context.observer.attempt_ended(leader.partition, job, task_index, end)
    log.debug(
        "attempt-end-recorded",
        partition=leader.partition,
        task=f"{job}/{task_index}",
        machine=end.machine,
        cause=end.cause,
    )
    if end.cause in gangs.REPLACED and (known := leader.live(job)) is not None and known.spec.gang:
        attempt, machines = leader.lost_on.get(job, (0, set()))
        leader.lost_on[job] = (
            end.attempt,
            {end.machine, *(machines if attempt == end.attempt else ())},
        )
    if end.cause == "done":
        machine = leader.machines.get(end.machine)
        if machine is not None:
            machine.failures.clear()
            seen, known = machine.tasks.get((job, task_index)), leader.context.view.jobs.get(job)
            if known is not None and seen is not None and seen.running_since is not None:
                leader.context.run_times.learn(known, seen.since - seen.running_since)
        leader.backoff.pop(job, None)
    elif end.cause in ("error", "unknown", "no_room", "busy"):
        pause = AVOID if end.cause == "error" else AVOID / 5
        leader.avoid.setdefault(job, {})[end.machine] = now + pause
        if end.cause == "error":
            machine = leader.machines.get(end.machine)
            if machine is not None:
                machine.failures[job] = now
            times = leader.backoff.get(job, (0, now))[0] + 1
            # A job that fails everywhere comes back ever more slowly and waits for its user.
            pause = (
                min(BACKOFF_MOST, timedelta(seconds=0.5 * 2 ** min(times, 8)))
                if times > 3
                else clock.ZERO
            )
            leader.backoff[job] = (times, now + pause)
            log.info(
                "task-failed",
                partition=leader.partition,
                task=f"{job}/{task_index}",
                machine=end.machine,
                failures=times,
            )
