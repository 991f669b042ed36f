"""Room that is made by stopping lesser work."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import datetime, timedelta
from itertools import islice

from roadbend import clock
from roadbend.fleet.terminations import TaskKey
from roadbend.log import Log
from roadbend.placement import free_capacity
from roadbend.placement.confirmed_machines import ConfirmedMachines
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE, FreeCapacity
from roadbend.placement.gangs import Gangs
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.preemption_options import PreemptionOptions
from roadbend.placement.preemption_policy import PreemptionOption, RunningTask, Victim
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.reservations import ReservationReason
from roadbend.placement.transaction import TransactionBuilder
from roadbend.placement.usable_machines import UsableMachines
from roadbend.store.records import Attempt, Job

log = Log("placement")
# How long room that is being made is kept for the task that it is made for.
RESERVATION_LIFETIME = timedelta(seconds=15)
# Most tasks stopped for others in one step.
MAX_PREEMPTED = 24


class Preemption:
    """Stops lesser work of one partition for what waits."""

    def __init__(
        self, state: PartitionState, usable_machines: UsableMachines, gangs: Gangs
    ) -> None:
        self._records = state.records
        self._stops = state.stops
        self._reservations = state.reservations
        self._exclusions = state.exclusions
        self._machines = state.registry.by_id
        self._context = state.records.context
        self._partition = state.records.partition
        self._usable_machines = usable_machines
        self._gangs = gangs
        self._heard_machines = ConfirmedMachines(state)

    def preempt(
        self,
        not_placed: list[PendingTasks],
        transaction: TransactionBuilder,
        capacities: list[FreeCapacity],
        all_of_them: bool,
        now: datetime,
    ) -> None:
        """Stop lesser work for what found no place, and reserve the machines for it.

        `capacities`: the machines that were looked at; `all_of_them`: whether these are all.
        """
        waiting = [item for item in not_placed if item.job.spec.priority > 0 or item.guaranteed]
        if not waiting or not self._heard_machines.are_complete(now):
            return
        if not all_of_them:
            capacities = self._with_the_rest(capacities, transaction)
        running = self.stoppable(waiting, now)
        schedule = PreemptionOptions(
            self._exclusions,
            [capacity for capacity in capacities if capacity.id in running],
            running,
        )
        most = MAX_PREEMPTED
        for item in waiting:
            made = self._reservations.preemptions_for(item.job.id)
            if item.job.spec.gang:
                if not made:
                    names = self.preempt_whole(item, capacities, schedule, now)
                    schedule.taken |= names
                    most -= len(names)
                continue
            for capacity, chosen in islice(schedule.of(item), max(0, min(most, item.count - made))):
                self.stop_for(item, capacity, chosen, now)
                self.reserve([capacity.id], item.job, now)
                schedule.taken.add(capacity.id)
                most -= 1
            if most <= 0:
                return

    def _with_the_rest(
        self, capacities: list[FreeCapacity], transaction: TransactionBuilder
    ) -> list[FreeCapacity]:
        """Return all usable machines, those that were looked at as they are now."""
        known = {capacity.id: capacity for capacity in capacities}
        return [
            known.get(capacity.id, capacity)
            for capacity in self._usable_machines.capacities(transaction.ended_attempts)
        ]

    def stoppable(self, waiting: list[PendingTasks], now: datetime) -> dict[str, list[Victim]]:
        """Return what runs and may be stopped for something that waits, by machine."""
        over, sure = self.teams_beyond(), self._context.fair_share.guaranteed_jobs()
        running: dict[str, list[Victim]] = {}
        losses: dict[str, float] = {}
        top = max(item.job.spec.priority for item in waiting)
        for machine, rows in self._records.attempts_by_machine().items():
            if machine in self._reservations.for_preemption:
                continue
            for key, (job_slice, attempt) in rows.items():
                job = self._records.live_job(key[0])
                if job is None or key in self._stops:
                    continue
                beyond = over.get(job_slice.team, False) and job.id not in sure
                if job.spec.priority >= top and not beyond:
                    continue
                if job.spec.gang:
                    # Stopped as a whole or not at all, and judged by what all of it would lose.
                    loss = losses.get(job.id)
                    if loss is None:
                        rows_of = self._records.job_slices()[job.id].attempts.items()
                        loss = sum(
                            self.work_lost(TaskKey(job.id, task_index), other, job, now)
                            for task_index, other in rows_of
                        )
                        losses[job.id] = loss
                else:
                    loss = self.work_lost(TaskKey(*key), attempt, job, now)
                row = Victim(
                    job_slice.resources,
                    job.spec.priority,
                    beyond,
                    job_slice.team,
                    loss,
                    RunningTask(TaskKey(*key), attempt, job),
                )
                running.setdefault(machine, []).append(row)
        return running

    def stop_for(
        self,
        item: PendingTasks,
        capacity: FreeCapacity,
        chosen: list[Victim],
        now: datetime,
    ) -> None:
        """Stop what was chosen on a machine for an item."""
        for victim in chosen:
            key, attempt, job = victim.task
            log.info(
                "task-preempted",
                partition=self._partition,
                task=f"{key[0]}/{key[1]}",
                machine=capacity.id,
                by_job=item.job.id,
            )
            if job.spec.gang:
                self._gangs.stop_gang(job, "preempted", now)
                continue
            saves = job.spec.checkpoint > clock.ZERO
            grace = job.spec.save + timedelta(seconds=1) if saves else clock.ZERO
            self._stops.order(key, attempt, grace, "preempted", now)

    def preempt_whole(
        self,
        item: PendingTasks,
        capacities: list[FreeCapacity],
        schedule: PreemptionOptions,
        now: datetime,
    ) -> set[str]:
        """Make room for all of a gang, or stop nothing for it; return the machines it gets.

        What it needs is reserved for it together, free room too.
        """
        resources = item.job.spec.resources
        capacities = [capacity for capacity in capacities if capacity.id not in schedule.taken]
        free = {
            r.id: r.count(resources)
            for r in capacities
            if r.id not in self._reservations.for_preemption
        }
        allowed = {
            r.id
            for r in capacities
            if free_capacity.allowed(item.job, r.machine_type, r.zone, r.spot)
        }
        places = sum(count for name, count in free.items() if name in allowed)
        plan = self._plan_whole(item, places, free, schedule)
        if plan is None:
            return set()
        for capacity, chosen in plan:
            self.stop_for(item, capacity, chosen, now)
        names = {capacity.id for capacity, _ in plan}
        spare = item.count - len(plan)
        for name in sorted(allowed - names, key=lambda name: -free.get(name, 0)):
            if spare <= 0 or not free.get(name, 0):
                break
            spare -= free[name]
            names.add(name)
        self.reserve(names, item.job, now)
        return names

    def _plan_whole(
        self,
        item: PendingTasks,
        places: int,
        free: dict[str, int],
        schedule: PreemptionOptions,
    ) -> list[PreemptionOption] | None:
        """Return what to stop so that a gang finds enough places; None if that is too few.

        `places`: how many it finds without. `free`: how many each machine has.
        """
        resources = item.job.spec.resources
        plan: list[PreemptionOption] = []
        for capacity, chosen in islice(schedule.of(item), MAX_PREEMPTED):
            if places >= item.count:
                break
            trial = replace(capacity)
            for victim in chosen:
                trial.release(victim.resources)
            places += max(1, trial.count(resources)) - free.get(capacity.id, 0)
            plan.append(PreemptionOption(capacity, chosen))
        return plan if places >= item.count else None

    def reserve(self, machines: Iterable[str], job: Job, now: datetime) -> None:
        """Keep machines for the job for which lesser work on them is being stopped."""
        self._reservations.reserve(
            machines, job.id, now + RESERVATION_LIFETIME, ReservationReason.PREEMPTION
        )

    def teams_beyond(self) -> dict[str, bool]:
        """Return of each team whether it uses more than its guarantee."""
        out = {}
        for team in self._context.settings.teams.values():
            cpus, gpus = self._context.view.team_usage(team.name)
            out[team.name] = (team.gpus > 0 and gpus > team.gpus + RESOURCE_TOLERANCE) or (
                team.cpus > 0 and cpus > team.cpus + RESOURCE_TOLERANCE
            )
        return out

    def work_lost(self, key: TaskKey, attempt: Attempt, job: Job, now: datetime) -> float:
        """Return the seconds of work that stopping a task now would waste."""
        machine = self._machines.get(attempt.machine)
        seen = machine.tasks.get(key) if machine else None
        if seen is None or seen.running_since is None:
            return 0.0
        if job.spec.checkpoint > clock.ZERO:
            return job.spec.save.total_seconds() + 1.0
        return (now - seen.running_since).total_seconds()
