"""A partition goes over from a leader that is gone before that controller's lease expires.

Running tasks began again because an outage of the state store gave the keys of dead controllers
their full time again, longer than workers' leases last
(docs/incidents/2026-12-lease-renewed-by-an-outage.md).
"""

import pytest
import trio

from roadbend.fakes.previous_version import Version0100Controller
from roadbend.fakes.submission import job
from roadbend.fakes.world import World, world
from roadbend.settings import OperatorSettings, Team

TASKS = 4
TEAMS = {"red": Team("red", 0, 0, 100, 100)}
SETTINGS = OperatorSettings()
OWN_LEASE_S = SETTINGS.own_lease.total_seconds()
# Reading, deciding, writing and reading again.
ACQUIRING_S = 1.0
# A worker that no controller serves asks the next one after a second.
ROUND_S = 3.0
LONG_S = 400


async def run_tasks(w: World) -> int:
    """Let tasks run for long in all zones; return how many tasks were ever started."""
    for at, zone in enumerate(w.zones):
        body = job(at + 1, legs=TASKS, yard=zone, dueS=None)
        assert await w.submit(at, body, LONG_S) == 201
    assert await w.until(
        lambda: all(len(w.board.running(f"run-{n:06d}")) == TASKS for n in (1, 2, 3)), 90
    )
    # All heartbeats are answered under the present terms.
    await trio.sleep(5)
    return len(w.board.starts)


def term(w: World, zone: str = "east") -> int:
    """Return a partition's term, as the records have it."""
    return w.state.value(f"r/term/{zone}")["n"]


def workers_of(w: World, zone: str = "east") -> list[str]:
    """Return the machines of a zone."""
    return [worker.machine for worker in w.workers() if worker.zone == zone]


@pytest.mark.parametrize("outage_after, outage", [(1, 10), (2.5, 8), (4, 7), (7, 10)])
async def test_no_task_begins_again_when_a_controller_ends_and_the_store_is_out(
    outage_after, outage
):
    """Guards against dead controllers' keys that an outage gives their full time again."""
    async with world(teams=TEAMS) as w:
        started = await run_tasks(w)
        w.crash(0)
        await trio.sleep(outage_after)
        await w.outage(outage)
        assert await w.until(lambda: w.leader_of("east") is not None, ROUND_S + ACQUIRING_S, 0.05)
        await trio.sleep(30)
        assert len(w.board.starts) == started
        w.start(0)
        assert await w.until_ready()
        assert len(w.board.starts) == started


@pytest.mark.parametrize("outage_after, outage", [(2.5, 6), (4.5, 8), (7, 10)])
async def test_no_task_begins_again_when_a_leader_is_cut_off_and_the_store_is_out(
    outage_after, outage
):
    """Guards against the same where the leader lives and reaches nobody."""
    async with world(teams=TEAMS) as w:
        started = await run_tasks(w)
        others = ("state", "node-1", "node-2", *w.cloud.machines)
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 60)
        await trio.sleep(outage_after)
        await w.outage(outage)
        await trio.sleep(60)
        assert await w.until_ready()
        assert len(w.board.starts) == started


@pytest.mark.parametrize("cut_workers", [0, 1])
async def test_a_leader_that_serves_its_workers_keeps_its_partition_until_its_lease_expires(
    cut_workers,
):
    """Guards against taking a leader for gone that only its peers can't reach."""
    async with world(teams=TEAMS) as w:
        started = await run_tasks(w)
        before = term(w)
        few = workers_of(w)[: len(workers_of(w)) // 2 * cut_workers]
        pairs = [("node-0", other) for other in ("node-1", "node-2", *few)]
        w.nursery.start_soon(w.block_pairs, pairs, 12)
        await trio.sleep(11)
        # It reaches the state store, so its lease lasts.
        assert (term(w), w.leader_of("east")) == (before, "node-0")
        await trio.sleep(20)
        assert len(w.board.starts) == started


async def test_a_leader_that_lives_is_deposed_when_most_of_its_workers_turn_to_others():
    """Guards against two leaders that both give orders: nothing is started twice (the judge)."""
    async with world(teams=TEAMS) as w:
        started = await run_tasks(w)
        most = workers_of(w)[1:]
        others = ("state", "node-1", "node-2", *most)
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 25)
        within = SETTINGS.takeover_silence.total_seconds() + ROUND_S + 4 + ACQUIRING_S
        assert within < OWN_LEASE_S + ROUND_S + 4
        await trio.sleep(within)
        assert any(w.controllers[name].election.leadership("east") for name in ("node-1", "node-2"))
        # What it still serves is cancelled meanwhile, and ends in time (the judge).
        await w.cancel_job("run-000001", 60)
        await trio.sleep(40)
        assert await w.until_ready()
        assert len(w.board.starts) == started


@pytest.mark.parametrize("older", [True, Version0100Controller], ids=["production", "0.10.0"])
async def test_a_living_leader_of_an_older_version_stops_when_it_is_replaced(older):
    """Guards against a roll in which the former leader does not notice that it was replaced."""
    async with world(teams=TEAMS) as w:
        w.crash(0)
        w.start(0, older)
        assert await w.until_ready()
        started = await run_tasks(w)
        before = term(w)
        others = ("node-1", "node-2", *workers_of(w))
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 20)
        former = w.controllers["node-0"].election
        assert await w.until(lambda: former.leadership("east") is None, 15, 0.05)
        assert term(w) == before + 1
        await trio.sleep(40)
        assert await w.until_ready()
        assert len(w.board.starts) == started


@pytest.mark.parametrize("away_s", [0.3, 2.0])
async def test_a_controller_that_is_back_at_once_keeps_its_partition(away_s):
    """Guards against replacing a leader that merely restarts."""
    async with world(teams=TEAMS) as w:
        started = await run_tasks(w)
        w.crash(0)
        await trio.sleep(away_s)
        w.start(0)
        assert await w.until(lambda: w.leader_of("east") == "node-0", 3, 0.05)
        before = term(w)
        await trio.sleep(30)
        assert (term(w), w.leader_of("east")) == (before, "node-0")
        assert len(w.board.starts) == started


async def test_a_replaced_leader_that_comes_back_does_not_get_its_partition_at_once():
    """Guards against a partition that goes to and fro while the cause lasts."""
    async with world(teams=TEAMS) as w:
        await run_tasks(w)
        w.crash(0)
        assert await w.until(lambda: w.leader_of("east") is not None, 10, 0.05)
        acquired = term(w)
        w.start(0)
        await trio.sleep(20)
        assert term(w) == acquired
        assert await w.until(lambda: w.leader_of("east") == "node-0", 30)
        assert term(w) == acquired + 1
