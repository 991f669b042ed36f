"""Starts: which of what waits goes where now, within teams' limits; room that is made by
preemption."""

from __future__ import annotations

from collections.abc import Container, Iterable
from dataclasses import replace
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.ended_attempts import Key
from roadbend.log import Log
from roadbend.placement import apart_gangs, gang_room, gangs, policy
from roadbend.placement.batch import Batch
from roadbend.placement.policy import Allowance, Pending, Placed, Room, Victim
from roadbend.rental import policy as renting
from roadbend.store import keys
from roadbend.store.records import Attempt, Job, Need, Slice, Spec

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

log = Log("placement")
# How long room that is being made is kept for the task that it is made for.
RESERVATION_LIFETIME = timedelta(seconds=15)
# How long what waits for a machine keeps its team's limit from lesser work, and what is set aside
# from other parts.
HOLD = timedelta(seconds=20)
# For how long a job leaves its team's room to one of another part that has begun nothing.
YIELD = timedelta(seconds=30)
# For how long a job is kept from room that fits it for the sake of others, all in all.
PASSED_OVER = timedelta(seconds=45)
# How often a part looks whether it has set too much aside for a team.
RESERVE_EVERY = timedelta(seconds=1)
# Most tasks stopped for others in one step.
MAX_PREEMPTED = 24


def start(runtime: PartRuntime, batch: Batch, now: datetime) -> bool:
    """Write-ahead of starts. The order goes out only with a report's response, after the answer."""
    queue = runtime.queue.pending()
    runtime.queued = {item.job.id: runtime.queued.get(item.job.id, now) for item in queue}
    if not queue:
        runtime.left = []
        return False
    # Most machines are full. Only services that must start soon look at those, for what could be
    # cleared there.
    soon = any(runtime.shared.start_within(item.job.spec) is not None for item in queue)
    least = None if soon else policy.least_of(item.job.spec.need for item in queue)
    rooms = runtime.rooms(batch.ended, least)
    hold_back(runtime, queue)
    image_first(runtime, queue, rooms)
    overdue = runtime.shared.overdue(now)
    limits = Allowance(
        partial(team_left, runtime, batch), lambda job: now - runtime.queued.get(job, now) < HOLD
    )
    ready, early = [], []
    for item in queue:
        (ready if gangs.may_start(runtime, item.job) else early).append(item)
    yielding = {item.job.id for item in ready if yields(runtime, item, overdue)}
    note_passed_over(runtime, ready, yielding, rooms, now)
    placed, left, more = policy.place(
        gangs.filling_first(
            runtime,
            [
                item
                for item in ready
                if item.job.id not in yielding or impatient(runtime, item.job.id, now)
            ],
        ),
        rooms,
        batch.free,
        partial(bars, runtime)
        if runtime.avoid
        or runtime.reservations
        or runtime.kept_for_gangs
        or runtime.withheld_types
        or runtime.without_image
        or runtime.lost_on
        else None,
        limits,
    )
    left += [item for item in early if apart_gangs.keeps_room(runtime, item.job, now)]
    runtime.left = within(limits, left)
    for rows in grouped(runtime, placed):
        if not record_start(runtime, batch, rows, now):
            more = True
            break
    gang_room.keep_for_gangs(runtime, now)
    if runtime.left and not more:
        preempt(runtime, batch, rooms, least is None, now)
    return more


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


def grouped(runtime: PartRuntime, placed: list[Placed]) -> list[list[Placed]]:
    """What was placed, by job and shard. The tasks of a gang stay together, whatever shards they
    are in."""
    groups: dict[tuple[str, int], list[Placed]] = {}
    for item, task_index, room in placed:
        name, shard = item.job.id, -1
        if not item.job.spec.gang:
            work = runtime.works().get(name)
            shard = (
                task_index // runtime.width
                if work is None
                else work.shard_of(task_index, runtime.width)
            )
        groups.setdefault((name, shard), []).append((item, task_index, room))
    return list(groups.values())


def record_start(runtime: PartRuntime, batch: Batch, rows: list[Placed], now: datetime) -> bool:
    """Puts the starts of one group into the transaction; False where it has no room for all."""
    job = rows[0][0].job
    share = gangs.first_share(runtime, batch, rows) if job.spec.gang else rows
    if not share:
        return False
    pieces = fill(runtime, batch, job, share)
    record_keys = [piece.key for piece in pieces]
    # Of its team's limit all of a gang is set aside with the first of its tasks.
    if not set_aside(runtime, batch, job.spec.team, job.spec.need, len(rows), record_keys):
        return False
    if not all(batch.fits(piece) for piece in pieces):
        log.error("record-full", part=runtime.part, job=job.id, tasks=len(share))
        return True
    for piece in pieces:
        batch.set_slice(piece)
    batch.need_job(job)
    if apart_gangs.is_apart(job):
        apart_gangs.add_conditions(runtime, batch, job)
        number = next(iter(pieces[0].run.values())).number
        batch.after.append(partial(runtime.joined.__setitem__, job.id, number))
    batch.charge(job.spec.team, job.spec.need, len(share))
    runtime.waits.append(now - runtime.queued.get(job.id, now))
    if len(share) < len(rows):
        batch.after.append(partial(gangs.note_filling, runtime, pieces[0]))
    if job.spec.gang or runtime.shared.start_within(job.spec) is not None:
        indexes = {task_index for _, task_index, _ in share}
        batch.after.append(partial(order_directly, runtime, pieces, indexes))
    for _, task_index, room in share:
        log.debug(
            "start",
            part=runtime.part,
            task=f"{job.id}/{task_index}",
            machine=room.id,
            wait=f"{(clock.wall() - job.at).total_seconds():.1f}",
            cached=job.spec.image in room.images,
        )
    return len(share) == len(rows)


def fill(runtime: PartRuntime, batch: Batch, job: Job, rows: list[Placed]) -> list[Slice]:
    """The slices with the new attempts; a gang's tasks have one attempt number."""
    work, pieces = runtime.works().get(job.id), {}
    common = gangs.attempt_number(runtime, job) if job.spec.gang else None
    for _, task_index, room in rows:
        at = (
            task_index // runtime.width
            if work is None
            else work.shard_of(task_index, runtime.width)
        )
        piece = pieces.get(at) or batch.slice(job.id, job.spec.team, job.spec.need, at)
        if common is None:
            runtime.seq += 1
        attempt = Attempt(
            (runtime.tenure.term << 32) | runtime.seq if common is None else common, room.id
        )
        pieces[at] = replace(piece, run={**piece.run, task_index: attempt})
    return list(pieces.values())


def order_directly(runtime: PartRuntime, pieces: list[Slice], tasks: set[int]) -> None:
    for piece in pieces:
        for task_index in tasks & piece.run.keys():
            attempt = piece.run[task_index]
            runtime.urgent.setdefault(attempt.machine, []).append(
                ((piece.job, task_index), attempt)
            )


def team_left(runtime: PartRuntime, batch: Batch, team: str) -> tuple[float, float] | None:
    """What a team's limit leaves this part, after what the transaction in the making starts and
    ends."""
    most = runtime.shared.most_for(team, runtime.part)
    if most is None:
        return None
    used = batch.used(team)
    return most[0] - used[0], most[1] - used[1]


def within(limits: Allowance, items: Iterable[Pending]) -> list[Pending]:
    """As much of the items, in their order, as the teams' limits permit all together: no room is
    made, and no machine hired, for what could not use it."""
    out = []
    for item in items:
        item = limits.cut(item)
        if item is not None:
            limits.take(item.job.spec, item.count)
            out.append(item)
    return out


def yields(runtime: PartRuntime, item: Pending, overdue: dict[str, dict[str, int]]) -> bool:
    """Whether an item leaves its team's room to a job that another part holds and that has begun
    nothing for too long: a part's own steady stream must not starve it."""
    jobs = overdue.get(item.job.spec.team)
    if not jobs or item.overdue:
        return False
    view, here = runtime.shared.view, item.job.spec
    scarce = runtime.shared.room_left(here, runtime.part) < 2 * item.count
    # Only for so long: one that has not begun by then waits for something else than the team's
    # room.
    since = clock.wall() - runtime.shared.operator.begin_within - YIELD
    return scarce and any(
        priority >= here.priority and runtime.part not in view.jobs[name].alloc
        for name, priority in jobs.items()
        if name in view.jobs and view.jobs[name].at > since
    )


def set_aside(
    runtime: PartRuntime, batch: Batch, team: str, need: Need, tasks: int, record_keys: list[str]
) -> bool:
    """Sees to it that the team's record sets enough aside for this part, in the same transaction.
    Some more than is needed is taken while there is plenty, so that parts seldom meet there."""
    limits, team_key = runtime.shared.limits(team), keys.team_key(team)
    used = batch.used(team)
    used = (used[0] + tasks * need.cpus, used[1] + tasks * need.gpus)
    use = batch.team(team)
    have = use.parts.get(runtime.part, (0.0, 0.0))
    bound = [most < float("inf") for most in limits]
    short = any(b and u > h + policy.EPS for b, u, h in zip(bound, used, have, strict=True))
    if not batch.room_for(*record_keys, *([team_key] if short else [])):
        return False
    if short:
        others = (use.cpus - have[0], use.gpus - have[1])
        share = 2 * max(1, runtime.shared.settings.controllers)
        fresh = [
            max(u, u + (most - other - u) / share) if b else 0.0
            for b, u, most, other in zip(bound, used, limits, others, strict=True)
        ]
        batch.set_team(use.with_part(runtime.part, *fresh))
    return True


def reserve(runtime: PartRuntime, batch: Batch, now: datetime) -> None:
    """Gives back what is set aside and not needed here, once others may want it."""
    view = runtime.shared.view
    waiting: dict[str, tuple[float, float]] = {}
    overdue = runtime.shared.overdue(now)
    for item in runtime.queue.pending():
        # What has waited here for longer may wait for a machine that can't be had; other parts may
        # have room.
        if now - runtime.queued.get(item.job.id, now) < HOLD and not yields(runtime, item, overdue):
            spec = item.job.spec
            cpus, gpus = waiting.get(spec.team, (0.0, 0.0))
            waiting[spec.team] = (
                cpus + item.count * spec.need.cpus,
                gpus + item.count * spec.need.gpus,
            )
    for name, use in view.teams.items():
        have = use.parts.get(runtime.part)
        key, limits = keys.team_key(name), runtime.shared.limits(name)
        if have is None or limits is None or key in batch.rows:
            continue
        if now - runtime.reserved_at.get(name, clock.ORIGIN) < RESERVE_EVERY:
            continue
        used, wants = batch.used(name), waiting.get(name, (0.0, 0.0))
        pressed = any(
            most < float("inf") and total > 0.75 * most
            for total, most in zip((use.cpus, use.gpus), limits, strict=True)
        )
        if not pressed and (any(u > policy.EPS for u in used) or name in waiting):
            continue
        fresh = [min(h, u + w) for h, u, w in zip(have, used, wants, strict=True)]
        if all(h - f <= policy.EPS for h, f in zip(have, fresh, strict=True)) or not batch.room_for(
            key
        ):
            continue
        runtime.reserved_at[name] = now
        batch.set_team(
            use.with_part(runtime.part, *(max(f, u) for f, u in zip(fresh, used, strict=True)))
        )


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
