"""Renewal deadlines of leaders, the preferred controller, and fencing of former leaders."""

from datetime import timedelta

import trio

from roadbend import clock
from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.partitions import policy
from roadbend.peers.heartbeat import PeerState
from roadbend.store import keys

S = timedelta(seconds=1)
T = clock.ORIGIN + 1000 * S


def until(last_read_at, *watermarks):
    peers = [PeerState(cancellation_watermark=at) for at in watermarks]
    return policy.renew_until(last_read_at, peers, 38 * S, 18 * S, 2 * S)


def test_a_refused_controller_renews_only_as_long_as_a_cancellation_leaves_time():
    end = until(T, T, T)
    # The last answer plus a full worker lease ends within cancel_s of any unknown cancellation.
    assert T + 17 * S < end < T + 18 * S
    assert end + 18 * S < T + 38 * S


def test_hearing_every_peer_lifts_the_limit_and_missing_one_does_not():
    assert until(T, T + 60 * S, T + 60 * S) > T + 70 * S
    assert until(T, T + 60 * S, None) == until(T, T, T)


def test_a_controller_without_contact_since_its_start_renews_nothing():
    assert until(None, T, T) is None


def test_a_controller_of_the_zone_is_preferred_and_else_everyone_names_the_same():
    zones = {"n1": "east", "n2": "west", "n3": "north"}
    assert policy.preferred_controller("west", zones, ["n1", "n2", "n3"]) == "n2"
    first = policy.preferred_controller("west", zones, ["n1", "n3"])
    assert first == policy.preferred_controller("west", zones, ["n3", "n1"]) in ("n1", "n3")
    assert policy.preferred_controller("west", zones, []) is None


async def test_a_former_leaders_late_transaction_fails():
    async with world() as w:
        controller = w.controllers["node-0"]
        mod_revision = controller.election.leadership("east").mod_revision
        late = {
            "when": [{"path": keys.term_key("east"), "stamp": mod_revision}],
            "apply": [{"write": "r/slice/east/run-9", "value": {}}],
        }
        w.crash(0)
        assert await w.until(lambda: w.leader_of("east") is not None, 20)
        assert w.state.compare_and_swap(late).status == 409


async def test_two_who_race_for_a_partition_never_both_get_it():
    async with world() as w:
        w.crash(0)
        seen = set()
        for _ in range(200):
            await trio.sleep(0.1)
            leaders = [
                name
                for name, controller in w.controllers.items()
                if controller.election.leadership("east")
            ]
            assert len(leaders) <= 1
            seen.update(leaders)
        assert len(seen) == 1


async def test_whoever_hears_of_a_higher_term_steps_down_at_once():
    async with world() as w:
        controller = w.controllers["node-0"]
        mine = controller.election.leadership("east")
        controller.election.depose("east", mine.term)
        assert controller.election.leadership("east") == mine
        controller.election.depose("east", mine.term + 1)
        assert controller.election.leadership("east") is None and "east" not in controller.leaders


async def test_a_leader_that_its_workers_cannot_reach_gives_the_partition_up():
    async with world() as w:
        assert await w.submit(1, job(1, shape="daemon", yard="east", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        machine = next(iter(w.board.machines_by_task["run-000001/0"]))
        w.network.block(machine, "node-0")
        assert await w.until(lambda: w.leader_of("east") in ("node-1", "node-2"), 18)
        await trio.sleep(20)
        assert w.board.running("run-000001") and len(w.board.starts) == 1


async def test_others_name_the_leader_and_a_heartbeat_for_no_partition_is_refused():
    async with world() as w:
        body = {
            "hitch": "m-9",
            "address": "m-9:1",
            "rig": "g2",
            "yard": "east",
            "loaners": False,
            "stint": 1,
            "tick": 1,
            "baton": 0,
            "recallS": None,
            "legs": [],
        }
        assert await w.call(1, "POST", "/hello", body) == (421, {"dispatcher": "node-0"})
        assert (await w.call(0, "POST", "/hello", body))[0] == 200
        assert (await w.call(0, "POST", "/hello", body))[0] == 503, (
            "an old report is not answered twice"
        )
        assert (await w.call(0, "POST", "/hello", {**body, "yard": "moon"}))[0] == 503
        assert (await w.call(0, "POST", "/hello", {**body, "tick": -1}))[0] == 400
