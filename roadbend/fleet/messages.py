"""Wire names of the workers' interface, and strict reading of reports."""

import math
from dataclasses import dataclass
from typing import Any, NamedTuple

from roadbend.http.server import MalformedError

# A notice of more than a month says nothing.
MAX_NOTICE = 30 * 86400.0


class TaskStatus(NamedTuple):
    """A task as a report shows it."""

    job: str
    task_index: int
    attempt: int
    state: str
    cause: str | None
    saved: bool


@dataclass(frozen=True)
class WorkerHeartbeat:
    """A worker's report."""

    machine: str
    address: str
    machine_type: str
    zone: str
    spot: bool
    epoch: int
    sequence: int
    token: int
    notice: float | None
    tasks: tuple[TaskStatus, ...]
    # The tasks as they came, to compare the next report with.
    reported_tasks: list

    @property
    def position(self) -> tuple[int, int]:
        return (self.epoch, self.sequence)


def whole(value: Any, name: str) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < 1 << 64:
        raise MalformedError(f"{name}: expected a whole number")
    return value


def number(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name}: expected a number")
    try:
        value = float(value)
    except OverflowError:
        raise MalformedError(f"{name}: out of range") from None
    if not math.isfinite(value) or value < 0:
        raise MalformedError(f"{name}: out of range")
    return value


def text(value: Any, name: str, most: int = 200) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= most:
        raise MalformedError(f"{name}: expected text of 1 to {most} characters")
    return value


def flag(value: Any, name: str) -> bool:
    if not isinstance(value, bool):
        raise MalformedError(f"{name}: expected true or false")
    return value


def split_task(name: str) -> tuple[str, int]:
    job, slash, task_index = name.rpartition("/")
    if (
        not slash
        or not job
        or not task_index.isascii()
        or not task_index.isdigit()
        or len(task_index) > 7
    ):
        raise MalformedError("leg: expected job/number")
    return job, int(task_index)


def parse_heartbeat(data: Any) -> WorkerHeartbeat:
    if not isinstance(data, dict):
        raise MalformedError("report: expected a map")
    rows = data.get("legs")
    if rows is None:
        rows = []
    if not isinstance(rows, list):
        raise MalformedError("legs: expected a list")
    tasks = []
    for row in rows:
        if not isinstance(row, dict):
            raise MalformedError("legs: expected maps")
        job, task_index = split_task(text(row.get("leg"), "leg"))
        cause = row.get("cause")
        tasks.append(
            TaskStatus(
                job,
                task_index,
                whole(row.get("try"), "try"),
                text(row.get("status"), "status"),
                None if cause is None else text(cause, "cause"),
                row.get("saved") is True,
            )
        )
    notice = data.get("recallS")
    return WorkerHeartbeat(
        text(data.get("hitch"), "hitch"),
        text(data.get("address"), "address"),
        text(data.get("rig"), "rig"),
        text(data.get("yard"), "yard"),
        flag(data.get("loaners"), "loaners"),
        whole(data.get("stint"), "stint"),
        whole(data.get("tick"), "tick"),
        whole(data.get("baton"), "baton"),
        None if notice is None else min(number(notice, "recallS"), MAX_NOTICE),
        tuple(tasks),
        rows,
    )


def run(job: str, task_index: int, attempt: int) -> dict:
    return {"verb": "run", "leg": f"{job}/{task_index}", "try": attempt}


def kill(job: str, task_index: int, attempt: int, grace_s: float) -> dict:
    return {"verb": "kill", "leg": f"{job}/{task_index}", "try": attempt, "windDownS": grace_s}


def forget(job: str, task_index: int, attempt: int) -> dict:
    return {"verb": "forget", "leg": f"{job}/{task_index}", "try": attempt}
