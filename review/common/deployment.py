"""A small deployment on loopback: the project's controllers, its stand-ins, and a record.

The stand-ins of the state service, the cloud and the workers are the project's own and run in this
process. The controllers are started as processes of their own, with the run line of the deploy
file. All addresses are loopback addresses with free ports.
"""

import os
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

import trio

from roadbend.checkers.protocol_rules import Rules
from roadbend.fakes.loopback import (
    CANCEL_S,
    CONTROLLER_COUNT,
    MACHINE_TYPE,
    Addresses,
    Limits,
    Loopback,
    free_addresses,
    settings_text,
)
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.settings import Team

ROOT = Path(__file__).resolve().parents[2]
USER_TIMEOUT = timedelta(seconds=5)
QUERY_TIMEOUT = timedelta(seconds=2)
# A case may take 120 s.
CASE_TIMEOUT_S = 114.0
HTTP_OK = 200
# Addresses for what a case puts around the controllers.
SPARE_ADDRESSES = 8
# Exit statuses: the rule held, the rule was broken, the case could not run.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def run_line() -> list[str]:
    """Return the command that starts a controller, without the path of its settings."""
    line: str = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
    return line.split()


class Record:
    """Lines of what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1)
        self._began = time.monotonic()

    def seconds(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.seconds():7.2f} {text}\n")


class Deployment:
    """Three controllers as processes, with stand-ins around them."""

    def __init__(
        self,
        nursery: trio.Nursery,
        record: Record,
        limits: Limits | None = None,
        teams: Sequence[Team] = (),
    ) -> None:
        """Create a deployment; `teams` are added to the team of the stand-ins' settings."""
        self.record = record
        self._limits = limits or Limits()
        self._teams = teams
        # All at once, as none of them is in use before the start.
        ports = free_addresses(2 * CONTROLLER_COUNT + 3 + SPARE_ADDRESSES)
        self.spare_addresses = [ports.pop() for _ in range(SPARE_ADDRESSES)]
        self.addresses = Addresses(
            ports[:CONTROLLER_COUNT], ports[CONTROLLER_COUNT : 2 * CONTROLLER_COUNT], *ports[-3:]
        )
        self.fakes = Loopback(nursery, self.addresses, self._limits)
        own_team = Team("red", 0, 0, 4.0, self._limits.gpus)
        self.fakes.rules = self.fakes.board.rules = Rules(
            [MACHINE_TYPE], [own_team, *teams], CANCEL_S, trio.current_time
        )
        self._folder = tempfile.TemporaryDirectory(prefix="roadbend-review-")
        self._logs: list[Any] = []
        self.processes: dict[int, subprocess.Popen[bytes]] = {}
        # Changes the settings file of a controller, given its index, before it is written.
        self.edit_settings: Callable[[int, str], str] = lambda _index, text: text
        self._net = Net()

    async def start(self) -> None:
        """Start the stand-ins and all controllers."""
        await self.fakes.start()
        for index in range(CONTROLLER_COUNT):
            self.start_controller(index)

    def start_controller(self, index: int) -> None:
        """Start one controller with its settings file."""
        folder = Path(self._folder.name)
        settings = folder / f"node-{index}.toml"
        text = self.edit_settings(index, settings_text(index, self.addresses, self._limits))
        added = "".join(
            f'[[deployment.teams]]\nname = "{team.name}"\ngpus = {team.gpus}\n'
            f"gpus_max = {team.gpus_max}\n"
            for team in self._teams
        )
        settings.write_text(text.replace("[deployment.workers]", f"{added}[deployment.workers]"))
        log = (folder / f"node-{index}.log").open("ab")
        self._logs.append(log)
        environment = {**os.environ, "LOG_LEVEL": "error"}
        environment.pop("PYTHONPATH", None)
        self.processes[index] = subprocess.Popen(
            [*run_line(), str(settings)],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.add(f"start node-{index}")

    def stop(self) -> None:
        """End all controllers."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        for log in self._logs:
            log.close()
        self._folder.cleanup()

    async def call(
        self, index: int, method: str, path: str, body: Any = None, *, quiet: bool = False
    ) -> tuple[int, Any]:
        """Send a user's request; status 0 without an answer."""
        client = Client(self._net, self.addresses.listen[index])
        within = QUERY_TIMEOUT if method == "GET" else USER_TIMEOUT
        sent = self.record.seconds()
        try:
            status, answer = await client.request(method, path, body, within=within)
        except NoAnswerError as error:
            status, answer = 0, str(error)
        finally:
            await client.close()
        if not quiet:
            self.record.add(
                f"node-{index} {method} {path} sent {sent:.3f} answered {status} {answer}"
            )
        return status, answer

    async def wait_until_up(self, within_s: float = 30.0) -> bool:
        """Wait until every controller says that it can take requests."""
        with trio.move_on_after(within_s):
            for index in range(CONTROLLER_COUNT):
                status = 0
                while status != HTTP_OK:
                    await trio.sleep(0.2)
                    status, _ = await self.call(index, "GET", "/up", quiet=True)
            self.record.add("all controllers are up")
            return True
        ended = {index: process.poll() for index, process in self.processes.items()}
        self.record.add(f"not all controllers are up; exit statuses: {ended}")
        return False

    async def submit(self, body: dict[str, Any], seconds: float | None) -> bool:
        """Submit a job until it is accepted; `seconds`: how long its tasks run (None: for ever)."""
        self.fakes.board.lengths[body["id"]] = seconds
        if self.fakes.board.rules is not None:
            self.fakes.rules.record_submission(body)
        self.record.add(f"submission {body}")
        for attempt in range(20):
            status, _ = await self.call(attempt % CONTROLLER_COUNT, "POST", "/v1/jobs", body)
            if status in (200, 201):
                return True
            await trio.sleep(1)
        return False

    async def wait_until_running(self, job: str, tasks: int) -> bool:
        """Wait until so many tasks of a job are on machines."""
        with trio.move_on_after(30):
            on_machines = 0
            while on_machines < tasks:
                await trio.sleep(0.2)
                on_machines = len(self.fakes.board.running(job))
            return True
        return False

    async def query(self, job: str) -> dict[str, Any] | None:
        """Ask the controllers in turn for a job's state; None if none answers."""
        for index in range(CONTROLLER_COUNT):
            status, answer = await self.call(index, "GET", f"/v1/jobs/{job}")
            if status == HTTP_OK:
                return answer
        return None


async def _run(
    record: Record,
    case: Callable[[Deployment], Awaitable[int]],
    limits: Limits,
    teams: Sequence[Team],
    prepare: Callable[[Deployment, trio.Nursery], Awaitable[None]] | None,
) -> int:
    result = COULD_NOT_RUN
    async with trio.open_nursery() as nursery:
        deployment = Deployment(nursery, record, limits, teams)
        try:
            with trio.move_on_after(CASE_TIMEOUT_S):
                if prepare is not None:
                    await prepare(deployment, nursery)
                await deployment.start()
                if await deployment.wait_until_up():
                    result = await case(deployment)
        finally:
            deployment.stop()
            nursery.cancel_scope.cancel()
    return result


def run_case(
    folder: Path,
    case: Callable[[Deployment], Awaitable[int]],
    limits: Limits,
    teams: Sequence[Team] = (),
    prepare: Callable[[Deployment, trio.Nursery], Awaitable[None]] | None = None,
) -> int:
    """Run a case in a deployment; return its exit status. The record goes into `folder`.

    `prepare` is called before anything is started.
    """
    record = Record(folder / "record.txt")
    try:
        result = trio.run(_run, record, case, limits, teams, prepare)
    except Exception:
        record.add(traceback.format_exc())
        result = COULD_NOT_RUN
    record.add(f"exit status {result}")
    return result


def has_trouble() -> bool:
    """Return whether the disruption is to happen: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"
