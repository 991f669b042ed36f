"""What a submission asks of machines and of its team's limit, by the protocol."""

from collections.abc import Iterable
from typing import Any

# Amounts that differ by less are the same.
EPS = 1e-6


def resources_of(body: dict[str, Any]) -> tuple[float, float, float]:
    """Return the CPUs, GPUs and gigabytes of memory that a task of a submission takes."""
    return body["vcpus"], body["gpus"], body["memoryGb"]


def can_run(
    body: dict[str, Any],
    most: tuple[float, float],
    machine_types: Iterable[dict[str, Any]],
) -> bool:
    """Whether a job could ever run within its team's limit of CPUs and GPUs."""
    count = body["legs"] if body["shape"] != "batch" else 1
    if _exceeds(body, count, (0.0, 0.0), most):
        return False
    return any(
        allows(body, machine_type, zone)
        for machine_type in machine_types
        for zone in machine_type["yards"]
    )


def allows(body: dict[str, Any], machine_type: dict[str, Any], zone: str) -> bool:
    """Whether a job may be on machines of a type in a zone, and a task of it fits an empty one."""
    if body.get("rigs") is not None and machine_type["name"] not in body["rigs"]:
        return False
    if body.get("yard") not in (None, zone):
        return False
    return all(
        amount <= machine_type[name] + EPS
        for amount, name in zip(resources_of(body), ("vcpus", "gpus", "memoryGb"), strict=True)
    )


def exceeds_limit(
    body: dict[str, Any], waiting: int, used: tuple[float, float], most: tuple[float, float]
) -> bool:
    """Whether a team that uses so much can start nothing of a job of which tasks wait."""
    return _exceeds(body, waiting if body["shape"] == "group" else 1, used, most)


def _exceeds(
    body: dict[str, Any], count: int, used: tuple[float, float], most: tuple[float, float]
) -> bool:
    return any(
        taken + count * amount > limit + EPS
        for taken, amount, limit in zip(used, resources_of(body)[:2], most, strict=True)
    )
