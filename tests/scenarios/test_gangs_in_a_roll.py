"""What becomes of a running gang when a controller of an older version leads its partition.

The version in production knows no gangs and stops single tasks of them for other work. So a
controller that knows gangs leads the partition instead
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
# One task to a machine, and no machine beside those of the gang.
CPUS = 16.0
# How soon after its return a controller of the version in production leads no gangs any more.
REPLACED_WITHIN_S = 2.0
# Longer than any pause before a partition fails back, by default.
LONG_S = 60
# The version in production, played by a fake and by its own program.
PRODUCTION = pytest.mark.parametrize(
    "production", [PreviousVersionController, ProductionController], ids=["fake", "real"]
)


async def restart_leader_as(w: World, version: type[Controller]) -> None:
    """Restart the controller of the east in a version."""
    w.crash(0)
    await trio.sleep(0.5)
    w.start(0, version)
    assert await w.until_ready()
    # All machines follow the new term.
    await trio.sleep(5)


def stopped_tasks(w: World) -> set[str]:
    """Return the tasks that machines were told to stop."""
    return {
        order["leg"] for worker in w.workers() for order in worker.orders if order["verb"] == "kill"
    }


@pytest.mark.parametrize(
    "version, told_to_stop",
    [
        (Controller, TASKS),
        (Version0100Controller, TASKS),
        (PreviousVersionController, TASKS),
        (ProductionController, TASKS),
    ],
    ids=["today", "0.10.0", "production", "production itself"],
)
async def test_a_gang_is_preempted_whole_by_versions_that_know_gangs(version, told_to_stop, caplog):
    """Guards against a gang that is stopped in pieces."""
    caplog.set_level(logging.INFO)
    async with world(teams=TEAMS, capacity=TASKS) as w:
        body = gang(1, TASKS, yard="east", vcpus=CPUS)
        assert await w.submit(0, body, 300) == 201
        assert await w.until(lambda: len(w.board.running(GANG)) == TASKS, 60)
        await trio.sleep(8)
        await restart_leader_as(w, version)
        # A change of leader alone stops nothing.
        assert len(w.board.running(GANG)) == TASKS and not stopped_tasks(w)
        urgent = job(2, yard="east", rank="production", vcpus=CPUS, crew="blue", loaners=False)
        assert await w.submit(1, urgent, 60) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 30)
        assert len(stopped_tasks(w)) == told_to_stop
        # What operators look for.
        assert f"task-preempted partition=east task={GANG}/" in caplog.text


async def run_gang(w: World, length: float) -> None:
    """Let a gang run in the east, on all of its machines."""
    assert await w.submit(0, gang(1, TASKS, yard="east", vcpus=CPUS), length) == 201
    assert await w.until(lambda: len(w.board.running(GANG)) == TASKS, 60)
    await trio.sleep(8)


@PRODUCTION
async def test_a_leader_without_gangs_that_is_alone_stops_single_tasks(production):
    """What nothing prevents: no controller that knows gangs is up (docs/operations.md)."""
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
    """Guards against a partition that changes to and fro while a gang runs in it."""
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
        # The change of leader has stopped nothing.
        assert len(w.board.running(GANG)) == TASKS and not stopped_tasks(w)
        assert await w.until(lambda: not w.board.running(GANG), LONG_S)
        assert len(w.board.starts) == TASKS
        assert await w.until(lambda: w.leader_of("east") == "node-0", LONG_S)


@PRODUCTION
async def test_controllers_that_return_together_leave_no_gang_to_one_without_gangs(production):
    """Guards against a cold restart in which the older controller is as soon as the others."""
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
    """Guards against one that decides on both by what it led before, and serves all machines."""
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
        most = 0
        for _ in range(LONG_S * 10):
            await trio.sleep(0.1)
            led = [zone for zone in ("east", "west") if election.leadership(zone)]
            most = max(most, len(led))
        assert most == len(led) == 1


@PRODUCTION
async def test_a_leader_without_gangs_that_its_peers_do_not_hear_keeps_its_machines(production):
    """Guards against machines that are taken from the only controller that they may reach."""
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
    """Guards against tasks of a gang that are started singly, and wait for each other in vain."""
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        await run_gang(w, 300)
        await restart_leader_as(w, production)
        lost = next(worker for worker in w.workers() if worker.tasks)
        w.nursery.start_soon(lost.hang, 600)
        assert await w.until(lambda: lost.machine not in w.cloud.machines, 30)
        assert await w.until(lambda: len(running(w, GANG)) == TASKS, 30)
        assert len(attempts(w, GANG)) == 2


def cut_east_from_peers(w: World) -> None:
    """Let the east's machines reach no controller but their own zone's."""
    for worker in w.workers():
        for peer in ("node-1", "node-2"):
            w.network.block(worker.machine, peer)


def count_acquisitions(text: str) -> int:
    """Count how often the east was acquired, by the log."""
    return text.count("leadership-acquired partition=east") + text.count("took part=east")


@PRODUCTION
async def test_machines_that_reach_an_older_controller_alone_stay_with_it(production, caplog):
    """Guards against leaders that take turns, and serve nobody, until the gang's leases end."""
    caplog.set_level(logging.INFO)
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w, 400)
        w.crash(0)
        cut_east_from_peers(w)
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
    """Guards against leaders that take turns where machines answer those whom they don't reach."""
    caplog.set_level(logging.INFO)
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w, 400)

        async def reaches(_partition: str) -> bool:
            return True

        for peer in ("node-1", "node-2"):
            w.controllers[peer].election.reaches_machines = reaches
        w.crash(0)
        cut_east_from_peers(w)
        w.start(0, production)
        await trio.sleep(LONG_S)
        # Both have tried.
        caplog.clear()
        await trio.sleep(2 * LONG_S)
        assert count_acquisitions(caplog.text) == 0 and w.leader_of("east") == "node-0"
