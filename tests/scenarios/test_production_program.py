"""Tests the released program of the version in production in an in-memory deployment.

Tests marked `BOTH` show that the fake which other tests use for that version behaves the same. The
tests pin existing behaviour: that version doesn't support gangs, and it will not change. In tests
with gangs it is the only controller, since a controller that supports them would acquire its
partition (tests/scenarios/test_gangs_in_a_roll.py).
"""

from concurrent.futures import ThreadPoolExecutor

import pytest
import trio

from roadbend.fakes.board import ReceivedOrder
from roadbend.fakes.previous_version import PreviousVersionController
from roadbend.fakes.submission import gang, job
from roadbend.fakes.worker import FakeWorker
from roadbend.fakes.world import World, world
from roadbend.partitions import policy
from roadbend.partitions.policy import Action, Decision
from roadbend.settings import Team
from tests import production_program
from tests.production_program import ProductionController, ProductionSourcesError

TEAMS = {"red": Team("red", 0, 0, 100, 100), "blue": Team("blue", 0, 0, 100, 100)}
GANG, OTHER = "run-000001", "run-000002"
TASKS = 4
# Lets one task run on each machine.
CPUS = 16.0
# An attempt number holds the leader's term above this many low bits.
ATTEMPT_BITS = 32
BOTH = pytest.mark.parametrize(
    "version", [PreviousVersionController, ProductionController], ids=["fake", "real"]
)


async def restart_leader_as(w: World, version: type) -> None:
    """Restart the leader of the east as another version, which then leads the east again."""
    w.crash(0)
    await trio.sleep(0.5)
    w.start(0, version)
    assert await w.until_ready()
    assert w.leader_of("east") == "node-0"


async def start_gang(w: World) -> None:
    """Run a gang in the east, under a leader of the current version."""
    assert await w.submit(0, gang(1, TASKS, yard="east", vcpus=CPUS), 300) == 201
    assert await w.until(lambda: states(w) == ["running"] * TASKS, 60)


def states(w: World) -> list[str]:
    """Return the sorted states of the gang's tasks on all machines."""
    return sorted(
        task.state for worker in w.workers() for task in worker.tasks.values() if task.job == GANG
    )


def received(w: World, verb: str, since: float) -> list[ReceivedOrder]:
    """Return the orders for the first job's tasks that took effect on machines from `since` on."""
    return [
        order
        for order in w.board.received
        if order.verb == verb and order.effective and order.at >= since and is_of_first_job(order)
    ]


def is_of_first_job(order: ReceivedOrder) -> bool:
    """Return whether an order is for a task of the first job, a gang in most tests."""
    return order.task.startswith(f"{GANG}/")


def test_a_commit_that_is_not_in_the_repository_is_an_error(tmp_path):
    with pytest.raises(ProductionSourcesError, match="can't read commit 0123abc"):
        production_program.unpack_sources("0123abc", tmp_path)
    assert list(tmp_path.iterdir()) == []


def test_the_sources_can_be_unpacked_by_several_at_a_time(tmp_path):
    commit = production_program.production_commit()
    with ThreadPoolExecutor(4) as pool:
        directories = pool.map(production_program.unpack_sources, [commit] * 4, [tmp_path] * 4)
    assert set(directories) == {tmp_path / commit / production_program.RENAMED_PACKAGE}
    assert [path.name for path in tmp_path.iterdir()] == [commit]


def test_the_program_is_of_its_own_modules_alone():
    node = production_program.program_module("node")
    assert node.Server.__module__ == "roadbend_production.http.server"
    assert node.clock.__name__ == "roadbend_production.clock"
    # Jobs of that version have no field for gangs.
    assert not hasattr(production_program.program_module("store.records").Spec, "gang")


async def test_it_leads_its_partition_beside_todays_version_and_serves_a_job_to_its_end():
    async with world(teams=TEAMS) as w:
        await restart_leader_as(w, ProductionController)
        assert await w.submit(0, job(1, legs=3, yard="east"), 10) == 201
        await w.finish()
        assert await w.status(1, "run-000001") == "done"
        term = w.controllers["node-0"].election.leadership("east").term
        assert [order.attempt >> ATTEMPT_BITS for order in received(w, "run", 0)] == [term] * 3


@BOTH
async def test_it_stops_one_task_of_a_gang_for_work_of_higher_priority(version):
    """The gang's other tasks end by themselves when they lose contact with the stopped one."""
    async with world(count=1, teams=TEAMS, capacity=TASKS) as w:
        await start_gang(w)
        await trio.sleep(8)
        restarted = trio.current_time()
        await restart_leader_as(w, version)
        await trio.sleep(5)
        # A change of leader alone stops nothing.
        assert received(w, "kill", restarted) == [] and states(w) == ["running"] * TASKS
        urgent = job(2, yard="east", rank="production", vcpus=CPUS, crew="blue", loaners=False)
        assert await w.submit(0, urgent, 60) == 201
        assert await w.until(lambda: w.board.running(OTHER), 30)
        stopped = {order.task for order in received(w, "kill", restarted)}
        assert len(stopped) == 1
        assert len(received(w, "forget", restarted)) == TASKS


@BOTH
async def test_it_starts_the_tasks_of_a_gang_singly_once_a_machine_is_lost(version):
    """Each gets its own attempt number, so no task finds the others and the gang never runs.

    The current version starts them again under one attempt number once it leads.
    """
    async with world(count=1, teams=TEAMS, capacity=2 * TASKS) as w:
        await start_gang(w)
        await trio.sleep(8)
        await restart_leader_as(w, version)
        await trio.sleep(5)
        lost = next(worker for worker in w.workers() if worker.tasks)
        w.nursery.start_soon(lost.hang, 600)
        hung_at = trio.current_time()
        assert await w.until(lambda: len(received(w, "run", hung_at)) >= TASKS, 40)
        # Longer than tasks of a gang wait for each other.
        await trio.sleep(60)
        orders = received(w, "run", hung_at)
        assert len({order.attempt for order in orders}) == len(orders) > TASKS
        assert received(w, "kill", hung_at) == [] and "running" not in states(w)
        w.crash(0)
        await trio.sleep(0.5)
        w.start(0)
        assert await w.until(lambda: states(w) == ["running"] * TASKS, 60)


async def gather_all_but_one(w: World) -> FakeWorker:
    """Let all of a gang's tasks gather except one, whose machine hangs for 12 s.

    Returns that machine's worker.
    """
    assert await w.submit(0, gang(1, TASKS, yard="east", vcpus=CPUS), 300) == 201
    assert await w.until(lambda: states(w) == ["fetching"] * TASKS, 60, 0.02)
    hung_worker = next(worker for worker in w.workers() if worker.tasks)
    w.nursery.start_soon(hung_worker.hang, 12)
    assert await w.until(lambda: states(w) == ["fetching", *["gathering"] * (TASKS - 1)], 3)
    return hung_worker


@BOTH
async def test_it_lets_tasks_that_gather_go_on(version):
    """It neither stops nor forgets them, and the gang starts under its first attempt number."""
    async with world(count=1, teams=TEAMS, capacity=2 * TASKS) as w:
        hung_worker = await gather_all_but_one(w)
        restarted = trio.current_time()
        await restart_leader_as(w, version)
        await trio.sleep(5)
        assert hung_worker.hung and states(w) == ["fetching", *["gathering"] * (TASKS - 1)]
        assert await w.until(lambda: states(w) == ["running"] * TASKS, 15)
        await trio.sleep(10)
        assert states(w) == ["running"] * TASKS
        for verb in ("run", "kill", "forget"):
            assert received(w, verb, restarted) == []


@pytest.fixture
def acquire_from_leader(monkeypatch):
    """Return a function that makes a controller of the current version acquire a led partition.

    Its election acquires it in the next round, with the transaction that replaces a failed leader.
    """
    decide = policy.decide
    requested: set[tuple[str, str]] = set()

    def decide_as_requested(partition, controllers, operator, now):
        leader = partition.recorded and partition.recorded.controller
        if (controllers.name, partition.name) in requested and leader != controllers.name:
            return Decision(Action.REPLACE_LEADER)
        return decide(partition, controllers, operator, now)

    async def acquire(w: World, controller: str, partition: str) -> None:
        requested.add((controller, partition))
        election = w.controllers[controller].election
        assert await w.until(lambda: election.leadership(partition), 2, 0.01)
        requested.clear()

    monkeypatch.setattr(policy, "decide", decide_as_requested)
    return acquire


@BOTH
async def test_it_stops_leading_at_once_when_a_peer_acquires_its_partition(
    version, acquire_from_leader
):
    """The change stops and starts no task, and it doesn't acquire the partition again by itself.

    After 25 s the peer hands the partition back. The job is an array: with a gang, the peers would
    acquire the partition without being made to.
    """
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        array = job(1, legs=TASKS, yard="east", vcpus=CPUS, dueS=30.0, loaners=False)
        assert await w.submit(0, array, 300) == 201
        assert await w.until(lambda: states(w) == ["running"] * TASKS, 60)
        await trio.sleep(8)
        await restart_leader_as(w, version)
        await trio.sleep(5)
        changed_at = trio.current_time()
        replaced = w.controllers["node-0"].election
        term = replaced.leadership("east").term
        await acquire_from_leader(w, "node-1", "east")
        assert await w.until(lambda: replaced.leadership("east") is None, 0.5, 0.01)
        for _ in range(200):
            await trio.sleep(0.1)
            assert replaced.leadership("east") is None
            assert w.state.value("r/own/east")["node"] == "node-1"
        assert w.state.value("r/term/east") == {"n": term + 1, "node": "node-1"}
        for verb in ("run", "kill", "forget"):
            assert received(w, verb, changed_at) == []
        assert states(w) == ["running"] * TASKS
        assert await w.until(lambda: replaced.leadership("east"), 10)
