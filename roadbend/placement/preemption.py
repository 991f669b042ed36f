"""Room that is made by stopping lesser work."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from datetime import datetime, timedelta
from itertools import islice
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.ended_attempts import Key
from roadbend.log import Log
from roadbend.placement import gangs, policy
from roadbend.placement.batch import Batch
from roadbend.placement.policy import Clearing, Pending, Room, Victim
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
    running = stoppable(runtime, waiting, now)
    board = _Clearings(runtime, [room for room in rooms if room.id in running], running)
    most = MAX_PREEMPTED
    for item in waiting:
        made = sum(1 for job, _ in runtime.reservations.values() if job == item.job.id)
        if item.job.spec.gang:
            if not made:
                names = preempt_whole(runtime, item, rooms, board, now)
                board.taken |= names
                most -= len(names)
            continue
        for room, chosen in islice(board.of(item), max(0, min(most, item.count - made))):
            stop_for(runtime, item, room, chosen, now)
            runtime.reservations[room.id] = (item.job.id, now + RESERVATION_LIFETIME)
            board.taken.add(room.id)
            most -= 1
        if most <= 0:
            return


class _Clearings:
    """Where room can be made; work that is alike looks at the machines once."""

    def __init__(self, runtime: PartRuntime, rooms: list[Room], running: dict[str, list[Victim]]):
        self._runtime, self._rooms, self._running = runtime, rooms, running
        self._known: dict[tuple, list[Clearing]] = {}
        # The lowest priority on each machine, and the teams that are beyond their guarantees there.
        self._lowest = {name: min(row.priority for row in rows) for name, rows in running.items()}
        self._beyond = {
            name: {row.team for row in rows if row.beyond} for name, rows in running.items()
        }
        # Machines that are taken already.
        self.taken: set[str] = set()

    def of(self, item: Pending) -> Iterator[Clearing]:
        """The machines on which room for the item can still be made, the best first."""
        spec, runtime = item.job.spec, self._runtime
        kept_from = runtime.withheld_types.get(item.job.id, frozenset())
        without_image = frozenset(runtime.without_image.get(item.job.id, ()))
        kind = (
            (spec.need, spec.machine_types, spec.zone, spec.spot, spec.image),
            (spec.priority, spec.team, item.guaranteed, kept_from, without_image),
        )
        found = self._known.get(kind)
        if found is None:
            open_to = [
                room
                for room in self._rooms
                if self._may_clear(item, room.id)
                and room.machine_type not in kept_from
                and room.id not in without_image
            ]
            found = self._known[kind] = policy.clearings(item, open_to, self._running)
        return (row for row in found if row[0].id not in self.taken)

    def _may_clear(self, item: Pending, machine: str) -> bool:
        """Whether anything on a machine may be stopped for an item: `policy.may_stop` for all that
        runs there at once."""
        spec = item.job.spec
        if self._lowest[machine] < spec.priority:
            return True
        return item.guaranteed and any(team != spec.team for team in self._beyond[machine])


def stoppable(
    runtime: PartRuntime, waiting: list[Pending], now: datetime
) -> dict[str, list[Victim]]:
    """What runs and may be stopped for something that waits, by machine."""
    over, sure = teams_beyond(runtime), runtime.shared.guaranteed()
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
    return running


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
    rooms: list[Room],
    board: _Clearings,
    now: datetime,
) -> set[str]:
    """Room for all of a gang, or nothing is stopped for it. What it needs is kept for it together,
    free room too."""
    need = item.job.spec.need
    rooms = [room for room in rooms if room.id not in board.taken]
    free = {r.id: r.count(need) for r in rooms if r.id not in runtime.reservations}
    allowed = {r.id for r in rooms if policy.allowed(item.job, r.machine_type, r.zone, r.spot)}
    have = sum(count for name, count in free.items() if name in allowed)
    plan: list[Clearing] = []
    for room, chosen in islice(board.of(item), MAX_PREEMPTED):
        if have >= item.count:
            break
        trial = replace(room)
        for victim in chosen:
            trial.give(victim.need)
        have += max(1, trial.count(need)) - free.get(room.id, 0)
        plan.append((room, chosen))
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
