"""What becomes of a running gang when a controller of an older version leads its partition.

The version in production knows no gangs and stops single tasks of them for other work
(docs/incidents/2026-12-gang-under-an-older-leader.md).
"""

import logging

import pytest
import trio

from roadbend.controller import Controller
from roadbend.fakes.previous_version import PreviousVersionController, Version0100Controller
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.settings import Team

TEAMS = {"red": Team("red", 0, 0, 100, 100), "blue": Team("blue", 0, 0, 100, 100)}
GANG, TASKS = "run-000001", 4
# One task to a machine, and no machine beside those of the gang.
CPUS = 16.0


async def restart_leader_as(w: World, version: type[Controller]) -> None:
    """Restart the controller of the east in a version."""
    w.crash(0)
    await trio.sleep(0.5)
    w.start(0, version)
    assert await w.settled()
    # All machines follow the new term.
    await trio.sleep(5)


def stopped_tasks(w: World) -> set[str]:
    """Return the tasks that machines were told to stop."""
    return {
        order["leg"] for worker in w.workers() for order in worker.orders if order["verb"] == "kill"
    }


@pytest.mark.parametrize(
    "version, told_to_stop",
    [(Controller, TASKS), (Version0100Controller, TASKS), (PreviousVersionController, 1)],
    ids=["today", "0.10.0", "production"],
)
async def test_a_gang_is_preempted_whole_by_versions_that_know_gangs(version, told_to_stop, caplog):
    """Guards against a gang that is stopped in pieces; with production's leader it still is."""
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
