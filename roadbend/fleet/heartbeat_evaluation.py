"""Evaluation of a machine's latest heartbeat: what it proves, and the orders for the response.

Only a heartbeat that carries this leader's token and is newer than all before it is evidence that
an attempt is terminated. It was sent after the worker received, or gave up on, the response to the
previous one, so no order of this or a former leader is still in transit to the worker. A heartbeat
with an older token proves only that the attempts it shows are present.
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
from roadbend.fleet.replayable_starts import StartedAttempt
from roadbend.fleet.terminations import TaskKey, Termination, TerminationEvidence, Terminations
from roadbend.log import Log
from roadbend.store import ranges
from roadbend.store.record_view import MachineAttempts
from roadbend.store.records import Attempt, Job

log = Log("fleet")
# For how much longer than its grace period a task may save its checkpoint.
SAVE_MARGIN = timedelta(seconds=1)


def _keeps_no_task(_task: TaskStatus) -> bool:
    return False


def _may_send_any(_key: TaskKey, _attempt: Attempt) -> bool:
    return True


def _knows_no_end(_key: TaskKey, _attempt: Attempt) -> datetime | None:
    return None


@dataclass
class MachineExpectation:
    """What a leader expects of a machine: the records and its decisions when a heartbeat comes."""

    partition: str
    # The attempts recorded on the machine, and those of their jobs that are neither ended nor
    # cancelled.
    recorded: MachineAttempts
    jobs: dict[str, Job]
    stops: Mapping[TaskKey, StopOrder]
    terminations: Terminations
    may_start: bool
    # Returns the attempt of a task that the partition's records name, on any machine.
    recorded_attempt: Callable[[TaskKey], Attempt | None]
    # Returns whether an unrecorded task is left running for now.
    keeps_unrecorded: Callable[[TaskStatus], bool] = _keeps_no_task
    # Returns whether the start of an attempt that the machine does not show may be sent now.
    may_send: Callable[[TaskKey, Attempt], bool] = _may_send_any
    # Returns when the end of an attempt was recorded, if that is known.
    end_recorded_at: Callable[[TaskKey, Attempt], datetime | None] = _knows_no_end


def evaluate(
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    token: int,
    expected: MachineExpectation,
    now: datetime,
) -> list[WorkerOrder]:
    """Return the orders for the response to a machine's latest heartbeat.

    Adds the terminations that it proves to `expected.terminations`, and updates `machine`.
    """
    current = heartbeat.token == token
    _update_machine(machine, heartbeat, current, now)
    evaluation = _Evaluation(machine, heartbeat, current, expected, now, [], {}, [])
    for task in heartbeat.tasks:
        evaluation.evaluate_shown(task)
    for key, (job_slice, attempt) in expected.recorded.items():
        # An attempt that is known to be terminated is not started again, although the records still
        # name it.
        if key not in evaluation.seen and key not in expected.terminations:
            evaluation.evaluate_absent(key, job_slice.job, attempt)
    machine.tasks = evaluation.seen
    _forget_direct_starts(machine, expected.recorded)
    numbers = {TaskKey(*key): attempt.number for key, (_, attempt) in expected.recorded.items()}
    machine.token.replayable_starts.update(evaluation.kept, numbers, now)
    return evaluation.orders


@dataclass(slots=True)
class _Evaluation:
    """The evaluation of one heartbeat, with its results so far."""

    machine: Machine
    heartbeat: WorkerHeartbeat
    # Whether the heartbeat carries the leader's token.
    current: bool
    expected: MachineExpectation
    now: datetime
    orders: list[WorkerOrder]
    # The recorded attempts that the heartbeat shows, ended ones included.
    seen: dict[TaskKey, ObservedTask]
    # Orders for later: to forget the ended attempts that a copy of their start could start again.
    kept: list[ForgetTask]

    def evaluate_shown(self, task: TaskStatus) -> None:
        """Evaluate a task that the heartbeat shows."""
        machine, expected = self.machine, self.expected
        key = TaskKey(task.job, task.task_index)
        entry = expected.recorded.get(key)
        if entry is None or entry[1].number != task.attempt:
            order = _order_for_unrecorded(machine, self.heartbeat, task, expected, self.now)
            if isinstance(order, ForgetTask) and _is_replayable(machine, key, task.attempt):
                self.kept.append(order)
            elif order is not None:
                self.orders.append(order)
            return
        self.seen[key] = observed = _observe(machine, key, task, self.now)
        if task.state == TaskState.ENDED:
            if machine.is_settled(key, task.attempt, self.heartbeat, self.current):
                _record_termination(machine, key, task, self.current, expected.terminations)
            return
        if key in expected.terminations:
            expected.terminations.withdraw(key, machine.id)
        stop = expected.stops.get(key)
        if stop is None or stop.attempt != task.attempt:
            return
        if stop.was_carried_out_after(self.heartbeat.position, machine.token.incarnation):
            return
        self.orders.append(_stop_task(task, stop, self.now - observed.since))
        stop.sent_at = self.now

    def evaluate_absent(self, key: tuple[str, int], job: str, attempt: Attempt) -> None:
        """Evaluate a recorded attempt that is absent from the heartbeat."""
        machine, expected = self.machine, self.expected
        should_run = _should_run(machine, key, expected, self.now)
        if should_run and expected.may_start:
            # The attempt was recorded before the first order (write-ahead). Repeating the order is
            # harmless: the worker ignores an attempt that it already holds, and it is not ordered
            # to forget an ended one before the end is recorded.
            if expected.may_send(TaskKey(*key), attempt):
                self.orders.append(StartTask(job, key[1], attempt.number))
        elif (
            self.current
            and not should_run
            and machine.is_settled(key, attempt.number, self.heartbeat, self.current)
        ):
            evidence = TerminationEvidence.ABSENT
            expected.terminations.add(key, Termination(attempt.number, machine.id, False, evidence))


def _update_machine(
    machine: Machine, heartbeat: WorkerHeartbeat, current: bool, now: datetime
) -> None:
    """Update a machine with what a heartbeat reports about the machine as a whole."""
    machine.token.confirmed = machine.token.confirmed or current
    machine.address = heartbeat.address
    if heartbeat.notice is not None:
        machine.lifecycle.reclaim_at = now + timedelta(seconds=heartbeat.notice)
    machine.unrecorded_tasks = 0


def _forget_direct_starts(machine: Machine, recorded: MachineAttempts) -> None:
    """Forget direct starts of attempts that are no longer recorded on the machine."""
    machine.token.direct_starts = {
        key: start
        for key, start in machine.token.direct_starts.items()
        if key in recorded and recorded[key][1].number == start.attempt
    }


def _should_run(
    machine: Machine, key: tuple[str, int], expected: MachineExpectation, now: datetime
) -> bool:
    """Return whether a recorded task is still to run on its machine."""
    job = expected.jobs.get(key[0])
    held = job is not None and ranges.contains(job.allocation.get(expected.partition, ()), key[1])
    return held and key not in expected.stops and machine.lifecycle.accepts_tasks(now)


def _order_for_unrecorded(
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    task: TaskStatus,
    expected: MachineExpectation,
    now: datetime,
) -> WorkerOrder | None:
    """Return the order for an unrecorded task, or None to leave it running.

    Either its end has been recorded, or it should never have been started, or its record was lost.
    """
    if expected.keeps_unrecorded(task):
        machine.unrecorded_tasks += 1
        return None
    if task.state == TaskState.ENDED:
        return ForgetTask(task.job, task.task_index, task.attempt)
    machine.unrecorded_tasks += 1
    _log_unrecorded(machine, heartbeat, task, expected, now)
    return StopTask(task.job, task.task_index, task.attempt)


def _is_replayable(machine: Machine, key: TaskKey, number: int) -> bool:
    """Return whether a late copy of a direct command could start a forgotten attempt again."""
    return StartedAttempt(key, number) in machine.token.replayable_starts


def _log_unrecorded(
    machine: Machine,
    heartbeat: WorkerHeartbeat,
    task: TaskStatus,
    expected: MachineExpectation,
    now: datetime,
) -> None:
    """Log a task that runs although no record names its attempt."""
    key = TaskKey(task.job, task.task_index)
    recorded = expected.recorded_attempt(key)
    fields = {
        "partition": expected.partition,
        "job": task.job,
        "index": task.task_index,
        "attempt": task.attempt,
        "machine": machine.id,
        "state": task.state,
        "token": heartbeat.token,
        "epoch": heartbeat.position.epoch,
        "recorded_attempt": recorded.number if recorded is not None else None,
        "recorded_machine": recorded.machine if recorded is not None else None,
    }
    ended_at = expected.end_recorded_at(key, Attempt(task.attempt, machine.id))
    if ended_at is None:
        log.warning("task-unrecorded", **fields)
    else:
        since_end_s = f"{(now - ended_at).total_seconds():.1f}"
        log.warning("ended-attempt-shown", **fields, since_end_s=since_end_s)


def _observe(machine: Machine, key: TaskKey, task: TaskStatus, now: datetime) -> ObservedTask:
    """Return a task as reported now, with when it was first seen running and in its state."""
    before = machine.tasks.get(key)
    known = before if before and before.attempt == task.attempt else None
    running_since = known.running_since if known else None
    if task.state in (TaskState.RUNNING, TaskState.FLUSHING) and running_since is None:
        running_since = now
    since = known.since if known is not None and known.state == task.state else now
    return ObservedTask(task.attempt, task.state, since, running_since)


def _record_termination(
    machine: Machine, key: TaskKey, task: TaskStatus, current: bool, terminations: Terminations
) -> None:
    """Record the termination of a task that a heartbeat shows as ended.

    The cause `done` is valid however old the heartbeat's token is. Any other end is proven only by
    a heartbeat with the leader's token.
    """
    if task.cause == EndCause.DONE:
        terminations.add(key, Termination(task.attempt, machine.id, True, EndCause.DONE))
    elif current:
        cause = task.cause or TerminationEvidence.ENDED
        terminations.add(key, Termination(task.attempt, machine.id, False, cause))


def _stop_task(task: TaskStatus, stop: StopOrder, shown_for: timedelta) -> StopTask:
    """Return the order to stop a task, without grace once it has overrun its grace period."""
    stuck = task.state == TaskState.FLUSHING and shown_for > stop.grace + SAVE_MARGIN
    grace = clock.ZERO if stuck else stop.grace
    return StopTask(task.job, task.task_index, task.attempt, grace)
