"""Preemption: stops lower-priority tasks to free capacity for pending ones."""

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
from roadbend.settings import Team
from roadbend.store.records import Attempt, Job, Resources

log = Log("placement")
# How long a machine stays reserved for the job for which tasks on it are being stopped.
RESERVATION_LIFETIME = timedelta(seconds=15)
NO_RESOURCES = Resources(0.0, 0.0, 0.0)
# The limit per step for machines on which tasks are preempted.
MAX_PREEMPTED = 24


class Preemption:
    """Stops lower-priority tasks of one partition for its pending tasks."""

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
        self._confirmed_machines = ConfirmedMachines(state)

    def preempt(
        self,
        not_placed: list[PendingTasks],
        transaction: TransactionBuilder,
        capacities: list[FreeCapacity],
        are_all_machines: bool,
        now: datetime,
    ) -> None:
        """Stop lower-priority tasks for items that were not placed; reserve the machines for them.

        `capacities`: the machines that placement examined; `are_all_machines`: whether these are
        all usable machines of the partition.
        """
        eligible = [item for item in not_placed if item.job.spec.priority > 0 or item.guaranteed]
        if not eligible or not self._confirmed_machines.are_complete(now):
            return
        if not are_all_machines:
            capacities = self._with_remaining_machines(capacities, transaction)
        victims_by_machine = self.preemptible_tasks(eligible, now)
        options = PreemptionOptions(
            self._exclusions,
            [capacity for capacity in capacities if capacity.id in victims_by_machine],
            victims_by_machine,
            self.exceeds_guarantee,
        )
        remaining_preemptions = MAX_PREEMPTED
        for item in eligible:
            active_preemptions = self._reservations.preemption_count(item.job.id)
            if item.job.spec.gang:
                if not active_preemptions:
                    machine_ids = self.preempt_for_gang(item, capacities, options, now)
                    options.used_machines |= machine_ids
                    remaining_preemptions -= len(machine_ids)
                continue
            for capacity, chosen in islice(
                options.for_item(item),
                max(0, min(remaining_preemptions, item.count - active_preemptions)),
            ):
                self.stop_victims(item, capacity, chosen, now)
                self.reserve([capacity.id], item.job, now)
                options.used_machines.add(capacity.id)
                remaining_preemptions -= 1
            if remaining_preemptions <= 0:
                return

    def _with_remaining_machines(
        self, capacities: list[FreeCapacity], transaction: TransactionBuilder
    ) -> list[FreeCapacity]:
        """Return all usable machines; those already examined with their present free capacity."""
        examined = {capacity.id: capacity for capacity in capacities}
        return [
            examined.get(capacity.id, capacity)
            for capacity in self._usable_machines.capacities(transaction.ended_attempts)
        ]

    def preemptible_tasks(
        self, eligible: list[PendingTasks], now: datetime
    ) -> dict[str, list[Victim]]:
        """Return the running tasks that may be stopped for some pending item, by machine."""
        teams_over, guaranteed_jobs = (
            self.teams_over_guarantee(),
            self._context.fair_share.guaranteed_jobs(),
        )
        victims_by_machine: dict[str, list[Victim]] = {}
        losses: dict[str, float] = {}
        max_priority = max(item.job.spec.priority for item in eligible)
        for machine, attempts in self._records.attempts_by_machine().items():
            if machine in self._reservations.for_preemption:
                continue
            for key, (job_slice, attempt) in attempts.items():
                job = self._records.live_job(key[0])
                if job is None or key in self._stops:
                    continue
                over_guarantee = (
                    teams_over.get(job_slice.team, False) and job.id not in guaranteed_jobs
                )
                if job.spec.priority >= max_priority and not over_guarantee:
                    continue
                if job.spec.gang:
                    # A gang is stopped as a whole or not at all, so each task counts with the loss
                    # of the whole gang.
                    loss = losses.get(job.id)
                    if loss is None:
                        gang_attempts = self._records.job_slices()[job.id].attempts.items()
                        loss = sum(
                            self.work_lost(TaskKey(job.id, task_index), member, job, now)
                            for task_index, member in gang_attempts
                        )
                        losses[job.id] = loss
                else:
                    loss = self.work_lost(TaskKey(*key), attempt, job, now)
                victim = Victim(
                    job_slice.resources,
                    job.spec.priority,
                    over_guarantee,
                    job.id in guaranteed_jobs,
                    job_slice.team,
                    loss,
                    RunningTask(TaskKey(*key), attempt, job),
                )
                victims_by_machine.setdefault(machine, []).append(victim)
        return victims_by_machine

    def stop_victims(
        self,
        item: PendingTasks,
        capacity: FreeCapacity,
        chosen: list[Victim],
        now: datetime,
    ) -> None:
        """Stop the victims that were chosen on a machine for an item."""
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
            has_checkpoints = job.spec.checkpoint > clock.ZERO
            grace = job.spec.save + timedelta(seconds=1) if has_checkpoints else clock.ZERO
            self._stops.order(key, attempt, grace, "preempted", now)

    def preempt_for_gang(
        self,
        item: PendingTasks,
        capacities: list[FreeCapacity],
        options: PreemptionOptions,
        now: datetime,
    ) -> set[str]:
        """Free capacity for a whole gang, or stop nothing; return the machines reserved for it.

        All that the gang needs is reserved at once, including capacity that is free already.
        """
        resources = item.job.spec.resources
        capacities = [
            capacity for capacity in capacities if capacity.id not in options.used_machines
        ]
        free_counts = {
            capacity.id: capacity.count(resources)
            for capacity in capacities
            if capacity.id not in self._reservations.for_preemption
        }
        allowed = {
            capacity.id
            for capacity in capacities
            if free_capacity.allowed(item.job, capacity.machine_type, capacity.zone, capacity.spot)
        }
        fitting_tasks = sum(
            count for machine_id, count in free_counts.items() if machine_id in allowed
        )
        chosen_options = self._plan_for_gang(item, fitting_tasks, free_counts, options)
        if chosen_options is None:
            return set()
        for capacity, chosen in chosen_options:
            self.stop_victims(item, capacity, chosen, now)
        machine_ids = {capacity.id for capacity, _ in chosen_options}
        missing_tasks = item.count - len(chosen_options)
        for machine_id in sorted(
            allowed - machine_ids, key=lambda machine_id: -free_counts.get(machine_id, 0)
        ):
            if missing_tasks <= 0 or not free_counts.get(machine_id, 0):
                break
            missing_tasks -= free_counts[machine_id]
            machine_ids.add(machine_id)
        self.reserve(machine_ids, item.job, now)
        return machine_ids

    def _plan_for_gang(
        self,
        item: PendingTasks,
        fitting_tasks: int,
        free_counts: dict[str, int],
        options: PreemptionOptions,
    ) -> list[PreemptionOption] | None:
        """Return what to stop so that all tasks of a gang fit; None if they don't even then.

        `fitting_tasks`: how many of its tasks fit without preemption. `free_counts`: how many of
        them fit on each machine.
        """
        resources = item.job.spec.resources
        chosen_options: list[PreemptionOption] = []
        for capacity, chosen in islice(options.for_item(item), MAX_PREEMPTED):
            if fitting_tasks >= item.count:
                break
            capacity_after = replace(capacity)
            for victim in chosen:
                capacity_after.release(victim.resources)
            fitting_tasks += max(1, capacity_after.count(resources)) - free_counts.get(
                capacity.id, 0
            )
            chosen_options.append(PreemptionOption(capacity, chosen))
        return chosen_options if fitting_tasks >= item.count else None

    def reserve(self, machines: Iterable[str], job: Job, now: datetime) -> None:
        """Reserve machines for the job for which tasks on them are being stopped."""
        self._reservations.reserve(
            machines, job.id, now + RESERVATION_LIFETIME, ReservationReason.PREEMPTION
        )

    def teams_over_guarantee(self) -> dict[str, bool]:
        """Return for each team whether it uses more than its guarantee."""
        return {
            team.name: self._is_over_guarantee(team, NO_RESOURCES)
            for team in self._context.settings.teams.values()
        }

    def exceeds_guarantee(self, item: PendingTasks) -> bool:
        """Return whether an item's team would be over its guarantee with one task of the item.

        Not where the item's job is within the guarantee, since its tasks don't count as over it.
        """
        team = self._context.settings.teams.get(item.job.spec.team)
        if item.guaranteed or team is None:
            return False
        return self._is_over_guarantee(team, item.job.spec.resources)

    def _is_over_guarantee(self, team: Team, more: Resources) -> bool:
        """Return whether a team uses more than its guarantee, if it used `more` than it does."""
        cpus, gpus = self._context.view.team_usage(team.name)
        return (team.gpus > 0 and gpus + more.gpus > team.gpus + RESOURCE_TOLERANCE) or (
            team.cpus > 0 and cpus + more.cpus > team.cpus + RESOURCE_TOLERANCE
        )

    def work_lost(self, key: TaskKey, attempt: Attempt, job: Job, now: datetime) -> float:
        """Return the seconds of work that stopping a task now would waste."""
        machine = self._machines.get(attempt.machine)
        observed = machine.tasks.get(key) if machine else None
        if observed is None or observed.running_since is None:
            return 0.0
        if job.spec.checkpoint > clock.ZERO:
            return job.spec.save.total_seconds() + 1.0
        return (now - observed.running_since).total_seconds()
