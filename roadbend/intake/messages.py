"""Wire names of the users' API, and strict parsing of submissions.

The source of every name, status and rule is the protocol's section "Users -> controller nodes".
"""

import re
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Any, NamedTuple, TypedDict, TypeGuard

from roadbend.http.messages import MalformedError
from roadbend.store.records import PRIORITY, JobSpec, Resources
from roadbend.wire_values import flag, number, text, whole

JOB_ID = re.compile(r"run-[0-9]{1,20}\Z")
MAX_TASKS = 100_000
# Longer names have no use, and a record with several of them could exceed the size of a value.
MAX_NAME_LENGTH = 120
MAX_MACHINE_TYPES = 32
MAX_AMOUNT = 1e9
MAX_SECONDS = 1e9


class JobStatus(StrEnum):
    """A job's status as users see it."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "aborted"


FINAL_STATUSES = (JobStatus.DONE, JobStatus.CANCELLED)


class JobShape(StrEnum):
    """Whether a job is a job array, a service or a gang."""

    JOB_ARRAY = "batch"
    SERVICE = "daemon"
    GANG = "group"


JOB_SHAPES = frozenset(JobShape)


@dataclass(frozen=True, slots=True)
class JobState:
    """A job's status, and how many of its tasks are done and running, for display."""

    status: JobStatus
    done: int
    running: int = 0


class Submission(NamedTuple):
    """A well-formed submission."""

    job_id: str
    spec: JobSpec


class JobStateBody(TypedDict):
    """The response body for a query, a cancellation and a repeated submission."""

    id: str
    status: str
    done: int
    running: int


class AcceptedBody(TypedDict):
    """The response body for a submission that has been accepted."""

    id: str
    status: str


def job_state_body(job_id: str, state: JobState) -> JobStateBody:
    """Build the response body with a job's state."""
    return {
        "id": job_id,
        "status": state.status.value,
        "done": state.done,
        "running": state.running,
    }


def accepted_body(job_id: str) -> AcceptedBody:
    """Build the response body for a submission that has just been accepted."""
    return {"id": job_id, "status": JobStatus.PENDING.value}


def is_job_id(value: object) -> TypeGuard[str]:
    """Return whether a value has the form of a job's id."""
    return isinstance(value, str) and JOB_ID.match(value) is not None


def read_id(data: Any) -> str:
    """Read the id of a submission whose other fields may be malformed.

    Raises `MalformedError`.
    """
    if not isinstance(data, dict):
        raise MalformedError("body: expected a map")
    job_id = data.get("id")
    if not is_job_id(job_id):
        raise MalformedError("id: expected run- and digits")
    return job_id


def read_submission(data: Any) -> Submission:
    """Read a whole submission.

    Raises `MalformedError`, which names the first field, in the order of parsing, that is missing
    or invalid.
    """
    job_id = read_id(data)
    shape = _read_shape(data.get("shape"))
    priority = _read_priority(data.get("rank"))
    task_count = _read_task_count(data.get("legs"))
    resources = _read_resources(data)
    machine_types = _read_machine_types(data.get("rigs"))
    zone = data.get("yard")
    due = data.get("dueS")
    spec = JobSpec(
        team=text(data.get("crew"), "crew", MAX_NAME_LENGTH),
        job_class=text(data.get("lane"), "lane", MAX_NAME_LENGTH),
        service=shape is JobShape.SERVICE,
        priority=priority,
        task_count=task_count,
        resources=resources,
        machine_types=machine_types,
        zone=None if zone is None else text(zone, "yard", MAX_NAME_LENGTH),
        together=flag(data.get("together"), "together"),
        apart=flag(data.get("apart"), "apart"),
        spot=flag(data.get("loaners"), "loaners"),
        image=text(data.get("bundle"), "bundle", MAX_NAME_LENGTH),
        image_gb=_read_amount(data.get("imageGb"), "imageGb"),
        expected_duration=_read_duration(data.get("expectedS"), "expectedS"),
        checkpoint=_read_duration(data.get("milestoneS"), "milestoneS"),
        save=_read_duration(data.get("stowS"), "stowS"),
        due=None if due is None else _read_duration(due, "dueS"),
        gang=shape is JobShape.GANG,
    )
    return Submission(job_id, spec)


def _read_shape(value: Any) -> JobShape:
    # Only strings are looked up: other values in a hostile body may not be hashable.
    if not isinstance(value, str) or value not in JOB_SHAPES:
        raise MalformedError("shape: expected batch, daemon or group")
    return JobShape(value)


def _read_priority(value: Any) -> int:
    if not isinstance(value, str) or value not in PRIORITY:
        raise MalformedError("rank: expected production, high, normal or best_effort")
    return PRIORITY[value]


def _read_task_count(value: Any) -> int:
    task_count = whole(value, "legs")
    if not 1 <= task_count <= MAX_TASKS:
        raise MalformedError("legs: out of range")
    return task_count


def _read_resources(data: dict[str, Any]) -> Resources:
    resources = Resources(
        _read_amount(data.get("vcpus"), "vcpus"),
        _read_amount(data.get("gpus"), "gpus"),
        _read_amount(data.get("memoryGb"), "memoryGb"),
    )
    if resources.cpus <= 0 and resources.gpus <= 0 and resources.memory <= 0:
        raise MalformedError("vcpus: a task that takes nothing")
    return resources


def _read_machine_types(value: Any) -> tuple[str, ...] | None:
    if value is None:
        return None
    if not isinstance(value, list) or not 1 <= len(value) <= MAX_MACHINE_TYPES:
        raise MalformedError("rigs: expected a list of names")
    return tuple(text(machine_type, "rigs", MAX_NAME_LENGTH) for machine_type in value)


def _read_duration(value: Any, name: str) -> timedelta:
    return timedelta(seconds=_read_amount(value, name, MAX_SECONDS))


def _read_amount(value: Any, name: str, max_amount: float = MAX_AMOUNT) -> float:
    amount: float = number(value, name)
    if amount > max_amount:
        raise MalformedError(f"{name}: too large")
    return amount
