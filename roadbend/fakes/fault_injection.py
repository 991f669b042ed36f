"""Fault injection for a deployment in memory: outages, network partitions, hung machines, and late
messages. Each method runs for as long as its fault lasts and ends the fault before it returns.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from roadbend.fakes.cloud import FakeCloud
    from roadbend.fakes.network import Network
    from roadbend.fakes.state import FakeStateService
    from roadbend.fakes.worker import FakeWorker
    from roadbend.settings import PlatformSettings

# How late a direct command or a copy of a report may come at the least, in seconds.
LATE_AT_LEAST = 2.0
# The longest time that a direct command is held up.
LATEST_COMMAND = 16.0
# Copies kept for the next owner of a partition, and how often it is looked whether there is one.
MAX_COPIES = 400
OWNER_POLL = 0.05


class FaultInjection:
    """A mixin of `World`."""

    network: Network
    state: FakeStateService
    cloud: FakeCloud
    nursery: trio.Nursery
    count: int
    call: Callable[..., Awaitable[tuple]]
    workers: Callable[[], list[FakeWorker]]
    zones: tuple[str, ...]
    _sample: PlatformSettings
    # Asked about every direct command, see `FakeWorker.command_delay`.
    _command_delay: Callable[[], float | None] | None = None

    async def outage(self, length: float) -> None:
        self.state.down = True
        await trio.sleep(length)
        self.state.end_outage()

    async def refuse(self, at: int, length: float) -> None:
        """The state service refuses one controller alone; its leases run out."""
        self.state.refused.add(f"node-{at}")
        await trio.sleep(length)
        self.state.refused.discard(f"node-{at}")

    async def block_pairs(self, pairs: list[tuple[str, str]], length: float) -> None:
        for pair in pairs:
            self.network.block(*pair)
        await trio.sleep(length)
        for pair in pairs:
            self.network.unblock(*pair)

    async def isolate_controller(self, at: int, length: float) -> None:
        """It loses the state service and the other controllers, not its workers or users."""
        others = [f"node-{n}" for n in range(self.count) if n != at]
        await self.block_pairs([(f"node-{at}", other) for other in ("state", *others)], length)

    async def isolate_zone(self, at: int, length: float) -> None:
        inside = [m.id for m in self.cloud.machines.values() if m.zone == self.zones[at]]
        others = [f"node-{n}" for n in range(self.count) if n != at]
        pairs = [(f"node-{at}", other) for other in ("state", "cloud", *others)]
        await self.block_pairs(pairs + [(m, o) for m in inside for o in others], length)

    async def block_inbound(self, machines: list[str], length: float) -> None:
        """What they report arrives; answers and direct commands are lost."""
        self.network.inbound_blocked |= set(machines)
        await trio.sleep(length)
        self.network.inbound_blocked -= set(machines)

    async def block_outbound(self, machines: list[str], length: float) -> None:
        """They reach no controller, while direct commands reach them."""
        for machine in machines:
            self.network.block_outbound(machine)
        await trio.sleep(length)
        self.network.outbound_blocked -= set(machines)

    async def hold(self, ways: list[tuple[str, str]], length: float) -> None:
        """Packets are held back, and arrive late."""
        for way in ways:
            self.network.hold(*way)
        await trio.sleep(length)
        for way in ways:
            self.network.release(*way)

    async def hang(self, machines: list[str], length: float) -> None:
        async with trio.open_nursery() as nursery:
            for worker in self.workers():
                if worker.machine in machines:
                    nursery.start_soon(worker.hang, length)

    async def replay_heartbeats(self, share: float, length: float, rng: random.Random) -> None:
        """Copies of reports arrive again, from 2 s to well over a lease later, at any
        controller.
        """

        async def again(body: dict) -> None:
            await trio.sleep(rng.uniform(2, 2.2 * self._sample.lease.total_seconds()))
            await self.call(rng.randrange(self.count), "POST", "/hello", body)

        def see(_worker, body: dict) -> None:
            if rng.random() < share:
                self.nursery.start_soon(again, body)

        touched = self.workers()
        for worker in touched:
            worker.heartbeat_listeners.append(see)
        await trio.sleep(length)
        for worker in touched:
            worker.heartbeat_listeners.remove(see)

    async def delay_commands(self, share: float, length: float, rng: random.Random) -> None:
        """That share of direct commands is held up on its way, unanswered, and arrives once, 2 to
        16 s late; also on machines that come up meanwhile.
        """

        def delay() -> float | None:
            late = rng.random() < share
            return rng.uniform(LATE_AT_LEAST, LATEST_COMMAND) if late else None

        self._command_delay = delay
        await trio.sleep(length)
        self._command_delay = None

    def command_delay(self) -> float | None:
        """How long the direct command that just came is held up; None: not at all."""
        return None if self._command_delay is None else self._command_delay()

    async def replay_heartbeats_to_next_leader(
        self, share: float, length: float, rng: random.Random
    ) -> None:
        """Copies of reports are kept until their zone has its next owner, and then reach every
        controller, at once and again a moment later.
        """
        copies: dict[str, list[dict]] = {zone: [] for zone in self.zones}

        def keep(_worker: FakeWorker, body: dict) -> None:
            if rng.random() < share:
                rows = copies[body["yard"]]
                rows.append(body)
                del rows[:-MAX_COPIES]

        touched = self.workers()
        for worker in touched:
            worker.heartbeat_listeners.append(keep)
        terms = {zone: self._term(zone) for zone in self.zones}
        end = trio.current_time() + length
        while trio.current_time() < end:
            await trio.sleep(OWNER_POLL)
            for zone in self.zones:
                if self._term(zone) != terms[zone]:
                    terms[zone], rows, copies[zone] = self._term(zone), copies[zone], []
                    self.nursery.start_soon(self._deliver_copies, rows, rng)
        for worker in touched:
            worker.heartbeat_listeners.remove(keep)

    def _term(self, zone: str) -> int:
        value = self.state.value(f"r/term/{zone}")
        return 0 if value is None else value["n"]

    async def _deliver_copies(self, rows: list[dict], rng: random.Random) -> None:
        for pause in (0.0, rng.uniform(0.1, 1.0), rng.uniform(1.0, 3.0)):
            await trio.sleep(pause)
            for body in rows:
                for at in range(self.count):
                    self.nursery.start_soon(self.call, at, "POST", "/hello", body)
