"""What the real program of the version in production does in a deployment in memory.

Where a test has both, the fake that plays that version elsewhere does the same. The tests state
what is: that version knows no gangs, and it will not change. Where it meets gangs it is the only
controller, since another one that knows them would lead the partition instead
(tests/scenarios/test_gangs_in_a_roll.py).
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
# One task to a machine.
CPUS = 16.0
# An attempt's number has the leader's term above so many bits.
ATTEMPT_BITS = 32
BOTH = pytest.mark.parametrize(
    "version", [PreviousVersionController, ProductionController], ids=["fake", "real"]
)


async def restart_leader_as(w: World, version: type) -> None:
    """Restart the controller of the east in a version, which leads the east again."""
    w.crash(0)
    await trio.sleep(0.5)
    w.start(0, version)
    assert await w.until_ready()
    assert w.leader_of("east") == "node-0"


async def begin_gang(w: World) -> None:
    """Start a gang in the east, under a leader of today's version."""
    assert await w.submit(0, gang(1, TASKS, yard="east", vcpus=CPUS), 300) == 201
    assert await w.until(lambda: states(w) == ["running"] * TASKS, 60)


def states(w: World) -> list[str]:
    """Return the states of the gang's tasks that machines hold, in order."""
    return sorted(
        task.state for worker in w.workers() for task in worker.tasks.values() if task.job == GANG
    )


def received(w: World, verb: str, since: float) -> list[ReceivedOrder]:
    """Return the orders about the first job that changed something on machines since an instant."""
    return [
        order
        for order in w.board.received
        if order.verb == verb and order.effective and order.at >= since and is_of_first_job(order)
    ]


def is_of_first_job(order: ReceivedOrder) -> bool:
    """Tell whether an order is about a task of the first job, in most tests a gang."""
    return order.task.startswith(f"{GANG}/")


def test_a_commit_that_is_not_in_the_repository_is_an_error(tmp_path):
    with pytest.raises(ProductionSourcesError, match="can't read commit 0123abc"):
        production_program.unpack_sources("0123abc", tmp_path)
    assert list(tmp_path.iterdir()) == []


def test_the_sources_can_be_unpacked_by_several_at_a_time(tmp_path):
    commit = production_program.production_commit()
    with ThreadPoolExecutor(4) as pool:
        made = pool.map(production_program.unpack_sources, [commit] * 4, [tmp_path] * 4)
    assert set(made) == {tmp_path / commit / production_program.RENAMED_PACKAGE}
    assert [path.name for path in tmp_path.iterdir()] == [commit]


def test_the_program_is_of_its_own_modules_alone():
    node = production_program.program_module("node")
    assert node.Server.__module__ == "roadbend_production.http.server"
    assert node.clock.__name__ == "roadbend_production.clock"
    # No gangs, under any name.
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
    """The gang's other tasks end by themselves when they miss the one that was stopped."""
    async with world(count=1, teams=TEAMS, capacity=TASKS) as w:
        await begin_gang(w)
        await trio.sleep(8)
        restarted = trio.current_time()
        await restart_leader_as(w, version)
        await trio.sleep(5)
        # A change of leader alone stops nothing.
        assert received(w, "kill", restarted) == [] and states(w) == ["running"] * TASKS
        urgent = job(2, yard="east", rank="production", vcpus=CPUS, crew="blue", loaners=False)
        assert await w.submit(0, urgent, 60) == 201
        assert await w.until(lambda: w.board.running(OTHER), 30)
        told = {order.task for order in received(w, "kill", restarted)}
        assert len(told) == 1
        assert len(received(w, "forget", restarted)) == TASKS


@BOTH
async def test_it_starts_the_tasks_of_a_gang_singly_once_a_machine_is_lost(version):
    """Each has an attempt number of its own, so none finds the others, and the gang never runs.

    Today's version gathers them under one number when it leads again.
    """
    async with world(count=1, teams=TEAMS, capacity=2 * TASKS) as w:
        await begin_gang(w)
        await trio.sleep(8)
        await restart_leader_as(w, version)
        await trio.sleep(5)
        lost = next(worker for worker in w.workers() if worker.tasks)
        w.nursery.start_soon(lost.hang, 600)
        hung = trio.current_time()
        assert await w.until(lambda: len(received(w, "run", hung)) >= TASKS, 40)
        # While tasks wait for others, and longer.
        await trio.sleep(60)
        orders = received(w, "run", hung)
        assert len({order.attempt for order in orders}) == len(orders) > TASKS
        assert received(w, "kill", hung) == [] and "running" not in states(w)
        w.crash(0)
        await trio.sleep(0.5)
        w.start(0)
        assert await w.until(lambda: states(w) == ["running"] * TASKS, 60)


async def gather_all_but_one(w: World) -> FakeWorker:
    """Let a gang's tasks gather, but for one whose machine hangs for 12 s; return its worker."""
    assert await w.submit(0, gang(1, TASKS, yard="east", vcpus=CPUS), 300) == 201
    assert await w.until(lambda: states(w) == ["fetching"] * TASKS, 60, 0.02)
    late = next(worker for worker in w.workers() if worker.tasks)
    w.nursery.start_soon(late.hang, 12)
    assert await w.until(lambda: states(w) == ["fetching", *["gathering"] * (TASKS - 1)], 3)
    return late


@BOTH
async def test_it_lets_tasks_that_gather_go_on(version):
    """It neither stops nor forgets them, and the gang begins under its first attempt's number."""
    async with world(count=1, teams=TEAMS, capacity=2 * TASKS) as w:
        late = await gather_all_but_one(w)
        restarted = trio.current_time()
        await restart_leader_as(w, version)
        await trio.sleep(5)
        assert late.hung and states(w) == ["fetching", *["gathering"] * (TASKS - 1)]
        assert await w.until(lambda: states(w) == ["running"] * TASKS, 15)
        await trio.sleep(10)
        assert states(w) == ["running"] * TASKS
        for verb in ("run", "kill", "forget"):
            assert received(w, verb, restarted) == []


@pytest.fixture
def acquire_from_leader(monkeypatch):
    """Let a controller of today's version acquire a partition, whoever leads it.

    Its election does it in its next round, by the same transaction as from a leader that is gone.
    """
    decide = policy.decide
    wanted: set[tuple[str, str]] = set()

    def decide_as_wanted(partition, controllers, operator, now):
        leader = partition.recorded and partition.recorded.controller
        if (controllers.name, partition.name) in wanted and leader != controllers.name:
            return Decision(Action.REPLACE_LEADER)
        return decide(partition, controllers, operator, now)

    async def acquire(w: World, controller: str, partition: str) -> None:
        wanted.add((controller, partition))
        election = w.controllers[controller].election
        assert await w.until(lambda: election.leadership(partition), 2, 0.01)
        wanted.clear()

    monkeypatch.setattr(policy, "decide", decide_as_wanted)
    return acquire


@BOTH
async def test_it_stops_leading_at_once_when_a_peer_acquires_its_partition(
    version, acquire_from_leader
):
    """Nothing is stopped or begun by that, and it does not take the partition back by itself.

    After 25 s the peer hands it back. An array runs there: with a gang the peers do so unasked.
    """
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        array = job(1, legs=TASKS, yard="east", vcpus=CPUS, dueS=30.0, loaners=False)
        assert await w.submit(0, array, 300) == 201
        assert await w.until(lambda: states(w) == ["running"] * TASKS, 60)
        await trio.sleep(8)
        await restart_leader_as(w, version)
        await trio.sleep(5)
        before = trio.current_time()
        older = w.controllers["node-0"].election
        term = older.leadership("east").term
        await acquire_from_leader(w, "node-1", "east")
        assert await w.until(lambda: older.leadership("east") is None, 0.5, 0.01)
        for _ in range(200):
            await trio.sleep(0.1)
            assert older.leadership("east") is None
            assert w.state.value("r/own/east")["node"] == "node-1"
        assert w.state.value("r/term/east") == {"n": term + 1, "node": "node-1"}
        for verb in ("run", "kill", "forget"):
            assert received(w, verb, before) == []
        assert states(w) == ["running"] * TASKS
        assert await w.until(lambda: older.leadership("east"), 10)
