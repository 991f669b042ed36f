"""Fault injection for a deployment in memory.

There are outages, network partitions, hung and broken machines, and late messages. Each method runs
for as long as its fault lasts and ends the fault before it returns.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from roadbend.fakes.cloud import FakeCloud
    from roadbend.fakes.network import Network
    from roadbend.fakes.state import FakeStateService
    from roadbend.fakes.worker import FakeWorker
    from roadbend.settings import PlatformSettings

# The bounds for the delay of a direct command, in seconds.
MIN_COMMAND_DELAY_S = 2.0
MAX_COMMAND_DELAY_S = 16.0
# How many copies of heartbeats are kept at most for a partition's next leader, and the interval of
# the checks for a new leader, in seconds.
MAX_COPIES = 400
LEADER_POLL_INTERVAL_S = 0.05


class FaultInjection:
    """A mixin of `World`: each method injects a fault for `length` seconds."""

    network: Network
    state: FakeStateService
    cloud: FakeCloud
    nursery: trio.Nursery
    count: int
    call: Callable[..., Awaitable[tuple[int, Any]]]
    workers: Callable[[], list[FakeWorker]]
    broken_machines: set[str]
    zones: tuple[str, ...]
    _base_settings: PlatformSettings
    # Called for every direct command, see `FakeWorker.command_delay`.
    _command_delay: Callable[[], float | None] | None = None
    # Called with the machine and the body of every direct command that was executed.
    _copy_command: Callable[[str, dict[str, Any]], None] | None = None

    async def outage(self, length: float) -> None:
        """Take the state store down; every lease is renewed at the end."""
        self.state.down = True
        await trio.sleep(length)
        self.state.end_outage()

    async def refuse(self, index: int, length: float) -> None:
        """Let the state store refuse one controller, whose leases expire meanwhile."""
        self.state.refused.add(f"node-{index}")
        await trio.sleep(length)
        self.state.refused.discard(f"node-{index}")

    async def block_pairs(self, pairs: list[tuple[str, str]], length: float) -> None:
        """Block all traffic between pairs of hosts."""
        for pair in pairs:
            self.network.block(*pair)
        await trio.sleep(length)
        for pair in pairs:
            self.network.unblock(*pair)

    async def isolate_controller(self, index: int, length: float) -> None:
        """Partition a controller from the state store and its peers, not from workers and users."""
        others = [f"node-{n}" for n in range(self.count) if n != index]
        await self.block_pairs([(f"node-{index}", other) for other in ("state", *others)], length)

    async def isolate_zone(self, index: int, length: float) -> None:
        """Partition a zone's controller from the state store, the cloud and its peers.

        The zone's machines are partitioned from the peers as well; users still reach everything.
        """
        inside = [m.id for m in self.cloud.machines.values() if m.zone == self.zones[index]]
        others = [f"node-{n}" for n in range(self.count) if n != index]
        pairs = [(f"node-{index}", other) for other in ("state", "cloud", *others)]
        await self.block_pairs(pairs + [(m, o) for m in inside for o in others], length)

    async def block_inbound(self, machines: list[str], length: float) -> None:
        """Block traffic to machines: heartbeats arrive; answers and direct commands are lost."""
        self.network.inbound_blocked |= set(machines)
        await trio.sleep(length)
        self.network.inbound_blocked -= set(machines)

    async def block_outbound(self, machines: list[str], length: float) -> None:
        """Keep machines from reaching controllers, while direct commands reach them."""
        for machine in machines:
            self.network.block_outbound(machine)
        await trio.sleep(length)
        self.network.outbound_blocked -= set(machines)

    async def hold(self, directions: list[tuple[str, str]], length: float) -> None:
        """Hold packets back; they arrive late.

        Each direction is a pair of the sending and the receiving host.
        """
        for direction in directions:
            self.network.hold(*direction)
        await trio.sleep(length)
        for direction in directions:
            self.network.release(*direction)

    async def hang(self, machines: list[str], length: float) -> None:
        """Hang machines: they do nothing, and continue afterwards where they were."""
        async with trio.open_nursery() as nursery:
            for worker in self.workers():
                if worker.machine in machines:
                    nursery.start_soon(worker.hang, length)

    async def break_machines(self, machines: list[str], length: float) -> None:
        """Let every task fail that machines start; the tasks that run there already go on."""
        broken = [worker for worker in self.workers() if worker.machine in machines]
        self.broken_machines.update(machines)
        for worker in broken:
            worker.settings.broken = True
        await trio.sleep(length)
        self.broken_machines.difference_update(machines)
        for worker in broken:
            worker.settings.broken = False

    async def replay_heartbeats(self, share: float, length: float, rng: random.Random) -> None:
        """Deliver copies of a share of heartbeats again, at any controller.

        They arrive from 2 s to well over a lease late.
        """

        async def deliver(body: dict[str, Any]) -> None:
            await trio.sleep(rng.uniform(2, 2.2 * self._base_settings.lease.total_seconds()))
            await self.call(rng.randrange(self.count), "POST", "/hello", body)

        def copy(_worker: FakeWorker, body: dict[str, Any]) -> None:
            if rng.random() < share:
                self.nursery.start_soon(deliver, body)

        workers = self.workers()
        for worker in workers:
            worker.heartbeat_listeners.append(copy)
        await trio.sleep(length)
        for worker in workers:
            worker.heartbeat_listeners.remove(copy)

    async def delay_commands(self, share: float, length: float, rng: random.Random) -> None:
        """Delay a share of direct commands by 2 to 16 s; they are not answered, and arrive once.

        This includes commands to machines that are created meanwhile.
        """

        def delay() -> float | None:
            is_late = rng.random() < share
            return rng.uniform(MIN_COMMAND_DELAY_S, MAX_COMMAND_DELAY_S) if is_late else None

        self._command_delay = delay
        await trio.sleep(length)
        self._command_delay = None

    def command_delay(self) -> float | None:
        """Return how long the direct command that just arrived is delayed, in seconds, or None."""
        return None if self._command_delay is None else self._command_delay()

    async def repeat_commands(self, share: float, length: float, rng: random.Random) -> None:
        """Deliver a share of the executed direct commands once more, 2 to 16 s late.

        A copy goes to the worker that runs on the machine by then, also if it has restarted.
        """

        def copy(machine: str, body: dict[str, Any]) -> None:
            if rng.random() < share:
                delay = rng.uniform(MIN_COMMAND_DELAY_S, MAX_COMMAND_DELAY_S)
                self.nursery.start_soon(self.deliver_command_copy, machine, body, delay)

        self._copy_command = copy
        await trio.sleep(length)
        self._copy_command = None

    async def deliver_command_copy(self, machine: str, body: dict[str, Any], delay: float) -> None:
        """Deliver a direct command to a machine once more after a delay, in seconds."""
        await trio.sleep(delay)
        listed = self.cloud.machines.get(machine)
        if listed is not None and listed.status == "running" and listed.worker is not None:
            await listed.worker.receive_copy(body)

    def record_command(self, machine: str, body: dict[str, Any]) -> None:
        """Record that a machine has executed a direct command."""
        if self._copy_command is not None:
            self._copy_command(machine, body)

    async def replay_heartbeats_to_next_leader(
        self, share: float, length: float, rng: random.Random
    ) -> None:
        """Deliver copies of a share of heartbeats as soon as their zone has a new leader.

        Every controller receives them, at once and twice more within seconds.
        """
        copies: dict[str, list[dict[str, Any]]] = {zone: [] for zone in self.zones}

        def keep(_worker: FakeWorker, body: dict[str, Any]) -> None:
            if rng.random() < share:
                zone_copies = copies[body["yard"]]
                zone_copies.append(body)
                del zone_copies[:-MAX_COPIES]

        workers = self.workers()
        for worker in workers:
            worker.heartbeat_listeners.append(keep)
        terms = {zone: self._term(zone) for zone in self.zones}
        end = trio.current_time() + length
        while trio.current_time() < end:
            await trio.sleep(LEADER_POLL_INTERVAL_S)
            for zone in self.zones:
                if self._term(zone) != terms[zone]:
                    terms[zone], bodies, copies[zone] = self._term(zone), copies[zone], []
                    self.nursery.start_soon(self._deliver_copies, bodies, rng)
        for worker in workers:
            worker.heartbeat_listeners.remove(keep)

    def _term(self, zone: str) -> int:
        value = self.state.value(f"r/term/{zone}")
        return 0 if value is None else int(value["n"])

    async def _deliver_copies(self, bodies: list[dict[str, Any]], rng: random.Random) -> None:
        for pause in (0.0, rng.uniform(0.1, 1.0), rng.uniform(1.0, 3.0)):
            await trio.sleep(pause)
            for body in bodies:
                for index in range(self.count):
                    self.nursery.start_soon(self.call, index, "POST", "/hello", body)
