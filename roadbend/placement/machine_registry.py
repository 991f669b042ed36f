"""The machines of a partition: registered, created but not registered yet, and booting."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType

from roadbend.fleet.machines import Machine
from roadbend.fleet.messages import WorkerHeartbeat
from roadbend.log import Log
from roadbend.placement.free_capacity import FreeCapacity

log = Log("placement")


class MachineRegistry:
    """The machines that one partition's leader knows."""

    def __init__(self, partition: str) -> None:
        self._partition = partition
        self._machines: dict[str, Machine] = {}
        # Created in this term and not registered yet.
        self._unregistered: set[str] = set()
        # The registered machines by id, read-only.
        self.by_id: Mapping[str, Machine] = MappingProxyType(self._machines)
        # The capacities of booting machines, as the autoscaler last reported them.
        self.booting: Sequence[FreeCapacity] = ()

    def record_created(self, machine: str) -> None:
        """Record a machine that was created in this term, unless it has registered already."""
        if machine not in self._machines:
            self._unregistered.add(machine)

    def update_booting(self, capacities: Sequence[FreeCapacity]) -> None:
        """Replace the capacities of booting machines."""
        self.booting = capacities

    def register(self, heartbeat: WorkerHeartbeat) -> Machine:
        """Add a machine on its first heartbeat."""
        machine = Machine(
            heartbeat.machine,
            heartbeat.address,
            heartbeat.machine_type,
            heartbeat.zone,
            heartbeat.spot,
        )
        machine.token.newly_created = (
            heartbeat.machine in self._unregistered
            and heartbeat.position.epoch == 1
            and not heartbeat.tasks
        )
        self._unregistered.discard(machine.id)
        self._machines[machine.id] = machine
        log.info(
            "machine-registered",
            partition=self._partition,
            machine=machine.id,
            machine_type=machine.machine_type,
            spot=machine.spot,
        )
        return machine

    def remove(self, machine: str) -> None:
        """Remove a machine that was deleted."""
        self._machines.pop(machine, None)
        self._unregistered.discard(machine)

    def invalidate_evaluation(self, machine: str) -> None:
        """Have a machine's next heartbeat evaluated in full, since it may require orders."""
        known = self._machines.get(machine)
        if known is not None:
            known.last_evaluation.invalidate()
