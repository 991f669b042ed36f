"""Machines that were created and have not registered yet."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend.cloud.messages import ListedMachine, MachineKind, MachineStatus
from roadbend.placement import machine_options
from roadbend.placement.context import ControllerContext
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.machine_options import MachineOption

# After so many times its usual boot time a machine may still come, but others are created in its
# place.
MAX_STARTUP_RATIO = 1.8
# A machine that is up a little late counts as up this soon, in seconds.
MIN_READY_IN = 1.0
# How long a machine of a type that the catalog lacks may boot.
UNKNOWN_TYPE_PATIENCE = timedelta(seconds=120)


@dataclass
class BootingMachine:
    """A machine that has not registered yet."""

    id: str
    kind: MachineKind
    since: datetime
    # First seen in the list, as running: it may as well be gone, or send its heartbeats elsewhere.
    # It counts as no capacity yet.
    orphaned: bool = False


class BootingMachines:
    """The machines of all partitions that were created and have not registered yet."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        # By partition and id.
        self._machines: dict[str, dict[str, BootingMachine]] = {}

    def record_created(
        self, partition: str, machines: Iterable[str], kind: MachineKind, now: datetime
    ) -> None:
        """Note machines that the cloud has just created."""
        for machine in machines:
            self._of(partition)[machine] = BootingMachine(machine, kind, now)

    def note_listed(self, listed: ListedMachine, now: datetime) -> None:
        """Note a machine that its leader does not know, if it boots or runs.

        It is used when it registers, and deleted when it never does.
        """
        machines = self._of(listed.zone)
        running = listed.status == MachineStatus.RUNNING
        if (running or listed.status == MachineStatus.BOOTING) and listed.id not in machines:
            kind = MachineKind(listed.machine_type, listed.spot)
            machines[listed.id] = BootingMachine(listed.id, kind, now - listed.age, running)

    def forget_registered(self, leader: PartitionLeader) -> None:
        """Forget the machines that have registered with the partition's leader."""
        machines = self._of(leader.partition)
        for machine in [machine for machine in machines if machine in leader.machines]:
            del machines[machine]

    def forget(self, partition: str, machines: Iterable[str]) -> None:
        """Forget machines that were deleted."""
        for machine in machines:
            self._of(partition).pop(machine, None)

    def capacities(self, leader: PartitionLeader, now: datetime) -> list[FreeCapacity]:
        """Return the capacity of the machines of a partition that should be up before long."""
        found = []
        for boot in self._of(leader.partition).values():
            machine_type = self._context.machine_types.get(boot.kind.machine_type)
            if machine_type is None or boot.orphaned or boot.id in leader.machines:
                continue
            age = now - boot.since
            if age > machine_type.startup * MAX_STARTUP_RATIO:
                continue
            price = machine_type.spot_price if boot.kind.spot else machine_type.price
            option = MachineOption(machine_type, boot.kind.spot, price)
            capacity = machine_options.new_machine(boot.id, option, leader.partition)
            capacity.ready_in = max(MIN_READY_IN, (machine_type.startup - age).total_seconds())
            found.append(capacity)
        return found

    def never_registered(self, leader: PartitionLeader, now: datetime) -> list[str]:
        """Return the machines of a partition that have not registered for too long.

        What was created in an earlier term may long be up, and send heartbeats here only now: the
        time counts from when the partition was acquired.
        """
        late, recorded = [], leader.records.attempts_by_machine()
        for boot in self._of(leader.partition).values():
            since = max(boot.since, leader.leadership.acquired_at)
            unheard = boot.id not in leader.machines and boot.id not in recorded
            if unheard and now - since > self._patience(boot):
                late.append(boot.id)
        return late

    def _patience(self, boot: BootingMachine) -> timedelta:
        """Return how long a machine may take until it registers."""
        operator = self._context.operator
        machine_type = self._context.machine_types.get(boot.kind.machine_type)
        patience = UNKNOWN_TYPE_PATIENCE
        if machine_type is not None:
            patience = operator.boot_patience * machine_type.startup
        return min(patience, operator.find_owner) if boot.orphaned else patience

    def _of(self, partition: str) -> dict[str, BootingMachine]:
        return self._machines.setdefault(partition, {})
