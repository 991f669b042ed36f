"""A gang of which a leader without support for gangs has recorded only some tasks as done.

Such a leader records each task as done by itself, and the machines of the other tasks become
unreachable before they report the end. If one task of a gang is done, all are
(docs/incidents/2026-12-gang-that-never-ended.md).
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
# One task per machine.
CPUS = 16.0
LENGTH_S = 40.0
# Under a leader of the current version, how soon the job is reported as done and the machines have
# no tasks of it.
DONE_WITHIN_S = 5.0
LONG_FETCH_S = 120.0
PRODUCTION = pytest.mark.parametrize(
    "production", [PreviousVersionController, ProductionController], ids=["fake", "real"]
)


async def restart_all(w: World, version: type[Controller] | bool) -> None:
    """Restart all controllers with the given version."""
    for at in range(w.count):
        w.crash(at)
    await trio.sleep(0.5)
    for at in range(w.count):
        w.start(at, version)
    assert await w.until_ready()


def machines_of(w: World, *indexes: int) -> list[str]:
    """Return the machines of the gang's tasks with these indexes."""
    return [machine for n in indexes for machine in w.board.machines_by_task[f"{GANG}/{n}"]]


def recorded_done_count(w: World) -> int:
    """Return how many of the gang's tasks are recorded as done."""
    rows = [
        *w.state.values_with_prefix("r/slice/").values(),
        *w.state.values_with_prefix("r/job/").values(),
    ]
    return sum(stop - start for row in rows for start, stop in row.get("d", ()))


async def complete_with_half_unreachable(
    w: World, production: type[Controller], body: dict[str, Any], unreachable: tuple[int, ...]
) -> None:
    """Complete a gang under leaders without support for gangs that can't reach half of its tasks.

    Return once the other half is recorded as done.
    """
    assert await w.submit(0, body, LENGTH_S) == 201
    assert await w.until(lambda: len(running(w, GANG)) == TASKS, 150)
    await trio.sleep(8)
    await restart_all(w, production)
    (attempt,) = w.board.gangs.values()
    assert attempt.began is not None
    await trio.sleep(attempt.began + LENGTH_S - 2 - trio.current_time())
    for machine in machines_of(w, *unreachable):
        for controller in w.addresses:
            w.network.block(controller, machine)
    assert await w.until(lambda: recorded_done_count(w) == TASKS // 2, 10)


async def assert_done_after_upgrade(w: World) -> None:
    """Check that after an upgrade to the current version the gang is done and isn't restarted."""
    restarted_at = trio.current_time()
    await restart_all(w, False)

    async def is_done() -> bool:
        return await w.status(0, GANG) == "done"

    assert await w.until(is_done, DONE_WITHIN_S)
    assert await w.until(lambda: not w.board.running(GANG), DONE_WITHIN_S)
    assert await w.until(lambda: slow_down_and_count_fetches(w) == 0, DONE_WITHIN_S)
    await w.finish()
    assert await w.until(lambda: w.state.values_with_prefix("r/slice/") == {}, 60)
    assert [o for o in w.board.received if o.verb == "run" and o.at > restarted_at] == []
    assert w.state.value(keys.job_end_key(GANG)) == {"s": "done", "n": TASKS}


def slow_down_and_count_fetches(w: World) -> int:
    """Slow down image fetches, and return how many tasks are fetching their image.

    Without the delay these tasks would exit as done immediately, as their results are stored.
    """
    for worker in w.workers():
        worker.settings.fetch_s = LONG_FETCH_S
    return sum(task.state == "fetching" for x in w.workers() for task in x.tasks.values())


@PRODUCTION
async def test_a_gang_that_an_older_leader_recorded_as_done_in_part_is_done(production):
    """Guards against a gang that never completes because no machine reports its end again."""
    async with world(count=1, teams=TEAMS, capacity=2 * TASKS) as w:
        await complete_with_half_unreachable(
            w, production, gang(1, TASKS, yard="east", vcpus=CPUS), (2, 3)
        )
        await assert_done_after_upgrade(w)


@PRODUCTION
async def test_the_rest_of_it_that_an_older_leader_started_singly_is_stopped(production):
    """Guards against tasks that stay on machines although their gang is done."""
    async with world(count=1, teams=TEAMS, capacity=2 * TASKS) as w:
        await complete_with_half_unreachable(
            w, production, gang(1, TASKS, yard="east", vcpus=CPUS), (2, 3)
        )
        assert await w.until(lambda: slow_down_and_count_fetches(w) == TASKS // 2, 30, 0.05)
        await assert_done_after_upgrade(w)


@PRODUCTION
@pytest.mark.parametrize("unreachable", [(2, 3), (1, 3)], ids=["one share", "half of each share"])
async def test_a_gang_over_several_partitions_of_which_one_share_is_done_is_done(
    production, unreachable
):
    """Guards against a slice that starts again while another partition has recorded done tasks."""
    async with world(teams=TEAMS) as w:
        body = gang(1, TASKS, vcpus=CPUS, together=False, apart=True)
        await complete_with_half_unreachable(w, production, body, unreachable)
        await assert_done_after_upgrade(w)
