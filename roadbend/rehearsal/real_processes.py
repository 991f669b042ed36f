"""A cold restart of real controller processes on loopback, ended with SIGKILL.

It takes some minutes of real time, and is no part of CI.
"""

from __future__ import annotations

import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from pathlib import Path

import trio

from roadbend.fakes.loopback import (
    Addresses,
    Limits,
    Loopback,
    free_addresses,
    write_settings,
)
from roadbend.rehearsal import messages, scenario
from roadbend.rehearsal.actions.jobs import TASKS_PER_MACHINE
from roadbend.rehearsal.events import Event
from roadbend.rehearsal.measurement import Restart
from roadbend.rehearsal.report import Report
from roadbend.rehearsal.verdict import judge

ROOT = Path(__file__).resolve().parent.parent.parent
NAME = "real-cold-restart"
SUMMARY = "Three controller processes are killed at once under running work, and start again."
JOBS = 8
CONTROLLERS = 3
# How long work may take to begin, in seconds.
BEGIN_WITHIN = 180.0
# How long work runs before the controllers are killed, in seconds.
UNDISTURBED = 5
# How long no controller is up, in seconds.
AWAY = 4.0
# How long is watched after the return, in seconds.
WATCHED = 40.0
# How often is asked whether work has begun, in seconds.
ASK_EVERY = 0.5
# One machine in so many restarts while no controller is up.
REBOOT_SHARE = 40


@dataclass
class Controllers:
    """Processes of the program as it is started in production."""

    paths: list[Path]
    recovery: bool
    log: Path
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def start(self) -> None:
        """Start all of them."""
        command = [sys.executable, str(ROOT / "run.py")]
        if self.recovery:
            command += ["--recovery", str(ROOT / "deploy" / "recovery.sexp")]
        for path in self.paths:
            with self.log.open("a") as log:
                self.processes.append(
                    subprocess.Popen(
                        [*command, "--config", str(path)],
                        stderr=log,
                        env={**os.environ, "LOG_LEVEL": "info"},
                    )
                )

    def kill(self) -> None:
        """End all of them with SIGKILL."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.processes.clear()


class _Events:
    """What happened, with the seconds since the rehearsal began."""

    def __init__(self) -> None:
        self.noted: list[Event] = []
        self._began = time.monotonic()

    def note(self, text: str) -> None:
        """Add an event that happened now."""
        self.noted.append(Event(round(time.monotonic() - self._began, 1), text))


@dataclass(frozen=True)
class _Rehearsal:
    workers: int
    rng: random.Random
    fakes: Loopback
    controllers: Controllers
    events: _Events

    async def run_until_killed(self) -> None:
        """Start controllers and work, and kill the controllers once it runs."""
        self.controllers.start()
        await _start_work(self.fakes, self.workers, self.rng)
        self.events.note(f"{len(self.fakes.workers())} machines work")
        await trio.sleep(UNDISTURBED)
        self.controllers.kill()
        self.events.note("all controllers killed")

    async def stay_away(self) -> set[str]:
        """Let time pass without controllers; return the machines that restarted meanwhile."""
        await trio.sleep(AWAY / 2)
        machines = sorted(worker.machine for worker in self.fakes.workers())
        faulted = set(self.rng.sample(machines, max(1, self.workers // REBOOT_SHARE)))
        for machine in sorted(faulted):
            self.fakes.cloud.reboot(machine)
        self.events.note(f"machines began anew: {', '.join(sorted(faulted))}")
        await trio.sleep(AWAY / 2)
        return faulted

    async def watch_return(self, nursery: trio.Nursery, faulted: set[str]) -> Restart:
        """Start the controllers again, and return the measurement of that."""
        restart = Restart(self.fakes, faulted)
        nursery.start_soon(restart.watch)
        self.controllers.start()
        self.events.note(f"started again, {restart.before.total} differences")
        await trio.sleep(WATCHED)
        return restart


def play(workers: int, seed: int, recovery: bool, log: Path) -> Report:
    """Play the rehearsal in real time; the controllers' log is appended to `log`."""
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(_play, workers, seed, recovery, Path(directory), log)


async def _play(workers: int, seed: int, recovery: bool, directory: Path, log: Path) -> Report:
    rng = random.Random(f"{NAME} {seed}")
    events = _Events()
    addresses = _free_addresses()
    limits = _limits(workers)
    controllers = Controllers(write_settings(directory, addresses, limits), recovery, log)
    async with trio.open_nursery() as nursery:
        fakes = Loopback(nursery, addresses, limits)
        await fakes.start()
        rehearsal = _Rehearsal(workers, rng, fakes, controllers, events)
        try:
            await rehearsal.run_until_killed()
            faulted = await rehearsal.stay_away()
            restart = await rehearsal.watch_return(nursery, faulted)
            measured = restart.measured()
            open_jobs = await _open_jobs(fakes)
        finally:
            controllers.kill()
        events.note("end")
        verdict = judge(measured, fakes.rules.broken, open_jobs, scenario.Limits())
        nursery.cancel_scope.cancel()
    return Report(
        scenario=NAME,
        summary=SUMMARY,
        seed=seed,
        workers=workers,
        recovery=recovery,
        events=tuple(events.noted),
        measured=measured,
        verdict=verdict,
        simulated=False,
    )


def _free_addresses() -> Addresses:
    # Two for each controller, and those of the state store, the cloud and the tasks' lengths.
    free = free_addresses(2 * CONTROLLERS + 3)
    state, cloud, lengths = free[2 * CONTROLLERS :]
    return Addresses(
        listen=free[:CONTROLLERS],
        back=free[CONTROLLERS : 2 * CONTROLLERS],
        state=state,
        cloud=cloud,
        lengths=lengths,
    )


def _limits(workers: int) -> Limits:
    return Limits(
        gpus=workers * TASKS_PER_MACHINE,
        machines=workers // 3 + 4,
        state_rps=500.0,
        state_write_rps=200.0,
        cloud_rps=30.0,
    )


async def _start_work(fakes: Loopback, workers: int, rng: random.Random) -> None:
    tasks = max(1, workers * TASKS_PER_MACHINE // JOBS)
    bodies = [messages.service(number, tasks) for number in range(1, JOBS + 1)]
    with trio.fail_after(BEGIN_WITHIN):
        for body in bodies:
            fakes.board.lengths[messages.job_of(body)] = None
            await _until_true(partial(_is_accepted, fakes, rng, body))
        await _until_true(partial(_all_run, fakes, bodies, tasks))


async def _until_true(check: Callable[[], Awaitable[bool]]) -> None:
    """Check again and again; the caller sets the time limit."""
    done = False
    while not done:
        done = await check()
        if not done:
            await trio.sleep(ASK_EVERY)


async def _is_accepted(fakes: Loopback, rng: random.Random, body: messages.Body) -> bool:
    status, _ = await fakes.call(rng.randrange(CONTROLLERS), "POST", "/v1/jobs", body)
    return status in (HTTPStatus.OK, HTTPStatus.CREATED)


async def _all_run(fakes: Loopback, bodies: list[messages.Body], tasks: int) -> bool:
    return all(len(fakes.board.running(messages.job_of(body))) >= tasks for body in bodies)


async def _open_jobs(fakes: Loopback) -> list[str]:
    """Ask after every job, and return those that do not run whole."""
    open_jobs = []
    for number, case in enumerate(fakes.rules.jobs.values()):
        await fakes.call(number % CONTROLLERS, "GET", f"/v1/jobs/{case.name}")
        if len(fakes.board.running(case.name)) != messages.task_count(case.body):
            open_jobs.append(case.name)
    return open_jobs
