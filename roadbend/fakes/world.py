"""A whole deployment in memory: controllers, fakes and users, for scenarios on a mock clock."""

import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from typing import Any

import trio

from roadbend import clock
from roadbend.checkers.observed_jobs import MachineWithCapacity, Place
from roadbend.checkers.protocol_rules import Rules
from roadbend.controller import Controller
from roadbend.fakes.board import Board
from roadbend.fakes.cloud import FakeCloud
from roadbend.fakes.fault_injection import FaultInjection
from roadbend.fakes.network import Network
from roadbend.fakes.platform import MACHINE_TYPE, ZONES, settings_for
from roadbend.fakes.previous_version import PreviousVersionController
from roadbend.fakes.stalls import HOST, Stalls
from roadbend.fakes.state import FakeStateService
from roadbend.fakes.user_behaviour import UserBehaviour
from roadbend.fakes.worker import FakeWorker
from roadbend.fakes.worker_tasks import WorkerSettings
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.server import Server
from roadbend.settings import OperatorSettings


class World(FaultInjection, UserBehaviour):
    """A deployment in memory, with fault injection and a check of the protocol's rules."""

    def __init__(
        self,
        nursery: trio.Nursery,
        count: int,
        operator: OperatorSettings,
        capacity: int,
        changes: dict[str, Any],
        caches_images: bool = False,
        equip: Callable[[Controller], None] | None = None,
    ) -> None:
        self._caches_images = caches_images
        # Installs the optional parts of a controller of the current version.
        self._equip = equip
        self.nursery, self.count, self.operator, self._changes = nursery, count, operator, changes
        self.network = Network(nursery)
        self.stalls = Stalls()
        self.zones = ZONES[:count]
        base_settings = settings_for(0, count, **changes)
        self.state = FakeStateService(
            value_bytes=base_settings.value_bytes, txn_ops=base_settings.txn_ops
        )
        self.rules = Rules(
            [MACHINE_TYPE],
            base_settings.teams.values(),
            base_settings.cancel_within.total_seconds(),
            trio.current_time,
        )
        self.board = Board(self.rules)
        self._base_settings = base_settings
        self.broken_machines: set[str] = set()
        self.cloud = FakeCloud(nursery, [MACHINE_TYPE], capacity, self._worker)
        self.controllers: dict[str, Controller] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self.addresses = {f"node-{n}": f"node-{n}:80" for n in range(count)}
        self._start_count = 0
        for host, service in (("state", self.state), ("cloud", self.cloud)):
            self._serve(host, service)
        nursery.start_soon(self._check_rules)

    async def _check_rules(self) -> None:
        while True:
            await trio.sleep(0.5)
            self.rules.check(*self.machines())

    def machines(self) -> tuple[set[str], list[MachineWithCapacity]]:
        """Return the machines that hang, and the running ones with their free capacity."""
        hung, with_capacity = set(), []
        for machine in self.cloud.machines.values():
            worker = machine.worker
            if worker is None or machine.status != "running":
                continue
            if worker.hung:
                hung.add(machine.id)
                continue
            cpus, gpus, memory = (MACHINE_TYPE[name] for name in ("vcpus", "gpus", "memoryGb"))
            for task in worker.tasks.values():
                job = self.rules.jobs.get(task.name.rpartition("/")[0])
                if task.state != "ended" and job is not None:
                    used_cpus, used_gpus, used_memory = job.resources
                    cpus, gpus, memory = cpus - used_cpus, gpus - used_gpus, memory - used_memory
            if worker.place.machine not in self.broken_machines:
                with_capacity.append(MachineWithCapacity(worker.place, (cpus, gpus, memory)))
        return hung, with_capacity

    def workers(self) -> list[FakeWorker]:
        """Return the workers of the running machines."""
        return [
            m.worker
            for m in self.cloud.machines.values()
            if m.worker is not None and m.status == "running"
        ]

    async def finish(self, within: float = 240) -> None:
        """Let users query every job until it has ended or, as a service, runs with all its tasks.

        It is called after the last fault. From then on, the rules also check for jobs that are
        forgotten or left waiting. Asserts that no rule is broken.
        """
        self.rules.mark_faults_ended()

        async def settled() -> bool:
            open_jobs = [
                job
                for job in self.rules.jobs.values()
                if job.accepted_at is not None and not job.has_ended
            ]
            for job in open_jobs:
                await self.status(int(job.id[4:]) % self.count, job.id)
            return all(
                self.board.lengths.get(job.id, 0) is None
                and len(self.board.running(job.id)) == job.body["legs"]
                for job in self.rules.jobs.values()
                if job.accepted_at is not None and not job.has_ended
            )

        all_settled = await self.until(settled, within, 5.0)
        assert self.rules.broken == [], self.rules.broken
        open_jobs = [
            job.id
            for job in self.rules.jobs.values()
            if job.accepted_at is not None and not job.has_ended
        ]
        assert all_settled, open_jobs

    def _serve(self, host: str, service: FakeStateService | FakeCloud) -> None:
        async def accept(stream: trio.abc.Stream, source: str) -> None:
            await Server(
                lambda request: service.handle(request, source), max_connections=256
            ).serve(stream)

        self.network.register(f"{host}:1", host, accept)

    def _worker(self, machine: str, machine_type: str, zone: str, spot: bool) -> FakeWorker:
        worker = FakeWorker(
            self.network.port(machine),
            self.board,
            self.addresses,
            place=Place(machine, machine_type, zone, spot),
            address=f"{machine}:1",
            settings=WorkerSettings(
                heartbeat_s=self._base_settings.heartbeat_interval.total_seconds(),
                lease_s=self._base_settings.lease.total_seconds(),
                broken=machine in self.broken_machines,
                gang_wait_s=self._base_settings.gang_wait.total_seconds(),
                gang_peer_s=self._base_settings.gang_peer.total_seconds(),
                caches_images=self._caches_images,
            ),
        )
        worker.command_delay = self.command_delay
        worker.command_listeners.append(partial(self.record_command, machine))
        return worker

    def start(self, index: int, previous_version: bool | type[Controller] = False) -> Controller:
        """Start a controller, unless it is running: each has one process.

        `previous_version`: whether it runs the version in production, or the class of an older
        version.
        """
        name = f"node-{index}"
        if name in self.controllers:
            return self.controllers[name]
        settings = settings_for(index, self.count, **self._changes)
        self._start_count += 1
        incarnation = f"boot-{self._start_count}"
        if isinstance(previous_version, bool):
            controller_class = PreviousVersionController if previous_version else Controller
        else:
            controller_class = previous_version
        controller = controller_class(
            settings,
            self.operator,
            self.network.port(name),
            random.Random(self._start_count),
            incarnation,
        )
        if self._equip is not None and not previous_version:
            self._equip(controller)
        scope = trio.CancelScope()
        self.controllers[name], self._scopes[name] = controller, scope

        async def run() -> None:
            HOST.set(name)
            with scope:
                await controller.run()

        self.nursery.start_soon(run)
        return controller

    def crash(self, index: int) -> None:
        """Crash a controller: it sends nothing more, and its connections break."""
        name = f"node-{index}"
        self.network.unregister(name)
        self._scopes[name].cancel()
        self.controllers.pop(name, None)

    async def call(
        self, index: int, method: str, path: str, body: Any = None, within: float = 5
    ) -> tuple[int, Any]:
        """Send a user's request to a controller; return status and body, 0 without an answer."""
        client, began = Client(self.network.port("user"), f"node-{index}:80"), trio.current_time()
        if path == "/v1/jobs":
            self.rules.record_submission(body)
        elif path.endswith("/withdraw"):
            self.rules.record_cancellation_request(path)
        try:
            status, answer = await client.request(
                method, path, body, within=timedelta(seconds=within)
            )
        except NoAnswerError:
            return 0, None
        finally:
            await client.close()
        self.rules.check_answer(method, path, body, status, answer, began)
        return status, answer

    async def submit(self, index: int, body: dict[str, Any], length: float | None = 20.0) -> int:
        """Submit a job whose tasks run for `length` seconds; return the status of the answer."""
        self.board.lengths[body["id"]] = length
        return (await self.call(index, "POST", "/v1/jobs", body))[0]

    async def status(self, index: int, name: str) -> str | None:
        """Query a job; return its status, None if there was no answer."""
        status, answer = await self.call(index, "GET", f"/v1/jobs/{name}", within=2)
        return answer["status"] if status == HTTPStatus.OK else None

    async def until(self, check: Callable[[], Any], within: float, step: float = 0.25) -> bool:
        """Wait until `check`, which may be asynchronous, returns true; return whether it did."""
        end = trio.current_time() + within
        while trio.current_time() < end:
            result = check()
            if hasattr(result, "__await__"):
                result = await result
            if result:
                return True
            await trio.sleep(step)
        return False

    def leader_of(self, partition: str) -> str | None:
        """Return the controller that leads a partition; None if none or several do."""
        leaders = [
            name
            for name, controller in self.controllers.items()
            if controller.election.leadership(partition)
        ]
        return leaders[0] if len(leaders) == 1 else None

    async def until_ready(self) -> bool:
        """Wait until each partition has a leader and all controllers are up; return whether so."""
        return await self.until(
            lambda: (
                all(self.leader_of(zone) for zone in self.zones)
                and all(controller.up(clock.now()) for controller in self.controllers.values())
            ),
            30,
        )


@asynccontextmanager
async def world(
    count: int = 3,
    capacity: int = 8,
    operator: OperatorSettings | None = None,
    previous_version: bool | type[Controller] = False,
    on_broken_rules: Callable[[list[str]], None] | None = None,
    caches_images: bool = False,
    equip: Callable[[Controller], None] | None = None,
    **changes: Any,
) -> AsyncIterator[World]:
    """Run a deployment of `count` controllers; `changes` are made to the platform settings.

    `on_broken_rules` is called with the broken rules at the end; without it, a broken rule fails an
    assertion. With `caches_images`, a task whose image is on its machine starts at once. `equip` is
    called with every controller of the current version before it starts.
    """
    async with trio.open_nursery() as nursery:
        deployment = World(
            nursery, count, operator or OperatorSettings(), capacity, changes, caches_images, equip
        )
        for index in range(count):
            deployment.start(index, previous_version)
        assert await deployment.until_ready()
        yield deployment
        deployment.rules.check(*deployment.machines())
        if on_broken_rules is not None:
            on_broken_rules(deployment.rules.broken)
        else:
            assert deployment.rules.broken == [], deployment.rules.broken
        nursery.cancel_scope.cancel()
