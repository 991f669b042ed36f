"""Where a job's tasks are, and whether a machine could take another of them.

`on` gives the machines on which each task is, by the task's name and the machine's.
"""

from collections.abc import Mapping
from typing import Any

from roadbend.checkers import requirements
from roadbend.checkers.observed_jobs import MachineWithCapacity, ObservedJob, Place
from roadbend.checkers.requirements import EPS

Placements = Mapping[str, Mapping[str, Place]]


def zones_of(case: ObservedJob, on: Placements, but: str) -> set[str]:
    """Return the zones in which tasks of a job are, one of them left out."""
    return {
        place.zone for task in case.tasks() if task != but for place in on.get(task, {}).values()
    }


def running_in(case: ObservedJob, on: Placements, zone: str) -> int:
    """Return how many tasks of a job are on machines of a zone."""
    return sum(
        1 for task in case.tasks() if any(place.zone == zone for place in on.get(task, {}).values())
    )


def has_capacity(
    case: ObservedJob,
    on: Placements,
    zones: set[str],
    machine: MachineWithCapacity,
    machine_type: dict[str, Any],
) -> bool:
    """Whether a task of a job, others of which are in `zones`, could start on a machine."""
    body, (place, free) = case.body, machine
    if not requirements.allows(body, machine_type, place.zone):
        return False
    if place.spot and not body["loaners"]:
        return False
    if body["together"] and zones - {place.zone}:
        return False
    if any(left < amount - EPS for left, amount in zip(free, case.resources, strict=True)):
        return False
    return not body["apart"] or running_in(case, on, place.zone) < (int(body["legs"]) + 1) // 2
