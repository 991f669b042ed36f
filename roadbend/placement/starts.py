"""Starts: which of what waits goes where now, within teams' limits."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.log import Log
from roadbend.placement import (
    apart_gangs,
    gang_room,
    gangs,
    policy,
    preemption,
    restrictions,
    team_limits,
)
from roadbend.placement.batch import Batch
from roadbend.placement.policy import Allowance, Placed
from roadbend.store.records import Attempt, Job, Slice

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

log = Log("placement")


def start(runtime: PartRuntime, batch: Batch, now: datetime) -> bool:
    """Write-ahead of starts. The order goes out only with a report's response, after the answer."""
    queue = runtime.queue.pending()
    runtime.queued = {item.job.id: runtime.queued.get(item.job.id, now) for item in queue}
    if not queue:
        runtime.left = []
        return False
    # Most machines are full. Only services that must start soon look at those, for what could be
    # cleared there.
    soon = any(runtime.shared.start_within(item.job.spec) is not None for item in queue)
    least = None if soon else policy.least_of(item.job.spec.need for item in queue)
    rooms = runtime.rooms(batch.ended, least)
    restrictions.hold_back(runtime, queue)
    restrictions.image_first(runtime, queue, rooms)
    overdue = runtime.shared.overdue(now)
    limits = Allowance(
        partial(team_limits.team_left, runtime, batch),
        lambda job: now - runtime.queued.get(job, now) < team_limits.HOLD,
    )
    ready, early = [], []
    for item in queue:
        (ready if gangs.may_start(runtime, item.job) else early).append(item)
    yielding = {item.job.id for item in ready if team_limits.yields(runtime, item, overdue)}
    restrictions.note_passed_over(runtime, ready, yielding, rooms, now)
    placed, left, more = policy.place(
        gangs.filling_first(
            runtime,
            [
                item
                for item in ready
                if item.job.id not in yielding or restrictions.impatient(runtime, item.job.id, now)
            ],
        ),
        rooms,
        batch.free,
        partial(restrictions.bars, runtime)
        if runtime.avoid
        or runtime.reservations
        or runtime.kept_for_gangs
        or runtime.withheld_types
        or runtime.without_image
        or runtime.lost_on
        else None,
        limits,
    )
    left += [item for item in early if apart_gangs.keeps_room(runtime, item.job, now)]
    runtime.left = team_limits.within(limits, left)
    for rows in grouped(runtime, placed):
        if not record_start(runtime, batch, rows, now):
            more = True
            break
    gang_room.keep_for_gangs(runtime, now)
    if runtime.left and not more:
        preemption.preempt(runtime, batch, rooms, least is None, now)
    return more


def grouped(runtime: PartRuntime, placed: list[Placed]) -> list[list[Placed]]:
    """What was placed, by job and shard. The tasks of a gang stay together, whatever shards they
    are in."""
    groups: dict[tuple[str, int], list[Placed]] = {}
    for item, task_index, room in placed:
        name, shard = item.job.id, -1
        if not item.job.spec.gang:
            work = runtime.works().get(name)
            shard = (
                task_index // runtime.width
                if work is None
                else work.shard_of(task_index, runtime.width)
            )
        groups.setdefault((name, shard), []).append((item, task_index, room))
    return list(groups.values())


def record_start(runtime: PartRuntime, batch: Batch, rows: list[Placed], now: datetime) -> bool:
    """Puts the starts of one group into the transaction; False where it has no room for all."""
    job = rows[0][0].job
    share = gangs.first_share(runtime, batch, rows) if job.spec.gang else rows
    if not share:
        return False
    pieces = fill(runtime, batch, job, share)
    record_keys = [piece.key for piece in pieces]
    # Of its team's limit all of a gang is set aside with the first of its tasks.
    if not team_limits.set_aside(
        runtime, batch, job.spec.team, job.spec.need, len(rows), record_keys
    ):
        return False
    if not all(batch.fits(piece) for piece in pieces):
        log.error("record-full", part=runtime.part, job=job.id, tasks=len(share))
        return True
    for piece in pieces:
        batch.set_slice(piece)
    batch.need_job(job)
    if apart_gangs.is_apart(job):
        apart_gangs.add_conditions(runtime, batch, job)
        number = next(iter(pieces[0].run.values())).number
        batch.after.append(partial(runtime.joined.__setitem__, job.id, number))
    batch.charge(job.spec.team, job.spec.need, len(share))
    runtime.waits.append(now - runtime.queued.get(job.id, now))
    if len(share) < len(rows):
        batch.after.append(partial(gangs.note_filling, runtime, pieces[0]))
    if job.spec.gang or runtime.shared.start_within(job.spec) is not None:
        indexes = {task_index for _, task_index, _ in share}
        batch.after.append(partial(order_directly, runtime, pieces, indexes))
    batch.after.append(partial(tell_observer, runtime, job, pieces, [row[1] for row in share]))
    for _, task_index, room in share:
        log.debug(
            "start",
            part=runtime.part,
            task=f"{job.id}/{task_index}",
            machine=room.id,
            wait=f"{(clock.wall() - job.at).total_seconds():.1f}",
            cached=job.spec.image in room.images,
        )
    return len(share) == len(rows)


def tell_observer(runtime: PartRuntime, job: Job, pieces: list[Slice], indexes: list[int]) -> None:
    """The starts were recorded."""
    observer = runtime.shared.observer
    for piece in pieces:
        for index in indexes:
            if index in piece.run:
                observer.attempt_recorded(runtime.part, job, index, piece.run[index])


def fill(runtime: PartRuntime, batch: Batch, job: Job, rows: list[Placed]) -> list[Slice]:
    """The slices with the new attempts; a gang's tasks have one attempt number."""
    work, pieces = runtime.works().get(job.id), {}
    common = gangs.attempt_number(runtime, job) if job.spec.gang else None
    for _, task_index, room in rows:
        at = (
            task_index // runtime.width
            if work is None
            else work.shard_of(task_index, runtime.width)
        )
        piece = pieces.get(at) or batch.slice(job.id, job.spec.team, job.spec.need, at)
        if common is None:
            runtime.seq += 1
        attempt = Attempt(
            (runtime.tenure.term << 32) | runtime.seq if common is None else common, room.id
        )
        pieces[at] = replace(piece, run={**piece.run, task_index: attempt})
    return list(pieces.values())


def order_directly(runtime: PartRuntime, pieces: list[Slice], tasks: set[int]) -> None:
    for piece in pieces:
        for task_index in tasks & piece.run.keys():
            attempt = piece.run[task_index]
            runtime.urgent.setdefault(attempt.machine, []).append(
                ((piece.job, task_index), attempt)
            )
