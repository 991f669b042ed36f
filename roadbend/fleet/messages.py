"""Messages between workers and controllers: types, strict parsing, and encoding for the wire.

The only module of this package that knows the field names of the worker protocol. Everything else
works with the types below; orders are converted to maps when they are sent.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple

from roadbend.http.server import MalformedError
from roadbend.wire_values import INTEGER_LIMIT, flag, number, text, whole

# Reclaim notices are capped at a month; a longer one carries no information.
MAX_NOTICE_S = 30 * 86400.0
# Enough for the job with the most tasks that users may submit.
MAX_TASK_INDEX_DIGITS = 7


class TaskState(StrEnum):
    """State of a task on its machine; unknown states that a worker sends stay strings."""

    FETCHING = "fetching"
    # A task of a gang that waits for the gang's other tasks to be ready.
    GATHERING = "gathering"
    RUNNING = "running"
    # The task was ordered to stop and is saving a checkpoint.
    FLUSHING = "flushing"
    ENDED = "ended"


class EndCause(StrEnum):
    """Why a task ended; unknown causes that a worker sends stay strings."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    # The worker refused the start: not enough free capacity, it runs another attempt of the task,
    # or it does not know the job.
    NO_ROOM = "no_room"
    BUSY = "busy"
    UNKNOWN = "unknown"
    # A task of a gang: other tasks of the gang ended, or were not ready in time.
    PEERS = "peers"
    ALONE = "alone"


class OrderVerb(StrEnum):
    """What an order makes a worker do."""

    RUN = "run"
    KILL = "kill"
    FORGET = "forget"


_TASK_STATES: dict[str, TaskState] = {state.value: state for state in TaskState}
_END_CAUSES: dict[str, EndCause] = {cause.value: cause for cause in EndCause}


class HeartbeatPosition(NamedTuple):
    """Position of a heartbeat in its worker's sequence; a newer heartbeat has a larger one."""

    # Incremented each time the worker's lease expires.
    epoch: int
    # Incremented within an epoch with every heartbeat and every response to a direct command.
    sequence: int


# Less than the position of any heartbeat.
NO_HEARTBEAT_YET = HeartbeatPosition(0, -1)


class TaskStatus(NamedTuple):
    """A task as reported in a heartbeat."""

    job: str
    task_index: int
    attempt: int
    state: TaskState | str
    cause: EndCause | str | None
    saved: bool


# A heartbeat's decoded but unparsed list of tasks; only compared with other such lists.
UnparsedTasks = list[object]


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
    # Seconds until the cloud reclaims the machine, if there is a reclaim notice.
    notice: float | None
    tasks: tuple[TaskStatus, ...]
    # The unparsed tasks, to compare the next heartbeat with.
    reported_tasks: UnparsedTasks


@dataclass(frozen=True)
class StartTask:
    """Order to start an attempt; a worker that already holds the attempt ignores it."""

    job: str
    task_index: int
    attempt: int


@dataclass(frozen=True)
class StopTask:
    """Order to stop an attempt.

    A task that saves checkpoints does so if the grace period is long enough. Without a grace period
    (None) nothing is saved; this is for attempts that no record names.
    """

    job: str
    task_index: int
    attempt: int
    grace: timedelta | None = None


@dataclass(frozen=True)
class ForgetTask:
    """Order to omit an ended attempt from further heartbeats."""

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
    """Split a task's name on the wire into its job and task index."""
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
    """Parse a decoded heartbeat; raise `MalformedError` if it violates the protocol."""
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
    """Return the zone of an unparsed heartbeat, unchecked: it may be of any type."""
    return data.get("yard") if isinstance(data, dict) else None


def sender_machine(data: dict[str, Any]) -> str | None:
    """Return the machine of an unparsed heartbeat, or None if the field is no string."""
    machine = data.get("hitch")
    return machine if isinstance(machine, str) else None


def unchanged_position(
    data: dict[str, Any],
    *,
    previous: HeartbeatPosition,
    token: int,
    reported_tasks: UnparsedTasks | None,
    address: str,
) -> HeartbeatPosition | None:
    """Return the position of an unparsed heartbeat that reports the same as the previous one.

    Return None if it differs in more than its position, is not newer, or is of another epoch, so
    that it has to be parsed in full.
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


# Encoding of what controllers send.

Body = dict[str, Any]


def order_to_wire(order: WorkerOrder) -> Body:
    """Return an order in the form of the worker protocol."""
    row: Body = {
        "verb": _VERBS[type(order)].value,
        "leg": f"{order.job}/{order.task_index}",
        "try": order.attempt,
    }
    if isinstance(order, StopTask):
        row["windDownS"] = 0 if order.grace is None else order.grace.total_seconds()
    return row


def heartbeat_answer(token: int, orders: Iterable[WorkerOrder] = ()) -> Body:
    """Return the body of the response to an accepted heartbeat."""
    return {"baton": token, "orders": [order_to_wire(order) for order in orders]}


def direct_command(token: int, epoch: int, orders: Iterable[WorkerOrder] = ()) -> Body:
    """Return the body of a direct command, which is valid for one epoch of the worker."""
    return {
        "baton": token,
        "stint": epoch,
        "orders": [order_to_wire(order) for order in orders],
    }


def redirect(controller: str) -> Body:
    """Return the body of the response that redirects a worker to another controller."""
    return {"dispatcher": controller}
