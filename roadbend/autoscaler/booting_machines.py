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

# After this many times its type's usual boot time a machine no longer counts as capacity, so that
# another one is created in its place; it may still register.
MAX_STARTUP_RATIO = 1.8
# A machine whose boot takes longer than usual is expected to be up in this many seconds.
MIN_READY_IN = 1.0
# How long a machine may take to register if the catalog lacks its type.
UNKNOWN_TYPE_TIMEOUT = timedelta(seconds=120)


@dataclass
class BootingMachine:
    """A machine that has not registered yet."""

    id: str
    kind: MachineKind
    since: datetime
    # The cloud's list showed it as running before this controller knew it. By now it may be deleted
    # or send its heartbeats to another controller, so it does not count as capacity yet.
    orphaned: bool = False


class BootingMachines:
    """The machines of all partitions that were created and have not registered yet."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        # By partition and machine id.
        self._machines: dict[str, dict[str, BootingMachine]] = {}

    def record_created(
        self, partition: str, machines: Iterable[str], kind: MachineKind, now: datetime
    ) -> None:
        """Record machines that the cloud has just created."""
        for machine_id in machines:
            self._in_partition(partition)[machine_id] = BootingMachine(machine_id, kind, now)

    def record_listed(self, listed: ListedMachine, now: datetime) -> None:
        """Record a listed machine that its leader does not know, if it boots or runs.

        It is used once it registers, and deleted if it never does.
        """
        machines = self._in_partition(listed.zone)
        running = listed.status == MachineStatus.RUNNING
        if (running or listed.status == MachineStatus.BOOTING) and listed.id not in machines:
            kind = MachineKind(listed.machine_type, listed.spot)
            machines[listed.id] = BootingMachine(listed.id, kind, now - listed.age, running)

    def remove_registered(self, leader: PartitionLeader) -> None:
        """Remove the machines that have registered with the partition's leader."""
        machines = self._in_partition(leader.partition)
        for machine_id in [machine_id for machine_id in machines if machine_id in leader.machines]:
            del machines[machine_id]

    def remove(self, partition: str, machines: Iterable[str]) -> None:
        """Remove machines that were deleted."""
        for machine_id in machines:
            self._in_partition(partition).pop(machine_id, None)

    def capacities(self, leader: PartitionLeader, now: datetime) -> list[FreeCapacity]:
        """Return the capacity of a partition's machines that are expected to be up soon."""
        found = []
        for machine in self._in_partition(leader.partition).values():
            machine_type = self._context.machine_types.get(machine.kind.machine_type)
            if machine_type is None or machine.orphaned or machine.id in leader.machines:
                continue
            age = now - machine.since
            if age > machine_type.startup * MAX_STARTUP_RATIO:
                continue
            price = machine_type.spot_price if machine.kind.spot else machine_type.price
            option = MachineOption(machine_type, machine.kind.spot, price)
            capacity = machine_options.new_machine(machine.id, option, leader.partition)
            capacity.ready_in = max(MIN_READY_IN, (machine_type.startup - age).total_seconds())
            found.append(capacity)
        return found

    def never_registered(self, leader: PartitionLeader, now: datetime) -> list[str]:
        """Return the ids of a partition's machines that failed to register in time.

        The time counts from the acquisition of the partition at the earliest: a machine that was
        created in an earlier term may be up already, but sends heartbeats to this leader only since
        then.
        """
        late, recorded = [], leader.records.attempts_by_machine()
        for machine in self._in_partition(leader.partition).values():
            since = max(machine.since, leader.leadership.acquired_at)
            is_unknown = machine.id not in leader.machines and machine.id not in recorded
            if is_unknown and now - since > self._registration_timeout(machine):
                late.append(machine.id)
        return late

    def _registration_timeout(self, machine: BootingMachine) -> timedelta:
        """Return how long a machine may take to register."""
        operator = self._context.operator
        machine_type = self._context.machine_types.get(machine.kind.machine_type)
        timeout = UNKNOWN_TYPE_TIMEOUT
        if machine_type is not None:
            timeout = operator.boot_patience * machine_type.startup
        return min(timeout, operator.find_owner) if machine.orphaned else timeout

    def _in_partition(self, partition: str) -> dict[str, BootingMachine]:
        return self._machines.setdefault(partition, {})
