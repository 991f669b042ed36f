"""Asking a silent machine itself."""

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

# Machines asked at once; each takes a connection.
MAX_PROBES = 96
# How often a machine is asked, and how long each answer may take.
PROBE_TRIES = 2
PROBE_TIMEOUT = timedelta(seconds=0.7)
OK = 200


@dataclass(frozen=True)
class Probe:
    """What asking a silent machine brought."""

    name: str
    answered: bool
    # The cloud lists it as failed.
    failed: bool
    took: timedelta
    # When it last received an answer of ours before it was asked.
    acknowledged_at: datetime | None
    # That, or when our leadership began.
    silent_since: datetime

    def silence(self) -> timedelta:
        """Return how long the machine has been silent by now."""
        return clock.now() - self.silent_since


@dataclass(frozen=True)
class _KnownBefore:
    """What was known of a machine before it was asked."""

    machine: Machine
    position: HeartbeatPosition
    incarnation: int
    token_confirmed: bool


class MachineProbes:
    """Asks machines, so many at once."""

    def __init__(self, net: Net, inventory: CloudInventory) -> None:
        self._net, self._inventory = net, inventory
        self._connections = trio.CapacityLimiter(MAX_PROBES)

    async def ask(self, leader: Leader, name: str) -> Probe:
        """Ask a machine once there is a connection for it."""
        async with self._connections:
            machine, listed = leader.machines.get(name), self._inventory.rows.get(name)
            address = machine.address if machine else (listed.address if listed else "")
            failed = self._inventory.is_failed(name)
            began = clock.now()
            acknowledged_at = machine.contact.acknowledged_at if machine else None
            answered = bool(address) and not failed and await self._inspect(leader, name, address)
            took = clock.now() - began
        silent_since = acknowledged_at or leader.leadership.acquired_at
        return Probe(name, answered, failed, took, acknowledged_at, silent_since)

    async def _inspect(self, leader: Leader, name: str, address: str) -> bool:
        """Ask the machine itself; say whether it answered.

        Its answer is newer than all that it said before we asked. If it counts from further back,
        or shows a lower token than it has carried, it has restarted.
        """
        known = _known_before(leader.machines.get(name))
        for _ in range(PROBE_TRIES):
            heartbeat = await inspect_machine(self._net, address, name)
            if heartbeat is None:
                continue
            if known is not None and leader.machines.get(name) is known.machine:
                _take_answer(leader, known, heartbeat)
            return True
        return False


async def inspect_machine(net: Net, address: str, name: str) -> WorkerHeartbeat | None:
    """Ask the machine at an address once; None unless the machine of this name answers."""
    client = Client(net, address, max_connections=1, max_idle=0)
    try:
        status, body = await client.request("GET", "/inspect", within=PROBE_TIMEOUT)
        heartbeat = messages.parse_heartbeat(body) if status == OK else None
    except (NoAnswerError, MalformedError):
        return None
    return heartbeat if heartbeat is not None and heartbeat.machine == name else None


def _known_before(machine: Machine | None) -> _KnownBefore | None:
    if machine is None:
        return None
    token = machine.token
    return _KnownBefore(machine, machine.contact.position, token.incarnation, token.confirmed)


def _take_answer(leader: Leader, known: _KnownBefore, heartbeat: WorkerHeartbeat) -> None:
    """Note what a machine's answer says, unless it has restarted since it was asked."""
    machine = known.machine
    if machine.token.incarnation != known.incarnation:
        return
    machine.contact.suspected = False
    if heartbeat.position <= known.position or (
        known.token_confirmed and heartbeat.token < leader.heartbeats.token(machine)
    ):
        leader.heartbeats.begin_incarnation(machine, heartbeat.position)
