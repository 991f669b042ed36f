"""What a machine's latest report proves, and what it is answered.

Proof that a task is gone comes only from a report that carries this owner's token and is newer than
all before it: such a report was sent after the response to the last one was resolved, so no order
of ours, nor of a former owner, is still on its way to the worker. An older token proves presence
only."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.machines import Machine, ObservedTask, StopOrder
from roadbend.fleet.messages import (
    EndCause,
    ForgetTask,
    StartTask,
    StopTask,
    TaskState,
    TaskStatus,
    WorkerHeartbeat,
    WorkerOrder,
)
from roadbend.fleet.terminations import TaskKey, Termination, Terminations
from roadbend.log import Log
from roadbend.store import ranges
from roadbend.store.record_view import MachineAttempts
from roadbend.store.records import Attempt, Job

log = Log("fleet")
# How much longer than its grace a task may save.
SAVE_MARGIN = timedelta(seconds=1)


@dataclass
class MachineExpectation:
    """What an owner has recorded on a machine and decided about it, as a report is read."""

    partition: str
    # The recorded attempts, and the jobs of those that are neither over nor cancelled.
    recorded: MachineAttempts
    jobs: dict[str, Job]
    stops: dict[TaskKey, StopOrder]
    ended: Terminations
    may_start: bool
    # The attempt of a task that the partition's records name on any machine.
    recorded_attempt: Callable[[TaskKey], Attempt | None]
    # Whether a task that no record names is left alone for now.
    keeps_unrecorded: Callable[[TaskStatus], bool] = lambda task: False


def read(
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    token: int,
    expected: MachineExpectation,
    now: datetime,
) -> list[WorkerOrder]:
    """Gives the orders for the response to a machine's latest report. Notes in `expected.ended`
    what it proves."""
    recorded, stops, ended = expected.recorded, expected.stops, expected.ended
    current = heartbeat.token == token
    machine.token.confirmed = machine.token.confirmed or current
    machine.address = heartbeat.address
    if heartbeat.notice is not None:
        machine.lifecycle.reclaim_at = now + timedelta(seconds=heartbeat.notice)
    orders: list[WorkerOrder] = []
    seen: dict[TaskKey, ObservedTask] = {}
    machine.unrecorded_tasks = 0
    for task in heartbeat.tasks:
        key = TaskKey(task.job, task.task_index)
        entry = recorded.get(key)
        if entry is None or entry[1].number != task.attempt:
            order = _order_for_unrecorded(machine, task, expected)
            if order is not None:
                orders.append(order)
            continue
        seen[key] = _see(machine, task, now)
        if task.state == TaskState.ENDED:
            if machine.settled(key, task.attempt, heartbeat, current):
                _note_end(machine, task, current, ended)
            continue
        if key in ended:
            ended.withdraw(key, machine.id)
        stop = stops.get(key)
        if stop is not None and stop.attempt == task.attempt:
            orders.append(_kill(task, stop, now - seen[key].since))
            stop.sent_at = now
    for key, (job_slice, attempt) in recorded.items():
        if key in seen or key in ended:
            # An attempt that is proven gone is not ordered again, though the records name it yet.
            continue
        wanted = _is_wanted(machine, key, expected)
        if wanted and expected.may_start:
            # Write-ahead has been done. Repeating an order is harmless: the worker ignores what it
            # holds, and this attempt has not been forgotten while it is in the records.
            orders.append(StartTask(job_slice.job, key[1], attempt.number))
        elif current and not wanted and machine.settled(key, attempt.number, heartbeat, current):
            ended.note(key, Termination(attempt.number, machine.id, False, "absent"))
    machine.tasks = seen
    machine.token.direct_starts = {
        key: row
        for key, row in machine.token.direct_starts.items()
        if key in recorded and recorded[key][1].number == row.attempt
    }
    return orders


def _is_wanted(machine: Machine, key: TaskKey, expected: MachineExpectation) -> bool:
    """Whether a recorded task is still to run on its machine."""
    job = expected.jobs.get(key[0])
    held = job is not None and ranges.has(job.allocation.get(expected.partition, ()), key[1])
    leaving = machine.lifecycle.draining is not None or machine.lifecycle.reclaim_at is not None
    return held and key not in expected.stops and not leaving


def _order_for_unrecorded(
    machine: Machine, task: TaskStatus, expected: MachineExpectation
) -> WorkerOrder | None:
    """A task that is not in the records (any more): its end has been recorded, or it never should
    have been, or the records have lost it."""
    if expected.keeps_unrecorded(task):
        machine.unrecorded_tasks += 1
        return None
    if task.state == TaskState.ENDED:
        return ForgetTask(task.job, task.task_index, task.attempt)
    machine.unrecorded_tasks += 1
    recorded = expected.recorded_attempt(TaskKey(task.job, task.task_index))
    log.warning(
        "task-unrecorded",
        partition=expected.partition,
        job=task.job,
        index=task.task_index,
        attempt=task.attempt,
        machine=machine.id,
        state=task.state,
        recorded_attempt=recorded.number if recorded is not None else None,
        recorded_machine=recorded.machine if recorded is not None else None,
    )
    return StopTask(task.job, task.task_index, task.attempt)


def _see(machine: Machine, task: TaskStatus, now: datetime) -> ObservedTask:
    """A task as shown now, with since when it has been so."""
    before = machine.tasks.get((task.job, task.task_index))
    known = before if before and before.attempt == task.attempt else None
    running_since = known.running_since if known else None
    if task.state in (TaskState.RUNNING, TaskState.FLUSHING) and running_since is None:
        running_since = now
    since = known.since if known is not None and known.state == task.state else now
    return ObservedTask(task.attempt, task.state, since, running_since)


def _note_end(machine: Machine, task: TaskStatus, current: bool, ended: Terminations) -> None:
    """`done` stays true however old the report; any other end needs the proof of a current one."""
    key = TaskKey(task.job, task.task_index)
    if task.cause == EndCause.DONE:
        ended.note(key, Termination(task.attempt, machine.id, True, EndCause.DONE))
    elif current:
        ended.note(key, Termination(task.attempt, machine.id, False, task.cause or "ended"))


def _kill(task: TaskStatus, stop: StopOrder, shown_for: timedelta) -> StopTask:
    """A task that saves for longer than it was given is ended by a kill without grace."""
    stuck = task.state == TaskState.FLUSHING and shown_for > stop.grace + SAVE_MARGIN
    grace = clock.ZERO if stuck else stop.grace
    return StopTask(task.job, task.task_index, task.attempt, grace)
