"""Failover from a terminated leader before that controller's lease expires.

Running tasks were restarted because an outage of the state store renewed the leases of terminated
controllers for their full duration, which is longer than workers' leases
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
# The time to read the records, decide, write the new term and read again.
ACQUISITION_S = 1.0
# A worker that no controller serves tries the next one after a second; this is for all three.
RETRY_ROUND_S = 3.0
LONG_S = 400


async def run_tasks(w: World) -> int:
    """Run long tasks in all zones; return how many starts there have been."""
    for at, zone in enumerate(w.zones):
        body = job(at + 1, legs=TASKS, yard=zone, dueS=None)
        assert await w.submit(at, body, LONG_S) == 201
    assert await w.until(
        lambda: all(len(w.board.running(f"run-{n:06d}")) == TASKS for n in (1, 2, 3)), 90
    )
    # By then, heartbeats are answered under the current terms.
    await trio.sleep(5)
    return len(w.board.starts)


def term(w: World, zone: str = "east") -> int:
    """Return a partition's term from the records."""
    return w.state.value(f"r/term/{zone}")["n"]


def workers_of(w: World, zone: str = "east") -> list[str]:
    """Return the machines of a zone."""
    return [worker.machine for worker in w.workers() if worker.zone == zone]


@pytest.mark.parametrize("outage_after, outage", [(1, 10), (2.5, 8), (4, 7), (7, 10)])
async def test_no_task_begins_again_when_a_controller_ends_and_the_store_is_out(
    outage_after, outage
):
    """Guards against leases of terminated controllers that an outage renews for their full time."""
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        w.crash(0)
        await trio.sleep(outage_after)
        await w.outage(outage)
        assert await w.until(
            lambda: w.leader_of("east") is not None, RETRY_ROUND_S + ACQUISITION_S, 0.05
        )
        await trio.sleep(30)
        assert len(w.board.starts) == start_count
        w.start(0)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


@pytest.mark.parametrize("outage_after, outage", [(2.5, 6), (4.5, 8), (7, 10)])
async def test_no_task_begins_again_when_a_leader_is_cut_off_and_the_store_is_out(
    outage_after, outage
):
    """Guards against the same fault with a leader that runs but can't reach anyone."""
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        others = ("state", "node-1", "node-2", *w.cloud.machines)
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 60)
        await trio.sleep(outage_after)
        await w.outage(outage)
        await trio.sleep(60)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


@pytest.mark.parametrize("cut_workers", [0, 1])
async def test_a_leader_that_serves_its_workers_keeps_its_partition_until_its_lease_expires(
    cut_workers,
):
    """Guards against replacing a leader that only its peers can't reach."""
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        before = term(w)
        unreachable = workers_of(w)[: len(workers_of(w)) // 2 * cut_workers]
        pairs = [("node-0", other) for other in ("node-1", "node-2", *unreachable)]
        w.nursery.start_soon(w.block_pairs, pairs, 12)
        await trio.sleep(11)
        # It reaches the state store, so its lease is renewed.
        assert (term(w), w.leader_of("east")) == (before, "node-0")
        await trio.sleep(20)
        assert len(w.board.starts) == start_count


async def test_a_leader_that_lives_is_deposed_when_most_of_its_workers_turn_to_others():
    """Guards against two leaders that both send orders; the checker detects any second start."""
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        lost_workers = workers_of(w)[1:]
        others = ("state", "node-1", "node-2", *lost_workers)
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 25)
        within = SETTINGS.takeover_silence.total_seconds() + RETRY_ROUND_S + 4 + ACQUISITION_S
        assert within < OWN_LEASE_S + RETRY_ROUND_S + 4
        await trio.sleep(within)
        assert any(w.controllers[name].election.leadership("east") for name in ("node-1", "node-2"))
        # A job on the machine that it still serves is cancelled and stopped in time (the checker).
        await w.cancel_job("run-000001", 60)
        await trio.sleep(40)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


@pytest.mark.parametrize("older", [True, Version0100Controller], ids=["production", "0.10.0"])
async def test_a_living_leader_of_an_older_version_stops_when_it_is_replaced(older):
    """Rolling upgrade: guards against a former leader that does not notice its replacement."""
    async with world(teams=TEAMS) as w:
        w.crash(0)
        w.start(0, older)
        assert await w.until_ready()
        start_count = await run_tasks(w)
        before = term(w)
        others = ("node-1", "node-2", *workers_of(w))
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 20)
        former = w.controllers["node-0"].election
        assert await w.until(lambda: former.leadership("east") is None, 15, 0.05)
        assert term(w) == before + 1
        await trio.sleep(40)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


@pytest.mark.parametrize("down_s", [0.3, 2.0])
async def test_a_controller_that_is_back_at_once_keeps_its_partition(down_s):
    """Guards against replacing a leader that merely restarts."""
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        w.crash(0)
        await trio.sleep(down_s)
        w.start(0)
        assert await w.until(lambda: w.leader_of("east") == "node-0", 3, 0.05)
        before = term(w)
        await trio.sleep(30)
        assert (term(w), w.leader_of("east")) == (before, "node-0")
        assert len(w.board.starts) == start_count


async def test_a_replaced_leader_that_comes_back_does_not_get_its_partition_at_once():
    """Guards against a partition that changes leaders repeatedly while the fault lasts."""
    async with world(teams=TEAMS) as w:
        await run_tasks(w)
        w.crash(0)
        assert await w.until(lambda: w.leader_of("east") is not None, 10, 0.05)
        acquired_term = term(w)
        w.start(0)
        await trio.sleep(20)
        assert term(w) == acquired_term
        assert await w.until(lambda: w.leader_of("east") == "node-0", 30)
        assert term(w) == acquired_term + 1
