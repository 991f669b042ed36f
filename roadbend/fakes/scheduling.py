"""Builders of inputs for scheduling policies: pending tasks, free capacity, machine types."""

from collections.abc import Collection
from datetime import timedelta
from typing import Any

from roadbend import clock
from roadbend.cloud.messages import MachineKind, read_machine_types
from roadbend.fakes.platform import MACHINE_TYPE
from roadbend.fakes.submission import job
from roadbend.intake.messages import read_submission
from roadbend.placement import machine_options
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.machine_options import MachineOption
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import Job, Resources

# The resources of a machine of type g2.
TOTAL = Resources(24, 2, 144)
# A smaller type at a lower price.
SMALL: dict[str, Any] = {
    **MACHINE_TYPE,
    "name": "s1",
    "vcpus": 12.0,
    "gpus": 2.0,
    "memoryGb": 72.0,
    "price": 5.0,
    "lowPrice": 1.0,
}
MACHINE_TYPES = read_machine_types([MACHINE_TYPE, SMALL])


def pending(
    number: int = 1, count: int = 1, guaranteed: bool = False, age: float = 0, **changes: Any
) -> PendingTasks:
    """Return the first `count` tasks of a job that was submitted `age` seconds ago.

    `changes` are made to the submission, with the field names of the wire.
    """
    name, spec = read_submission(job(number, **changes))
    return PendingTasks(
        Job(name, spec, clock.wall() - timedelta(seconds=age)), ((0, count),), guaranteed
    )


def capacity(
    name: str,
    cpus: float = 24.0,
    gpus: float = 2.0,
    memory: float = 144.0,
    spot: bool = False,
    images: Collection[str] = (),
    **more: Any,
) -> FreeCapacity:
    """Return the free capacity of a machine of type g2 in the east; by default all of it."""
    return FreeCapacity(
        id=name,
        machine_type="g2",
        zone="east",
        spot=spot,
        cpus=cpus,
        gpus=gpus,
        memory=memory,
        images=frozenset(images),
        total=TOTAL,
        **more,
    )


def choices(refused: Collection[MachineKind] = ()) -> list[MachineOption]:
    """Return the machine options in the east.

    `refused`: the machine kinds, each a type and whether it is spot, that the cloud has none of.
    """
    return machine_options.options(MACHINE_TYPES.values(), "east", set(refused))
