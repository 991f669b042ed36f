"""A whole deployment in memory: controllers, stand-ins and a user, for stories on a mock clock."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import trio

from roadbend import clock
from roadbend.fakes.cloud import FakeCloud
from roadbend.fakes.network import Network
from roadbend.fakes.previous_version import PreviousVersionNode
from roadbend.fakes.rules import FIELDS, Rules
from roadbend.fakes.state import FakeStateService
from roadbend.fakes.worker import Board, FakeWorker
from roadbend.http.client import Client, NoAnswer
from roadbend.http.server import Server
from roadbend.node import Node
from roadbend.settings import Operator, Peer, Settings, Team

ZONES = ("east", "north", "west")
MACHINE_TYPE = {
    "name": "g2",
    "vcpus": 24.0,
    "gpus": 2.0,
    "memoryGb": 144.0,
    "cacheGb": 100.0,
    "pullGbPerS": 1.0,
    "price": 6.0,
    "lowPrice": 2.0,
    "startupS": 10.0,
    "yards": list(ZONES),
}


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
        "id": f"run-{number:06d}",
        "lane": "plans",
        "crew": "red",
        "shape": "batch",
        "rank": "normal",
        "legs": 1,
        "vcpus": 8.0,
        "gpus": 1.0,
        "memoryGb": 40.0,
        "bundle": "img-1",
        "imageGb": 1.0,
        "rigs": None,
        "yard": None,
        "together": False,
        "apart": False,
        "loaners": True,
        "expectedS": 20.0,
        "milestoneS": 0.0,
        "stowS": 0.0,
        "dueS": 300.0,
    }
    return {**body, **changes}


class World:
    def __init__(
        self, nursery: trio.Nursery, count: int, operator: Operator, capacity: int, changes: dict
    ):
        self.nursery, self.count, self.operator, self._changes = nursery, count, operator, changes
        self.network = Network(nursery)
        sample = settings_for(0, count, **changes)
        self.state = FakeStateService(value_bytes=sample.value_bytes, txn_ops=sample.txn_ops)
        self.rules = Rules(
            [MACHINE_TYPE],
            sample.teams.values(),
            sample.cancel_within.total_seconds(),
            trio.current_time,
        )
        self.board = Board(self.rules)
        self._sample = sample
        self.broken_machines: set[str] = set()
        self.cloud = FakeCloud(nursery, [MACHINE_TYPE], capacity, self._worker)
        self.nodes: dict[str, Node] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.addresses = {f"node-{n}": f"node-{n}:80" for n in range(count)}
        self._boots = 0
        for host, service in (("state", self.state), ("cloud", self.cloud)):
            self._serve(host, service)
        nursery.start_soon(self._look)

    async def _look(self) -> None:
        while True:
            await trio.sleep(0.5)
            self.rules.look(*self.machines())

    def machines(self) -> tuple[set[str], list]:
        """Machines that hang, and those that work with what is free on them."""
        hung, rooms = set(), []
        for machine in self.cloud.machines.values():
            worker = machine.worker
            if worker is None or machine.status != "running":
                continue
            if worker.hung:
                hung.add(machine.id)
                continue
            free = [MACHINE_TYPE["vcpus"], MACHINE_TYPE["gpus"], MACHINE_TYPE["memoryGb"]]
            for task in worker.tasks.values():
                case = self.rules.cases.get(task.task_index.rpartition("/")[0])
                if task.state != "ended" and case is not None:
                    free = [f - n for f, n in zip(free, case.need, strict=True)]
            if worker.place.machine not in self.broken_machines:
                rooms.append((worker.place, tuple(free)))
        return hung, rooms

    # Troubles; each ends what it began.

    def workers(self) -> list[FakeWorker]:
        return [
            m.worker
            for m in self.cloud.machines.values()
            if m.worker is not None and m.status == "running"
        ]

    async def outage(self, length: float) -> None:
        self.state.down = True
        await trio.sleep(length)
        self.state.restore()

    async def refuse(self, at: int, length: float) -> None:
        """The state service refuses one controller alone; its leases run out."""
        self.state.refused.add(f"node-{at}")
        await trio.sleep(length)
        self.state.refused.discard(f"node-{at}")

    async def cut_pairs(self, pairs: list[tuple[str, str]], length: float) -> None:
        for pair in pairs:
            self.network.cut(*pair)
        await trio.sleep(length)
        for pair in pairs:
            self.network.heal(*pair)

    async def cut_controller(self, at: int, length: float) -> None:
        """It loses the state service and the other controllers, not its workers or users."""
        others = [f"node-{n}" for n in range(self.count) if n != at]
        await self.cut_pairs([(f"node-{at}", other) for other in ("state", *others)], length)

    async def cut_zone(self, at: int, length: float) -> None:
        inside = [m.id for m in self.cloud.machines.values() if m.zone == ZONES[at]]
        others = [f"node-{n}" for n in range(self.count) if n != at]
        pairs = [(f"node-{at}", other) for other in ("state", "cloud", *others)]
        await self.cut_pairs(pairs + [(m, o) for m in inside for o in others], length)

    async def deafen(self, machines: list[str], length: float) -> None:
        """What they report arrives; answers and direct commands are lost."""
        self.network.deaf |= set(machines)
        await trio.sleep(length)
        self.network.deaf -= set(machines)

    async def mute(self, machines: list[str], length: float) -> None:
        """They reach no controller, while direct commands reach them."""
        for machine in machines:
            self.network.silence(machine)
        await trio.sleep(length)
        self.network.mute -= set(machines)

    async def hold(self, ways: list[tuple[str, str]], length: float) -> None:
        """Packets are held back, and arrive late."""
        for way in ways:
            self.network.hold(*way)
        await trio.sleep(length)
        for way in ways:
            self.network.let_go(*way)

    async def hang(self, machines: list[str], length: float) -> None:
        async with trio.open_nursery() as nursery:
            for worker in self.workers():
                if worker.machine in machines:
                    nursery.start_soon(worker.hang, length)

    async def late_reports(self, share: float, length: float, rng: random.Random) -> None:
        """Copies of reports arrive again, from 2 s to well over a lease later, at any
        controller."""

        async def again(body: dict) -> None:
            await trio.sleep(rng.uniform(2, 2.2 * self._sample.lease.total_seconds()))
            await self.call(rng.randrange(self.count), "POST", "/hello", body)

        def see(_worker, body: dict) -> None:
            if rng.random() < share:
                self.nursery.start_soon(again, body)

        touched = self.workers()
        for worker in touched:
            worker.sent.append(see)
        await trio.sleep(length)
        for worker in touched:
            worker.sent.remove(see)

    async def cancel_now(self, names: list[str], hang_s: float = 0.0) -> None:
        """Users call off jobs that run, within a fifth of a second; with `hang_s`, up to eight of
        their machines hang that long."""
        homes = sorted(
            {m for name in names for t in self.board.running(name) for m in self.board.where[t]}
        )[:8]
        async with trio.open_nursery() as nursery:
            if hang_s:
                nursery.start_soon(self.hang, homes, hang_s)
            for at, name in enumerate(names):
                nursery.start_soon(self._cancel_after, name, 0.2 * at / len(names))

    async def _cancel_after(self, name: str, wait: float) -> None:
        await trio.sleep(wait)
        await self.withdrawn(name, 240)

    async def withdrawn(self, name: str, within: float = 60) -> None:
        """A user repeats it until it is answered, here and there."""

        async def told() -> bool:
            for at in range(self.count):
                if (await self.call(at, "POST", f"/v1/jobs/{name}/withdraw", {}))[0] == 200:
                    return True
            return False

        assert await self.until(told, within, 1.0), name

    async def cancel_at_end(self, names: list[str]) -> None:
        """Jobs are called off, asked after and submitted again at the moment at which their last
        task ends."""
        end = trio.Event()

        def completed(task: str) -> None:
            name = task.rpartition("/")[0]
            case = self.rules.cases.get(name)
            if name in names and len(case.completed) >= case.body["legs"]:
                for at in range(self.count):
                    for method, path, body in (
                        ("POST", f"/v1/jobs/{name}/withdraw", {}),
                        ("GET", f"/v1/jobs/{name}", None),
                        ("POST", "/v1/jobs", case.body),
                    ):
                        self.nursery.start_soon(self.call, at, method, path, body)
                names.remove(name)
                if not names:
                    end.set()

        self.board.ends.append(completed)
        await end.wait()

    async def odd_requests(self, length: float, rng: random.Random) -> None:
        """Users repeat submissions of unfinished jobs, also spoilt ones, cancel jobs that are done,
        and send jobs that fit no machine or lack a field."""
        number, end = 900_000, trio.current_time() + length
        while trio.current_time() < end:
            number, at = number + 1, rng.randrange(self.count)
            cases = [case for case in self.rules.cases.values() if case.accepted is not None]
            old = rng.choice(cases) if cases else None
            kind = rng.randrange(5)
            if kind == 0 and old is not None:
                await self.call(at, "POST", "/v1/jobs", old.body)
            elif kind == 1 and old is not None:
                spoilt = {k: v for k, v in old.body.items() if k != rng.choice(FIELDS[1:])}
                await self.call(
                    at, "POST", "/v1/jobs", {**spoilt, "vcpus": rng.choice((-1, 99.0, "x"))}
                )
            elif kind == 2 and old is not None and old.done is not None:
                await self.call(at, "POST", f"/v1/jobs/{old.name}/withdraw", {})
            elif kind == 3:
                lacking = job(number)
                del lacking[rng.choice(FIELDS[1:])]
                await self.call(at, "POST", "/v1/jobs", lacking)
            else:
                odd = rng.choice(
                    ({"vcpus": 25.0}, {"rigs": ["none"]}, {"crew": "nobody"}, {"yard": "moon"})
                )
                await self.call(at, "POST", "/v1/jobs", job(number, **odd))
            await trio.sleep(rng.uniform(0.1, 1.0))

    async def over(self, within: float = 240) -> None:
        """All troubles are over: users ask after every job until it is done, and the judge's clocks
        for what is forgotten or left waiting run."""
        self.rules.calm()

        async def settled() -> bool:
            open_jobs = [
                case
                for case in self.rules.cases.values()
                if case.accepted is not None and not case.over
            ]
            for case in open_jobs:
                await self.status(int(case.name[4:]) % self.count, case.name)
            return all(
                self.board.lengths.get(c.name, 0) is None
                and len(self.board.running(c.name)) == c.body["legs"]
                for c in self.rules.cases.values()
                if c.accepted is not None and not c.over
            )

        ended = await self.until(settled, within, 5.0)
        assert self.rules.broken == [], self.rules.broken
        open_jobs = [
            c.name for c in self.rules.cases.values() if c.accepted is not None and not c.over
        ]
        assert ended, open_jobs

    def _serve(self, host: str, service) -> None:
        async def accept(stream, source):
            await Server(lambda request: service.handle(request, source), most=256).serve(stream)

        self.network.register(f"{host}:1", host, accept)

    def _worker(self, machine: str, machine_type: str, zone: str, spot: bool) -> FakeWorker:
        return FakeWorker(
            self.network.port(machine),
            self.board,
            self.addresses,
            machine=machine,
            address=f"{machine}:1",
            machine_type=machine_type,
            zone=zone,
            spot=spot,
            broken=machine in self.broken_machines,
            report_s=self._sample.report_every.total_seconds(),
            lease_s=self._sample.lease.total_seconds(),
            gang_wait_s=self._sample.gang_wait.total_seconds(),
            gang_peer_s=self._sample.gang_peer.total_seconds(),
        )

    def start(self, at: int, previous_version: bool = False) -> Node:
        name = f"node-{at}"
        settings = settings_for(at, self.count, **self._changes)
        self._boots += 1
        boot = f"boot-{self._boots}"
        make = PreviousVersionNode if previous_version else Node
        node = make(
            settings, self.operator, self.network.port(name), random.Random(self._boots), boot
        )
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

    async def call(
        self, at: int, method: str, path: str, body: Any = None, within: float = 5
    ) -> tuple[int, Any]:
        client, began = Client(self.network.port("user"), f"node-{at}:80"), trio.current_time()
        if path == "/v1/jobs":
            self.rules.submitted(body)
        elif path.endswith("/withdraw"):
            self.rules.withdrawing(path)
        try:
            status, answer = await client.request(
                method, path, body, within=timedelta(seconds=within)
            )
        except NoAnswer:
            return 0, None
        finally:
            await client.close()
        self.rules.answered(method, path, body, status, answer, began)
        return status, answer

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
async def world(
    count: int = 3,
    capacity: int = 8,
    operator: Operator | None = None,
    previous_version: bool = False,
    **changes,
) -> AsyncIterator[World]:
    async with trio.open_nursery() as nursery:
        made = World(nursery, count, operator or Operator(), capacity, changes)
        for at in range(count):
            made.start(at, previous_version)
        assert await made.settled()
        yield made
        made.rules.look(*made.machines())
        assert made.rules.broken == [], made.rules.broken
        nursery.cancel_scope.cancel()
