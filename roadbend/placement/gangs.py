"""Gangs: all tasks of a job run at the same time or none does. One part owns a gang whole and
starts its tasks under one attempt number, recorded in one transaction; what is stopped is stopped
whole, and the next attempt begins when every task of the last one is proven gone. While its tasks
still wait for each other, one that was lost is replaced."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.machines import Seen
from roadbend.log import Log
from roadbend.placement import apart_gangs
from roadbend.placement.policy import Pending, Placed
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Job, Slice
from roadbend.store.view import Work

if TYPE_CHECKING:
    from roadbend.placement.batch import Batch
    from roadbend.placement.runtime import PartRuntime

log = Log("placement")
# A task in one of these has not begun; `running` is also said by tasks that are about to exit. Of
# the time that a task waits for the others, the part within which another may still join in time.
JOIN = 0.75
NOT_BEGUN = ("fetching", "gathering")


def seen(runtime: PartRuntime, job: str, task_index: int, attempt: Attempt) -> Seen | None:
    """How the machine last showed a task of this attempt."""
    machine = runtime.machines.get(attempt.machine)
    row = machine.tasks.get((job, task_index)) if machine is not None else None
    return row if row is not None and row.attempt == attempt.number else None


def gathers(runtime: PartRuntime, job: Job, work: Work) -> bool:
    """Whether what is left of a gang surely still waits for the rest, so that a task may join it:
    every task was shown waiting, none is being stopped, and there is time for another fetch."""
    now = clock.now()
    if len({attempt.number for attempt in work.run.values()}) != 1:
        return False
    for task_index, attempt in work.run.items():
        row = seen(runtime, job.id, task_index, attempt)
        if (
            row is None
            or row.state not in NOT_BEGUN
            or (job.id, task_index) in runtime.stops
            or (job.id, task_index) in runtime.ended
        ):
            return False
        if row.state == "gathering" and now - row.since > runtime.shared.settings.gang_wait * JOIN:
            return False
    return True


def waiting(runtime: PartRuntime, job: Job, unplaced: Ranges) -> Pending | None:
    """What of a gang may be placed: all of it, once nothing of an earlier attempt is recorded any
    more; or what is missing of one that still gathers or is still being recorded."""
    if is_scattered(job):
        return None
    if ranges.size(unplaced) == share_size(runtime, job):
        return Pending(job, unplaced, False)
    work = runtime.works().get(job.id)
    if work is None or not work.run or unplaced_here(runtime, job, work) != unplaced:
        return None
    if runtime.filling.get(job.id) == number(runtime, job.id):
        may_join = still_gathers(runtime, job, work, set(work.run))
    elif apart_gangs.is_apart(job):
        # What is lost of one share ends the attempt: this part can't tell whether all still wait.
        may_join = False
    else:
        may_join = gathers(runtime, job, work)
    return Pending(job, unplaced, False) if may_join else None


def first_share(runtime: PartRuntime, batch: Batch, rows: list[Placed]) -> list[Placed]:
    """The tasks of a gang that go into the transaction in the making: all of them where one can
    hold them, else as many as there is room for now. The next transactions record the rest under
    the same attempt number, and the tasks wait for each other on their machines."""
    shards = {index // runtime.width for _, index, _ in rows}
    if len(shards) <= batch.most_slices(runtime.width):
        return rows
    first = set(sorted(shards)[: min(batch.free - 1, batch.most_slices(runtime.width))])
    return [row for row in rows if row[1] // runtime.width in first]


def note_filling(runtime: PartRuntime, piece: Slice) -> None:
    """A first share has been recorded: the rest comes before all other work."""
    runtime.filling[piece.job] = next(iter(piece.run.values())).number


def filled(runtime: PartRuntime, job: str, attempt: int) -> bool:
    """Whether nothing is left to be recorded of an attempt."""
    known = runtime.live(job)
    if known is None or number(runtime, job) != attempt:
        return True
    return len(runtime.works()[job].run) == share_size(runtime, known)


def filling_first(runtime: PartRuntime, queue: list[Pending]) -> list[Pending]:
    return sorted(queue, key=lambda item: item.job.id not in runtime.filling)


def unplaced_here(runtime: PartRuntime, job: Job, work: Work) -> Ranges:
    """The tasks of this part's share that are not recorded."""
    return ranges.minus(job.alloc.get(runtime.part, ()), ranges.of(work.run))


def is_scattered(job: Job) -> bool:
    """Whether several parts hold tasks of a gang that one part should hold whole. A version before
    gangs moves a gang's tasks like an array's."""
    return job.spec.gang and not apart_gangs.is_apart(job) and len(job.alloc) > 1


def share_size(runtime: PartRuntime, job: Job) -> int:
    """How many tasks this part starts: all, or its share of a gang that is to be apart."""
    return ranges.size(job.alloc.get(runtime.part, ()))


def number(runtime: PartRuntime, job: str) -> int | None:
    """The attempt that a task joins."""
    work = runtime.works().get(job)
    return (
        next((attempt.number for attempt in work.run.values()), None) if work is not None else None
    )


def attempt_number(runtime: PartRuntime, job: Job) -> int:
    """The number under which tasks start now: of the attempt that they join, else a new one."""
    joined = number(runtime, job.id)
    apart = apart_gangs.is_apart(job)
    if joined is None and apart:
        joined = apart_gangs.number_to_join(runtime, job)
    if joined is not None:
        return joined
    runtime.seq += 1
    mark = apart_gangs.sequence_mark(runtime) if apart else 0
    return (runtime.tenure.term << 32) | runtime.seq | mark


def may_start(runtime: PartRuntime, job: Job) -> bool:
    """Whether tasks of a job may start now, as far as other parts are concerned."""
    if not apart_gangs.is_apart(job) or job.id in runtime.filling:
        return True
    return apart_gangs.may_start(runtime, job)


def stop_whole(
    runtime: PartRuntime, job: Job, why: str, now: datetime, grace: timedelta | None = None
) -> None:
    """All tasks are told at once, so that each is within `gang_peer` of the first. One that has
    saved waits for the others; what it is given counts that."""
    work = runtime.works().get(job.id)
    if work is None:
        return
    if grace is None:
        saves = job.spec.checkpoint > clock.ZERO
        grace = (
            job.spec.save + runtime.shared.settings.gang_peer + timedelta(seconds=1)
            if saves
            else clock.ZERO
        )
    for task_index, attempt in work.run.items():
        old = runtime.stops.get((job.id, task_index))
        if old is None or old.attempt != attempt.number:
            runtime.stop((job.id, task_index), attempt, grace, why, now)


def keep_whole(runtime: PartRuntime, now: datetime) -> None:
    """A gang of which a task is gone is over, unless it still gathers: the others would notice by
    themselves, after `gang_peer` or `gang_wait`, and are told now."""
    for name, work in runtime.works().items():
        job = runtime.live(name)
        if job is None or not job.spec.gang or not work.run:
            continue
        gone = [
            (task_index, end) for (other, task_index), end in runtime.ended.items() if other == name
        ]
        if any(end.done for _, end in gone):
            continue
        if apart_gangs.is_apart(job):
            if gone or not apart_gangs.intact(runtime, job, now):
                log.info("gang-over", part=runtime.part, job=name, left=len(work.run))
                apart_gangs.rest(runtime, job, now)
                stop_whole(runtime, job, "peers", now, clock.ZERO)
            continue
        if not gone and len(work.run) == job.spec.task_count:
            continue
        rest = {task_index for task_index in work.run} - {task_index for task_index, _ in gone}
        if not rest:
            continue
        if all(end.cause in REPLACED for _, end in gone) and still_gathers(
            runtime, job, work, rest
        ):
            continue
        log.info("gang-over", part=runtime.part, job=name, left=len(rest))
        stop_whole(runtime, job, "peers", now, clock.ZERO)


# Ends after which a gang that gathers goes on with another machine in place of the lost one.
REPLACED = ("deleted", "lease", "no_room", "busy", "unknown")


def still_gathers(runtime: PartRuntime, job: Job, work: Work, rest: set[int]) -> bool:
    """As `gathers`, for what is left; tasks that were just ordered may not have been shown yet."""
    now = clock.now()
    for task_index in rest:
        attempt = work.run[task_index]
        row = seen(runtime, job.id, task_index, attempt)
        if (job.id, task_index) in runtime.stops or row is not None and row.state not in NOT_BEGUN:
            return False
        if (
            row is not None
            and row.state == "gathering"
            and now - row.since > runtime.shared.settings.gang_wait * JOIN
        ):
            return False
    return True
