"""Workers of a leader that is silent to all hosts only try the live controllers.

Running tasks were restarted because a controller redirected workers to a leader that had been
silent for most of their leases: they waited there while the controller acquired their partition
(docs/incidents/2026-12-redirected-to-a-silent-leader.md).
"""

from collections import defaultdict
from itertools import pairwise

import pytest
import trio

from roadbend import clock
from roadbend.fakes.previous_version import PreviousVersionController, Version0100Controller
from roadbend.fakes.submission import job
from roadbend.fakes.worker import RETRY_PAUSE_S
from roadbend.fakes.world import World, world
from roadbend.fleet.worker_timing import MAX_FAILED_REDIRECT
from roadbend.partitions.unserved import UnservedMachinesQuery
from roadbend.settings import Team
from tests.scenarios.test_silent_leaders import (
    ACQUISITION_S,
    LONG_S,
    TEAMS,
    run_tasks,
    term,
    workers_of,
)

# The delay between the isolation of the leader and the outage of the state store, which begins
# before the leader counts as failed.
OUTAGE_DELAY_S = 4.5
# A worker that is not served tries two live controllers in turn: one makes it wait, the other one
# redirects it.
LIVE_RETRY_ROUND_S = RETRY_PAUSE_S + 0.5
PEERS = [("node-0", "node-1"), ("node-0", "node-2")]


def east_workers(w: World) -> list:
    """Return the workers with tasks in the partition that node-0 leads."""
    return [worker for worker in w.workers() if worker.zone == "east" and worker.tasks]


async def isolate_leader_after_heartbeat(w: World, length: float) -> None:
    """Isolate node-0 from all other hosts, just after one of its workers has renewed its lease."""
    worker = east_workers(w)[0]
    renewed_at = worker.lease.renewed_at
    assert await w.until(lambda: worker.lease.renewed_at > renewed_at, 5, 0.01)
    others = ("state", "node-1", "node-2", *w.cloud.machines)
    w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], length)


def first_lease_expiry(w: World) -> float:
    """Return when the first lease of a worker of node-0 expires, in seconds."""
    return min(worker.lease.renewed_at + worker.settings.lease_s for worker in east_workers(w))


@pytest.mark.parametrize("restored_before_expiry", [3.0, 4.0, 5.0])
@pytest.mark.parametrize("offset", [0.0, 0.7])
async def test_workers_reach_the_new_leader_within_their_leases(restored_before_expiry, offset):
    """Guards against a redirect to the silent leader just before its partition is acquired."""
    assert restored_before_expiry > ACQUISITION_S + LIVE_RETRY_ROUND_S
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        before = term(w)
        await isolate_leader_after_heartbeat(w, 60)
        await trio.sleep(OUTAGE_DELAY_S + offset)
        await w.outage(first_lease_expiry(w) - restored_before_expiry - trio.current_time())
        within = ACQUISITION_S + LIVE_RETRY_ROUND_S
        new_token = (before + 1) << 16
        assert await w.until(
            lambda: all(worker.token >= new_token for worker in east_workers(w)), within, 0.05
        )
        await trio.sleep(40)
        assert (len(w.board.starts), term(w)) == (start_count, before + 1)


@pytest.mark.parametrize("store_out", [False, True], ids=["store-in", "store-out"])
@pytest.mark.parametrize("lost_s", [2, 5])
@pytest.mark.parametrize("lost_by", ["one", "all"])
@pytest.mark.parametrize("peers_lost_before", [0, 20])
async def test_workers_find_a_leader_that_only_its_peers_have_lost(
    store_out, lost_s, lost_by, peers_lost_before
):
    """Guards against workers that are kept from the only leader that may answer them."""
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        w.nursery.start_soon(w.block_pairs, PEERS, peers_lost_before + 40)
        await trio.sleep(peers_lost_before)
        workers = workers_of(w)[: 1 if lost_by == "one" else None]
        w.nursery.start_soon(w.block_pairs, [("node-0", name) for name in workers], lost_s)
        await trio.sleep(2)
        if store_out:
            await w.outage(12)
        await trio.sleep(40)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


@pytest.mark.parametrize("reaches_cloud", [False, True], ids=["without-cloud", "with-cloud"])
@pytest.mark.parametrize("cut_s", [3, 5, 7, 10])
async def test_workers_find_a_leader_that_is_heard_silent_and_heard_again(cut_s, reaches_cloud):
    """Guards against workers that avoid a leader which responds again.

    The leader is reachable for as long as a worker may wait for a response after a redirect.
    """
    reachable_s = MAX_FAILED_REDIRECT.total_seconds()
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        others = ["state", "node-1", "node-2", *w.cloud.machines]
        if not reaches_cloud:
            others.append("cloud")
        pairs = [("node-0", other) for other in others]
        w.nursery.start_soon(w.outage, 2 * (cut_s + reachable_s))
        for _ in range(2):
            await w.block_pairs(pairs, cut_s)
            await trio.sleep(reachable_s)
        await trio.sleep(40)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


@pytest.mark.parametrize("cut_s, outage", [(20, 0), (20, 4), (20, 8), (60, 0)])
async def test_no_task_begins_again_when_a_leader_loses_its_workers_alone(cut_s, outage):
    """Guards against a partition that waits for a leader which its workers can't reach."""
    async with world(teams=TEAMS) as w:
        start_count = await run_tasks(w)
        pairs = [("node-0", machine) for machine in w.cloud.machines]
        w.nursery.start_soon(w.block_pairs, pairs, cut_s)
        await trio.sleep(OUTAGE_DELAY_S)
        await w.outage(outage)
        await trio.sleep(cut_s + 30)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


@pytest.mark.parametrize("older_at", [1, 2])
@pytest.mark.parametrize(
    "older", [PreviousVersionController, Version0100Controller], ids=["production", "0.10.0"]
)
async def test_workers_reach_the_new_leader_beside_a_controller_of_an_older_version(
    older, older_at
):
    """Rolling upgrade: guards against redirects of the older controller that undo newer ones."""
    async with world(teams=TEAMS) as w:
        w.crash(older_at)
        w.start(older_at, older)
        assert await w.until_ready()
        start_count = await run_tasks(w)
        others = ("state", "node-1", "node-2", *w.cloud.machines)
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 60)
        await trio.sleep(2.5)
        await w.outage(6)
        await trio.sleep(60)
        assert await w.until_ready()
        assert len(w.board.starts) == start_count


async def test_both_live_controllers_count_workers_that_go_round_between_them():
    """Guards against a controller that may acquire first and does not know the workers."""
    async with world(teams=TEAMS) as w:
        await run_tasks(w)
        before = term(w)
        await isolate_leader_after_heartbeat(w, 60)
        await trio.sleep(OUTAGE_DELAY_S)
        w.nursery.start_soon(w.outage, 30)
        machines = [worker.machine for worker in east_workers(w)]

        def all_counted(name: str) -> bool:
            controller = w.controllers[name]
            received_at = controller.peers.links["node-0"].peer_state.received_at
            query = UnservedMachinesQuery("east", before, received_at, machines)
            return controller.fleet.count_unserved(query, clock.now()) == len(machines)

        within = first_lease_expiry(w) - trio.current_time()
        assert await w.until(lambda: all_counted("node-1") and all_counted("node-2"), within, 0.05)


async def test_many_workers_that_go_round_ask_each_controller_once_a_second_at_most():
    """Guards against heartbeats that overload the live controllers."""
    tasks = 200
    teams = {"red": Team("red", 0, 0, tasks, tasks)}
    async with world(teams=teams, capacity=tasks) as w:
        body = job(1, legs=tasks, yard="east", dueS=None)
        assert await w.submit(0, body, LONG_S) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) == tasks, 200)
        await trio.sleep(5)
        workers = east_workers(w)
        assert len(workers) >= tasks / 2
        heartbeat_times = defaultdict(list)
        for worker in workers:
            worker.heartbeat_listeners.append(
                lambda worker, _body: heartbeat_times[worker.machine, worker._controller].append(
                    trio.current_time()
                )
            )
        await isolate_leader_after_heartbeat(w, 60)
        await trio.sleep(OUTAGE_DELAY_S)
        w.nursery.start_soon(w.outage, 10)
        while trio.current_time() < first_lease_expiry(w) - 3:
            # Meanwhile users get an immediate response, even if it only says to retry.
            assert (await w.call(1, "GET", "/v1/jobs/run-000001", within=2))[0] in (200, 503)
            await trio.sleep(1)
        pauses = [
            later - earlier
            for (_machine, controller), times in heartbeat_times.items()
            if controller != "node-0"
            for earlier, later in pairwise(times)
        ]
        assert len(pauses) > len(workers)
        assert min(pauses) >= RETRY_PAUSE_S
        await trio.sleep(40)
        assert len(w.board.starts) == tasks
