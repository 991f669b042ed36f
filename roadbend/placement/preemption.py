"""Room that is made by stopping lesser work."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.ended_attempts import Key
from roadbend.log import Log
from roadbend.placement import gangs, policy
from roadbend.placement.batch import Batch
from roadbend.placement.policy import Pending, Room, Victim
from roadbend.store.records import Attempt, Job

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

log = Log("placement")
# How long room that is being made is kept for the task that it is made for.
RESERVATION_LIFETIME = timedelta(seconds=15)
# Most tasks stopped for others in one step.
MAX_PREEMPTED = 24


def preempt(
    runtime: PartRuntime, batch: Batch, rooms: list[Room], all_of_them: bool, now: datetime
) -> None:
    waiting = [item for item in runtime.left if item.job.spec.priority > 0 or item.guaranteed]
    if not waiting:
        return
    if not all_of_them:
        known = {room.id: room for room in rooms}
        rooms = [known.get(room.id, room) for room in runtime.rooms(batch.ended)]
    over, sure, most = teams_beyond(runtime), runtime.shared.guaranteed(), MAX_PREEMPTED
    running: dict[str, list[Victim]] = {}
    losses: dict[str, float] = {}
    top = max(item.job.spec.priority for item in waiting)
    for machine, rows in runtime.by_machine().items():
        if machine in runtime.reservations:
            continue
        for key, (work, attempt) in rows.items():
            job = runtime.live(key[0])
            if job is None or key in runtime.stops:
                continue
            beyond = over.get(work.team, False) and job.id not in sure
            if job.spec.priority >= top and not beyond:
                continue
            if job.spec.gang:
                # Stopped as a whole or not at all, and judged by what all of it would lose.
                loss = losses.get(job.id)
                if loss is None:
                    rows_of = runtime.works()[job.id].run.items()
                    loss = sum(
                        work_lost(runtime, (job.id, task_index), other, job, now)
                        for task_index, other in rows_of
                    )
                    losses[job.id] = loss
            else:
                loss = work_lost(runtime, key, attempt, job, now)
            row = Victim(work.need, job.spec.priority, beyond, work.team, loss, (key, attempt, job))
            running.setdefault(machine, []).append(row)
    all_rooms, rooms = rooms, [room for room in rooms if room.id in running]
    for item in waiting:
        made = sum(1 for job, _ in runtime.reservations.values() if job == item.job.id)
        kept_from, without_image = (
            runtime.withheld_types.get(item.job.id, ()),
            runtime.without_image.get(item.job.id, ()),
        )
        if item.job.spec.gang:
            taken = set() if made else preempt_whole(runtime, item, all_rooms, rooms, running, now)
            rooms = [room for room in rooms if room.id not in taken]
            all_rooms = [room for room in all_rooms if room.id not in taken]
            most -= len(taken)
            continue
        for _ in range(item.count - made):
            if most <= 0:
                return
            open_to = [
                room
                for room in rooms
                if room.machine_type not in kept_from and room.id not in without_image
            ]
            found = policy.victims(item, open_to, running)
            if found is None:
                break
            room, chosen = found
            stop_for(runtime, item, room, chosen, now)
            runtime.reservations[room.id] = (item.job.id, now + RESERVATION_LIFETIME)
            rooms = [other for other in rooms if other.id != room.id]
            most -= 1


def stop_for(
    runtime: PartRuntime, item: Pending, room: Room, chosen: list[Victim], now: datetime
) -> None:
    for victim in chosen:
        key, attempt, job = victim.handle
        log.info(
            "preempt", part=runtime.part, task=f"{key[0]}/{key[1]}", machine=room.id, by=item.job.id
        )
        if job.spec.gang:
            gangs.stop_whole(runtime, job, "preempted", now)
            continue
        saves = job.spec.checkpoint > clock.ZERO
        grace = job.spec.save + timedelta(seconds=1) if saves else clock.ZERO
        runtime.stop(key, attempt, grace, "preempted", now)


def preempt_whole(
    runtime: PartRuntime,
    item: Pending,
    all_rooms: list[Room],
    rooms: list[Room],
    running: dict[str, list[Victim]],
    now: datetime,
) -> set[str]:
    """Room for all of a gang, or nothing is stopped for it. What it needs is kept for it together,
    free room too."""
    need = item.job.spec.need
    free = {r.id: r.count(need) for r in all_rooms if r.id not in runtime.reservations}
    allowed = {r.id for r in all_rooms if policy.allowed(item.job, r.machine_type, r.zone, r.spot)}
    have = sum(count for name, count in free.items() if name in allowed)
    plan: list[tuple[Room, list[Victim]]] = []
    open_to = list(rooms)
    while have < item.count and len(plan) < MAX_PREEMPTED:
        found = policy.victims(item, open_to, running)
        if found is None:
            return set()
        room, chosen = found
        trial = replace(room)
        for victim in chosen:
            trial.give(victim.need)
        have += max(1, trial.count(need)) - free.get(room.id, 0)
        plan.append((room, chosen))
        open_to = [other for other in open_to if other.id != room.id]
    if have < item.count:
        return set()
    for room, chosen in plan:
        stop_for(runtime, item, room, chosen, now)
    names = {room.id for room, _ in plan}
    spare = item.count - sum(1 for _ in plan)
    for name in sorted(allowed - names, key=lambda name: -free.get(name, 0)):
        if spare <= 0 or not free.get(name, 0):
            break
        spare -= free[name]
        names.add(name)
    for name in names:
        runtime.reservations[name] = (item.job.id, now + RESERVATION_LIFETIME)
    return names


def teams_beyond(runtime: PartRuntime) -> dict[str, bool]:
    out = {}
    for team in runtime.shared.settings.teams.values():
        cpus, gpus = runtime.shared.view.used_by(team.name)
        out[team.name] = (team.gpus > 0 and gpus > team.gpus + policy.EPS) or (
            team.cpus > 0 and cpus > team.cpus + policy.EPS
        )
    return out


def work_lost(runtime: PartRuntime, key: Key, attempt: Attempt, job: Job, now: datetime) -> float:
    """Seconds of work that stopping a task now would waste."""
    machine = runtime.machines.get(attempt.machine)
    seen = machine.tasks.get(key) if machine else None
    if seen is None or seen.running_since is None:
        return 0.0
    if job.spec.checkpoint > clock.ZERO:
        return job.spec.save.total_seconds() + 1.0
    return (now - seen.running_since).total_seconds()
