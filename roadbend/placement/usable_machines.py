"""The machines of a partition that may be given work, with what is free on them."""

from collections.abc import Iterable
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.autoscaler.cloud import MachineType
from roadbend.fleet.machines import Machine
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE, FreeCapacity
from roadbend.placement.machine_registry import MachineRegistry
from roadbend.placement.partition_records import PartitionRecords
from roadbend.store.records import Resources

# A machine that has not been heard for so many times the heartbeat interval gets no work.
SILENT_HEARTBEATS = 2.2


class UsableMachines:
    """Works out the free capacities of one partition."""

    def __init__(self, records: PartitionRecords, registry: MachineRegistry) -> None:
        self._records, self._registry, self._context = records, registry, records.context

    def capacities(
        self, ended: Iterable[TaskKey] = (), at_least: Resources | None = None
    ) -> list[FreeCapacity]:
        """Return the machines that may be given work, with what the records leave free on them.

        `ended`: attempts that the transaction in the making takes out of the records. `at_least`:
        leave out the machines that have less free."""
        now, machine_types = clock.now(), self._context.machine_types
        versions = self._context.view.machine_versions.get(self._records.partition, {})
        released = self._released(ended)
        silent_after = self._context.settings.heartbeat_interval * SILENT_HEARTBEATS
        capacities = []
        for machine in self._registry.by_id.values():
            machine_type = machine_types.get(machine.machine_type)
            if machine_type is None or not self.is_usable(machine, now, silent_after):
                continue
            version = versions.get(machine.id, 0)
            if machine.free is None or machine.free[0] != version:
                machine.free = (version, *self._left_by_records(machine.id, machine_type.capacity))
            _, cpus, gpus, memory = machine.free
            for resources in released.get(machine.id, ()):
                cpus += resources.cpus
                gpus += resources.gpus
                memory += resources.memory
            if at_least is not None and (
                at_least.gpus > gpus + RESOURCE_TOLERANCE
                or at_least.cpus > cpus + RESOURCE_TOLERANCE
                or at_least.memory > memory + RESOURCE_TOLERANCE
            ):
                continue
            capacities.append(_free_capacity(machine, machine_type, cpus, gpus, memory))
        return capacities

    def is_usable(self, machine: Machine, now: datetime, silent_after: timedelta) -> bool:
        """Whether a machine may be given work."""
        lifecycle, token = machine.lifecycle, machine.token
        return (
            lifecycle.draining is None
            and lifecycle.reclaim_at is None
            and not lifecycle.fencing
            and machine.unrecorded_tasks == 0
            # Until a machine has carried our token it may be a late copy of a heartbeat that we
            # see; one that was created in this term and registers now is no such thing.
            and (token.confirmed or token.newly_created)
            and machine.contact.fresh(now, silent_after)
            and len(machine.failures) < self._context.operator.error_limit
        )

    def _released(self, ended: Iterable[TaskKey]) -> dict[str, list[Resources]]:
        """Return the resources of attempts that end, by machine."""
        released: dict[str, list[Resources]] = {}
        job_slices = self._records.job_slices()
        for key in ended:
            job_slice = job_slices.get(key[0])
            attempt = job_slice.attempts.get(key[1]) if job_slice is not None else None
            if job_slice is not None and attempt is not None:
                released.setdefault(attempt.machine, []).append(job_slice.resources)
        return released

    def _left_by_records(self, machine: str, whole: Resources) -> tuple[float, float, float]:
        """Return what the records leave free of a machine: CPUs, GPUs and memory."""
        cpus, gpus, memory = whole.cpus, whole.gpus, whole.memory
        for job_slice, _ in self._records.attempts_by_machine().get(machine, {}).values():
            cpus -= job_slice.resources.cpus
            gpus -= job_slice.resources.gpus
            memory -= job_slice.resources.memory
        return cpus, gpus, memory


def _free_capacity(
    machine: Machine, machine_type: MachineType, cpus: float, gpus: float, memory: float
) -> FreeCapacity:
    """Describe a machine with what is free on it."""
    return FreeCapacity(
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
