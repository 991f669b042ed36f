"""Room that is made by stopping lesser work."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from datetime import datetime, timedelta
from itertools import islice
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.terminations import TaskKey
from roadbend.log import Log
from roadbend.placement import free_capacity, gangs, preemption_policy
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE, FreeCapacity
from roadbend.placement.preemption_policy import Clearing, RunningTask, Victim
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store.records import Attempt, Job

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("placement")
# How long room that is being made is kept for the task that it is made for.
RESERVATION_LIFETIME = timedelta(seconds=15)
# Most tasks stopped for others in one step.
MAX_PREEMPTED = 24


def preempt(
    leader: PartitionLeader,
    transaction: TransactionBuilder,
    capacities: list[FreeCapacity],
    all_of_them: bool,
    now: datetime,
) -> None:
    waiting = [item for item in leader.left if item.job.spec.priority > 0 or item.guaranteed]
    if not waiting:
        return
    if not all_of_them:
        known = {capacity.id: capacity for capacity in capacities}
        capacities = [
            known.get(capacity.id, capacity)
            for capacity in leader.capacities(transaction.ended_attempts)
        ]
    running = stoppable(leader, waiting, now)
    schedule = _Clearings(
        leader, [capacity for capacity in capacities if capacity.id in running], running
    )
    most = MAX_PREEMPTED
    for item in waiting:
        made = sum(1 for job, _ in leader.reservations.values() if job == item.job.id)
        if item.job.spec.gang:
            if not made:
                names = preempt_whole(leader, item, capacities, schedule, now)
                schedule.taken |= names
                most -= len(names)
            continue
        for capacity, chosen in islice(schedule.of(item), max(0, min(most, item.count - made))):
            stop_for(leader, item, capacity, chosen, now)
            leader.reservations[capacity.id] = (item.job.id, now + RESERVATION_LIFETIME)
            schedule.taken.add(capacity.id)
            most -= 1
        if most <= 0:
            return


class _Clearings:
    """Where room can be made; work that is alike looks at the machines once."""

    def __init__(
        self,
        leader: PartitionLeader,
        capacities: list[FreeCapacity],
        running: dict[str, list[Victim]],
    ):
        self._leader, self._rooms, self._running = leader, capacities, running
        self._known: dict[tuple, list[Clearing]] = {}
        # The lowest priority on each machine, and the teams that are beyond their guarantees there.
        self._lowest = {name: min(row.priority for row in rows) for name, rows in running.items()}
        self._beyond = {
            name: {victim.team for victim in victims if victim.beyond_guarantee}
            for name, victims in running.items()
        }
        # Machines that are taken already.
        self.taken: set[str] = set()

    def of(self, item: PendingTasks) -> Iterator[Clearing]:
        """The machines on which room for the item can still be made, the best first."""
        spec, leader = item.job.spec, self._leader
        kept_from = leader.withheld_types.get(item.job.id, frozenset())
        without_image = frozenset(leader.without_image.get(item.job.id, ()))
        kind = (
            (spec.resources, spec.machine_types, spec.zone, spec.spot, spec.image),
            (spec.priority, spec.team, item.guaranteed, kept_from, without_image),
        )
        found = self._known.get(kind)
        if found is None:
            open_to = [
                capacity
                for capacity in self._rooms
                if self._may_clear(item, capacity.id)
                and capacity.machine_type not in kept_from
                and capacity.id not in without_image
            ]
            found = self._known[kind] = preemption_policy.clearings(item, open_to, self._running)
        return (row for row in found if row[0].id not in self.taken)

    def _may_clear(self, item: PendingTasks, machine: str) -> bool:
        """Whether anything on a machine may be stopped for an item: `preemption_policy.may_preempt`
        for all that runs there at once."""
        spec = item.job.spec
        if self._lowest[machine] < spec.priority:
            return True
        return item.guaranteed and any(team != spec.team for team in self._beyond[machine])


def stoppable(
    leader: PartitionLeader, waiting: list[PendingTasks], now: datetime
) -> dict[str, list[Victim]]:
    """What runs and may be stopped for something that waits, by machine."""
    over, sure = teams_beyond(leader), leader.context.fair_share.guaranteed_jobs()
    running: dict[str, list[Victim]] = {}
    losses: dict[str, float] = {}
    top = max(item.job.spec.priority for item in waiting)
    for machine, rows in leader.by_machine().items():
        if machine in leader.reservations:
            continue
        for key, (job_slice, attempt) in rows.items():
            job = leader.live(key[0])
            if job is None or key in leader.stops:
                continue
            beyond = over.get(job_slice.team, False) and job.id not in sure
            if job.spec.priority >= top and not beyond:
                continue
            if job.spec.gang:
                # Stopped as a whole or not at all, and judged by what all of it would lose.
                loss = losses.get(job.id)
                if loss is None:
                    rows_of = leader.job_slices()[job.id].attempts.items()
                    loss = sum(
                        work_lost(leader, (job.id, task_index), other, job, now)
                        for task_index, other in rows_of
                    )
                    losses[job.id] = loss
            else:
                loss = work_lost(leader, key, attempt, job, now)
            row = Victim(
                job_slice.resources,
                job.spec.priority,
                beyond,
                job_slice.team,
                loss,
                RunningTask(key, attempt, job),
            )
            running.setdefault(machine, []).append(row)
    return running


def stop_for(
    leader: PartitionLeader,
    item: PendingTasks,
    capacity: FreeCapacity,
    chosen: list[Victim],
    now: datetime,
) -> None:
    for victim in chosen:
        key, attempt, job = victim.task
        log.info(
            "task-preempted",
            partition=leader.partition,
            task=f"{key[0]}/{key[1]}",
            machine=capacity.id,
            by_job=item.job.id,
        )
        if job.spec.gang:
            gangs.stop_whole(leader, job, "preempted", now)
            continue
        saves = job.spec.checkpoint > clock.ZERO
        grace = job.spec.save + timedelta(seconds=1) if saves else clock.ZERO
        leader.stop(key, attempt, grace, "preempted", now)


def preempt_whole(
    leader: PartitionLeader,
    item: PendingTasks,
    capacities: list[FreeCapacity],
    schedule: _Clearings,
    now: datetime,
) -> set[str]:
    """Room for all of a gang, or nothing is stopped for it. What it needs is kept for it together,
    free room too."""
    resources = item.job.spec.resources
    capacities = [capacity for capacity in capacities if capacity.id not in schedule.taken]
    free = {r.id: r.count(resources) for r in capacities if r.id not in leader.reservations}
    allowed = {
        r.id for r in capacities if free_capacity.allowed(item.job, r.machine_type, r.zone, r.spot)
    }
    have = sum(count for name, count in free.items() if name in allowed)
    plan: list[Clearing] = []
    for capacity, chosen in islice(schedule.of(item), MAX_PREEMPTED):
        if have >= item.count:
            break
        trial = replace(capacity)
        for victim in chosen:
            trial.give(victim.resources)
        have += max(1, trial.count(resources)) - free.get(capacity.id, 0)
        plan.append(Clearing(capacity, chosen))
    if have < item.count:
        return set()
    for capacity, chosen in plan:
        stop_for(leader, item, capacity, chosen, now)
    names = {capacity.id for capacity, _ in plan}
    spare = item.count - sum(1 for _ in plan)
    for name in sorted(allowed - names, key=lambda name: -free.get(name, 0)):
        if spare <= 0 or not free.get(name, 0):
            break
        spare -= free[name]
        names.add(name)
    for name in names:
        leader.reservations[name] = (item.job.id, now + RESERVATION_LIFETIME)
    return names


def teams_beyond(leader: PartitionLeader) -> dict[str, bool]:
    out = {}
    for team in leader.context.settings.teams.values():
        cpus, gpus = leader.context.view.used_by(team.name)
        out[team.name] = (team.gpus > 0 and gpus > team.gpus + RESOURCE_TOLERANCE) or (
            team.cpus > 0 and cpus > team.cpus + RESOURCE_TOLERANCE
        )
    return out


def work_lost(
    leader: PartitionLeader, key: TaskKey, attempt: Attempt, job: Job, now: datetime
) -> float:
    """Seconds of work that stopping a task now would waste."""
    machine = leader.machines.get(attempt.machine)
    seen = machine.tasks.get(key) if machine else None
    if seen is None or seen.running_since is None:
        return 0.0
    if job.spec.checkpoint > clock.ZERO:
        return job.spec.save.total_seconds() + 1.0
    return (now - seen.running_since).total_seconds()
