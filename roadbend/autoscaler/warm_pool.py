"""Free places that a partition keeps for services which must start sooner than a machine boots."""

from dataclasses import replace

from roadbend import clock
from roadbend.autoscaler import policy
from roadbend.placement import free_capacity
from roadbend.placement.context import ControllerContext
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.leader import PartitionLeader
from roadbend.store.records import Job


class WarmPool:
    """Says how many such places a partition should keep, and how many it has."""

    def __init__(self, context: ControllerContext):
        self._context = context

    def wanted(self, partition: str) -> tuple[Job | None, int]:
        """The service to keep room for, and how many places of this partition: for classes whose
        aim is a start sooner than a machine boots, as many as measured arrivals justify."""
        operator, wall = self._context.operator, clock.wall()
        arrivals: list[int] = []
        model = None
        boot = max(
            (machine_type.startup for machine_type in self._context.machine_types.values()),
            default=clock.ZERO,
        )
        for job in self._context.view.jobs.values():
            within = self._context.objectives.start_within(job.spec)
            # Boots take up to half as long again as they nominally do.
            if within is None or within > boot * 1.5 or not job.spec.service:
                continue
            if model is None or job.submitted_at > model.submitted_at:
                model = job
            if wall - job.submitted_at < operator.spare_window:
                arrivals.append(job.spec.task_count)
        if model is None:
            return None, 0
        # Only partitions that can host it cheaply keep room for it.
        machine_types = self._context.machine_types
        zones = {zone for machine_type in machine_types.values() for zone in machine_type.zones}
        dear = {
            zone: policy.expensive_machine_types(model, machine_types.values(), operator.dear, zone)
            for zone in zones
        }
        hosts = {
            zone
            for name, machine_type in machine_types.items()
            for zone in machine_type.zones
            if name not in dear[zone]
        }
        if partition not in hosts:
            return None, 0
        partitions = len(hosts)
        return model, policy.warm_places(
            arrivals,
            boot * operator.boot_factor,
            operator.spare_window,
            partitions,
            operator.spare_most,
        )

    def available(self, leader: PartitionLeader, model: Job, fresh: list[FreeCapacity]) -> int:
        """Places that are free, or that work which may be stopped for it holds."""
        index, have = leader.by_machine(), 0
        dear = policy.expensive_machine_types(
            model,
            self._context.machine_types.values(),
            self._context.operator.dear,
            leader.partition,
        )
        for capacity in leader.capacities() + [replace(capacity) for capacity in fresh]:
            if (
                not free_capacity.allowed(
                    model, capacity.machine_type, capacity.zone, capacity.spot
                )
                or capacity.machine_type in dear
            ):
                continue
            for key, (job_slice, _) in index.get(capacity.id, {}).items():
                job = self._context.view.jobs.get(key[0])
                if job is None or job.spec.priority < model.spec.priority:
                    capacity.give(job_slice.resources)
            have += capacity.count(model.spec.resources)
        return have - sum(item.count for item in leader.queue.pending() if item.job.spec.service)
