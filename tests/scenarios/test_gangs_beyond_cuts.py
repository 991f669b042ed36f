"""A leader without gangs is replaced only where that does the partition's machines no harm.

Beside `test_gangs_in_a_roll`: here a controller that knows gangs hears the leader but not the
leader's machines, or is at home in the leader's own zone.
"""

import pytest
import trio

from roadbend.fakes import platform
from roadbend.fakes import world as worlds
from roadbend.fakes.gangs import attempts
from roadbend.fakes.previous_version import PreviousVersionController
from roadbend.fakes.submission import gang
from roadbend.fakes.world import World, world
from roadbend.settings import Team
from tests.production_program import ProductionController

TEAMS = {"red": Team("red", 0, 0, 100, 100)}
GANG, TASKS = "run-000001", 4
# One task to a machine.
CPUS = 16.0
LONG_S = 600
WATCHED_S = 120
# A partition that can't be served is given up within a lease; one try, and the way back.
MAX_CHANGES = 2
# How soon after its return a controller of the version in production leads no gangs any more.
REPLACED_WITHIN_S = 5.0
OTHERS = ("node-1", "node-2")
PRODUCTION = pytest.mark.parametrize(
    "production", [PreviousVersionController, ProductionController], ids=["fake", "real"]
)


def term(w: World) -> int:
    """Return the term of the east, as the records have it."""
    return w.state.value("r/term/east")["n"]


async def run_gang(w: World) -> None:
    """Let a gang run in the east until all heartbeats are answered."""
    assert await w.submit(0, gang(1, TASKS, yard="east", vcpus=CPUS), LONG_S) == 201
    assert await w.until(lambda: len(w.board.running(GANG)) == TASKS, 60)
    await trio.sleep(8)


async def return_beyond_cut(w: World, production: type, cut_machines: int) -> int:
    """Restart the leader of the east in a version; its peers hear it, but not all its machines.

    Returns its new term.
    """
    w.crash(0)
    for worker in [worker for worker in w.workers() if worker.tasks][:cut_machines]:
        for other in OTHERS:
            w.network.block(worker.machine, other)
    await trio.sleep(0.5)
    before = term(w)
    w.start(0, production)
    assert await w.until(lambda: term(w) > before, 10, 0.02)
    return before + 1


@PRODUCTION
async def test_a_partition_does_not_go_to_and_fro_where_its_machines_reach_its_leader_alone(
    production,
):
    """Guards against a partition that is taken from its leader again and again, for ever."""
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w)
        began = await return_beyond_cut(w, production, TASKS)
        await trio.sleep(WATCHED_S)
        assert term(w) - began <= MAX_CHANGES
        assert w.leader_of("east") == "node-0"


@pytest.mark.parametrize("cut_machines", [1, TASKS], ids=["one machine", "all machines"])
@PRODUCTION
async def test_a_gang_runs_on_where_its_machines_reach_its_leader_alone(production, cut_machines):
    """Guards against machines whose leases run out while a controller leads that can't serve them.

    The former leader lives and serves them all, and nothing is to be preempted.
    """
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        await run_gang(w)
        await return_beyond_cut(w, production, cut_machines)
        fewest = TASKS
        for _ in range(WATCHED_S):
            await trio.sleep(1)
            fewest = min(fewest, len(w.board.running(GANG)))
        assert (fewest, len(attempts(w, GANG)), len(w.board.starts)) == (TASKS, 1, TASKS)


@pytest.mark.parametrize("zones", [("east", "east"), ("east", "east", "west")], ids="-".join)
@PRODUCTION
async def test_a_leader_without_gangs_is_replaced_by_one_that_is_at_home_in_its_zone(
    production, zones, monkeypatch
):
    """Guards against a controller that must lead its own zone's partition before it may take it."""
    monkeypatch.setattr(platform, "ZONES", zones)
    monkeypatch.setattr(worlds, "ZONES", zones)
    async with world(count=len(zones), teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w)
        former = w.leader_of("east")
        assert former in ("node-0", "node-1")
        w.crash(int(former[-1]))
        await trio.sleep(0.5)
        w.start(int(former[-1]), production)
        assert await w.until(lambda: w.leader_of("east") not in (None, former), REPLACED_WITHIN_S)
        await trio.sleep(60)
        assert w.leader_of("east") not in (None, former)
        assert len(w.board.starts) == TASKS
