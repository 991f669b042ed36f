"""What a machine's latest report proves, and what it is answered.

Proof that a task is gone comes only from a report that carries this owner's token and is newer than
all before it: such a report was sent after the response to the last one was resolved, so no order
of ours, nor of a former owner, is still on its way to the worker. An older token proves presence
only."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend.fleet import messages
from roadbend.fleet.ended_attempts import AttemptEnd, EndedAttempts, Key
from roadbend.fleet.machines import Machine, Seen, Stop
from roadbend.fleet.messages import Report, TaskReport
from roadbend.log import Log
from roadbend.store import ranges
from roadbend.store.records import Attempt, Job
from roadbend.store.view import Rows

log = Log("fleet")
# How much longer than its grace a task may save.
SAVE_MARGIN = timedelta(seconds=1)


@dataclass
class Expected:
    """What an owner has recorded on a machine and decided about it, as a report is read."""

    part: str
    # The recorded attempts, and the jobs of those that are neither over nor cancelled.
    recorded: Rows
    jobs: dict[str, Job]
    stops: dict[Key, Stop]
    ended: EndedAttempts
    may_start: bool
    # The attempt of a task that the part's records name on any machine.
    recorded_attempt: Callable[[Key], Attempt | None]
    # Whether a task that no record names is left alone for now.
    keeps_unrecorded: Callable[[TaskReport], bool] = lambda task: False


def read(
    machine: Machine, report: Report, token: int, expected: Expected, now: datetime
) -> list[dict]:
    """Gives the orders for the response to a machine's latest report. Notes in `expected.ended`
    what it proves."""
    recorded, stops, ended = expected.recorded, expected.stops, expected.ended
    current = report.token == token
    machine.ours = machine.ours or current
    machine.address = report.address
    if report.notice is not None:
        machine.recall_at = now + timedelta(seconds=report.notice)
    orders: list[dict] = []
    seen: dict[Key, Seen] = {}
    machine.foreign = 0
    for task in report.tasks:
        key = Key(task.job, task.task_index)
        entry = recorded.get(key)
        if entry is None or entry[1].number != task.attempt:
            order = _order_for_unrecorded(machine, task, expected)
            if order is not None:
                orders.append(order)
            continue
        seen[key] = _see(machine, task, now)
        if task.state == "ended":
            if machine.settled(key, task.attempt, report, current):
                _note_end(machine, task, current, ended)
            continue
        if key in ended:
            ended.withdraw(key, machine.id)
        stop = stops.get(key)
        if stop is not None and stop.attempt == task.attempt:
            orders.append(_kill(task, stop, now - seen[key].since))
            stop.told_at = now
    for key, (work, attempt) in recorded.items():
        if key in seen or key in ended:
            # An attempt that is proven gone is not ordered again, though the records name it yet.
            continue
        wanted = _is_wanted(machine, key, expected)
        if wanted and expected.may_start:
            # Write-ahead has been done. Repeating an order is harmless: the worker ignores what it
            # holds, and this attempt has not been forgotten while it is in the records.
            orders.append(messages.run(work.job, key[1], attempt.number))
        elif current and not wanted and machine.settled(key, attempt.number, report, current):
            ended.note(key, AttemptEnd(attempt.number, machine.id, False, "absent"))
    machine.tasks = seen
    machine.direct = {
        key: row
        for key, row in machine.direct.items()
        if key in recorded and recorded[key][1].number == row.attempt
    }
    return orders


def _is_wanted(machine: Machine, key: Key, expected: Expected) -> bool:
    """Whether a recorded task is still to run on its machine."""
    job = expected.jobs.get(key[0])
    held = job is not None and ranges.has(job.alloc.get(expected.part, ()), key[1])
    leaving = machine.draining is not None or machine.recall_at is not None
    return held and key not in expected.stops and not leaving


def _order_for_unrecorded(machine: Machine, task: TaskReport, expected: Expected) -> dict | None:
    """A task that is not in the records (any more): its end has been recorded, or it never should
    have been, or the records have lost it."""
    if expected.keeps_unrecorded(task):
        machine.foreign += 1
        return None
    if task.state == "ended":
        return messages.forget(task.job, task.task_index, task.attempt)
    machine.foreign += 1
    recorded = expected.recorded_attempt(Key(task.job, task.task_index))
    log.warning(
        "unrecorded-task",
        part=expected.part,
        job=task.job,
        index=task.task_index,
        attempt=task.attempt,
        machine=machine.id,
        state=task.state,
        recorded_attempt=recorded.number if recorded is not None else None,
        recorded_machine=recorded.machine if recorded is not None else None,
    )
    return messages.kill(task.job, task.task_index, task.attempt, 0)


def _see(machine: Machine, task: TaskReport, now: datetime) -> Seen:
    """A task as shown now, with since when it has been so."""
    before = machine.tasks.get((task.job, task.task_index))
    known = before if before and before.attempt == task.attempt else None
    running_since = known.running_since if known else None
    if task.state in ("running", "flushing") and running_since is None:
        running_since = now
    since = known.since if known is not None and known.state == task.state else now
    return Seen(task.attempt, task.state, since, running_since)


def _note_end(machine: Machine, task: TaskReport, current: bool, ended: EndedAttempts) -> None:
    """`done` stays true however old the report; any other end needs the proof of a current one."""
    key = Key(task.job, task.task_index)
    if task.cause == "done":
        ended.note(key, AttemptEnd(task.attempt, machine.id, True, "done"))
    elif current:
        ended.note(key, AttemptEnd(task.attempt, machine.id, False, task.cause or "ended"))


def _kill(task: TaskReport, stop: Stop, shown_for: timedelta) -> dict:
    """A task that saves for longer than it was given is ended by a kill without grace."""
    stuck = task.state == "flushing" and shown_for > stop.grace + SAVE_MARGIN
    grace = 0.0 if stuck else stop.grace.total_seconds()
    return messages.kill(task.job, task.task_index, task.attempt, grace)
