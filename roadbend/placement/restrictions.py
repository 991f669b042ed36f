"""Machines and types that what waits is kept from for now: where its job just failed, where room is
kept for other work, where it is dear, and where its image is not."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.autoscaler import policy as renting
from roadbend.log import Log
from roadbend.placement import free_capacity, gang_reservations
from roadbend.placement.bin_packing import Exclusions
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import JobSpec

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("placement")
# For how long a job is kept from room that fits it for the sake of others, all in all.
PASSED_OVER = timedelta(seconds=45)


def note_passed_over(
    leader: PartitionLeader,
    items: list[PendingTasks],
    yielding: set[str],
    capacities: list[FreeCapacity],
    now: datetime,
) -> None:
    """Remembers since when jobs are kept from room that fits them for the sake of others."""
    kept_ids = leader.reservations.keys() | leader.gang_reservations_by_machine.keys()
    kept = [capacity for capacity in capacities if capacity.id in kept_ids]
    known: dict[tuple, bool] = {}
    passed = set(yielding)
    for item in items if kept else ():
        spec = item.job.spec
        kind = (spec.resources, spec.machine_types, spec.zone, spec.spot)
        if kind not in known:
            known[kind] = any(
                capacity.fits(spec.resources)
                and free_capacity.allowed(
                    item.job, capacity.machine_type, capacity.zone, capacity.spot
                )
                for capacity in kept
            )
        if known[kind]:
            passed.add(item.job.id)
    leader.passed_over = {job: leader.passed_over.get(job, now) for job in passed}


def impatient(leader: PartitionLeader, job: str, now: datetime) -> bool:
    """Whether a job has been passed over for so long that it is kept from no room any more."""
    return now - leader.passed_over.get(job, now) >= PASSED_OVER


def hold_back(leader: PartitionLeader, queue: list[PendingTasks]) -> None:
    """Which types a waiting service is kept from, as when bidding."""
    machine_types, wall = leader.context.machine_types.values(), clock.wall()
    boot = max((machine_type.startup for machine_type in machine_types), default=clock.ZERO)
    leader.withheld_types = {}
    for item in queue:
        job = item.job
        if (
            job.spec.service
            and job.id not in leader.withheld_types
            and wall - job.submitted_at < leader.context.objectives.patience(job.spec, boot)
        ):
            dear = renting.expensive_machine_types(
                job, machine_types, leader.context.operator.dear, leader.partition
            )
            if dear:
                leader.withheld_types[job.id] = frozenset(dear)


def image_first(
    leader: PartitionLeader, queue: list[PendingTasks], capacities: list[FreeCapacity]
) -> None:
    """A service that would be late by its fetch keeps off machines without its image for a moment,
    where one that has the image can be cleared for it sooner: images lead placement, also against
    free room."""
    leader.without_image = {}
    wall, pulls = (
        clock.wall(),
        [machine_type.fetch_gb_per_s for machine_type in leader.context.machine_types.values()],
    )
    for item in queue:
        spec = item.job.spec
        within = leader.context.objectives.start_within(spec)
        if within is None or spec.gang or item.job.id in leader.without_image:
            continue
        left = within - (wall - item.job.submitted_at)
        fetch = timedelta(seconds=spec.image_gb / max(pulls, default=1.0))
        if left < within * 0.4 or fetch + leader.context.settings.heartbeat_interval / 2 < left:
            continue
        if any(
            clearable(leader, capacity, spec)
            for capacity in capacities
            if spec.image in capacity.images
        ):
            leader.without_image[item.job.id] = {
                capacity.id for capacity in capacities if spec.image not in capacity.images
            }


def clearable(leader: PartitionLeader, capacity: FreeCapacity, spec: JobSpec) -> bool:
    """Whether a machine has room for a task, or would, less what may be stopped for it."""
    if capacity.spot and not spec.spot:
        return False
    cpus, gpus, memory = capacity.cpus, capacity.gpus, capacity.memory
    for key, (job_slice, _) in leader.by_machine().get(capacity.id, {}).items():
        job = leader.live(key[0])
        if job is not None and job.spec.priority < spec.priority:
            cpus, gpus, memory = (
                cpus + job_slice.resources.cpus,
                gpus + job_slice.resources.gpus,
                memory + job_slice.resources.memory,
            )
    return (
        spec.resources.cpus <= cpus
        and spec.resources.gpus <= gpus
        and spec.resources.memory <= memory
    )


def bars(leader: PartitionLeader, item: PendingTasks) -> Exclusions:
    """Machines and types that an item keeps off: those where its job just failed, and room that is
    being made for other work, which is not filled while its victims go."""
    name = item.job.id
    reserved: set[str] = set()
    if not impatient(leader, name, clock.now()):
        reserved = {machine for machine, (job, _) in leader.reservations.items() if job != name}
        reserved |= gang_reservations.kept_from(leader, item)
    if name in leader.lost_on:
        # A machine ignores an order for an attempt that it still holds, ended ones too.
        reserved |= leader.lost_on[name][1]
    return Exclusions(
        reserved | leader.avoid.get(name, {}).keys() | leader.without_image.get(name, set()),
        leader.withheld_types.get(name, ()),
    )
