"""A cold restart of real controller processes on loopback, ended with SIGKILL. Takes some minutes
of real time, and is no part of CI."""

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
from pathlib import Path

import trio

from roadbend.fakes.loopback import (
    Addresses,
    Limits,
    Loopback,
    free_addresses,
    write_settings,
)
from roadbend.fakes.submission import job
from roadbend.rehearsal import scenario
from roadbend.rehearsal.actions import PLACES, SERVICE
from roadbend.rehearsal.measurement import Restart
from roadbend.rehearsal.report import Report
from roadbend.rehearsal.verdict import judge

ROOT = Path(__file__).resolve().parent.parent.parent
NAME = "real-cold-restart"
SUMMARY = "Three controller processes are killed at once under running work, and start again."
JOBS = 8
# How long work may take to begin, controllers stay away, and are watched after their return.
BEGIN_WITHIN, AWAY, WATCHED = 180.0, 4.0, 40.0
# One machine in so many begins anew while no controller is up.
REBOOT_SHARE = 40


@dataclass
class Controllers:
    """Processes of the program as it is started in production."""

    paths: list[Path]
    recovery: bool
    log: Path
    processes: list[subprocess.Popen] = field(default_factory=list)

    def start(self) -> None:
        """Starts all of them."""
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
        """SIGKILL to all of them."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.processes.clear()


def play(workers: int, seed: int, recovery: bool, log: Path) -> Report:
    """Plays it, in real time."""
    with tempfile.TemporaryDirectory() as directory:
        return trio.run(_play, workers, seed, recovery, Path(directory), log)


async def _play(workers: int, seed: int, recovery: bool, directory: Path, log: Path) -> Report:
    rng, began = random.Random(f"{NAME} {seed}"), time.monotonic()
    free = free_addresses(9)
    addresses = Addresses(free[:3], free[3:6], *free[6:9])
    limits = Limits(
        gpus=workers * PLACES,
        machines=workers // 3 + 4,
        state_rps=500.0,
        state_write_rps=200.0,
        cloud_rps=30.0,
    )
    events: list[tuple[float, str]] = []

    def note(event: str) -> None:
        events.append((round(time.monotonic() - began, 1), event))

    controller_count = Controllers(write_settings(directory, addresses, limits), recovery, log)
    async with trio.open_nursery() as nursery:
        fakes = Loopback(nursery, addresses, limits)
        await fakes.start()
        try:
            controller_count.start()
            await _start_work(fakes, workers, rng)
            note(f"{len(fakes.workers())} machines work")
            await trio.sleep(5)
            controller_count.kill()
            note("all controllers killed")
            await trio.sleep(AWAY / 2)
            machines = sorted(worker.machine for worker in fakes.workers())
            faulted = set(rng.sample(machines, max(1, workers // REBOOT_SHARE)))
            for name in sorted(faulted):
                fakes.cloud.reboot(name)
            note(f"machines began anew: {', '.join(sorted(faulted))}")
            await trio.sleep(AWAY / 2)
            restart = Restart(fakes, faulted)
            nursery.start_soon(restart.watch)
            controller_count.start()
            note(f"started again, {restart.before.total} differences")
            await trio.sleep(WATCHED)
            measured, waiting = restart.measured(), await _open_jobs(fakes)
        finally:
            controller_count.kill()
        note("end")
        verdict = judge(measured, fakes.rules.broken, waiting, scenario.Limits())
        nursery.cancel_scope.cancel()
    return Report(
        NAME, SUMMARY, seed, workers, recovery, tuple(events), measured, verdict, simulated=False
    )


async def _start_work(fakes: Loopback, workers: int, rng: random.Random) -> None:
    legs = max(1, workers * PLACES // JOBS)
    bodies = [job(number, legs=legs, **SERVICE) for number in range(1, JOBS + 1)]
    with trio.fail_after(BEGIN_WITHIN):
        for body in bodies:
            fakes.board.lengths[body["id"]] = None
            await _until_true(partial(_is_accepted, fakes, rng, body))
        await _until_true(partial(_all_run, fakes, bodies, legs))


async def _until_true(check: Callable[[], Awaitable[bool]]) -> None:
    """Looks again and again; the caller sets the time limit."""
    done = False
    while not done:
        done = await check()
        if not done:
            await trio.sleep(0.5)


async def _is_accepted(fakes: Loopback, rng: random.Random, body: dict) -> bool:
    status, _ = await fakes.call(rng.randrange(3), "POST", "/v1/jobs", body)
    return status in (200, 201)


async def _all_run(fakes: Loopback, bodies: list[dict], legs: int) -> bool:
    return all(len(fakes.board.running(body["id"])) >= legs for body in bodies)


async def _open_jobs(fakes: Loopback) -> list[str]:
    """Jobs that do not run whole at the end."""
    waiting = []
    for number, case in enumerate(fakes.rules.cases.values()):
        await fakes.call(number % 3, "GET", f"/v1/jobs/{case.name}")
        if len(fakes.board.running(case.name)) != case.body["legs"]:
            waiting.append(case.name)
    return waiting
