"""Evaluation of a machine's latest heartbeat: what it proves, and which orders it is answered with.

Evidence that an attempt is terminated comes only from a heartbeat that carries this leader's token
and is newer than all before it: such a heartbeat was sent after the response to the last one was
resolved, so no order of ours, nor of a former leader, is still on its way to the worker. An older
token proves presence only.
"""

from collections.abc import Callable, Mapping
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
from roadbend.fleet.terminations import TaskKey, Termination, TerminationEvidence, Terminations
from roadbend.log import Log
from roadbend.store import ranges
from roadbend.store.record_view import MachineAttempts
from roadbend.store.records import Attempt, Job

log = Log("fleet")
# How much longer than its grace period a task may save.
SAVE_MARGIN = timedelta(seconds=1)


def _keeps_nothing(_task: TaskStatus) -> bool:
    return False


def _may_send_any(_key: TaskKey, _attempt: Attempt) -> bool:
    return True


@dataclass
class MachineExpectation:
    """What a leader has recorded on a machine and decided about it, as a heartbeat is evaluated."""

    partition: str
    # The recorded attempts, and the jobs of those that are neither over nor cancelled.
    recorded: MachineAttempts
    jobs: dict[str, Job]
    stops: Mapping[TaskKey, StopOrder]
    ended: Terminations
    may_start: bool
    # The attempt of a task that the partition's records name on any machine.
    recorded_attempt: Callable[[TaskKey], Attempt | None]
    # Whether a task that no record names is left alone for now.
    keeps_unrecorded: Callable[[TaskStatus], bool] = _keeps_nothing
    # Whether the start of an attempt that the machine does not show may be sent now.
    may_send: Callable[[TaskKey, Attempt], bool] = _may_send_any


def evaluate(
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    token: int,
    expected: MachineExpectation,
    now: datetime,
) -> list[WorkerOrder]:
    """Return the orders for the response to a machine's latest heartbeat.

    Notes in `expected.ended` what it proves, and in `machine` what it shows.
    """
    current = heartbeat.token == token
    _note_machine(machine, heartbeat, current, now)
    evaluation = _Evaluation(machine, heartbeat, current, expected, now, [], {})
    for task in heartbeat.tasks:
        evaluation.evaluate_shown(task)
    for key, (job_slice, attempt) in expected.recorded.items():
        # An attempt that is known to be terminated is not ordered again, though the records name it
        # yet.
        if key not in evaluation.seen and key not in expected.ended:
            evaluation.evaluate_absent(key, job_slice.job, attempt)
    machine.tasks = evaluation.seen
    _forget_direct_starts(machine, expected.recorded)
    return evaluation.orders


@dataclass(slots=True)
class _Evaluation:
    """One heartbeat as it is evaluated, with what has come of it so far."""

    machine: Machine
    heartbeat: WorkerHeartbeat
    # Whether the heartbeat carries our token.
    current: bool
    expected: MachineExpectation
    now: datetime
    orders: list[WorkerOrder]
    # The recorded attempts that the heartbeat shows, ended ones included.
    seen: dict[TaskKey, ObservedTask]

    def evaluate_shown(self, task: TaskStatus) -> None:
        """Evaluate a task that the heartbeat shows."""
        machine, expected = self.machine, self.expected
        key = TaskKey(task.job, task.task_index)
        entry = expected.recorded.get(key)
        if entry is None or entry[1].number != task.attempt:
            order = _order_for_unrecorded(machine, task, expected)
            if order is not None:
                self.orders.append(order)
            return
        self.seen[key] = observed = _observe(machine, key, task, self.now)
        if task.state == TaskState.ENDED:
            if machine.settled(key, task.attempt, self.heartbeat, self.current):
                _note_end(machine, key, task, self.current, expected.ended)
            return
        if key in expected.ended:
            expected.ended.withdraw(key, machine.id)
        stop = expected.stops.get(key)
        if stop is None or stop.attempt != task.attempt:
            return
        if stop.was_carried_out_after(self.heartbeat.position, machine.token.incarnation):
            return
        self.orders.append(_stop(task, stop, self.now - observed.since))
        stop.sent_at = self.now

    def evaluate_absent(self, key: tuple[str, int], job: str, attempt: Attempt) -> None:
        """Evaluate a recorded attempt that the heartbeat does not show."""
        machine, expected = self.machine, self.expected
        wanted = _is_wanted(machine, key, expected)
        if wanted and expected.may_start:
            # Write-ahead has been done. Repeating an order is harmless: the worker ignores what it
            # holds, and this attempt has not been forgotten while it is in the records.
            if expected.may_send(TaskKey(*key), attempt):
                self.orders.append(StartTask(job, key[1], attempt.number))
        elif (
            self.current
            and not wanted
            and machine.settled(key, attempt.number, self.heartbeat, self.current)
        ):
            evidence = TerminationEvidence.ABSENT
            expected.ended.add(key, Termination(attempt.number, machine.id, False, evidence))


def _note_machine(
    machine: Machine, heartbeat: WorkerHeartbeat, current: bool, now: datetime
) -> None:
    """Note what a heartbeat says of the machine as a whole."""
    machine.token.confirmed = machine.token.confirmed or current
    machine.address = heartbeat.address
    if heartbeat.notice is not None:
        machine.lifecycle.reclaim_at = now + timedelta(seconds=heartbeat.notice)
    machine.unrecorded_tasks = 0


def _forget_direct_starts(machine: Machine, recorded: MachineAttempts) -> None:
    """Forget direct starts of attempts that the records do not name here any more."""
    machine.token.direct_starts = {
        key: start
        for key, start in machine.token.direct_starts.items()
        if key in recorded and recorded[key][1].number == start.attempt
    }


def _is_wanted(machine: Machine, key: tuple[str, int], expected: MachineExpectation) -> bool:
    """Whether a recorded task is still to run on its machine."""
    job = expected.jobs.get(key[0])
    held = job is not None and ranges.contains(job.allocation.get(expected.partition, ()), key[1])
    lifecycle = machine.lifecycle
    leaving = lifecycle.draining is not None or lifecycle.reclaim_at is not None
    return held and key not in expected.stops and not leaving


def _order_for_unrecorded(
    machine: Machine, task: TaskStatus, expected: MachineExpectation
) -> WorkerOrder | None:
    """Return the order for a task that is not in the records, None to leave it alone.

    Its end has been recorded, or it never should have been there, or the records have lost it.
    """
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


def _observe(machine: Machine, key: TaskKey, task: TaskStatus, now: datetime) -> ObservedTask:
    """Return a task as shown now, with since when it has been so."""
    before = machine.tasks.get(key)
    known = before if before and before.attempt == task.attempt else None
    running_since = known.running_since if known else None
    if task.state in (TaskState.RUNNING, TaskState.FLUSHING) and running_since is None:
        running_since = now
    since = known.since if known is not None and known.state == task.state else now
    return ObservedTask(task.attempt, task.state, since, running_since)


def _note_end(
    machine: Machine, key: TaskKey, task: TaskStatus, current: bool, ended: Terminations
) -> None:
    """Note an end that a heartbeat shows.

    `done` stays true however old the heartbeat is; any other end is proven by a current one only.
    """
    if task.cause == EndCause.DONE:
        ended.add(key, Termination(task.attempt, machine.id, True, EndCause.DONE))
    elif current:
        cause = task.cause or TerminationEvidence.ENDED
        ended.add(key, Termination(task.attempt, machine.id, False, cause))


def _stop(task: TaskStatus, stop: StopOrder, shown_for: timedelta) -> StopTask:
    """Return the order to stop a task, without grace if it saves for longer than it was given."""
    stuck = task.state == TaskState.FLUSHING and shown_for > stop.grace + SAVE_MARGIN
    grace = clock.ZERO if stuck else stop.grace
    return StopTask(task.job, task.task_index, task.attempt, grace)
