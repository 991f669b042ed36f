"""A small deployment on loopback for the cases of this review.

The controllers are the project's own program, started by the run line of the deploy file, one
process each. The state service, the cloud and the workers are the project's own stand-ins, all in
this process; users' requests are sent from here, too.
"""

import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from datetime import timedelta
from http import HTTPStatus
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
from roadbend.http.server import Request, Response, Server
from roadbend.settings import Team

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
ZONES = ("den-haag", "rijswijk", "zwolle")
CONTROLLERS = 3
LEASE_S, REPORT_S, CANCEL_S = 18.0, 2.5, 38.0
USER_TIMEOUT = timedelta(seconds=5)
POLL_TIMEOUT = timedelta(seconds=2)
CHUNK = 65536
POLL_S, SETTLE_S = 0.05, 3.0
# Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The machine type of kit/sites/visumloket-dispatch.toml.
MACHINE_TYPE = {
    "name": "balie-24g",
    "vcpus": 24.0,
    "gpus": 2.0,
    "memoryGb": 144.0,
    "cacheGb": 120.0,
    "pullGbPerS": 1.0,
    "price": 7.31,
    "lowPrice": 3.42,
    "startupS": 35.0,
    "yards": list(ZONES),
}
# The machine types of kit/sites/kupichka-central.toml.
KUTIYA, SKLAD = (
    {
        "name": "kutiya-12",
        "vcpus": 12.0,
        "gpus": 2.0,
        "memoryGb": 72.0,
        "cacheGb": 60.0,
        "pullGbPerS": 0.2,
        "price": 5.26,
        "lowPrice": 1.1,
        "startupS": 30.0,
        "yards": ["sofia-iztok", "plovdiv", "varna"],
    },
    {
        "name": "sklad-48",
        "vcpus": 48.0,
        "gpus": 4.0,
        "memoryGb": 288.0,
        "cacheGb": 150.0,
        "pullGbPerS": 1.0,
        "price": 13.09,
        "lowPrice": 3.1,
        "startupS": 45.0,
        "yards": ["plovdiv"],
    },
)
# The teams of the first site: 16 of them, with 4 GPUs guaranteed and 12 at most.
TEAMS = [Team(f"afsprakenteam-{n:02}", 0.0, 0.0, 4.0, 12.0) for n in range(16)]


def is_trouble() -> bool:
    """Return whether the case plays its disruption: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def job_body(number: int, **changes: object) -> dict[str, Any]:
    """Build a submission; the fields that are not named are those of a small array."""
    body: dict[str, Any] = {
        "id": f"run-{number:06}",
        "lane": "fraudsweep",
        "crew": TEAMS[0].name,
        "shape": "batch",
        "rank": "best_effort",
        "legs": 1,
        "vcpus": 10.0,
        "gpus": 1.0,
        "memoryGb": 54.0,
        "bundle": "img-01",
        "imageGb": 1.0,
        "rigs": None,
        "yard": None,
        "together": False,
        "apart": False,
        "loaners": False,
        "expectedS": 30.0,
        "milestoneS": 0.0,
        "stowS": 0.0,
        "dueS": None,
    }
    return {**body, **changes}


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that nobody listens on."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind((HOST, 0))
        return [f"{HOST}:{sock.getsockname()[1]}" for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()


class Record:
    """Writes what was sent, answered and run to a case's `record.txt`, with its time in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line."""
        line = f"{time.monotonic() - self._began:7.2f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class Relay:
    """A TCP relay on loopback, from `address` to `target`.

    `mode` is `pass`; `hold`: bytes are kept, and delivered in order once the mode is `pass` again;
    or `reset`: connections, old and new, are reset.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address, self.target = address, target
        self.mode = "pass"
        self._changed = trio.Event()
        self._open: set[trio.SocketStream] = set()

    def set_mode(self, mode: str) -> None:
        """Change the mode for old and new connections."""
        self.mode = mode
        self._changed.set()
        self._changed = trio.Event()
        if mode == "reset":
            for stream in list(self._open):
                _reset(stream)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Relay connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        await trio.serve_tcp(self._serve, int(port), host=host, task_status=task_status)

    async def _serve(self, near: trio.SocketStream) -> None:
        self._open.add(near)
        try:
            await self._wait()
            host, _, port = self.target.rpartition(":")
            far = await trio.open_tcp_stream(host, int(port))
            self._open.add(far)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, near, far, nursery.cancel_scope)
                    nursery.start_soon(self._copy, far, near, nursery.cancel_scope)
            finally:
                self._open.discard(far)
                await trio.aclose_forcefully(far)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._open.discard(near)
            await trio.aclose_forcefully(near)

    async def _wait(self) -> None:
        while self.mode == "hold":
            await self._changed.wait()
        if self.mode == "reset":
            raise trio.BrokenResourceError

    async def _copy(
        self, source: trio.SocketStream, sink: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK):
                await self._wait()
                await sink.send_all(data)
            await self._wait()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()


def _reset(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    stream.socket.close()


@dataclass(frozen=True)
class Objective:
    """An objective of the settings."""

    kind: str
    job_class: str | None = None
    within_s: float | None = None
    share: float = 0.9
    times: float | None = None

    def text(self) -> str:
        """Return the objective's part of the settings file."""
        rows = [f'kind = "{self.kind}"', f"share = {self.share}"]
        if self.job_class is not None:
            rows.append(f'class = "{self.job_class}"')
        if self.within_s is not None:
            rows.append(f"within_s = {self.within_s}")
        if self.times is not None:
            rows.append(f"times = {self.times}")
        return "\n".join(["[[deployment.objectives]]", *rows, ""])


@dataclass
class Site:
    """A small deployment: that of kit/sites/visumloket-dispatch.toml, unless stated otherwise."""

    zones: tuple[str, ...] = ZONES
    machine_types: list[dict[str, Any]] = field(default_factory=lambda: [MACHINE_TYPE])
    teams: list[Team] = field(default_factory=lambda: TEAMS)
    objectives: tuple[Objective, ...] = (
        Objective("wait", "slotmatch", 10.0, 0.85),
        Objective("deadline", "fraudsweep", times=1.0),
        Objective("deadline", "fraudsweep", times=1.5),
        Objective("guarantee", within_s=10.0, share=0.82),
    )
    report_s: float = REPORT_S
    cancel_s: float = CANCEL_S
    # Requests and changes a second, KiB a value and changes a transaction of the state service.
    state_limits: tuple[float, float, float, int] = (250.0, 60.0, 32.0, 16)
    # Requests a second of the cloud, and the lag of its list in seconds.
    cloud_limits: tuple[float, float] = (4.0, 8.0)
    cpu: float = 0.288
    # Machines per type, zone and kind.
    machines: int = 6
    # How long a machine takes to boot, and a task to fetch an image; in seconds.
    boot_s: float = 2.0
    fetch_s: float = 1.0
    log_level: str = "info"
    # Called with each worker before it runs.
    equip: Callable[[FakeWorker], None] | None = None


def kupichka(**changes: Any) -> Site:
    """Return a small deployment like that of kit/sites/kupichka-central.toml."""
    site = Site(
        zones=("sofia-iztok", "plovdiv", "varna"),
        machine_types=[KUTIYA, SKLAD],
        teams=[Team(f"abonamenti-{n:02}", 0.0, 0.0, 16.0, 70.0) for n in range(6)],
        objectives=(
            Objective("wait", "feedmatch", 100.0),
            Objective("deadline", "routeplan", share=0.88, times=1.0),
            Objective("deadline", "routeplan", share=0.92, times=1.5),
            Objective("guarantee", within_s=60.0, share=0.88),
        ),
        report_s=3.0,
        cancel_s=48.0,
        state_limits=(80.0, 25.0, 4.0, 8),
        cloud_limits=(2.0, 5.0),
        cpu=0.432,
    )
    return replace(site, **changes)


class Deployment:
    """Three controllers with their stand-ins."""

    def __init__(self, site: Site, record: Record, folder: Path, nursery: trio.Nursery) -> None:
        self.site, self.record, self.folder = site, record, folder
        self._nursery = nursery
        self._net = Net()
        unused = free_addresses(2 * CONTROLLERS + 2)
        self.listen, self.back = unused[:CONTROLLERS], unused[CONTROLLERS : 2 * CONTROLLERS]
        self.state_address, self.cloud_address = unused[2 * CONTROLLERS :]
        self.rules = Rules(site.machine_types, site.teams, site.cancel_s, trio.current_time)
        self.board = Board(self.rules)
        self.state = FakeStateService(
            value_bytes=int(site.state_limits[2] * 1024), txn_ops=site.state_limits[3]
        )
        self.cloud = FakeCloud(nursery, site.machine_types, site.machines, self.make_worker)
        self.cloud.boot_seconds = site.boot_s
        # What a controller, a worker and a user connect to, where that is not the listener itself.
        self.state_seen_by = [self.state_address] * CONTROLLERS
        self.back_seen_by: dict[tuple[int, int], str] = {}
        self.listen_seen_by_workers = list(self.listen)
        self.worker_settings = WorkerSettings(
            heartbeat_s=site.report_s, lease_s=LEASE_S, fetch_s=site.fetch_s, caches_images=True
        )
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        self.handle_state: Callable[[Request], Awaitable[Response]] = self.state.handle
        self.handle_cloud: Callable[[Request], Awaitable[Response]] = self.cloud.handle

    def make_worker(self, machine: str, machine_type: str, zone: str, spot: bool) -> FakeWorker:
        """Create the worker of a machine that has booted."""
        controllers = {f"hitch-{n}": self.listen_seen_by_workers[n] for n in range(CONTROLLERS)}
        (address,) = free_addresses(1)
        worker = FakeWorker(
            self._net,
            self.board,
            controllers,
            place=Place(machine, machine_type, zone, spot),
            address=address,
            settings=self.worker_settings,
        )
        if self.site.equip is not None:
            self.site.equip(worker)
        return worker

    async def start_stand_ins(self) -> None:
        """Start the state service and the cloud."""
        for address, handle in (
            (self.state_address, self._answer_state),
            (self.cloud_address, self._answer_cloud),
        ):
            server = Server(handle, max_connections=512)
            await self._nursery.start(self._net.listen, address, server.serve)

    async def _answer_state(self, request: Request) -> Response:
        return await self.handle_state(request)

    async def _answer_cloud(self, request: Request) -> Response:
        return await self.handle_cloud(request)

    # Controllers.

    def settings_text(self, index: int) -> str:
        """Return a controller's settings file in the form of the deploy page."""
        site = self.site
        others = "".join(
            f'[[others]]\nhost_name = "hitch-{n}"\ndomain = "{site.zones[n]}"\n'
            f'address = "{self.back_seen_by.get((index, n), self.back[n])}"\n'
            for n in range(CONTROLLERS)
            if n != index
        )
        teams = "".join(
            f'[[deployment.teams]]\nname = "{t.name}"\ncpus = {t.cpus}\ncpus_max = {t.cpus_max}\n'
            f"gpus = {t.gpus}\ngpus_max = {t.gpus_max}\n"
            for t in site.teams
        )
        zones = ", ".join(f'"{zone}"' for zone in site.zones)
        rps, write_rps, value_kb, txn_ops = site.state_limits
        cloud_rps, lag_s = site.cloud_limits
        return f"""host_name = "hitch-{index}"
domain = "{site.zones[index]}"
client_listen = "{self.listen[index]}"
back = "{self.back[index]}"
{others}
[outside]
cloud = "{self.cloud_address}"
state = "{self.state_seen_by[index]}"
[deployment]
count = {CONTROLLERS}
zones = [{zones}]
clock_off_ms = 25.0
{teams}
{"".join(objective.text() for objective in site.objectives)}
[deployment.workers]
report_s = {site.report_s}
lease_s = {LEASE_S}
cancel_s = {site.cancel_s}
[deployment.state]
rps = {rps}
write_rps = {write_rps}
value_kb = {value_kb}
txn_ops = {txn_ops}
[deployment.cloud]
rps = {cloud_rps}
list_lag_s = {lag_s}
[deployment.machine_limits]
cpu = {site.cpu}
mem_mb = 266.0
sockets = 1800
"""

    def start(self, index: int) -> None:
        """Start a controller by the run line of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        path = self.folder / f"hitch-{index}.toml"
        path.write_text(self.settings_text(index))
        environment = {k: v for k, v in os.environ.items() if not k.startswith("PYTHON")}
        environment["LOG_LEVEL"] = self.site.log_level
        with (self.folder / f"hitch-{index}.log").open("ab") as log:
            self.processes[index] = subprocess.Popen(
                [*shlex.split(deploy["run"]), str(path)], cwd=ROOT, stderr=log, env=environment
            )
        self.record.add(f"hitch-{index} started")

    def kill(self, index: int) -> None:
        """End a controller without a signal that it could catch."""
        process = self.processes.pop(index)
        process.kill()
        process.wait()
        self.record.add(f"hitch-{index} killed")

    def pause(self, index: int) -> None:
        """Stop a controller's process."""
        self.processes[index].send_signal(signal.SIGSTOP)
        self.record.add(f"hitch-{index} paused")

    def resume(self, index: int) -> None:
        """Continue a controller's process."""
        self.processes[index].send_signal(signal.SIGCONT)
        self.record.add(f"hitch-{index} resumed")

    def end_all(self) -> None:
        """End all controllers."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    def log_lines(self, *words: str) -> list[str]:
        """Return the lines of the controllers' logs that contain one of the words."""
        return [
            f"{path.stem}: {line}"
            for path in sorted(self.folder.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if any(word in line for word in words)
        ]

    def keep_logs(self) -> None:
        """Copy the controllers' logs to the folder that KEEP_LOGS names, if it is set."""
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in self.folder.glob("*.log"):
                Path(keep, path.name).write_bytes(path.read_bytes())

    # Users.

    async def call(
        self, index: int, method: str, path: str, body: object = None, *, is_recorded: bool = True
    ) -> tuple[int, Any]:
        """Send a user's request to a controller; status 0 means no answer in time."""
        if path == "/v1/jobs" and isinstance(body, dict):
            self.rules.record_submission(body)
        if path.endswith("/withdraw"):
            self.rules.record_cancellation_request(path)
        client = Client(self._net, self.listen[index])
        began = trio.current_time()
        within = POLL_TIMEOUT if method == "GET" else USER_TIMEOUT
        try:
            status, answer = await client.request(method, path, body, within=within)
        except NoAnswerError:
            status, answer = 0, None
        finally:
            await client.close()
        if status:
            self.rules.check_answer(method, path, body, status, answer, began)
        if is_recorded:
            self.record.add(f"user: {method} {path} at hitch-{index} -> {status} {answer}")
        return status, answer

    async def until(self, condition: Callable[[], bool], within_s: float) -> bool:
        """Wait until a condition holds; return whether it did in time."""
        end = trio.current_time() + within_s
        while trio.current_time() < end:
            if condition():
                return True
            await trio.sleep(POLL_S)
        return condition()

    async def wait_up(self, within_s: float = 20.0) -> bool:
        """Wait until all controllers are healthy and workers are told to wait or report."""
        end = trio.current_time() + within_s
        while trio.current_time() < end:
            answers = [
                (await self.call(index, "GET", "/up", is_recorded=False))[0]
                for index in range(CONTROLLERS)
            ]
            if all(status == HTTPStatus.OK for status in answers):
                # The zones are taken soon after that.
                await trio.sleep(SETTLE_S)
                return True
            await trio.sleep(POLL_S)
        return False

    async def submit(self, body: dict[str, Any], seconds: float | None, index: int = 0) -> bool:
        """Submit a job whose tasks run for some seconds (None: for ever), as users repeat it."""
        self.board.lengths[body["id"]] = seconds
        for attempt in range(20):
            status, _ = await self.call((index + attempt) % CONTROLLERS, "POST", "/v1/jobs", body)
            if status in (200, 201):
                return True
            await trio.sleep(1)
        return False

    def workers(self) -> dict[str, FakeWorker]:
        """Return the workers of the machines that are up, by machine."""
        return {
            name: machine.worker
            for name, machine in self.cloud.machines.items()
            if machine.worker is not None and machine.status == "running"
        }


@asynccontextmanager
async def deployment(
    site: Site, record: Record, prepare: Callable[[Deployment], Awaitable[None]] | None = None
) -> AsyncIterator[Deployment]:
    """Run a deployment; `prepare` is called before the controllers start."""
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            running = Deployment(site, record, Path(folder), nursery)
            try:
                await running.start_stand_ins()
                if prepare is not None:
                    await prepare(running)
                for index in range(CONTROLLERS):
                    running.start(index)
                yield running
            finally:
                running.end_all()
                running.keep_logs()
            nursery.cancel_scope.cancel()


def run_case(
    case: Callable[[Record], Awaitable[int]], folder: Path, names: Mapping[int, str] | None = None
) -> None:
    """Play a case within its time, and exit with its result."""
    verdicts = names or {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}
    record = Record(folder / "record.txt")
    # A case that is ended from outside ends its processes as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    async def play() -> int:
        with trio.move_on_after(115):
            return await case(record)
        record.add("the case took too long")
        return NOT_RUN

    try:
        result = trio.run(play)
    except BaseException as error:  # whatever fails, the case could not run
        record.add(f"failed: {error!r}")
        result = NOT_RUN
    record.add(f"trouble={int(is_trouble())}: {verdicts[result]}")
    sys.exit(result)
