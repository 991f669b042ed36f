"""Room for gangs that wait behind a steady stream. What comes free goes to smaller work at once, so
a wide gang might never find enough of it at one moment. After a while room is kept for one gang at
a time, for less long than any other job may be kept from room that fits it."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend.log import Log
from roadbend.placement import free_capacity
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.queue_order import PendingTasks

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("placement")
# How long a gang waits before room is kept for it, how long that is, and for how long then not.
PATIENCE = timedelta(seconds=45)
KEEP = timedelta(seconds=42)
PAUSE = timedelta(seconds=45)
# Not all of what runs there ends while room is kept: machines for so many times the gang.
SPARE = 1.5


def keep_for_gangs(leader: PartitionLeader, now: datetime) -> None:
    """Reserves machines for the first of the gangs that have waited for long, if it could begin
    on them once what runs there has ended."""
    gangs = [item for item in leader.left if item.job.spec.gang]
    if not gangs or leader.keeping_until > now:
        return
    for item in gangs:
        if now - leader.queued.get(item.job.id, now) < PATIENCE:
            continue
        machines = machines_for(leader, item)
        if not machines:
            continue
        log.info(
            "gang-capacity-reserved",
            partition=leader.partition,
            job=item.job.id,
            machines=len(machines),
        )
        until = now + KEEP
        for machine in machines:
            leader.gang_reservations_by_machine[machine] = (item.job.id, until)
        leader.keeping_until = until + PAUSE
        return


def kept_from(leader: PartitionLeader, item: PendingTasks) -> set[str]:
    """The machines that an item keeps off for the sake of a gang. Work of higher priority does
    not wait for one."""
    out = set()
    for machine, (name, _) in leader.gang_reservations_by_machine.items():
        gang = leader.live(name)
        if name != item.job.id and gang is not None:
            if gang.spec.priority >= item.job.spec.priority:
                out.add(machine)
    return out


def machines_for(leader: PartitionLeader, item: PendingTasks) -> list[str]:
    """The machines with the most room for the gang, counting what will end by itself as free; none
    where all of them together are too few."""
    chosen, places = [], 0
    rows = [(places_on(leader, item, capacity), capacity.id) for capacity in leader.capacities()]
    for count, machine in sorted(rows, key=lambda row: (-row[0], row[1])):
        if count == 0 or places >= item.count * SPARE:
            break
        if machine in leader.reservations or machine in leader.gang_reservations_by_machine:
            continue
        chosen.append(machine)
        places += count
    return chosen if places >= item.count else []


def places_on(leader: PartitionLeader, item: PendingTasks, capacity: FreeCapacity) -> int:
    """How many tasks of a gang fit on a machine once all that ends by itself has ended."""
    job = item.job
    if not free_capacity.allowed(job, capacity.machine_type, capacity.zone, capacity.spot):
        return 0
    trial = FreeCapacity(
        capacity.id,
        capacity.machine_type,
        capacity.zone,
        capacity.spot,
        capacity.cpus,
        capacity.gpus,
        capacity.memory,
    )
    for key, (job_slice, _) in leader.by_machine().get(capacity.id, {}).items():
        other = leader.live(key[0])
        if other is None or not other.spec.service:
            trial.give(job_slice.resources)
    return trial.count(job.spec.resources)
