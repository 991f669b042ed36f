"""Room for gangs that wait behind a steady stream. What comes free goes to smaller work at once, so
a wide gang might never find enough of it at one moment. After a while room is kept for one gang at
a time, for less long than any other job may be kept from room that fits it."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend.log import Log
from roadbend.placement import policy
from roadbend.placement.policy import Pending, Room

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

log = Log("placement")
# How long a gang waits before room is kept for it, how long that is, and for how long then not.
PATIENCE = timedelta(seconds=45)
KEEP = timedelta(seconds=42)
PAUSE = timedelta(seconds=45)
# Not all of what runs there ends while room is kept: machines for so many times the gang.
SPARE = 1.5


def keep_for_gangs(runtime: PartRuntime, now: datetime) -> None:
    """Reserves machines for the first of the gangs that have waited for long, if it could begin
    on them once what runs there has ended."""
    gangs = [item for item in runtime.left if item.job.spec.gang]
    if not gangs or runtime.keeping_until > now:
        return
    for item in gangs:
        if now - runtime.queued.get(item.job.id, now) < PATIENCE:
            continue
        machines = machines_for(runtime, item)
        if not machines:
            continue
        log.info("keep-room", part=runtime.part, job=item.job.id, machines=len(machines))
        until = now + KEEP
        for machine in machines:
            runtime.kept_for_gangs[machine] = (item.job.id, until)
        runtime.keeping_until = until + PAUSE
        return


def kept_from(runtime: PartRuntime, item: Pending) -> set[str]:
    """The machines that an item keeps off for the sake of a gang. Work of higher priority does
    not wait for one."""
    out = set()
    for machine, (name, _) in runtime.kept_for_gangs.items():
        gang = runtime.live(name)
        if name != item.job.id and gang is not None:
            if gang.spec.priority >= item.job.spec.priority:
                out.add(machine)
    return out


def machines_for(runtime: PartRuntime, item: Pending) -> list[str]:
    """The machines with the most room for the gang, counting what will end by itself as free; none
    where all of them together are too few."""
    chosen, places = [], 0
    rows = [(places_on(runtime, item, room), room.id) for room in runtime.rooms()]
    for count, machine in sorted(rows, key=lambda row: (-row[0], row[1])):
        if count == 0 or places >= item.count * SPARE:
            break
        if machine in runtime.reservations or machine in runtime.kept_for_gangs:
            continue
        chosen.append(machine)
        places += count
    return chosen if places >= item.count else []


def places_on(runtime: PartRuntime, item: Pending, room: Room) -> int:
    """How many tasks of a gang fit on a machine once all that ends by itself has ended."""
    job = item.job
    if not policy.allowed(job, room.machine_type, room.zone, room.spot):
        return 0
    trial = Room(
        room.id,
        room.machine_type,
        room.zone,
        room.spot,
        room.cpus,
        room.gpus,
        room.memory,
    )
    for key, (work, _) in runtime.by_machine().get(room.id, {}).items():
        other = runtime.live(key[0])
        if other is None or not other.spec.service:
            trial.give(work.need)
    return trial.count(job.spec.need)
