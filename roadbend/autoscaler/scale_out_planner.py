"""Plans which machines to create in a partition's autoscaling round."""

from collections.abc import Set
from dataclasses import replace
from datetime import datetime
from typing import NamedTuple

from roadbend import clock
from roadbend.autoscaler.booting_machines import BootingMachines
from roadbend.autoscaler.scale_out_policy import TimedTasks, machines_to_create
from roadbend.autoscaler.warm_pool import WarmPool
from roadbend.cloud.messages import MachineKind
from roadbend.placement import forecast, machine_options
from roadbend.placement.context import ControllerContext
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.machine_options import MachineOption
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.quota_allowance import QuotaAllowance
from roadbend.placement.quotas import limit_to_quota
from roadbend.store.records import Job

# For a job's later deadlines, the last chance to meet its objectives, more time is reserved: the
# time for the run times the first factor, plus the longest boot time times the second.
LATER_DEADLINES_RUN_FACTOR = 1.3
LATER_DEADLINES_BOOTS = 0.5


class ScalingPlan(NamedTuple):
    """The machines to create, the service that the warm pool is for, and the pool's surplus.

    `warm_surplus` is for how many tasks of the service there is more capacity than the pool's
    target; negative if there is less.
    """

    machines: dict[MachineKind, int]
    warm_service: Job | None
    warm_surplus: int


class ScaleOutPlanner:
    """Plans for the partitions that this controller leads."""

    def __init__(
        self, context: ControllerContext, booting: BootingMachines, warm_pool: WarmPool
    ) -> None:
        self._context, self._booting, self._warm_pool = context, booting, warm_pool

    def plan(
        self, leader: PartitionLeader, now: datetime, unavailable_kinds: Set[MachineKind]
    ) -> ScalingPlan:
        """Return the plan for a partition, without the kinds that can't be created now.

        Also updates the leader's booting capacity.
        """
        partition = leader.partition
        self._booting.remove_registered(leader)
        booting = self._booting.capacities(leader, now)
        leader.registry.update_booting(booting)
        queue = self._timed_queue(leader, self._within_quotas(leader, leader.queue.pending()))
        choices = machine_options.options(
            self._context.machine_types.values(), partition, unavailable_kinds
        )
        machines = self._machines_for_queue(leader, queue, choices, booting)
        service, target = self._warm_pool.target(partition)
        available = 0
        if service is not None:
            available = self._warm_pool.available(leader, service, booting)
            if available < target and leader.recovery.can_fill_warm_pool():
                self._add_for_warm_pool(
                    machines, service, choices, partition, target, target - available
                )
        return ScalingPlan(machines, service, available - target)

    def _machines_for_queue(
        self,
        leader: PartitionLeader,
        queue: list[TimedTasks],
        choices: list[MachineOption],
        booting: list[FreeCapacity],
    ) -> dict[MachineKind, int]:
        # The forecast changes the capacities that it is given.
        timelines = leader.projections.timelines([replace(capacity) for capacity in booting])
        # A gang starts with its last task, so all of it is forecast, however wide it is.
        widest_gang = max(
            (timed.item.count for timed in queue if timed.item.job.spec.gang), default=0
        )
        if not queue:
            return {}
        return machines_to_create(
            queue,
            timelines,
            choices,
            leader.partition,
            self._context.operator.boot_factor,
            max(leader.projections.max_forecast_tasks(timelines), widest_gang),
        )

    def _add_for_warm_pool(
        self,
        machines: dict[MachineKind, int],
        service: Job,
        choices: list[MachineOption],
        partition: str,
        target: int,
        missing: int,
    ) -> None:
        """Add the machines that the warm pool lacks.

        Adds none if regular (not spot) machines of the chosen type are already planned for the
        queue. `target` is the number of the service's tasks for which the pool should have
        capacity, `missing` the number of those for which it has none.
        """
        expensive = machine_options.expensive_machine_types(
            service, self._context.machine_types.values(), self._context.operator.dear, partition
        )
        usable = [option for option in choices if option.machine_type.name not in expensive]
        task = PendingTasks(service, ((0, 1),), guaranteed=True)
        option = machine_options.cheapest(task, usable, partition, target)
        if option is None or MachineKind(option.machine_type.name, False) in machines:
            return
        machine = machine_options.new_machine("", option, partition)
        tasks_per_machine = machine.count(service.spec.resources)
        machines[option.kind] = -(-missing // tasks_per_machine)

    def _timed_queue(self, leader: PartitionLeader, queue: list[PendingTasks]) -> list[TimedTasks]:
        longest_startup = max(
            (machine_type.startup for machine_type in self._context.machine_types.values()),
            default=clock.ZERO,
        )
        longest_boot, wall = longest_startup.total_seconds(), clock.wall()
        return [self._timed_tasks(leader, item, wall, longest_boot) for item in queue]

    def _timed_tasks(
        self, leader: PartitionLeader, item: PendingTasks, wall: datetime, longest_boot: float
    ) -> TimedTasks:
        """Compute when a job's pending tasks must start; the last of them decides."""
        spec = item.job.spec
        run_seconds = leader.projections.run_seconds(item.job)
        waited = (wall - item.job.submitted_at).total_seconds()
        # As estimates are often wrong, more time is reserved for the run than it probably takes.
        run_reserve = 0.0 if spec.service else run_seconds * self._context.operator.caution
        later_run_reserve = (
            run_reserve * LATER_DEADLINES_RUN_FACTOR + LATER_DEADLINES_BOOTS * longest_boot
        )
        first, *later = self._context.objectives.deadline_factors(spec)
        later_slacks = [forecast.slack(item, waited, later_run_reserve, factor) for factor in later]
        machine_types = self._context.machine_types.values()
        return TimedTasks(
            item=item,
            run_seconds=run_seconds,
            slack=forecast.slack(item, waited, run_reserve, first),
            image_gb=spec.image_gb,
            excluded_types=leader.exclusions.excluded_types(item.job.id),
            later_slacks=tuple(later_slacks),
            min_cost=(
                machine_options.min_cost(item, machine_types, item.count) if later_slacks else None
            ),
        )

    def _within_quotas(
        self, leader: PartitionLeader, queue: list[PendingTasks]
    ) -> list[PendingTasks]:
        """Return the queue without tasks that their team's quota doesn't allow to start."""
        allowance = QuotaAllowance(
            lambda team: self._context.fair_share.quota_left(team, leader.partition)
        )
        return limit_to_quota(allowance, queue)
