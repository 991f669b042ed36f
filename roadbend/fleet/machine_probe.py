"""Probes of silent machines."""

from dataclasses import dataclass
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet import messages
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.leader import Leader
from roadbend.fleet.machines import Machine
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError

# Machines probed at once; each needs a connection.
MAX_PROBES = 96
# Attempts per probe, and the time that each may take.
PROBE_ATTEMPTS = 2
PROBE_TIMEOUT = timedelta(seconds=0.7)
OK = 200


@dataclass(frozen=True)
class Probe:
    """The result of probing a silent machine."""

    machine_id: str
    answered: bool
    # The cloud lists it as failed.
    failed: bool
    duration: timedelta
    # When a response had last reached it before the probe.
    acknowledged_at: datetime | None
    # The same, or else when the leadership was acquired.
    silent_since: datetime

    def silence(self) -> timedelta:
        """Return how long the machine has been silent by now."""
        return clock.now() - self.silent_since


@dataclass(frozen=True)
class _MachineSnapshot:
    """What was known of a machine before it was probed."""

    machine: Machine
    position: HeartbeatPosition
    incarnation: int
    token_confirmed: bool


class MachineProbes:
    """Probes machines, a limited number at once."""

    def __init__(self, net: Net, inventory: CloudInventory) -> None:
        self._net, self._inventory = net, inventory
        self._connections = trio.CapacityLimiter(MAX_PROBES)

    async def probe(self, leader: Leader, machine_id: str) -> Probe:
        """Probe a machine once a connection is available."""
        async with self._connections:
            machine, listed = leader.machines.get(machine_id), self._inventory.rows.get(machine_id)
            address = machine.address if machine else (listed.address if listed else "")
            failed = self._inventory.is_failed(machine_id)
            began = clock.now()
            acknowledged_at = machine.contact.acknowledged_at if machine else None
            answered = (
                bool(address) and not failed and await self._inspect(leader, machine_id, address)
            )
            duration = clock.now() - began
        silent_since = acknowledged_at or leader.leadership.acquired_at
        return Probe(machine_id, answered, failed, duration, acknowledged_at, silent_since)

    async def _inspect(self, leader: Leader, machine_id: str, address: str) -> bool:
        """Inspect a machine; return whether it answered.

        The response is newer than all heartbeats that arrived before the probe. If its position is
        not higher than theirs, or its token is lower than the one that the machine has confirmed,
        the machine has restarted.
        """
        known = _snapshot(leader.machines.get(machine_id))
        for _ in range(PROBE_ATTEMPTS):
            heartbeat = await inspect_machine(self._net, address, machine_id)
            if heartbeat is None:
                continue
            if known is not None and leader.machines.get(machine_id) is known.machine:
                _record_answer(leader, known, heartbeat)
            return True
        return False


async def inspect_machine(net: Net, address: str, machine_id: str) -> WorkerHeartbeat | None:
    """Inspect the machine at an address once; None unless the machine of this id answers."""
    client = Client(net, address, max_connections=1, max_idle=0)
    try:
        status, body = await client.request("GET", "/inspect", within=PROBE_TIMEOUT)
        heartbeat = messages.parse_heartbeat(body) if status == OK else None
    except (NoAnswerError, MalformedError):
        return None
    return heartbeat if heartbeat is not None and heartbeat.machine == machine_id else None


def _snapshot(machine: Machine | None) -> _MachineSnapshot | None:
    if machine is None:
        return None
    token = machine.token
    return _MachineSnapshot(machine, machine.contact.position, token.incarnation, token.confirmed)


def _record_answer(leader: Leader, known: _MachineSnapshot, heartbeat: WorkerHeartbeat) -> None:
    """Record a machine's response, unless its incarnation has changed since the probe began."""
    machine = known.machine
    if machine.token.incarnation != known.incarnation:
        return
    machine.contact.suspected = False
    if heartbeat.position <= known.position or (
        known.token_confirmed and heartbeat.token < leader.heartbeats.token(machine)
    ):
        leader.heartbeats.begin_incarnation(machine, heartbeat.position)
