"""The warm pool: capacity kept free for services that must start sooner than a machine boots."""

import math
from dataclasses import replace
from datetime import timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.placement.context import ControllerContext
from roadbend.placement.free_capacity import FreeCapacity, allowed
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.machine_options import expensive_machine_types
from roadbend.store.records import Job

# The longest boot time as a multiple of the nominal one.
MAX_STARTUP_RATIO = 1.5


class WarmPoolTarget(NamedTuple):
    """The service to keep capacity for, and for how many of its tasks; None and 0 if for none."""

    service: Job | None
    tasks: int


class Arrivals(NamedTuple):
    """Services that the warm pool is for: the newest, and the task count of each recent one."""

    newest: Job | None
    task_counts: list[int]


NO_TARGET = WarmPoolTarget(None, 0)


class WarmPool:
    """Computes how much capacity a partition should keep free, and how much it has."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context

    def target(self, partition: str) -> WarmPoolTarget:
        """Return for what a partition's warm pool should have capacity.

        The warm pool is for job classes whose objective is a start sooner than a machine boots; its
        size follows from the measured arrivals.
        """
        operator = self._context.operator
        startup = max(
            (machine_type.startup for machine_type in self._context.machine_types.values()),
            default=clock.ZERO,
        )
        arrivals = self._arrivals(startup)
        if arrivals.newest is None:
            return NO_TARGET
        zones = self._zones_for(arrivals.newest)
        if partition not in zones:
            return NO_TARGET
        tasks = tasks_to_keep(
            arrivals.task_counts,
            startup * operator.boot_factor,
            operator.spare_window,
            len(zones),
            operator.spare_most,
        )
        return WarmPoolTarget(arrivals.newest, tasks)

    def available(self, leader: PartitionLeader, service: Job, booting: list[FreeCapacity]) -> int:
        """Return how many of the service's tasks fit, minus the pending tasks of services.

        Counts free capacity, booting machines, and the capacity that lower-priority attempts hold,
        as these may be preempted.
        """
        attempts, count = leader.records.attempts_by_machine(), 0
        expensive = expensive_machine_types(
            service,
            self._context.machine_types.values(),
            self._context.operator.dear,
            leader.partition,
        )
        existing = leader.usable_machines.capacities()
        for capacity in existing + [replace(capacity) for capacity in booting]:
            if capacity.machine_type in expensive or not allowed(
                service, capacity.machine_type, capacity.zone, capacity.spot
            ):
                continue
            for key, (job_slice, _) in attempts.get(capacity.id, {}).items():
                job = self._context.view.jobs.get(key[0])
                if job is None or job.spec.priority < service.spec.priority:
                    capacity.release(job_slice.resources)
            count += capacity.count(service.spec.resources)
        waiting = (item for item in leader.queue.pending() if item.job.spec.service)
        return count - sum(item.count for item in waiting)

    def _arrivals(self, startup: timedelta) -> Arrivals:
        """Return the services that must start sooner than a machine boots."""
        window, wall = self._context.operator.spare_window, clock.wall()
        newest: Job | None = None
        task_counts: list[int] = []
        for job in self._context.view.jobs.values():
            within = self._context.objectives.start_within(job.spec)
            if within is None or within > startup * MAX_STARTUP_RATIO or not job.spec.service:
                continue
            if newest is None or job.submitted_at > newest.submitted_at:
                newest = job
            if wall - job.submitted_at < window:
                task_counts.append(job.spec.task_count)
        return Arrivals(newest, task_counts)

    def _zones_for(self, service: Job) -> set[str]:
        """Return the zones with cheap machines for a service: only these keep capacity for it."""
        machine_types = self._context.machine_types
        max_cost_ratio = self._context.operator.dear
        expensive = {
            zone: expensive_machine_types(service, machine_types.values(), max_cost_ratio, zone)
            for zone in {
                zone for machine_type in machine_types.values() for zone in machine_type.zones
            }
        }
        return {
            zone
            for name, machine_type in machine_types.items()
            for zone in machine_type.zones
            if name not in expensive[zone]
        }


def tasks_to_keep(
    arrivals: list[int], startup: timedelta, window: timedelta, partitions: int, max_tasks: int
) -> int:
    """Return for how many tasks each partition's warm pool keeps capacity.

    That is the mean of the tasks that arrive while a machine boots, plus one standard deviation,
    divided among the partitions. `arrivals` are the task counts of the services that arrived within
    the window; services with many tasks increase the deviation. Zero if none arrived.
    """
    if not arrivals:
        return 0
    share = startup / window
    mean = sum(arrivals) * share
    deviation = math.sqrt(sum(tasks * tasks for tasks in arrivals) * share)
    return min(max_tasks, math.ceil((mean + deviation) / max(1, partitions)))
