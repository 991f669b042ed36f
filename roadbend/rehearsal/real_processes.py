"""A cold restart of real controller processes on loopback, which are killed with SIGKILL.

It takes some minutes of real time and is not part of CI.
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
from roadbend.rehearsal.measurement import RestartMeasurement
from roadbend.rehearsal.report import Report
from roadbend.rehearsal.verdict import judge

ROOT = Path(__file__).resolve().parent.parent.parent
NAME = "real-cold-restart"
SUMMARY = "Three controller processes are killed at once under running work, and start again."
JOB_COUNT = 8
CONTROLLER_COUNT = 3
# How long the jobs may take to start, in seconds.
START_TIMEOUT_S = 180.0
# How long the jobs run before the controllers are killed, in seconds.
RUN_BEFORE_KILL_S = 5
# How long no controller runs, in seconds.
DOWNTIME_S = 4.0
# How long the deployment is observed after the restart, in seconds.
OBSERVATION_S = 40.0
# How often a pending condition is checked, in seconds.
POLL_INTERVAL_S = 0.5
# One machine per so many workers restarts while no controller runs.
WORKERS_PER_REBOOT = 40


@dataclass
class Controllers:
    """Controller processes, started with the command line that production uses."""

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
    """Events, with their times in seconds since the rehearsal began."""

    def __init__(self) -> None:
        self.recorded: list[Event] = []
        self._began = time.monotonic()

    def record(self, text: str) -> None:
        """Add an event with the current time."""
        self.recorded.append(Event(round(time.monotonic() - self._began, 1), text))


@dataclass(frozen=True)
class _Rehearsal:
    workers: int
    rng: random.Random
    fakes: Loopback
    controllers: Controllers
    events: _Events

    async def run_until_killed(self) -> None:
        """Start the controllers and jobs; kill the controllers once the jobs have run a while."""
        self.controllers.start()
        await _start_jobs(self.fakes, self.workers, self.rng)
        self.events.record(f"{len(self.fakes.workers())} machines work")
        await trio.sleep(RUN_BEFORE_KILL_S)
        self.controllers.kill()
        self.events.record("all controllers killed")

    async def wait_while_down(self) -> set[str]:
        """Let time pass without controllers; reboot some machines meanwhile, and return them."""
        await trio.sleep(DOWNTIME_S / 2)
        machines = sorted(worker.machine for worker in self.fakes.workers())
        faulted = set(self.rng.sample(machines, max(1, self.workers // WORKERS_PER_REBOOT)))
        for machine in sorted(faulted):
            self.fakes.cloud.reboot(machine)
        self.events.record(f"machines began anew: {', '.join(sorted(faulted))}")
        await trio.sleep(DOWNTIME_S / 2)
        return faulted

    async def restart_controllers(
        self, nursery: trio.Nursery, faulted: set[str]
    ) -> RestartMeasurement:
        """Start the controllers again and observe the deployment; return the measurement."""
        restart = RestartMeasurement(self.fakes, faulted)
        nursery.start_soon(restart.watch)
        self.controllers.start()
        self.events.record(f"started again, {restart.initial.total} differences")
        await trio.sleep(OBSERVATION_S)
        return restart


def play(workers: int, seed: int, recovery: bool, log: Path) -> Report:
    """Run the rehearsal in real time; the log of the controllers is appended to `log`."""
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
            faulted = await rehearsal.wait_while_down()
            restart = await rehearsal.restart_controllers(nursery, faulted)
            measured = restart.measure()
            open_jobs = await _open_jobs(fakes)
        finally:
            controllers.kill()
        events.record("end")
        verdict = judge(measured, fakes.rules.broken, open_jobs, scenario.Limits())
        nursery.cancel_scope.cancel()
    return Report(
        scenario=NAME,
        summary=SUMMARY,
        seed=seed,
        workers=workers,
        recovery=recovery,
        events=tuple(events.recorded),
        measured=measured,
        verdict=verdict,
        simulated=False,
    )


def _free_addresses() -> Addresses:
    # Two per controller, and one each for the state store, the cloud and the lengths of tasks.
    unused = free_addresses(2 * CONTROLLER_COUNT + 3)
    state, cloud, lengths = unused[2 * CONTROLLER_COUNT :]
    return Addresses(
        listen=unused[:CONTROLLER_COUNT],
        back=unused[CONTROLLER_COUNT : 2 * CONTROLLER_COUNT],
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


async def _start_jobs(fakes: Loopback, workers: int, rng: random.Random) -> None:
    tasks = max(1, workers * TASKS_PER_MACHINE // JOB_COUNT)
    bodies = [messages.service(number, tasks) for number in range(1, JOB_COUNT + 1)]
    with trio.fail_after(START_TIMEOUT_S):
        for body in bodies:
            fakes.board.lengths[messages.job_id_of(body)] = None
            await _until_true(partial(_is_accepted, fakes, rng, body))
        await _until_true(partial(_all_run, fakes, bodies, tasks))


async def _until_true(check: Callable[[], Awaitable[bool]]) -> None:
    """Check periodically until the condition holds; the caller sets the timeout."""
    done = False
    while not done:
        done = await check()
        if not done:
            await trio.sleep(POLL_INTERVAL_S)


async def _is_accepted(fakes: Loopback, rng: random.Random, body: messages.Body) -> bool:
    status, _ = await fakes.call(rng.randrange(CONTROLLER_COUNT), "POST", "/v1/jobs", body)
    return status in (HTTPStatus.OK, HTTPStatus.CREATED)


async def _all_run(fakes: Loopback, bodies: list[messages.Body], tasks: int) -> bool:
    return all(len(fakes.board.running(messages.job_id_of(body))) >= tasks for body in bodies)


async def _open_jobs(fakes: Loopback) -> list[str]:
    """Query every job; return those that do not run with all their tasks."""
    open_jobs = []
    for number, job in enumerate(fakes.rules.jobs.values()):
        await fakes.call(number % CONTROLLER_COUNT, "GET", f"/v1/jobs/{job.id}")
        if len(fakes.board.running(job.id)) != messages.task_count(job.body):
            open_jobs.append(job.id)
    return open_jobs
