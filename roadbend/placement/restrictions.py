"""Machines and types that what waits is kept from for now: where its job just failed, where room is
kept for other work, where it is dear, and where its image is not."""

from __future__ import annotations

from collections.abc import Container
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.log import Log
from roadbend.placement import gang_room, policy
from roadbend.placement.policy import Pending, Room
from roadbend.rental import policy as renting
from roadbend.store.records import Spec

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

log = Log("placement")
# For how long a job is kept from room that fits it for the sake of others, all in all.
PASSED_OVER = timedelta(seconds=45)


def note_passed_over(
    runtime: PartRuntime,
    items: list[Pending],
    yielding: set[str],
    rooms: list[Room],
    now: datetime,
) -> None:
    """Remembers since when jobs are kept from room that fits them for the sake of others."""
    kept_ids = runtime.reservations.keys() | runtime.kept_for_gangs.keys()
    kept = [room for room in rooms if room.id in kept_ids]
    known: dict[tuple, bool] = {}
    passed = set(yielding)
    for item in items if kept else ():
        spec = item.job.spec
        kind = (spec.need, spec.machine_types, spec.zone, spec.spot)
        if kind not in known:
            known[kind] = any(
                room.fits(spec.need)
                and policy.allowed(item.job, room.machine_type, room.zone, room.spot)
                for room in kept
            )
        if known[kind]:
            passed.add(item.job.id)
    runtime.passed_over = {job: runtime.passed_over.get(job, now) for job in passed}


def impatient(runtime: PartRuntime, job: str, now: datetime) -> bool:
    """Whether a job has been passed over for so long that it is kept from no room any more."""
    return now - runtime.passed_over.get(job, now) >= PASSED_OVER


def hold_back(runtime: PartRuntime, queue: list[Pending]) -> None:
    """Which types a waiting service is kept from, as when bidding."""
    machine_types, wall = runtime.shared.machine_types.values(), clock.wall()
    boot = max((machine_type.startup for machine_type in machine_types), default=clock.ZERO)
    runtime.withheld_types = {}
    for item in queue:
        job = item.job
        if (
            job.spec.service
            and job.id not in runtime.withheld_types
            and wall - job.at < runtime.shared.patience(job.spec, boot)
        ):
            dear = renting.expensive_machine_types(
                job, machine_types, runtime.shared.operator.dear, runtime.part
            )
            if dear:
                runtime.withheld_types[job.id] = frozenset(dear)


def image_first(runtime: PartRuntime, queue: list[Pending], rooms: list[Room]) -> None:
    """A service that would be late by its fetch keeps off machines without its image for a moment,
    where one that has the image can be cleared for it sooner: images lead placement, also against
    free room."""
    runtime.without_image = {}
    wall, pulls = (
        clock.wall(),
        [machine_type.pull for machine_type in runtime.shared.machine_types.values()],
    )
    for item in queue:
        spec = item.job.spec
        within = runtime.shared.start_within(spec)
        if within is None or spec.gang or item.job.id in runtime.without_image:
            continue
        left = within - (wall - item.job.at)
        fetch = timedelta(seconds=spec.image_gb / max(pulls, default=1.0))
        if left < within * 0.4 or fetch + runtime.shared.settings.report_every / 2 < left:
            continue
        if any(clearable(runtime, room, spec) for room in rooms if spec.image in room.images):
            runtime.without_image[item.job.id] = {
                room.id for room in rooms if spec.image not in room.images
            }


def clearable(runtime: PartRuntime, room: Room, spec: Spec) -> bool:
    """Whether a machine has room for a task, or would, less what may be stopped for it."""
    if room.spot and not spec.spot:
        return False
    cpus, gpus, memory = room.cpus, room.gpus, room.memory
    for key, (work, _) in runtime.by_machine().get(room.id, {}).items():
        job = runtime.live(key[0])
        if job is not None and job.spec.priority < spec.priority:
            cpus, gpus, memory = (
                cpus + work.need.cpus,
                gpus + work.need.gpus,
                memory + work.need.memory,
            )
    return spec.need.cpus <= cpus and spec.need.gpus <= gpus and spec.need.memory <= memory


def bars(runtime: PartRuntime, item: Pending) -> tuple[Container[str], Container[str]]:
    """Machines and types that an item keeps off: those where its job just failed, and room that is
    being made for other work, which is not filled while its victims go."""
    name = item.job.id
    reserved: set[str] = set()
    if not impatient(runtime, name, clock.now()):
        reserved = {machine for machine, (job, _) in runtime.reservations.items() if job != name}
        reserved |= gang_room.kept_from(runtime, item)
    if name in runtime.lost_on:
        # A machine ignores an order for an attempt that it still holds, ended ones too.
        reserved |= runtime.lost_on[name][1]
    return reserved | runtime.avoid.get(name, {}).keys() | runtime.without_image.get(
        name, set()
    ), runtime.withheld_types.get(name, ())
