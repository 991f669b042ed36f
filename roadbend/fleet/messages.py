"""Messages between workers and controllers: typed, with strict reading and their wire form.

The only module of this package that knows the names that the workers' protocol uses. Everything
else works with the types below; orders become maps as they go out.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from roadbend.http.server import MalformedError
from roadbend.wire_values import INTEGER_LIMIT, flag, number, text, whole

# A reclaim notice of more than a month says nothing.
MAX_NOTICE_S = 30 * 86400.0
# Enough for the widest job that users may submit.
MAX_TASK_INDEX_DIGITS = 7


class TaskState(StrEnum):
    """State of a task on its machine; a worker may send others, which stay plain text."""

    FETCHING = "fetching"
    # A task of a gang that waits on its machine for the others to be ready.
    GATHERING = "gathering"
    RUNNING = "running"
    # Told to stop, and saving.
    FLUSHING = "flushing"
    ENDED = "ended"


class EndCause(StrEnum):
    """Why a task ended; a worker may send others, which stay plain text."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    # The start was refused: no room, another attempt of the task is here, or no such job.
    NO_ROOM = "no_room"
    BUSY = "busy"
    UNKNOWN = "unknown"
    # A task of a gang: others of the gang ended, or did not come in time.
    PEERS = "peers"
    ALONE = "alone"


class OrderVerb(StrEnum):
    """What an order tells a worker to do."""

    RUN = "run"
    KILL = "kill"
    FORGET = "forget"


_TASK_STATES: dict[str, TaskState] = {state.value: state for state in TaskState}
_END_CAUSES: dict[str, EndCause] = {cause.value: cause for cause in EndCause}


class HeartbeatPosition(NamedTuple):
    """Position of a heartbeat among all of its worker: the larger one is the newer heartbeat."""

    # Grows each time the worker's lease expires.
    epoch: int
    # Grows with every heartbeat and every answer to a direct command within an epoch.
    sequence: int


# Before every heartbeat of a machine.
NO_HEARTBEAT_YET = HeartbeatPosition(0, -1)


class TaskStatus(NamedTuple):
    """A task as a heartbeat shows it."""

    job: str
    task_index: int
    attempt: int
    state: TaskState | str
    cause: EndCause | str | None
    saved: bool


# A heartbeat's list of tasks as it was decoded: only compared with others, never looked into.
UnreadTasks = list[object]


@dataclass(frozen=True)
class WorkerHeartbeat:
    """A worker's heartbeat."""

    machine: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    position: HeartbeatPosition
    # The highest fencing token that the worker has seen.
    token: int
    # Seconds until the cloud reclaims the machine, if it has said so.
    notice: float | None
    tasks: tuple[TaskStatus, ...]
    # The tasks as they came, to compare the next heartbeat with.
    reported_tasks: UnreadTasks


@dataclass(frozen=True)
class StartTask:
    """Order to start an attempt; a worker that holds the attempt already ignores it."""

    job: str
    task_index: int
    attempt: int


@dataclass(frozen=True)
class StopTask:
    """Order to stop an attempt.

    A task that saves checkpoints does so if the grace period is long enough for it. None: of an
    attempt that no record names nothing is to be saved.
    """

    job: str
    task_index: int
    attempt: int
    grace: timedelta | None = None


@dataclass(frozen=True)
class ForgetTask:
    """Order to leave an ended attempt out of further heartbeats."""

    job: str
    task_index: int
    attempt: int


WorkerOrder = StartTask | StopTask | ForgetTask

_VERBS: dict[type[WorkerOrder], OrderVerb] = {
    StartTask: OrderVerb.RUN,
    StopTask: OrderVerb.KILL,
    ForgetTask: OrderVerb.FORGET,
}


def split_task(name: str) -> tuple[str, int]:
    """Return job and task index of a task's name on the wire."""
    job, slash, task_index = name.rpartition("/")
    if (
        not slash
        or not job
        or not task_index.isascii()
        or not task_index.isdigit()
        or len(task_index) > MAX_TASK_INDEX_DIGITS
    ):
        raise MalformedError("leg: expected job/number")
    return job, int(task_index)


def parse_heartbeat(data: Any) -> WorkerHeartbeat:
    """Read a decoded heartbeat; raise `MalformedError` if anything in it is not as promised."""
    if not isinstance(data, dict):
        raise MalformedError("report: expected a map")
    rows = data.get("legs")
    if rows is None:
        rows = []
    if not isinstance(rows, list):
        raise MalformedError("legs: expected a list")
    tasks = tuple([_parse_task(row) for row in rows])
    notice = data.get("recallS")
    return WorkerHeartbeat(
        machine=text(data.get("hitch"), "hitch"),
        address=text(data.get("address"), "address"),
        machine_type=text(data.get("rig"), "rig"),
        zone=text(data.get("yard"), "yard"),
        spot=flag(data.get("loaners"), "loaners"),
        position=HeartbeatPosition(
            whole(data.get("stint"), "stint"), whole(data.get("tick"), "tick")
        ),
        token=whole(data.get("baton"), "baton"),
        notice=None if notice is None else min(number(notice, "recallS"), MAX_NOTICE_S),
        tasks=tasks,
        reported_tasks=rows,
    )


def _parse_task(row: Any) -> TaskStatus:
    if not isinstance(row, dict):
        raise MalformedError("legs: expected maps")
    job, task_index = split_task(text(row.get("leg"), "leg"))
    attempt = whole(row.get("try"), "try")
    state = text(row.get("status"), "status")
    cause = row.get("cause")
    if cause is not None:
        cause = text(cause, "cause")
        cause = _END_CAUSES.get(cause, cause)
    return TaskStatus(
        job, task_index, attempt, _TASK_STATES.get(state, state), cause, row.get("saved") is True
    )


def sender_zone(data: Any) -> Any:
    """Return the zone that an unread heartbeat names, as it came: it may be of any type."""
    return data.get("yard") if isinstance(data, dict) else None


def sender_machine(data: dict[str, Any]) -> str | None:
    """Return the machine that an unread heartbeat names, None if it names none."""
    machine = data.get("hitch")
    return machine if isinstance(machine, str) else None


def unchanged_position(
    data: dict[str, Any],
    *,
    previous: HeartbeatPosition,
    token: int,
    reported_tasks: UnreadTasks | None,
    address: str,
) -> HeartbeatPosition | None:
    """Return the position of an unread heartbeat that says what the previous one said.

    None: it differs in more than its position, is not newer, or is of another epoch, and has to be
    read in full.
    """
    epoch, sequence = data.get("stint"), data.get("tick")
    if (
        type(epoch) is not int
        or type(sequence) is not int
        or epoch != previous.epoch
        or not previous.sequence < sequence < INTEGER_LIMIT
        or data.get("baton") != token
        or data.get("recallS") is not None
        or data.get("legs") != reported_tasks
        or data.get("address") != address
    ):
        return None
    return HeartbeatPosition(epoch, sequence)


# The wire form of what controllers send.

Body = dict[str, Any]


def order_to_wire(order: WorkerOrder) -> Body:
    """Return an order as the worker's protocol has it."""
    row: Body = {
        "verb": _VERBS[type(order)].value,
        "leg": f"{order.job}/{order.task_index}",
        "try": order.attempt,
    }
    if isinstance(order, StopTask):
        row["windDownS"] = 0 if order.grace is None else order.grace.total_seconds()
    return row


def heartbeat_answer(token: int, orders: Iterable[WorkerOrder] = ()) -> Body:
    """Return the body of the answer that a heartbeat is accepted with."""
    return {"baton": token, "orders": [order_to_wire(order) for order in orders]}


def direct_command(token: int, epoch: int, orders: Iterable[WorkerOrder] = ()) -> Body:
    """Return the body of a direct command, which holds for one epoch of the worker."""
    return {
        "baton": token,
        "stint": epoch,
        "orders": [order_to_wire(order) for order in orders],
    }


def redirect(controller: str) -> Body:
    """Return the body of the answer that sends a worker to another controller."""
    return {"dispatcher": controller}
