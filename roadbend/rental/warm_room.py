"""Free places that a part keeps for services which must start sooner than a machine boots."""

from dataclasses import replace

from roadbend import clock
from roadbend.placement import policy as placing
from roadbend.placement.runtime import PartRuntime
from roadbend.placement.shared import Shared
from roadbend.rental import policy
from roadbend.store.records import Job


class WarmRoom:
    """Says how many such places a part should keep, and how many it has."""

    def __init__(self, shared: Shared):
        self._shared = shared

    def wanted(self, part: str) -> tuple[Job | None, int]:
        """The service to keep room for, and how many places of this part: for classes whose aim is
        a start sooner than a machine boots, as many as measured arrivals justify."""
        operator, wall = self._shared.operator, clock.wall()
        arrivals: list[int] = []
        model = None
        boot = max(
            (machine_type.startup for machine_type in self._shared.machine_types.values()),
            default=clock.ZERO,
        )
        for job in self._shared.view.jobs.values():
            within = self._shared.start_within(job.spec)
            # Boots take up to half as long again as they nominally do.
            if within is None or within > boot * 1.5 or not job.spec.service:
                continue
            if model is None or job.at > model.at:
                model = job
            if wall - job.at < operator.spare_window:
                arrivals.append(job.spec.task_count)
        if model is None:
            return None, 0
        # Only parts that can host it cheaply keep room for it.
        machine_types = self._shared.machine_types
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
        if part not in hosts:
            return None, 0
        parts = len(hosts)
        return model, policy.warm_places(
            arrivals, boot * operator.boot_factor, operator.spare_window, parts, operator.spare_most
        )

    def available(self, runtime: PartRuntime, model: Job, fresh: list[placing.Room]) -> int:
        """Places that are free, or that work which may be stopped for it holds."""
        index, have = runtime.by_machine(), 0
        dear = policy.expensive_machine_types(
            model, self._shared.machine_types.values(), self._shared.operator.dear, runtime.part
        )
        for room in runtime.rooms() + [replace(room) for room in fresh]:
            if (
                not placing.allowed(model, room.machine_type, room.zone, room.spot)
                or room.machine_type in dear
            ):
                continue
            for key, (work, _) in index.get(room.id, {}).items():
                job = self._shared.view.jobs.get(key[0])
                if job is None or job.spec.priority < model.spec.priority:
                    room.give(work.need)
            have += room.count(model.spec.need)
        return have - sum(item.count for item in runtime.queue.pending() if item.job.spec.service)
