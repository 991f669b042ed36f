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
    bin_packing,
    free_capacity,
    gang_reservations,
    gangs,
    preemption,
    quotas,
    restrictions,
)
from roadbend.placement.bin_packing import Placement
from roadbend.placement.quota_allowance import QuotaAllowance
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store.records import Attempt, Job, SliceShard

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("placement")


def start(leader: PartitionLeader, transaction: TransactionBuilder, now: datetime) -> bool:
    """Write-ahead of starts. The order goes out only with a report's response, after the answer."""
    queue = leader.queue.pending()
    leader.queued = {item.job.id: leader.queued.get(item.job.id, now) for item in queue}
    if not queue:
        leader.left = []
        return False
    # Most machines are full. Only services that must start soon look at those, for what could be
    # cleared there.
    soon = any(leader.context.objectives.start_within(item.job.spec) is not None for item in queue)
    least = None if soon else free_capacity.min_resources(item.job.spec.resources for item in queue)
    capacities = leader.capacities(transaction.ended_attempts, least)
    restrictions.hold_back(leader, queue)
    restrictions.image_first(leader, queue, capacities)
    overdue = leader.context.starvation.starved_jobs(now)
    limits = QuotaAllowance(
        partial(quotas.team_left, leader, transaction),
        lambda job: now - leader.queued.get(job, now) < quotas.HOLD,
    )
    ready, early = [], []
    for item in queue:
        (ready if gangs.may_start(leader, item.job) else early).append(item)
    yielding = {item.job.id for item in ready if quotas.yields(leader, item, overdue)}
    restrictions.note_passed_over(leader, ready, yielding, capacities, now)
    placed, left, more = bin_packing.place(
        gangs.filling_first(
            leader,
            [
                item
                for item in ready
                if item.job.id not in yielding or restrictions.impatient(leader, item.job.id, now)
            ],
        ),
        capacities,
        transaction.free,
        partial(restrictions.bars, leader)
        if leader.avoid
        or leader.reservations
        or leader.gang_reservations_by_machine
        or leader.withheld_types
        or leader.without_image
        or leader.lost_on
        else None,
        limits,
    )
    left += [item for item in early if apart_gangs.keeps_room(leader, item.job, now)]
    leader.left = quotas.within(limits, left)
    for rows in grouped(leader, placed):
        if not record_start(leader, transaction, rows, now):
            more = True
            break
    gang_reservations.keep_for_gangs(leader, now)
    if leader.left and not more:
        preemption.preempt(leader, transaction, capacities, least is None, now)
    return more


def grouped(leader: PartitionLeader, placed: list[Placement]) -> list[list[Placement]]:
    """What was placed, by job and shard. The tasks of a gang stay together, whatever shards they
    are in."""
    groups: dict[tuple[str, int], list[Placement]] = {}
    for item, task_index, capacity in placed:
        name, shard = item.job.id, -1
        if not item.job.spec.gang:
            job_slice = leader.job_slices().get(name)
            shard = (
                task_index // leader.width
                if job_slice is None
                else job_slice.shard_of(task_index, leader.width)
            )
        groups.setdefault((name, shard), []).append(Placement(item, task_index, capacity))
    return list(groups.values())


def record_start(
    leader: PartitionLeader, transaction: TransactionBuilder, rows: list[Placement], now: datetime
) -> bool:
    """Puts the starts of one group into the transaction; False where it has no room for all."""
    job = rows[0][0].job
    share = gangs.first_share(leader, transaction, rows) if job.spec.gang else rows
    if not share:
        return False
    pieces = fill(leader, transaction, job, share)
    record_keys = [piece.key for piece in pieces]
    # Of its team's limit all of a gang is set aside with the first of its tasks.
    if not quotas.reserve_quota(
        leader, transaction, job.spec.team, job.spec.resources, len(rows), record_keys
    ):
        return False
    if not all(transaction.fits(piece) for piece in pieces):
        log.error(
            "shard-record-oversized", partition=leader.partition, job=job.id, tasks=len(share)
        )
        return True
    for piece in pieces:
        transaction.set_slice(piece)
    transaction.require_job(job)
    if apart_gangs.is_apart(job):
        apart_gangs.add_conditions(leader, transaction, job)
        number = next(iter(pieces[0].attempts.values())).number
        transaction.after.append(partial(leader.joined.__setitem__, job.id, number))
    transaction.charge(job.spec.team, job.spec.resources, len(share))
    leader.waits.append(now - leader.queued.get(job.id, now))
    if len(share) < len(rows):
        transaction.after.append(partial(gangs.note_filling, leader, pieces[0]))
    if job.spec.gang or leader.context.objectives.start_within(job.spec) is not None:
        indexes = {task_index for _, task_index, _ in share}
        transaction.after.append(partial(order_directly, leader, pieces, indexes))
    transaction.after.append(partial(tell_observer, leader, job, pieces, [row[1] for row in share]))
    for _, task_index, capacity in share:
        log.debug(
            "attempt-started",
            partition=leader.partition,
            task=f"{job.id}/{task_index}",
            machine=capacity.id,
            waited_s=f"{(clock.wall() - job.submitted_at).total_seconds():.1f}",
            cached=job.spec.image in capacity.images,
        )
    return len(share) == len(rows)


def tell_observer(
    leader: PartitionLeader, job: Job, pieces: list[SliceShard], indexes: list[int]
) -> None:
    """The starts were recorded."""
    observer = leader.context.observer
    for piece in pieces:
        for index in indexes:
            if index in piece.attempts:
                observer.attempt_recorded(leader.partition, job, index, piece.attempts[index])


def fill(
    leader: PartitionLeader, transaction: TransactionBuilder, job: Job, rows: list[Placement]
) -> list[SliceShard]:
    """The slices with the new attempts; a gang's tasks have one attempt number."""
    job_slice, pieces = leader.job_slices().get(job.id), {}
    common = gangs.attempt_number(leader, job) if job.spec.gang else None
    for _, task_index, capacity in rows:
        at = (
            task_index // leader.width
            if job_slice is None
            else job_slice.shard_of(task_index, leader.width)
        )
        piece = pieces.get(at) or transaction.slice(job.id, job.spec.team, job.spec.resources, at)
        if common is None:
            leader.sequence += 1
        attempt = Attempt(
            (leader.leadership.term << 32) | leader.sequence if common is None else common,
            capacity.id,
        )
        pieces[at] = replace(piece, attempts={**piece.attempts, task_index: attempt})
    return list(pieces.values())


def order_directly(leader: PartitionLeader, pieces: list[SliceShard], tasks: set[int]) -> None:
    for piece in pieces:
        for task_index in tasks & piece.attempts.keys():
            attempt = piece.attempts[task_index]
            leader.urgent.setdefault(attempt.machine, []).append(((piece.job, task_index), attempt))
