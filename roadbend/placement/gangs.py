"""Gangs: all tasks of a job run at the same time or none does. One partition owns a gang whole and
starts its tasks under one attempt number, recorded in one transaction; what is stopped is stopped
whole, and the next attempt begins when every task of the last one is proven gone. While its tasks
still wait for each other, one that was lost is replaced."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.machines import ObservedTask
from roadbend.log import Log
from roadbend.placement import apart_gangs
from roadbend.placement.bin_packing import Placement
from roadbend.placement.queue_order import PendingTasks
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, Job, SliceShard

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader
    from roadbend.placement.transaction import TransactionBuilder

log = Log("placement")
# A task in one of these has not begun; `running` is also said by tasks that are about to exit. Of
# the time that a task waits for the others, the part within which another may still join in time.
JOIN = 0.75
NOT_BEGUN = ("fetching", "gathering")


def seen(
    leader: PartitionLeader, job: str, task_index: int, attempt: Attempt
) -> ObservedTask | None:
    """How the machine last showed a task of this attempt."""
    machine = leader.machines.get(attempt.machine)
    row = machine.tasks.get((job, task_index)) if machine is not None else None
    return row if row is not None and row.attempt == attempt.number else None


def gathers(leader: PartitionLeader, job: Job, job_slice: JobSlice) -> bool:
    """Whether what is left of a gang surely still waits for the rest, so that a task may join it:
    every task was shown waiting, none is being stopped, and there is time for another fetch."""
    now = clock.now()
    if len({attempt.number for attempt in job_slice.attempts.values()}) != 1:
        return False
    for task_index, attempt in job_slice.attempts.items():
        row = seen(leader, job.id, task_index, attempt)
        if (
            row is None
            or row.state not in NOT_BEGUN
            or (job.id, task_index) in leader.stops
            or (job.id, task_index) in leader.ended
        ):
            return False
        if row.state == "gathering" and now - row.since > leader.context.settings.gang_wait * JOIN:
            return False
    return True


def waiting(leader: PartitionLeader, job: Job, unplaced: Ranges) -> PendingTasks | None:
    """What of a gang may be placed: all of it, once nothing of an earlier attempt is recorded any
    more; or what is missing of one that still gathers or is still being recorded."""
    if is_scattered(job):
        return None
    if ranges.size(unplaced) == share_size(leader, job):
        return PendingTasks(job, unplaced, False)
    job_slice = leader.job_slices().get(job.id)
    if (
        job_slice is None
        or not job_slice.attempts
        or unplaced_here(leader, job, job_slice) != unplaced
    ):
        return None
    if leader.filling.get(job.id) == number(leader, job.id):
        may_join = still_gathers(leader, job, job_slice, set(job_slice.attempts))
    elif apart_gangs.is_apart(job):
        # What is lost of one share ends the attempt: this partition can't tell whether all still
        # wait.
        may_join = False
    else:
        may_join = gathers(leader, job, job_slice)
    return PendingTasks(job, unplaced, False) if may_join else None


def first_share(
    leader: PartitionLeader, transaction: TransactionBuilder, rows: list[Placement]
) -> list[Placement]:
    """The tasks of a gang that go into the transaction in the making: all of them where one can
    hold them, else as many as there is room for now. The next transactions record the rest under
    the same attempt number, and the tasks wait for each other on their machines."""
    shards = {index // leader.width for _, index, _ in rows}
    if len(shards) <= transaction.most_slices(leader.width):
        return rows
    first = set(sorted(shards)[: min(transaction.free - 1, transaction.most_slices(leader.width))])
    return [row for row in rows if row[1] // leader.width in first]


def note_filling(leader: PartitionLeader, piece: SliceShard) -> None:
    """A first share has been recorded: the rest comes before all other work."""
    leader.filling[piece.job] = next(iter(piece.attempts.values())).number


def filled(leader: PartitionLeader, job: str, attempt: int) -> bool:
    """Whether nothing is left to be recorded of an attempt."""
    known = leader.live(job)
    if known is None or number(leader, job) != attempt:
        return True
    return len(leader.job_slices()[job].attempts) == share_size(leader, known)


def filling_first(leader: PartitionLeader, queue: list[PendingTasks]) -> list[PendingTasks]:
    return sorted(queue, key=lambda item: item.job.id not in leader.filling)


def unplaced_here(leader: PartitionLeader, job: Job, job_slice: JobSlice) -> Ranges:
    """The tasks of this partition's share that are not recorded."""
    return ranges.minus(job.allocation.get(leader.partition, ()), ranges.of(job_slice.attempts))


def is_scattered(job: Job) -> bool:
    """Whether several partitions hold tasks of a gang that one partition should hold whole. A
    version before gangs moves a gang's tasks like an array's."""
    return job.spec.gang and not apart_gangs.is_apart(job) and len(job.allocation) > 1


def share_size(leader: PartitionLeader, job: Job) -> int:
    """How many tasks this partition starts: all, or its share of a gang that is to be apart."""
    return ranges.size(job.allocation.get(leader.partition, ()))


def number(leader: PartitionLeader, job: str) -> int | None:
    """The attempt that a task joins."""
    job_slice = leader.job_slices().get(job)
    return (
        next((attempt.number for attempt in job_slice.attempts.values()), None)
        if job_slice is not None
        else None
    )


def attempt_number(leader: PartitionLeader, job: Job) -> int:
    """The number under which tasks start now: of the attempt that they join, else a new one."""
    joined = number(leader, job.id)
    apart = apart_gangs.is_apart(job)
    if joined is None and apart:
        joined = apart_gangs.number_to_join(leader, job)
    if joined is not None:
        return joined
    leader.sequence += 1
    mark = apart_gangs.sequence_mark(leader) if apart else 0
    return (leader.leadership.term << 32) | leader.sequence | mark


def may_start(leader: PartitionLeader, job: Job) -> bool:
    """Whether tasks of a job may start now, as far as other partitions are concerned."""
    if not apart_gangs.is_apart(job) or job.id in leader.filling:
        return True
    return apart_gangs.may_start(leader, job)


def stop_whole(
    leader: PartitionLeader, job: Job, why: str, now: datetime, grace: timedelta | None = None
) -> None:
    """All tasks are told at once, so that each is within `gang_peer` of the first. One that has
    saved waits for the others; what it is given counts that."""
    job_slice = leader.job_slices().get(job.id)
    if job_slice is None:
        return
    if grace is None:
        saves = job.spec.checkpoint > clock.ZERO
        grace = (
            job.spec.save + leader.context.settings.gang_peer + timedelta(seconds=1)
            if saves
            else clock.ZERO
        )
    for task_index, attempt in job_slice.attempts.items():
        old = leader.stops.get((job.id, task_index))
        if old is None or old.attempt != attempt.number:
            leader.stop((job.id, task_index), attempt, grace, why, now)


def keep_whole(leader: PartitionLeader, now: datetime) -> None:
    """A gang of which a task is gone is over, unless it still gathers: the others would notice by
    themselves, after `gang_peer` or `gang_wait`, and are told now."""
    for name, job_slice in leader.job_slices().items():
        job = leader.live(name)
        if job is None or not job.spec.gang or not job_slice.attempts:
            continue
        gone = [
            (task_index, end) for (other, task_index), end in leader.ended.items() if other == name
        ]
        if any(end.done for _, end in gone):
            continue
        if apart_gangs.is_apart(job):
            if gone or not apart_gangs.intact(leader, job, now):
                log.info(
                    "gang-attempt-abandoned",
                    partition=leader.partition,
                    job=name,
                    remaining_tasks=len(job_slice.attempts),
                )
                apart_gangs.rest(leader, job, now)
                stop_whole(leader, job, "peers", now, clock.ZERO)
            continue
        if not gone and len(job_slice.attempts) == job.spec.task_count:
            continue
        rest = {task_index for task_index in job_slice.attempts} - {
            task_index for task_index, _ in gone
        }
        if not rest:
            continue
        if all(end.cause in REPLACED for _, end in gone) and still_gathers(
            leader, job, job_slice, rest
        ):
            continue
        log.info(
            "gang-attempt-abandoned",
            partition=leader.partition,
            job=name,
            remaining_tasks=len(rest),
        )
        stop_whole(leader, job, "peers", now, clock.ZERO)


# Ends after which a gang that gathers goes on with another machine in place of the lost one.
REPLACED = ("deleted", "lease", "no_room", "busy", "unknown")


def still_gathers(leader: PartitionLeader, job: Job, job_slice: JobSlice, rest: set[int]) -> bool:
    """As `gathers`, for what is left; tasks that were just ordered may not have been shown yet."""
    now = clock.now()
    for task_index in rest:
        attempt = job_slice.attempts[task_index]
        row = seen(leader, job.id, task_index, attempt)
        if (job.id, task_index) in leader.stops or row is not None and row.state not in NOT_BEGUN:
            return False
        if (
            row is not None
            and row.state == "gathering"
            and now - row.since > leader.context.settings.gang_wait * JOIN
        ):
            return False
    return True
