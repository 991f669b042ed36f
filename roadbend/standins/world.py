"""A whole deployment in memory: controllers, stand-ins and a user, for stories on a mock clock."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import trio

from roadbend import clock
from roadbend.http.client import Client, NoAnswer
from roadbend.http.server import Server
from roadbend.node import Node
from roadbend.settings import Operator, Peer, Settings, Team
from roadbend.standins.cloud import CloudStandIn
from roadbend.standins.network import Network
from roadbend.standins.state import StateStandIn
from roadbend.standins.worker import Board, WorkerStandIn

ZONES = ("east", "north", "west")
RIG = {
    "name": "g2", "vcpus": 24.0, "gpus": 2.0, "memoryGb": 144.0, "cacheGb": 100.0, "pullGbPerS": 1.0,
    "price": 6.0, "lowPrice": 2.0, "startupS": 10.0, "yards": list(ZONES),
}  # fmt: skip


def settings_for(at: int, count: int, **changes) -> Settings:
    names = [f"node-{n}" for n in range(count)]
    values = dict(
        name=names[at],
        zone=ZONES[at],
        listen=f"{names[at]}:80",
        back=f"{names[at]}:81",
        peers=tuple(Peer(n, ZONES[i], f"{n}:81") for i, n in enumerate(names) if i != at),
        cloud="cloud:1",
        state="state:1",
        zones=ZONES[:count],
        teams={"red": Team("red", 0, 0, 4, 6), "blue": Team("blue", 0, 0, 4, 12)},
        clock_off=timedelta(milliseconds=50),
        report_every=timedelta(seconds=2.5),
        lease=timedelta(seconds=18),
        cancel_within=timedelta(seconds=38),
        state_rps=250.0,
        state_write_rps=60.0,
        value_bytes=32 * 1024,
        txn_ops=16,
        cloud_rps=6.0,
        list_lag=timedelta(seconds=5),
        sockets=1000,
    )
    return Settings(**{**values, **changes})


def job(number: int, **changes) -> dict[str, Any]:
    body = {
        "id": f"run-{number:06d}", "lane": "plans", "crew": "red", "shape": "batch", "rank": "normal", "legs": 1,
        "vcpus": 8.0, "gpus": 1.0, "memoryGb": 40.0, "bundle": "img-1", "imageGb": 1.0, "rigs": None, "yard": None,
        "together": False, "apart": False, "loaners": True, "expectedS": 20.0, "milestoneS": 0.0, "stowS": 0.0,
        "dueS": 300.0,
    }  # fmt: skip
    return {**body, **changes}


class World:
    def __init__(self, nursery: trio.Nursery, count: int, op: Operator, capacity: int, changes: dict):
        self.nursery, self.count, self.op, self._changes = nursery, count, op, changes
        self.network = Network(nursery)
        self.state = StateStandIn()
        self.board = Board()
        self.broken_machines: set[str] = set()
        self.cloud = CloudStandIn(nursery, [RIG], capacity, self._worker)
        self.nodes: dict[str, Node] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.addresses = {f"node-{n}": f"node-{n}:80" for n in range(count)}
        self._boots = 0
        for host, service in (("state", self.state), ("cloud", self.cloud)):
            self._serve(host, service)

    def _serve(self, host: str, service) -> None:
        async def accept(stream, source):
            await Server(lambda request: service.handle(request, source), most=256).serve(stream)

        self.network.register(f"{host}:1", host, accept)

    def _worker(self, machine: str, rig: str, zone: str, spot: bool) -> WorkerStandIn:
        return WorkerStandIn(
            self.network.port(machine), self.board, self.addresses, machine=machine, address=f"{machine}:1",
            rig=rig, zone=zone, spot=spot, broken=machine in self.broken_machines,
        )  # fmt: skip

    def start(self, at: int) -> Node:
        name = f"node-{at}"
        settings = settings_for(at, self.count, **self._changes)
        self._boots += 1
        boot = f"boot-{self._boots}"
        node = Node(settings, self.op, self.network.port(name), random.Random(self._boots), boot)
        scope = trio.CancelScope()
        self.nodes[name], self._scopes[name] = node, scope

        async def run():
            with scope:
                await node.run()

        self.nursery.start_soon(run)
        return node

    def crash(self, at: int) -> None:
        """Ends without a word: no cleaning up reaches anyone."""
        name = f"node-{at}"
        self.network.unregister(name)
        self._scopes[name].cancel()
        self.nodes.pop(name, None)

    async def call(self, at: int, method: str, path: str, body: Any = None, within: float = 5) -> tuple[int, Any]:
        client = Client(self.network.port("user"), f"node-{at}:80")
        try:
            return await client.request(method, path, body, within=timedelta(seconds=within))
        except NoAnswer:
            return 0, None
        finally:
            await client.close()

    async def submit(self, at: int, body: dict, length: float | None = 20.0) -> int:
        self.board.lengths[body["id"]] = length
        return (await self.call(at, "POST", "/v1/jobs", body))[0]

    async def status(self, at: int, name: str) -> str | None:
        status, answer = await self.call(at, "GET", f"/v1/jobs/{name}", within=2)
        return answer["status"] if status == 200 else None

    async def until(self, check, within: float, step: float = 0.25) -> bool:
        """Waits for something that is seen from outside; says whether it came in time."""
        end = trio.current_time() + within
        while trio.current_time() < end:
            result = check()
            if hasattr(result, "__await__"):
                result = await result
            if result:
                return True
            await trio.sleep(step)
        return False

    def owner(self, part: str) -> str | None:
        held = [name for name, node in self.nodes.items() if node.ownership.tenure(part)]
        return held[0] if len(held) == 1 else None

    async def settled(self) -> bool:
        return await self.until(
            lambda: (
                all(self.owner(zone) for zone in ZONES[: self.count])
                and all(node.up(clock.now()) for node in self.nodes.values())
            ),
            30,
        )


@asynccontextmanager
async def world(count: int = 3, capacity: int = 8, op: Operator | None = None, **changes) -> AsyncIterator[World]:
    async with trio.open_nursery() as nursery:
        made = World(nursery, count, op or Operator(), capacity, changes)
        for at in range(count):
            made.start(at)
        assert await made.settled()
        yield made
        assert made.board.broken == []
        nursery.cancel_scope.cancel()
