"""The fakes on loopback, for controllers that run as separate processes."""

import socket
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Any

import trio

from roadbend.checkers.observed_jobs import Place
from roadbend.checkers.protocol_rules import Rules
from roadbend.fakes.board import Board
from roadbend.fakes.cloud import FakeCloud
from roadbend.fakes.state import FakeStateService
from roadbend.fakes.worker import FakeWorker
from roadbend.fakes.worker_tasks import WorkerSettings
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import Request, Response, Server, decode
from roadbend.settings import Team

ZONES = ("east", "north", "west")
HOST = "127.0.0.1"
CONTROLLER_COUNT = 3
MACHINE_TYPE = {
    "name": "g2",
    "vcpus": 24.0,
    "gpus": 2.0,
    "memoryGb": 144.0,
    "cacheGb": 100.0,
    "pullGbPerS": 1.0,
    "price": 6.0,
    "lowPrice": 2.0,
    "startupS": 3.0,
    "yards": list(ZONES),
}
CANCEL_S = 38.0


@dataclass(frozen=True)
class Addresses:
    """The listen addresses of controllers (for clients and for peers) and fakes."""

    listen: Sequence[str]
    back: Sequence[str]
    state: str
    cloud: str
    lengths: str


@dataclass(frozen=True)
class Limits:
    """Limits of the fakes."""

    gpus: float = 8.0
    machines: int = 8
    state_rps: float = 250.0
    state_write_rps: float = 60.0
    cloud_rps: float = 4.0


def free_addresses(count: int) -> list[str]:
    """Return addresses on loopback that are not in use."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((HOST, 0))
        return [f"{HOST}:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


def settings_text(index: int, addresses: Addresses, limits: Limits) -> str:
    """Return a controller's settings file, as the platform writes it."""
    others = "".join(
        f'[[others]]\nhost_name = "node-{n}"\ndomain = "{ZONES[n]}"\n'
        f'address = "{addresses.back[n]}"\n'
        for n in range(CONTROLLER_COUNT)
        if n != index
    )
    return f"""host_name = "node-{index}"
domain = "{ZONES[index]}"
client_listen = "{addresses.listen[index]}"
back = "{addresses.back[index]}"
{others}
[outside]
cloud = "{addresses.cloud}"
state = "{addresses.state}"
[deployment]
count = {CONTROLLER_COUNT}
zones = {list(ZONES)}
clock_off_ms = 25.0
[[deployment.teams]]
name = "red"
gpus = 4.0
gpus_max = {limits.gpus}
[deployment.workers]
report_s = 2.5
lease_s = 18.0
cancel_s = {CANCEL_S}
[deployment.state]
rps = {limits.state_rps}
write_rps = {limits.state_write_rps}
value_kb = 32.0
txn_ops = 16
[deployment.cloud]
rps = {limits.cloud_rps}
list_lag_s = 5.0
[deployment.machine_limits]
sockets = 1000
""".replace("'", '"')


class Loopback:
    """State store, cloud, workers and users on loopback, with a check of the protocol's rules."""

    def __init__(self, nursery: trio.Nursery, addresses: Addresses, limits: Limits) -> None:
        self._nursery, self._addresses, self._limits = nursery, addresses, limits
        self._net = Net()
        team = Team("red", 0, 0, 4.0, limits.gpus)
        self.rules = Rules([MACHINE_TYPE], [team], CANCEL_S, trio.current_time)
        self.board = Board(self.rules)
        self.state = FakeStateService()
        self.cloud = FakeCloud(nursery, [MACHINE_TYPE], limits.machines, self._worker)
        self.controllers = {f"node-{n}": addresses.listen[n] for n in range(CONTROLLER_COUNT)}

    async def start(self) -> None:
        """Start listening."""
        for address, handle in (
            (self._addresses.state, self.state.handle),
            (self._addresses.cloud, self.cloud.handle),
            (self._addresses.lengths, self._handle_length),
        ):
            await self._nursery.start(
                self._net.listen, address, Server(handle, max_connections=512).serve
            )

    async def _handle_length(self, request: Request) -> Response:
        """Accept what users upload for the workers: here, how long a job's tasks run."""
        body = decode(request.body)
        self.board.lengths[body["id"]] = body["seconds"]
        return Response(200, {})

    def _worker(self, machine: str, machine_type: str, zone: str, spot: bool) -> FakeWorker:
        (address,) = free_addresses(1)
        return FakeWorker(
            self._net,
            self.board,
            self.controllers,
            place=Place(machine, machine_type, zone, spot),
            address=address,
            settings=WorkerSettings(caches_images=True),
        )

    def workers(self) -> list[FakeWorker]:
        """Return the workers of the running machines."""
        return [
            machine.worker
            for machine in self.cloud.machines.values()
            if machine.worker is not None and machine.status == "running"
        ]

    async def call(self, index: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Send a request of a user, which the rules' checker observes."""
        began = trio.current_time()
        if path == "/v1/jobs":
            self.rules.record_submission(body)
        client = Client(self._net, self._addresses.listen[index])
        try:
            status, answer = await client.request(method, path, body, within=timedelta(seconds=5))
        except NoAnswerError:
            return 0, None
        finally:
            await client.close()
        self.rules.check_answer(method, path, body, status, answer, began)
        return status, answer


def write_settings(directory: Path, addresses: Addresses, limits: Limits) -> list[Path]:
    """Write one settings file per controller, and return their paths."""
    directory.mkdir(parents=True, exist_ok=True)
    paths = [directory / f"node-{index}.toml" for index in range(CONTROLLER_COUNT)]
    for index, path in enumerate(paths):
        path.write_text(settings_text(index, addresses, limits))
    return paths
