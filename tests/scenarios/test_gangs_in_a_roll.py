"""Tests running gangs in partitions whose home controller runs an older version.

The version in production doesn't support gangs and preempts single tasks of them. Therefore a
controller that supports gangs acquires the partition
(docs/incidents/2026-12-gang-under-an-older-leader.md).
"""

import logging

import pytest
import trio

from roadbend.controller import Controller
from roadbend.fakes.gangs import attempts, running
from roadbend.fakes.previous_version import PreviousVersionController, Version0100Controller
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.settings import Team
from tests.production_program import ProductionController

TEAMS = {"red": Team("red", 0, 0, 100, 100), "blue": Team("blue", 0, 0, 100, 100)}
GANG, TASKS = "run-000001", 4
# Lets one task run on each machine, so that the gang takes all of its zone's machines.
CPUS = 16.0
# How soon a restarted controller of the version in production has lost partitions with gangs.
REPLACED_WITHIN_S = 2.0
# Longer than any default delay before a partition fails back.
LONG_S = 60
# The version in production, as a fake and as its own program.
PRODUCTION = pytest.mark.parametrize(
    "production", [PreviousVersionController, ProductionController], ids=["fake", "real"]
)


async def restart_leader_as(w: World, version: type[Controller]) -> None:
    """Restart the controller of the east as another version."""
    w.crash(0)
    await trio.sleep(0.5)
    w.start(0, version)
    assert await w.until_ready()
    # Until all machines have confirmed the new term.
    await trio.sleep(5)


def stopped_tasks(w: World) -> set[str]:
    """Return the tasks for which machines received stop orders."""
    return {
        order["leg"] for worker in w.workers() for order in worker.orders if order["verb"] == "kill"
    }


@pytest.mark.parametrize(
    "version, stopped_count",
    [
        (Controller, TASKS),
        (Version0100Controller, TASKS),
        (PreviousVersionController, TASKS),
        (ProductionController, TASKS),
    ],
    ids=["today", "0.10.0", "production", "production itself"],
)
async def test_a_gang_is_preempted_whole_by_versions_that_know_gangs(
    version, stopped_count, caplog
):
    """Guards against a gang of which only some tasks are preempted."""
    caplog.set_level(logging.INFO)
    async with world(teams=TEAMS, capacity=TASKS) as w:
        body = gang(1, TASKS, yard="east", vcpus=CPUS)
        assert await w.submit(0, body, 300) == 201
        assert await w.until(lambda: len(w.board.running(GANG)) == TASKS, 60)
        await trio.sleep(8)
        await restart_leader_as(w, version)
        # A change of leader alone stops no task.
        assert len(w.board.running(GANG)) == TASKS and not stopped_tasks(w)
        urgent = job(2, yard="east", rank="production", vcpus=CPUS, crew="blue", loaners=False)
        assert await w.submit(1, urgent, 60) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 30)
        assert len(stopped_tasks(w)) == stopped_count
        # Operators search the log for this event.
        assert f"task-preempted partition=east task={GANG}/" in caplog.text


async def run_gang(w: World, length: float) -> None:
    """Run a gang on all machines of the east."""
    assert await w.submit(0, gang(1, TASKS, yard="east", vcpus=CPUS), length) == 201
    assert await w.until(lambda: len(w.board.running(GANG)) == TASKS, 60)
    await trio.sleep(8)


@PRODUCTION
async def test_a_leader_without_gangs_that_is_alone_stops_single_tasks(production):
    """Known limitation: no controller that supports gangs is up (docs/operations.md)."""
    async with world(count=1, teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w, 300)
        await restart_leader_as(w, production)
        urgent = job(2, yard="east", rank="production", vcpus=CPUS, crew="blue", loaners=False)
        assert await w.submit(0, urgent, 60) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 30)
        assert len(stopped_tasks(w)) == 1


@PRODUCTION
async def test_a_partition_goes_to_a_controller_that_knows_gangs_and_back_once_they_are_done(
    production, caplog
):
    """Guards against repeated changes of leader while a gang runs in the partition."""
    caplog.set_level(logging.INFO)
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w, 100)
        w.crash(0)
        await trio.sleep(0.5)
        w.start(0, production)
        assert await w.until(lambda: w.leader_of("east") in ("node-1", "node-2"), REPLACED_WITHIN_S)
        caplog.clear()
        await trio.sleep(LONG_S)
        assert "leadership-acquired" not in caplog.text
        # The change of leader has stopped no task.
        assert len(w.board.running(GANG)) == TASKS and not stopped_tasks(w)
        assert await w.until(lambda: not w.board.running(GANG), LONG_S)
        assert len(w.board.starts) == TASKS
        assert await w.until(lambda: w.leader_of("east") == "node-0", LONG_S)


@PRODUCTION
async def test_controllers_that_return_together_leave_no_gang_to_one_without_gangs(production):
    """Guards against a cold restart in which the older controller starts as early as the others."""
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w, 300)
        for at in range(w.count):
            w.crash(at)
        await trio.sleep(3)
        for at in range(w.count):
            w.start(at, production if at == 0 else False)
        assert await w.until_ready()
        assert await w.until(lambda: w.leader_of("east") in ("node-1", "node-2"), REPLACED_WITHIN_S)
        urgent = job(2, yard="east", rank="production", vcpus=CPUS, crew="blue", loaners=False)
        assert await w.submit(1, urgent, 60) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 60)
        assert len(stopped_tasks(w)) == TASKS


@PRODUCTION
async def test_of_two_partitions_with_gangs_a_controller_takes_one(production):
    """Guards against a controller that acquires both at once and then serves all machines.

    It happens if both decisions use the partitions that it led before.
    """
    async with world(teams=TEAMS, capacity=TASKS) as w:
        for number, zone in ((1, "east"), (2, "west")):
            assert await w.submit(1, gang(number, TASKS, yard=zone, vcpus=6.0), 300) == 201
        for name in ("run-000001", "run-000002"):
            assert await w.until(lambda name=name: len(w.board.running(name)) == TASKS, 60)
        for at in range(w.count):
            w.crash(at)
        await trio.sleep(0.5)
        w.start(0, production)
        w.start(2, production)
        assert await w.until(lambda: w.leader_of("east") == "node-0" and w.leader_of("west"), 15)
        election = w.start(1).election
        max_led_count = 0
        for _ in range(LONG_S * 10):
            await trio.sleep(0.1)
            led = [zone for zone in ("east", "west") if election.leadership(zone)]
            max_led_count = max(max_led_count, len(led))
        assert max_led_count == len(led) == 1


@PRODUCTION
async def test_a_leader_without_gangs_that_its_peers_do_not_hear_keeps_its_machines(production):
    """Guards against acquiring machines from the only controller that they may reach."""
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w, 300)
        w.crash(0)
        for peer in ("node-1", "node-2"):
            w.network.block("node-0", peer)
        for worker in w.workers():
            for peer in ("node-1", "node-2"):
                w.network.block(worker.machine, peer)
        w.start(0, production)
        assert await w.until(lambda: w.leader_of("east") == "node-0", 15)
        started = len(w.board.starts)
        for _ in range(LONG_S):
            await trio.sleep(1)
            assert w.leader_of("east") == "node-0"
        assert len(w.board.running(GANG)) == TASKS and len(w.board.starts) == started


@PRODUCTION
async def test_a_gang_that_loses_a_machine_runs_again_although_an_older_controller_is_at_home(
    production,
):
    """Guards against tasks of a gang that are started singly and never find each other."""
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        await run_gang(w, 300)
        await restart_leader_as(w, production)
        lost = next(worker for worker in w.workers() if worker.tasks)
        w.nursery.start_soon(lost.hang, 600)
        assert await w.until(lambda: lost.machine not in w.cloud.machines, 30)
        assert await w.until(lambda: len(running(w, GANG)) == TASKS, 30)
        assert len(attempts(w, GANG)) == 2


def disconnect_east_from_peers(w: World) -> None:
    """Disconnect the east's machines from all controllers but that of their own zone."""
    for worker in w.workers():
        for peer in ("node-1", "node-2"):
            w.network.block(worker.machine, peer)


def count_acquisitions(text: str) -> int:
    """Count the acquisitions of the east in log text of current and older versions."""
    return text.count("leadership-acquired partition=east") + text.count("took part=east")


@PRODUCTION
async def test_machines_that_reach_an_older_controller_alone_stay_with_it(production, caplog):
    """Guards against alternating leaders that serve no worker until the gang's leases expire."""
    caplog.set_level(logging.INFO)
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w, 400)
        w.crash(0)
        disconnect_east_from_peers(w)
        caplog.clear()
        w.start(0, production)
        assert await w.until(lambda: w.leader_of("east") == "node-0", 15)
        await trio.sleep(2 * LONG_S)
        assert count_acquisitions(caplog.text) == 1
        assert len(w.board.running(GANG)) == TASKS and len(w.board.starts) == TASKS


@PRODUCTION
async def test_a_controller_that_no_worker_reached_does_not_take_the_partition_again(
    production, caplog
):
    """Guards against alternating leaders if machines answer controllers that they can't reach."""
    caplog.set_level(logging.INFO)
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w, 400)

        async def reaches_machines(_partition: str) -> bool:
            return True

        for peer in ("node-1", "node-2"):
            w.controllers[peer].election.reaches_machines = reaches_machines
        w.crash(0)
        disconnect_east_from_peers(w)
        w.start(0, production)
        await trio.sleep(LONG_S)
        # Both peers have tried by now.
        caplog.clear()
        await trio.sleep(2 * LONG_S)
        assert count_acquisitions(caplog.text) == 0 and w.leader_of("east") == "node-0"
