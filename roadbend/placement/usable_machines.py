"""The machines of a partition that may be given tasks, with their free capacity."""

from collections.abc import Iterable
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.cloud.messages import MachineType
from roadbend.fleet.machines import Machine
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE, FreeCapacity
from roadbend.placement.machine_registry import MachineRegistry
from roadbend.placement.partition_records import PartitionRecords
from roadbend.store.records import Resources

# A machine that was silent for this many heartbeat intervals is given no tasks.
SILENT_INTERVALS = 2.2


class UsableMachines:
    """Computes the free capacities of one partition's machines."""

    def __init__(self, records: PartitionRecords, registry: MachineRegistry) -> None:
        self._records, self._registry, self._context = records, registry, records.context

    def capacities(
        self, ended: Iterable[TaskKey] = (), at_least: Resources | None = None
    ) -> list[FreeCapacity]:
        """Return the machines that may be given tasks, with what the records leave free on them.

        `ended`: attempts that the transaction being built removes. `at_least`: machines
        on which less is free are left out.
        """
        versions = self._context.view.machine_versions.get(self._records.partition, {})
        released = self._released(ended)
        capacities = []
        for machine, machine_type in self._usable_with_types():
            version = versions.get(machine.id, 0)
            if machine.free is None or machine.free[0] != version:
                machine.free = (version, *self._left_by_records(machine.id, machine_type.capacity))
            _, cpus, gpus, memory = machine.free
            if machine.id in released:
                cpus, gpus, memory = _with_released(cpus, gpus, memory, released[machine.id])
            if at_least is not None and (
                at_least.gpus > gpus + RESOURCE_TOLERANCE
                or at_least.cpus > cpus + RESOURCE_TOLERANCE
                or at_least.memory > memory + RESOURCE_TOLERANCE
            ):
                continue
            capacities.append(
                FreeCapacity(
                    machine.id,
                    machine.machine_type,
                    machine.zone,
                    machine.spot,
                    cpus,
                    gpus,
                    memory,
                    machine.images,
                    machine_type.capacity,
                    0.0,
                    machine_type.spot_price if machine.spot else machine_type.price,
                    machine_type.fetch_gb_per_s,
                )
            )
        return capacities

    def _usable_with_types(self) -> list[tuple[Machine, MachineType]]:
        """Return the machines that may be given tasks, each with its type."""
        now, machine_types = clock.now(), self._context.machine_types
        silent_after = self._context.settings.heartbeat_interval * SILENT_INTERVALS
        return [
            (machine, machine_type)
            for machine in self._registry.by_id.values()
            if (machine_type := machine_types.get(machine.machine_type)) is not None
            and self.is_usable(machine, now, silent_after)
        ]

    def is_usable(self, machine: Machine, now: datetime, silent_after: timedelta) -> bool:
        """Return whether a machine may be given tasks."""
        lifecycle, token = machine.lifecycle, machine.token
        return (
            lifecycle.accepts_tasks(now)
            and not lifecycle.fencing
            and machine.unrecorded_tasks == 0
            # Until a machine's heartbeats carry our token, they may be late copies of former
            # ones; those of a machine created in this term that registers now can't be.
            and (token.confirmed or token.newly_created)
            and machine.contact.is_responsive(now, silent_after)
        )

    def _released(self, ended: Iterable[TaskKey]) -> dict[str, list[Resources]]:
        """Return the resources that ended attempts release, by machine."""
        released: dict[str, list[Resources]] = {}
        job_slices = self._records.job_slices()
        for key in ended:
            job_slice = job_slices.get(key[0])
            attempt = job_slice.attempts.get(key[1]) if job_slice is not None else None
            if job_slice is not None and attempt is not None:
                released.setdefault(attempt.machine, []).append(job_slice.resources)
        return released

    def _left_by_records(self, machine: str, total: Resources) -> tuple[float, float, float]:
        """Return what the records leave free on a machine: CPUs, GPUs and memory."""
        cpus, gpus, memory = total.cpus, total.gpus, total.memory
        for job_slice, _ in self._records.attempts_by_machine().get(machine, {}).values():
            cpus -= job_slice.resources.cpus
            gpus -= job_slice.resources.gpus
            memory -= job_slice.resources.memory
        return cpus, gpus, memory


def _with_released(
    cpus: float, gpus: float, memory: float, released: list[Resources]
) -> tuple[float, float, float]:
    """Return what is free on a machine once attempts with these resources have ended."""
    for resources in released:
        cpus += resources.cpus
        gpus += resources.gpus
        memory += resources.memory
    return cpus, gpus, memory
