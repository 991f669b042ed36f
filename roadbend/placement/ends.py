"""Ends of attempts into the records, and slices and jobs that are over out of them."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.machines import Fact
from roadbend.log import Log
from roadbend.placement import gangs
from roadbend.placement.batch import Batch
from roadbend.store import keys, ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Job, Slice
from roadbend.store.view import Work

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

log = Log("placement")
# Shards of a job that is still running leave the records when there are this many to go.
FOLD = 4
# For how long a job keeps off a machine on which it failed, and what fails everywhere at most
# rests.
AVOID = timedelta(seconds=20)
BACKOFF_MOST = timedelta(seconds=24)


def record_ends(runtime: PartRuntime, batch: Batch, now: datetime) -> bool:
    """Ends into the records, and slices and jobs that are over out of them."""
    view, part = runtime.shared.view, runtime.part
    by_job: dict[str, list[tuple[int, Fact]]] = {}
    for (job, task_index), fact in runtime.facts.items():
        by_job.setdefault(job, []).append((task_index, fact))
    # Slices of cancelled jobs with nothing left, and slices all done, also end here.
    for name, work in runtime.works().items():
        if not work.run:
            by_job.setdefault(name, [])
    more = False
    for name, facts in by_job.items():
        work = runtime.works().get(name)
        if work is None:
            continue
        job = view.jobs.get(name)
        touched: dict[int, Slice] = {}
        ended: list[tuple[int, Fact]] = []
        for task_index, fact in facts:
            attempt = work.run.get(task_index)
            if attempt is None or attempt.number != fact.attempt:
                continue
            at = work.shard_of(task_index, runtime.width)
            piece = touched.get(at) or batch.slice(name, work.team, work.need, at)
            run = {n: a for n, a in piece.run.items() if n != task_index}
            done = piece.done
            if fact.done and job is not None and not job.spec.service and not job.spec.gang:
                done = ranges.union(done, ((task_index, task_index + 1),))
            touched[at] = replace(piece, run=run, done=done)
            ended.append((task_index, fact))
        # What a version with larger values wrote and is too large now is split as it is written.
        plans = {
            n: split(runtime, batch, work, piece)
            for n, piece in touched.items()
            if not batch.fits(piece)
        }
        for n in [n for n, plan in plans.items() if not plan]:
            # Not in one transaction of today's size: these ends wait until fewer of its tasks are
            # left.
            more = more or bool(batch.rows)
            del plans[n], touched[n]
            ended = [
                (task_index, fact)
                for task_index, fact in ended
                if work.shard_of(task_index, runtime.width) != n
            ]
        if job is not None and job.spec.gang and any(fact.done for _, fact in ended):
            others = [piece for n, piece in work.shards.items() if n not in touched]
            written = end_gang(batch, job, touched, others)
            if written is None:
                return True
            for task_index, fact in ended:
                if work.shard_of(task_index, runtime.width) not in written:
                    # Its job is over by then: it is recorded like the end of a cancelled task.
                    more = True
                    continue
                batch.ended.add((name, task_index))
                batch.charge(work.team, work.need, -1)
                batch.after.append(partial(note_end, runtime, name, task_index, fact, now))
            continue
        shards = {**work.shards, **touched}
        done = ranges.normal(pair for piece in shards.values() for pair in piece.done)
        held = job.alloc.get(part, ()) if job is not None else ()
        idle = {n: p for n, p in shards.items() if not p.run}
        whole = len(idle) == len(shards) and (job is None or not ranges.minus(held, done))
        if whole or job is None:
            over = idle
        else:
            # A wide array's shards leave the records a few at a time, not one by one.
            over = {
                n: p for n, p in idle.items() if not ranges.minus(within(runtime, held, n), p.done)
            }
            over = over if len(over) >= FOLD else {}
        record_keys = [keys.slice_key(part, name, n) for n in touched.keys() | over.keys()]
        record_keys += [piece.key for plan in plans.values() for piece in plan]
        if job is not None and over:
            record_keys += [keys.job_key(name), keys.fin_key(name)]
        if not record_keys:
            continue
        if not batch.room_for(*record_keys):
            if batch.rows:
                return True
            # Wider than one transaction: some of it now, the rest in the next.
            some = sorted(over.keys() | touched.keys())[: max(1, batch.free - 2)]
            over = {n: p for n, p in over.items() if n in some}
            touched = {n: p for n, p in touched.items() if n in some and n not in plans}
            ended = [
                (task_index, f)
                for task_index, f in ended
                if work.shard_of(task_index, runtime.width) in some
            ]
            whole, more = False, True
        for n, piece in touched.items():
            if n in plans:
                for row in plans[n]:
                    batch.set_slice(row)
                log.info("split", part=part, job=name, shard=n, into=len(plans[n]))
            elif n not in over:
                # Fewer attempts never make the record larger than a range each.
                batch.set_slice(piece)
        for piece in over.values():
            batch.drop_slice(piece)
        if job is not None and over:
            all_done = ranges.normal(
                [*job.done, *(pair for piece in over.values() for pair in piece.done)]
            )
            if whole and ranges.size(all_done) >= job.spec.task_count:
                batch.end_job(job, "done", job.spec.task_count)
            else:
                batch.set_job(
                    replace(job.with_part(part, ranges.minus(held, all_done)), done=all_done)
                )
        for task_index, fact in ended:
            batch.ended.add((name, task_index))
            batch.charge(work.team, work.need, -1)
            batch.after.append(partial(note_end, runtime, name, task_index, fact, now))
    return more


def end_gang(
    batch: Batch, job: Job, touched: dict[int, Slice], others: list[Slice]
) -> set[int] | None:
    """One task that is done means that all are, and the job is: once, whoever reports first. What
    of it may still be on machines stays in the slices until that is proven gone, as with a
    cancelled job. Gives the touched shards that are written with it; a gang wider than one
    transaction leaves the rest for the next. None: not even the job's end has room now."""
    ends = (keys.job_key(job.id), keys.fin_key(job.id), keys.gang_key(job.id))
    all_fits = batch.room_for(*ends, *(piece.key for piece in touched.values()))
    if not all_fits and (batch.rows or not batch.room_for(*ends)):
        return None
    batch.end_job(job, "done", job.spec.task_count)
    written: set[int] = set()
    for shard, piece in touched.items():
        if not batch.room_for(piece.key):
            break
        written.add(shard)
        if piece.run:
            batch.set_slice(piece)
        else:
            batch.drop_slice(piece)
    for piece in others:
        if not piece.run and batch.room_for(piece.key):
            batch.drop_slice(piece)
    return written


def split(runtime: PartRuntime, batch: Batch, work: Work, piece: Slice) -> list[Slice]:
    """A slice that is larger than values may be now, in pieces that one transaction takes: its
    attempts go where they would be written today, so a task is in one record before and after.
    Empty where that can't be done yet."""
    homes: dict[int, dict[int, Attempt]] = {}
    for task_index, attempt in piece.run.items():
        homes.setdefault(task_index // runtime.width, {})[task_index] = attempt
    kept, pieces = dict(piece.run), []
    for at, rows in sorted(homes.items(), key=lambda row: -len(row[1])):
        if batch.fits(replace(piece, run=kept)):
            break
        if at == piece.shard:
            continue
        other = batch.slice(work.job, work.team, work.need, at)
        other = replace(other, run={**other.run, **rows})
        if batch.fits(other):
            pieces.append(other)
            kept = {
                task_index: attempt
                for task_index, attempt in kept.items()
                if task_index not in rows
            }
    pieces.append(replace(piece, run=kept))
    return pieces if batch.fits(pieces[-1]) and batch.room_for(*(row.key for row in pieces)) else []


def within(runtime: PartRuntime, held: Ranges, shard: int) -> Ranges:
    """The held tasks whose attempts are written into this shard."""
    if shard < 0:
        return held
    low, high = shard * runtime.width, (shard + 1) * runtime.width
    return tuple((max(a, low), min(b, high)) for a, b in held if a < high and b > low)


def note_end(runtime: PartRuntime, job: str, task_index: int, fact: Fact, now: datetime) -> None:
    log.debug(
        "ended",
        part=runtime.part,
        task=f"{job}/{task_index}",
        machine=fact.machine,
        cause=fact.cause,
    )
    if (
        fact.cause in gangs.REPLACED
        and (known := runtime.live(job)) is not None
        and known.spec.gang
    ):
        attempt, machines = runtime.lost_on.get(job, (0, set()))
        runtime.lost_on[job] = (
            fact.attempt,
            {fact.machine, *(machines if attempt == fact.attempt else ())},
        )
    if fact.cause == "done":
        machine = runtime.machines.get(fact.machine)
        if machine is not None:
            machine.failures.clear()
            seen, known = machine.tasks.get((job, task_index)), runtime.shared.view.jobs.get(job)
            if known is not None and seen is not None and seen.running_since is not None:
                runtime.shared.learn(known, seen.since - seen.running_since)
        runtime.backoff.pop(job, None)
    elif fact.cause in ("error", "unknown", "no_room", "busy"):
        pause = AVOID if fact.cause == "error" else AVOID / 5
        runtime.avoid.setdefault(job, {})[fact.machine] = now + pause
        if fact.cause == "error":
            machine = runtime.machines.get(fact.machine)
            if machine is not None:
                machine.failures[job] = now
            times = runtime.backoff.get(job, (0, now))[0] + 1
            # A job that fails everywhere comes back ever more slowly and waits for its user.
            pause = (
                min(BACKOFF_MOST, timedelta(seconds=0.5 * 2 ** min(times, 8)))
                if times > 3
                else clock.ZERO
            )
            runtime.backoff[job] = (times, now + pause)
            log.info(
                "task-error",
                part=runtime.part,
                task=f"{job}/{task_index}",
                machine=fact.machine,
                times=times,
            )
