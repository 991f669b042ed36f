"""A leader without support for gangs is replaced only if the partition's machines stay served.

In addition to `test_gangs_in_a_roll`: here a controller that supports gangs can reach the leader
but not the leader's machines, or is in the leader's own zone.
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
# One task per machine.
CPUS = 16.0
GANG_DURATION_S = 600
OBSERVATION_S = 120
# A failover and the failback: a controller that can't serve the machines of a partition releases it
# within a lease.
MAX_LEADER_CHANGES = 2
# How soon after its restart a controller of the version in production is replaced.
REPLACED_WITHIN_S = 5.0
PEERS = ("node-1", "node-2")
PRODUCTION = pytest.mark.parametrize(
    "production", [PreviousVersionController, ProductionController], ids=["fake", "real"]
)


def term(w: World) -> int:
    """Return the term of the east from the records."""
    return w.state.value("r/term/east")["n"]


async def run_gang(w: World) -> None:
    """Run a gang in the east, and wait until heartbeats from all its machines are answered."""
    assert await w.submit(0, gang(1, TASKS, yard="east", vcpus=CPUS), GANG_DURATION_S) == 201
    assert await w.until(lambda: len(w.board.running(GANG)) == TASKS, 60)
    await trio.sleep(8)


async def restart_behind_network_partition(
    w: World, production: type, unreachable_count: int
) -> int:
    """Restart the east's leader in the given version; its peers reach it, but not all its machines.

    Return its new term.
    """
    w.crash(0)
    for worker in [worker for worker in w.workers() if worker.tasks][:unreachable_count]:
        for other in PEERS:
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
    """Guards against a partition whose leader is deposed repeatedly, without end."""
    async with world(teams=TEAMS, capacity=TASKS) as w:
        await run_gang(w)
        first_term = await restart_behind_network_partition(w, production, TASKS)
        await trio.sleep(OBSERVATION_S)
        assert term(w) - first_term <= MAX_LEADER_CHANGES
        assert w.leader_of("east") == "node-0"


@pytest.mark.parametrize("unreachable_count", [1, TASKS], ids=["one machine", "all machines"])
@PRODUCTION
async def test_a_gang_runs_on_where_its_machines_reach_its_leader_alone(
    production, unreachable_count
):
    """Guards against machines whose leases expire under a leader that can't reach them.

    The former leader runs and serves all of them, and no task is to be preempted.
    """
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        await run_gang(w)
        await restart_behind_network_partition(w, production, unreachable_count)
        min_running = TASKS
        for _ in range(OBSERVATION_S):
            await trio.sleep(1)
            min_running = min(min_running, len(w.board.running(GANG)))
        assert (min_running, len(attempts(w, GANG)), len(w.board.starts)) == (TASKS, 1, TASKS)


@pytest.mark.parametrize("zones", [("east", "east"), ("east", "east", "west")], ids="-".join)
@PRODUCTION
async def test_a_leader_without_gangs_is_replaced_by_one_that_is_at_home_in_its_zone(
    production, zones, monkeypatch
):
    """Guards against a rule that a controller must already lead its own zone's partition.

    That rule is meant for partitions of other zones. A controller in the leader's zone could never
    satisfy it, as the partition to be acquired is that of its own zone.
    """
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
