"""Plans what a partition's round of autoscaling creates."""

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

# For the later deadlines, which are the last chance, more time is kept: this many times the run,
# and this many times the longest boot.
LAST_CHANCE_RUN_FACTOR = 1.3
LAST_CHANCE_BOOTS = 0.5


class ScalingPlan(NamedTuple):
    """What to create, the service that the warm pool is for, and its tasks' surplus of places."""

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
        self, leader: PartitionLeader, now: datetime, refused: Set[MachineKind]
    ) -> ScalingPlan:
        """Return the plan for a partition, but for the kinds that can't be created now.

        Sets the capacity that boots for the leader.
        """
        partition = leader.partition
        self._booting.forget_registered(leader)
        booting = self._booting.capacities(leader, now)
        leader.registry.update_booting(booting)
        queue = self._timed(leader, self._within_quotas(leader, leader.queue.pending()))
        choices = machine_options.options(self._context.machine_types.values(), partition, refused)
        machines = self._for_queue(leader, queue, choices, booting)
        service, target = self._warm_pool.target(partition)
        available = 0
        if service is not None:
            available = self._warm_pool.available(leader, service, booting)
            if available < target and leader.recovery.knows_machines():
                self._add_for_warm_pool(
                    machines, service, choices, partition, target, target - available
                )
        return ScalingPlan(machines, service, available - target)

    def _for_queue(
        self,
        leader: PartitionLeader,
        queue: list[TimedTasks],
        choices: list[MachineOption],
        booting: list[FreeCapacity],
    ) -> dict[MachineKind, int]:
        # The forecast changes the capacities that it is given.
        timelines = leader.projections.timelines([replace(capacity) for capacity in booting])
        # Of a gang the last task counts, however wide it is.
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
        """Add the machines that the warm pool lacks, unless ordinary ones of that type come anyway.

        `target` is how many of the service's tasks the pool should have room for, `missing` how
        many of them it has no room for.
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
        places = machine.count(service.spec.resources)
        machines[option.kind] = -(-missing // places)

    def _timed(self, leader: PartitionLeader, queue: list[PendingTasks]) -> list[TimedTasks]:
        longest_startup = max(
            (machine_type.startup for machine_type in self._context.machine_types.values()),
            default=clock.ZERO,
        )
        longest_boot, wall = longest_startup.total_seconds(), clock.wall()
        return [self._time(leader, item, wall, longest_boot) for item in queue]

    def _time(
        self, leader: PartitionLeader, item: PendingTasks, wall: datetime, longest_boot: float
    ) -> TimedTasks:
        """Work out when tasks must start; the last of them decides."""
        spec = item.job.spec
        run = leader.projections.run_seconds(item.job)
        waited = (wall - item.job.submitted_at).total_seconds()
        # Estimates are often wrong: the time kept for the run is longer than the likely one.
        kept = 0.0 if spec.service else run * self._context.operator.caution
        kept_at_last = kept * LAST_CHANCE_RUN_FACTOR + LAST_CHANCE_BOOTS * longest_boot
        first, *later = self._context.objectives.deadline_factors(spec)
        later_slacks = [forecast.slack(item, waited, kept_at_last, factor) for factor in later]
        machine_types = self._context.machine_types.values()
        return TimedTasks(
            item=item,
            run=run,
            slack=forecast.slack(item, waited, kept, first),
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
        """Leave out the tasks that their team's quota keeps waiting anyway."""
        allowance = QuotaAllowance(
            lambda team: self._context.fair_share.quota_left(team, leader.partition)
        )
        return limit_to_quota(allowance, queue)
