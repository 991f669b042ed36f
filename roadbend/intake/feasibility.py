"""Checks whether a well-formed job can ever run on this platform; if not, users get status 422."""

from collections.abc import Iterable, Mapping

from roadbend.cloud.messages import MachineType
from roadbend.errors import PermanentError
from roadbend.settings import PlatformSettings, Team
from roadbend.store.records import JobSpec, Resources

# Tolerance for the rounding errors of sums of decimal numbers.
ROUNDING = 1e-9
# A job with anti-affinity (`apart`) and several tasks needs at least two zones.
MIN_ZONES_APART = 2


class InfeasibleJobError(PermanentError):
    """A job is well-formed but can never run; the message says why."""


def check_feasible(
    spec: JobSpec, teams: Mapping[str, Team], machine_types: Mapping[str, MachineType]
) -> None:
    """Check a job against its team's limit, the machine types and their zones.

    Raises `InfeasibleJobError`.
    """
    _check_team_limit(spec, teams)
    fitting = [machine_type for machine_type in machine_types.values() if _fits(spec, machine_type)]
    if not fitting:
        raise InfeasibleJobError("a task fits no allowed machine type")
    _check_zones(spec, fitting)


def check_gang_width(spec: JobSpec, settings: PlatformSettings) -> None:
    """Check that all tasks of a gang can be recorded while its first task waits for the others.

    In a wider gang the first tasks would stop waiting before the last one is recorded. Raises
    `InfeasibleJobError`.
    """
    if not spec.gang:
        return
    widest = settings.widest_apart_gang if spec.apart else settings.widest_gang
    if spec.task_count > widest:
        raise InfeasibleJobError("wider than any gang that can start")


def _check_team_limit(spec: JobSpec, teams: Mapping[str, Team]) -> None:
    team = teams.get(spec.team)
    if team is None:
        raise InfeasibleJobError("unknown team")
    total = _min_resources(spec)
    if _is_over(total.cpus, team.cpus_max):
        raise InfeasibleJobError("more vcpus than the team's limit")
    if _is_over(total.gpus, team.gpus_max):
        raise InfeasibleJobError("more gpus than the team's limit")


def _min_resources(spec: JobSpec) -> Resources:
    """Return the minimum resources of a job: services and gangs need all of their tasks at once."""
    return spec.resources.times(spec.task_count if spec.service or spec.gang else 1)


def _is_over(amount: float, limit: float) -> bool:
    """Return whether an amount exceeds a limit; a limit of 0 means no limit."""
    return 0 < limit < amount - ROUNDING


def _fits(spec: JobSpec, machine_type: MachineType) -> bool:
    task, capacity = spec.resources, machine_type.capacity
    return (
        (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and task.cpus <= capacity.cpus + ROUNDING
        and task.gpus <= capacity.gpus + ROUNDING
        and task.memory <= capacity.memory + ROUNDING
    )


def _check_zones(spec: JobSpec, machine_types: Iterable[MachineType]) -> None:
    if not spec.apart or spec.task_count == 1:
        return
    zones = {
        zone
        for machine_type in machine_types
        for zone in machine_type.zones
        if spec.zone in (None, zone)
    }
    if len(zones) < MIN_ZONES_APART or spec.together:
        raise InfeasibleJobError("apart leaves no zone for the other half")
