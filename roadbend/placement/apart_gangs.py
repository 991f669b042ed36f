"""Gangs that are to be apart. No part may run more than half of such a gang, so several parts hold
a share of it each, and start their shares under one attempt number.

The parts begin in the order of their names: the first one when nothing of an earlier attempt is
recorded anywhere, each other one when all before it have recorded their whole shares. So of two
gangs none holds room that the other waits for while waiting for the other's room. Every start is
conditional on the records of the other shares being as they were read, whoever owns the parts by
then. On machines the tasks wait for each other, as those of any gang do."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend.store import keys, ranges
from roadbend.store.records import Attempt, Job

if TYPE_CHECKING:
    from roadbend.placement.batch import Batch
    from roadbend.placement.runtime import PartRuntime

# How long a share that may not begin yet has room kept for it.
KEEP_ROOM = timedelta(seconds=45)
# How long after a gang was seen running the records of all its shares must have been read.
RECORDS_LAG = timedelta(seconds=2)
# How long an attempt that some part did not join rests before the next one.
REST = timedelta(seconds=5)
# The bits of an attempt's sequence number that name the part which began it: numbers of different
# parts are never equal, though each part counts for itself.
PART_SHIFT = 24


def is_apart(job: Job) -> bool:
    """Whether several parts hold shares of the gang."""
    return job.spec.gang and job.spec.apart and job.spec.task_count > 1


def parts_of(job: Job) -> list[str]:
    """The parts that hold shares, in the order in which they begin."""
    return sorted(part for part, held in job.alloc.items() if held)


def recorded(runtime: PartRuntime, job: Job, part: str) -> dict[int, Attempt]:
    """What the records say is started of a part's share."""
    work = runtime.shared.view.slices.get(part, {}).get(job.id)
    return work.run if work is not None else {}


def complete_under(runtime: PartRuntime, job: Job, part: str) -> int | None:
    """The attempt number under which a part has recorded its whole share; None: it has not."""
    run = recorded(runtime, job, part)
    numbers = {attempt.number for attempt in run.values()}
    if len(numbers) != 1 or ranges.of(run) != job.alloc.get(part, ()):
        return None
    return numbers.pop()


def number_to_join(runtime: PartRuntime, job: Job) -> int | None:
    """The attempt that the parts before this one have begun; None: nothing to join."""
    parts = parts_of(job)
    before = parts[: parts.index(runtime.part)] if runtime.part in parts else []
    numbers = {complete_under(runtime, job, part) for part in before}
    return numbers.pop() if len(numbers) == 1 else None


def may_start(runtime: PartRuntime, job: Job) -> bool:
    """Whether it is this part's turn to start its share."""
    parts = parts_of(job)
    if job.free or runtime.part not in parts:
        return False
    if runtime.part == parts[0]:
        return not any(recorded(runtime, job, part) for part in parts[1:])
    number = number_to_join(runtime, job)
    return number is not None and runtime.joined.get(job.id) != number


def sequence_mark(runtime: PartRuntime) -> int:
    """What is added to the sequence number of an attempt that this part begins."""
    parts = runtime.shared.ownership.parts()
    return (parts.index(runtime.part) + 1) << PART_SHIFT


def add_conditions(runtime: PartRuntime, batch: Batch, job: Job) -> None:
    """Makes the transaction depend on the other shares' records being as they were read."""
    for part in parts_of(job):
        if part != runtime.part:
            batch.when.update(share_conditions(runtime, job, part))


def share_conditions(runtime: PartRuntime, job: Job, part: str) -> dict[str, int]:
    """The revisions of the records of a part's share; 0 for those that don't exist."""
    held = job.alloc.get(part, ())
    shards = {index // runtime.width for index in ranges.numbers(held)}
    record_keys = [keys.slice_key(part, job.id, shard) for shard in sorted(shards)]
    return {key: runtime.shared.view.mod_revision(key) for key in record_keys}


def intact(runtime: PartRuntime, job: Job, now: datetime) -> bool:
    """Whether the attempt of which this part runs a share may still begin or go on."""
    number = runtime.filling.get(job.id) or complete_under(runtime, job, runtime.part)
    if number is None:
        return False
    parts = parts_of(job)
    mine = parts.index(runtime.part)
    for at, part in enumerate(parts):
        if part == runtime.part or complete_under(runtime, job, part) == number:
            continue
        # Those that come later may be about to begin, or be recording a wide share; anything else
        # says that the attempt is over.
        numbers = {attempt.number for attempt in recorded(runtime, job, part).values()}
        if at < mine or numbers - {number} or not _still_waits(runtime, job, now):
            return False
    return True


def _still_waits(runtime: PartRuntime, job: Job, now: datetime) -> bool:
    """Whether our own tasks can still be joined. A gang that runs has all its shares recorded,
    though we may not have read that yet."""
    patience = runtime.shared.settings.gang_wait * 0.75
    for index, attempt in recorded(runtime, job, runtime.part).items():
        machine = runtime.machines.get(attempt.machine)
        row = machine.tasks.get((job.id, index)) if machine is not None else None
        if row is None or row.attempt != attempt.number or row.state == "fetching":
            continue
        if now - row.since > (patience if row.state == "gathering" else RECORDS_LAG):
            return False
    return True


def rest(runtime: PartRuntime, job: Job, now: datetime) -> None:
    """An attempt is over: the next one does not begin at once, and its shares are bid for anew,
    since one of them may find no room where it is."""
    times = runtime.backoff.get(job.id, (0, now))[0]
    runtime.backoff[job.id] = (times, now + REST)
    runtime.to_release.add(job.id)


def keeps_room(runtime: PartRuntime, job: Job, now: datetime) -> bool:
    """Whether room is kept for a share that may not begin yet: only for a while, since the other
    shares may never find theirs."""
    return now - runtime.queued.get(job.id, now) < KEEP_ROOM


def may_release(runtime: PartRuntime, job: Job) -> dict[str, int] | None:
    """The conditions under which all shares are given back to be bid for again; None where it is
    not this part's turn to do so, or something of the gang is still recorded."""
    parts = parts_of(job)
    if not parts or parts[0] != runtime.part:
        return None
    if any(recorded(runtime, job, part) for part in parts):
        return None
    when = {keys.term_key(runtime.part): runtime.tenure.mod_revision}
    for part in parts:
        when.update(share_conditions(runtime, job, part))
    return when
