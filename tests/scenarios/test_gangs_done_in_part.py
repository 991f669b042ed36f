"""What becomes of a gang whose tasks a leader without gangs has recorded as done one by one.

The machines of the others are lost before they report their end. If one task of a gang is done,
all are (docs/incidents/2026-12-gang-that-never-ended.md).
"""

from typing import Any

import pytest
import trio

from roadbend.controller import Controller
from roadbend.fakes.gangs import running
from roadbend.fakes.previous_version import PreviousVersionController
from roadbend.fakes.submission import gang
from roadbend.fakes.world import World, world
from roadbend.settings import Team
from roadbend.store import keys
from tests.production_program import ProductionController

TEAMS = {"red": Team("red", 0, 0, 100, 100)}
GANG, TASKS = "run-000001", 4
# One task to a machine.
CPUS = 16.0
LENGTH_S = 40.0
# How soon after a leader of today's version is there the user is told, and machines are empty.
ENDED_WITHIN_S = 5.0
LONG_FETCH_S = 120.0
PRODUCTION = pytest.mark.parametrize(
    "production", [PreviousVersionController, ProductionController], ids=["fake", "real"]
)


async def restart_all(w: World, version: type[Controller] | bool) -> None:
    """Restart all controllers in a version."""
    for at in range(w.count):
        w.crash(at)
    await trio.sleep(0.5)
    for at in range(w.count):
        w.start(at, version)
    assert await w.until_ready()


def machines_of(w: World, *indexes: int) -> list[str]:
    """Return the machines of some of the gang's tasks."""
    return [machine for n in indexes for machine in w.board.machines_by_task[f"{GANG}/{n}"]]


def recorded_done(w: World) -> int:
    """Return how many of the gang's tasks the records say are done."""
    rows = [
        *w.state.values_with_prefix("r/slice/").values(),
        *w.state.values_with_prefix("r/job/").values(),
    ]
    return sum(stop - start for row in rows for start, stop in row.get("d", ()))


async def end_half_unseen(
    w: World, production: type[Controller], body: dict[str, Any], unseen: tuple[int, ...]
) -> None:
    """Let a gang end under leaders without gangs that do not hear of half of its tasks.

    Returns once the other half is recorded as done.
    """
    assert await w.submit(0, body, LENGTH_S) == 201
    assert await w.until(lambda: len(running(w, GANG)) == TASKS, 150)
    await trio.sleep(8)
    await restart_all(w, production)
    (attempt,) = w.board.gangs.values()
    assert attempt.began is not None
    await trio.sleep(attempt.began + LENGTH_S - 2 - trio.current_time())
    for machine in machines_of(w, *unseen):
        for controller in w.addresses:
            w.network.block(controller, machine)
    assert await w.until(lambda: recorded_done(w) == TASKS // 2, 10)


async def is_ended_by_todays_version(w: World) -> None:
    """Tell that the gang is done soon after a restart in today's version, and not begun again."""
    restarted = trio.current_time()
    await restart_all(w, False)

    async def is_done() -> bool:
        return await w.status(0, GANG) == "done"

    assert await w.until(is_done, ENDED_WITHIN_S)
    assert await w.until(lambda: not w.board.running(GANG), ENDED_WITHIN_S)
    assert await w.until(lambda: fetching(w) == 0, ENDED_WITHIN_S)
    await w.finish()
    assert await w.until(lambda: w.state.values_with_prefix("r/slice/") == {}, 60)
    assert [o for o in w.board.received if o.verb == "run" and o.at > restarted] == []
    assert w.state.value(keys.job_end_key(GANG)) == {"s": "done", "n": TASKS}


def fetching(w: World) -> int:
    """Return how many tasks wait on machines for their image, which takes long from now on.

    Without that they exit as done at once, for their results are kept.
    """
    for worker in w.workers():
        worker.settings.fetch_s = LONG_FETCH_S
    return sum(task.state == "fetching" for x in w.workers() for task in x.tasks.values())


@PRODUCTION
async def test_a_gang_that_an_older_leader_recorded_as_done_in_part_is_done(production):
    """Guards against a gang that waits for ever, since nobody reports its end again."""
    async with world(count=1, teams=TEAMS, capacity=2 * TASKS) as w:
        await end_half_unseen(w, production, gang(1, TASKS, yard="east", vcpus=CPUS), (2, 3))
        await is_ended_by_todays_version(w)


@PRODUCTION
async def test_the_rest_of_it_that_an_older_leader_started_singly_is_stopped(production):
    """Guards against tasks that wait on machines although their gang is done."""
    async with world(count=1, teams=TEAMS, capacity=2 * TASKS) as w:
        await end_half_unseen(w, production, gang(1, TASKS, yard="east", vcpus=CPUS), (2, 3))
        assert await w.until(lambda: fetching(w) == TASKS // 2, 30, 0.05)
        await is_ended_by_todays_version(w)


@PRODUCTION
@pytest.mark.parametrize("unseen", [(2, 3), (1, 3)], ids=["one share", "half of each share"])
async def test_a_gang_over_several_partitions_of_which_one_share_is_done_is_done(
    production, unseen
):
    """Guards against a share that starts anew while another partition's records say done."""
    async with world(teams=TEAMS) as w:
        body = gang(1, TASKS, vcpus=CPUS, together=False, apart=True)
        await end_half_unseen(w, production, body, unseen)
        await is_ended_by_todays_version(w)
