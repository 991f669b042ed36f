"""Where a job's tasks are, and whether another one could start on a machine."""

from collections.abc import Mapping
from typing import Any

from roadbend.checkers import requirements
from roadbend.checkers.observed_jobs import MachineWithCapacity, ObservedJob, Place
from roadbend.checkers.requirements import TOLERANCE

# The machines on which each task is, by the names of the task and of the machine.
Placements = Mapping[str, Mapping[str, Place]]


def zones_of(job: ObservedJob, placements: Placements, excluded_task: str) -> set[str]:
    """Return the zones in which tasks of a job are, without the excluded task."""
    return {
        place.zone
        for task in job.tasks()
        if task != excluded_task
        for place in placements.get(task, {}).values()
    }


def running_in(job: ObservedJob, placements: Placements, zone: str) -> int:
    """Return how many tasks of a job are on machines of a zone."""
    return sum(
        1
        for task in job.tasks()
        if any(place.zone == zone for place in placements.get(task, {}).values())
    )


def has_capacity(
    job: ObservedJob,
    placements: Placements,
    zones: set[str],
    machine: MachineWithCapacity,
    machine_type: dict[str, Any],
) -> bool:
    """Return whether a task of a job could start on a machine.

    `zones` holds the zones of the job's other tasks.
    """
    body, (place, free) = job.body, machine
    if not requirements.allows(body, machine_type, place.zone):
        return False
    if place.spot and not body["loaners"]:
        return False
    if body["together"] and zones - {place.zone}:
        return False
    if any(
        available < amount - TOLERANCE
        for available, amount in zip(free, job.resources, strict=True)
    ):
        return False
    return (
        not body["apart"] or running_in(job, placements, place.zone) < (int(body["legs"]) + 1) // 2
    )
