"""What a submission requires of machines and of its team's quota, by the protocol."""

from collections.abc import Iterable
from typing import Any

# Tolerance when amounts are compared.
TOLERANCE = 1e-6


def resources_of(body: dict[str, Any]) -> tuple[float, float, float]:
    """Return the CPUs, GPUs and gigabytes of memory that a task of a submission needs."""
    return body["vcpus"], body["gpus"], body["memoryGb"]


def can_run(
    body: dict[str, Any],
    max_usage: tuple[float, float],
    machine_types: Iterable[dict[str, Any]],
) -> bool:
    """Return whether a job could ever run within its team's limit of CPUs and GPUs."""
    count = body["legs"] if body["shape"] != "batch" else 1
    if _exceeds(body, count, (0.0, 0.0), max_usage):
        return False
    return any(
        allows(body, machine_type, zone)
        for machine_type in machine_types
        for zone in machine_type["yards"]
    )


def allows(body: dict[str, Any], machine_type: dict[str, Any], zone: str) -> bool:
    """Return whether a job permits a machine type and zone, and its task fits an empty machine."""
    if body.get("rigs") is not None and machine_type["name"] not in body["rigs"]:
        return False
    if body.get("yard") not in (None, zone):
        return False
    return all(
        amount <= machine_type[name] + TOLERANCE
        for amount, name in zip(resources_of(body), ("vcpus", "gpus", "memoryGb"), strict=True)
    )


def exceeds_limit(
    body: dict[str, Any], waiting: int, used: tuple[float, float], max_usage: tuple[float, float]
) -> bool:
    """Return whether a team's usage and limit permit no start of a job's waiting tasks.

    The limit has to permit all waiting tasks of a gang, but only one of another job.
    """
    return _exceeds(body, waiting if body["shape"] == "group" else 1, used, max_usage)


def _exceeds(
    body: dict[str, Any], count: int, used: tuple[float, float], max_usage: tuple[float, float]
) -> bool:
    return any(
        in_use + count * amount > limit + TOLERANCE
        for in_use, amount, limit in zip(used, resources_of(body)[:2], max_usage, strict=True)
    )
