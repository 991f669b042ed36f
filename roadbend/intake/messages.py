"""Wire names of the users' interface, and strict reading of submissions."""

import re
from datetime import timedelta
from typing import Any

from roadbend.autoscaler.cloud import MachineType
from roadbend.errors import RoadbendError
from roadbend.fleet.messages import flag, number, text, whole
from roadbend.http.server import MalformedError
from roadbend.settings import Team
from roadbend.store.records import PRIORITY, JobSpec, Resources

ID = re.compile(r"run-[0-9]{1,20}\Z")
MAX_TASKS = 100_000
# A name this long has no use, and a record with several of them would outgrow its value.
MAX_NAME = 120
MAX_RIGS = 32
MAX_SECONDS = 1e9

STATUS_PENDING, STATUS_RUNNING, STATUS_DONE, STATUS_ABORTED = (
    "pending",
    "running",
    "done",
    "aborted",
)


class NeverRunsError(RoadbendError):
    """Well-formed, but can never run."""


def valid_id(value: Any) -> bool:
    return isinstance(value, str) and ID.match(value) is not None


def _seconds(value: Any, name: str) -> timedelta:
    return timedelta(seconds=_amount(value, name, MAX_SECONDS))


def _amount(value: Any, name: str, most: float = 1e9) -> float:
    value = number(value, name)
    if value > most:
        raise MalformedError(f"{name}: too large")
    return value


def read_id(data: Any) -> str:
    if not isinstance(data, dict):
        raise MalformedError("body: expected a map")
    job = data.get("id")
    if not valid_id(job):
        raise MalformedError("id: expected run- and digits")
    return job


def read_submission(data: Any) -> tuple[str, JobSpec]:
    job = read_id(data)
    shape = data.get("shape")
    if shape not in ("batch", "daemon", "group"):
        raise MalformedError("shape: expected batch, daemon or group")
    rank = data.get("rank")
    if not isinstance(rank, str) or rank not in PRIORITY:
        raise MalformedError("rank: expected production, high, normal or best_effort")
    task_count = whole(data.get("legs"), "legs")
    if not 1 <= task_count <= MAX_TASKS:
        raise MalformedError("legs: out of range")
    resources = Resources(
        _amount(data.get("vcpus"), "vcpus"),
        _amount(data.get("gpus"), "gpus"),
        _amount(data.get("memoryGb"), "memoryGb"),
    )
    if resources.cpus <= 0 and resources.gpus <= 0 and resources.memory <= 0:
        raise MalformedError("vcpus: a task that takes nothing")
    machine_types = data.get("rigs")
    if machine_types is not None:
        if (
            not isinstance(machine_types, list)
            or not machine_types
            or len(machine_types) > MAX_RIGS
        ):
            raise MalformedError("rigs: expected a list of names")
        machine_types = tuple(
            text(machine_type, "rigs", MAX_NAME) for machine_type in machine_types
        )
    yard = data.get("yard")
    due = data.get("dueS")
    return job, JobSpec(
        team=text(data.get("crew"), "crew", MAX_NAME),
        job_class=text(data.get("lane"), "lane", MAX_NAME),
        service=shape == "daemon",
        priority=PRIORITY[rank],
        task_count=task_count,
        resources=resources,
        machine_types=machine_types,
        zone=None if yard is None else text(yard, "yard", MAX_NAME),
        together=flag(data.get("together"), "together"),
        apart=flag(data.get("apart"), "apart"),
        spot=flag(data.get("loaners"), "loaners"),
        image=text(data.get("bundle"), "bundle", MAX_NAME),
        image_gb=_amount(data.get("imageGb"), "imageGb"),
        expected_duration=_seconds(data.get("expectedS"), "expectedS"),
        checkpoint=_seconds(data.get("milestoneS"), "milestoneS"),
        save=_seconds(data.get("stowS"), "stowS"),
        due=None if due is None else _seconds(due, "dueS"),
        gang=shape == "group",
    )


def can_run(spec: JobSpec, teams: dict[str, Team], machine_types: dict[str, MachineType]) -> None:
    team = teams.get(spec.team)
    if team is None:
        raise NeverRunsError("unknown team")
    # A service and a gang need all of their tasks at once, an array one at a time.
    total = spec.resources.times(spec.task_count if spec.service or spec.gang else 1)
    for want, most, name in (
        (total.cpus, team.cpus_max, "vcpus"),
        (total.gpus, team.gpus_max, "gpus"),
    ):
        if 0 < most < want - 1e-9:
            raise NeverRunsError(f"more {name} than the team's limit")
    fits = [
        machine_type
        for machine_type in machine_types.values()
        if (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.resources.cpus <= machine_type.capacity.cpus + 1e-9
        and spec.resources.gpus <= machine_type.capacity.gpus + 1e-9
        and spec.resources.memory <= machine_type.capacity.memory + 1e-9
    ]
    if not fits:
        raise NeverRunsError("a task fits no allowed machine type")
    zones = {
        zone for machine_type in fits for zone in machine_type.zones if spec.zone in (None, zone)
    }
    if spec.apart and spec.task_count > 1 and (len(zones) < 2 or spec.together):
        raise NeverRunsError("apart leaves no zone for the other half")
