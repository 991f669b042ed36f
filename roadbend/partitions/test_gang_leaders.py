"""Partitions with gangs are led by controllers that support gangs, if there are any."""

from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest

from roadbend import clock
from roadbend.fakes.platform import settings_for
from roadbend.partitions.election_state import Action, ControllersState, PartitionState
from roadbend.partitions.hold_offs import HoldOffs
from roadbend.partitions.leadership import Leadership
from roadbend.partitions.live_controllers import LiveControllers
from roadbend.partitions.partition_observation import PartitionObserver
from roadbend.partitions.policy import decide
from roadbend.peers.frames import GANGS_EXTENSION
from roadbend.peers.heartbeat import ALIVE_FOR, PeerHeartbeat, PeerState, RequestRates
from roadbend.settings import OperatorSettings
from roadbend.store import keys
from roadbend.store.record_view import RecordView
from roadbend.store.records import LeaderRecord

S = timedelta(seconds=1)
T = clock.ORIGIN + 1000 * S
OPERATOR = OperatorSettings()
GRACE = OPERATOR.takeover_grace
# The decisions are those of n1; n2, of the west, runs a version without gangs.
ZONES = {"n1": "east", "n2": "west", "n3": "north"}
WEST = PartitionState(
    name="west",
    recorded=LeaderRecord("n2", "i2", 8),
    leadership=None,
    leaderless_since=T,
    lost_term=0,
    acquisition_held=False,
    held_failbacks=frozenset(),
    holds_gangs=True,
    gangs_at_risk_since=T - 2 * GRACE,
)
LEADERLESS = replace(WEST, recorded=None, gangs_at_risk_since=None)
OURS = replace(
    WEST,
    recorded=LeaderRecord("n1", "i1" + GANGS_EXTENSION, 8),
    leadership=Leadership("west", 8, 80, T - 100 * S),
    gangs_at_risk_since=None,
)


def replied_peer(incarnation, ago=S):
    """Build the state of a peer that answered a heartbeat some time ago."""
    heartbeat = PeerHeartbeat(incarnation, 100 * S, S, RequestRates(0.0, 0.0, 0.0))
    return PeerState(heartbeat=heartbeat, requested_at=T - ago, received_at=T - ago)


def controllers(leader_silent_for=S, leader="i2", third="i3" + GANGS_EXTENSION, led=("east",)):
    """Build what n1 knows: the leader's last reply, the version of n3, the partitions n1 leads."""
    without_gangs = {"n2"} if third.endswith(GANGS_EXTENSION) else {"n2", "n3"}
    return ControllersState(
        name="n1",
        incarnation="i1" + GANGS_EXTENSION,
        zones=ZONES,
        alive_since={"n1": T - 100 * S, "n2": T - 100 * S, "n3": T - 100 * S},
        peers={"n2": replied_peer(leader, leader_silent_for), "n3": replied_peer(third)},
        led=led,
        without_gangs=frozenset(without_gangs),
    )


def action(state=WEST, known=None):
    return decide(state, known or controllers(), OPERATOR, T).action


def test_a_live_leader_without_gangs_of_a_partition_with_gangs_is_replaced():
    """Guards against gangs that are stopped task by task by a leader that does not support them."""
    assert action() is Action.REPLACE_LEADER_WITHOUT_GANGS


@pytest.mark.parametrize(
    "changes",
    [
        {"gangs_at_risk_since": None, "holds_gangs": False},
        {"acquisition_held": True},
        {"was_unreachable": True},
    ],
    ids=["no gangs", "given up lately", "its workers did not reach us"],
)
def test_it_leads_on_where_no_gang_is_at_risk_or_we_could_not_serve_its_machines(changes):
    assert action(replace(WEST, **changes)) is Action.NOTHING


@pytest.mark.parametrize(
    "known",
    [
        controllers(leader_silent_for=ALIVE_FOR),
        controllers(leader="i1"),
        controllers(led=()),
        controllers(led=("north",)),
        controllers(led=("east", "north")),
    ],
    ids=[
        "leader not heard",
        "heard in its former life",
        "we lead nothing",
        "not our own zone",
        "we lead another zone's, too",
    ],
)
def test_it_leads_on_where_its_machines_may_not_reach_us_or_we_lead_enough(known):
    assert action(known=known) is Action.NOTHING


@pytest.mark.parametrize(
    "led, zones",
    [((), {"n1": "west", "n2": "west", "n3": "north"}), (("east", "south"), ZONES)],
    ids=["it leads the partition of our own zone", "we lead one that nobody is at home in"],
)
def test_a_leader_without_gangs_is_replaced_where_we_can_lead_the_partition(led, zones):
    """Guards against gangs left to it in zones with two controllers, or with none."""
    known = replace(controllers(led=led), zones=zones)
    assert action(known=known) is Action.REPLACE_LEADER_WITHOUT_GANGS


@pytest.mark.parametrize("led", [(), ("north",)], ids=["we lead nothing", "we lead another zone's"])
def test_the_leader_of_our_own_zones_partition_is_replaced_whatever_we_lead(led):
    """Guards against a controller that must lead its own zone's partition to acquire just that."""
    at_home = replace(controllers(led=led), zones={**ZONES, "n1": "west"})
    assert action(replace(WEST, gangs_at_risk_since=T), at_home) is (
        Action.REPLACE_LEADER_WITHOUT_GANGS
    )


def test_of_those_who_know_gangs_the_preferred_one_goes_first_and_the_others_a_grace_later():
    """Guards against a partition that nobody acquires because the preferred one is at its limit."""
    known = replace(controllers(), zones={**ZONES, "n3": "west"})
    just_now = replace(WEST, gangs_at_risk_since=T)
    assert action(just_now, known) is Action.NOTHING
    a_grace_ago = replace(WEST, gangs_at_risk_since=T - GRACE)
    assert action(a_grace_ago, known) is Action.REPLACE_LEADER_WITHOUT_GANGS
    # A peer without support for gangs does not get a head start.
    third_is_older = replace(controllers(third="i3"), zones=known.zones)
    assert action(just_now, third_is_older) is Action.REPLACE_LEADER_WITHOUT_GANGS


def test_one_that_knows_gangs_and_is_not_heard_any_more_does_not_go_first():
    """Guards against waiting a grace period for a controller that is down."""
    known = replace(controllers(), zones={**ZONES, "n3": "west"})
    gone = replace(
        known, peers={**known.peers, "n3": replied_peer("i3" + GANGS_EXTENSION, ALIVE_FOR)}
    )
    just_now = replace(WEST, gangs_at_risk_since=T)
    assert action(just_now, gone) is Action.REPLACE_LEADER_WITHOUT_GANGS


def test_a_partition_with_gangs_that_has_no_leader_is_not_left_to_its_own_older_controller():
    alone = controllers(third="i3")
    assert action(LEADERLESS, alone) is Action.ACQUIRE
    assert action(replace(LEADERLESS, holds_gangs=False), alone) is Action.NOTHING
    assert action(LEADERLESS, replace(alone, led=("east", "north"))) is Action.NOTHING


@pytest.mark.parametrize(
    "state, known, expected",
    [
        (OURS, controllers(led=("east", "west")), Action.NOTHING),
        (replace(OURS, holds_gangs=False), controllers(led=("east", "west")), Action.FAIL_BACK),
        (
            OURS,
            replace(controllers(led=("east", "west")), without_gangs=frozenset()),
            Action.FAIL_BACK,
        ),
        (OURS, controllers(led=("east", "west", "north")), Action.FAIL_BACK),
    ],
    ids=["kept", "no gangs", "its controller knows gangs", "we lead too many"],
)
def test_a_partition_with_gangs_does_not_fail_back_to_a_controller_without_gangs(
    state, known, expected
):
    """Guards against a partition with gangs that flaps between leaders."""
    assert action(state, known) is expected


def observer(*gangs, assigned=("west",), recorded=()):
    """Build an observer of records in which gangs are assigned or have attempts in partitions."""
    view = RecordView()
    revision = 1
    view.put(keys.leader_key("west"), {"node": "n2", "boot": "i2", "term": 8}, revision)
    for job in gangs:
        specification = ["red", "plans", 0, 1, 2, [1.0, 0.0, 1.0], None, None, 1, 0, 0, "i", 1.0]
        specification += [[1.0, 0.0, 0.0], None]
        value = {"s": specification, "at": 0, "a": {name: [[0, 2]] for name in assigned}}
        view.put(keys.job_key(job), value, revision)
        view.put(keys.gang_key(job), {}, revision)
        for name in recorded:
            shard = {"t": "red", "n": [1.0, 0.0, 1.0], "d": [], "r": [[8, "m-", [0, 1, "1"]]]}
            view.put(keys.slice_key(name, job, 0), shard, revision)
    return PartitionObserver(OPERATOR, view, HoldOffs())


@pytest.mark.parametrize(
    "seen, holds",
    [
        (observer("run-1"), True),
        (observer("run-1", assigned=("east",), recorded=("west",)), True),
        (observer("run-1", assigned=("east",)), False),
        (observer(), False),
    ],
    ids=["assigned", "still running", "elsewhere", "none"],
)
def test_a_partition_holds_the_gangs_that_it_is_to_run_or_runs(seen, holds):
    state = seen.observe("west", None, controllers(), T)
    assert state.holds_gangs is holds
    assert state.gangs_at_risk_since == (T if holds else None)
    # A later observation still reports the first time.
    assert seen.observe("west", None, controllers(), T + S).gangs_at_risk_since == (
        T if holds else None
    )


def test_gangs_are_looked_for_only_while_a_controller_without_gangs_lives_or_leads():
    """Guards against work per election step that grows with the number of gangs."""
    seen = observer("run-1", assigned=("east",))
    all_new = replace(controllers(), without_gangs=frozenset())
    assert seen.observe("east", None, controllers(), T).holds_gangs
    assert not seen.observe("east", None, all_new, T).holds_gangs


def test_gangs_are_looked_for_under_a_leader_without_gangs_that_is_not_among_the_live():
    """Guards against gangs left to such a leader because its controller record is missing."""
    seen = observer("run-1")
    none_live = replace(controllers(), without_gangs=frozenset())
    assert seen.observe("west", None, none_live, T).gangs_at_risk_since == T


def test_gangs_that_come_back_to_a_leader_without_gangs_are_at_risk_from_then_on():
    """Guards against a grace period counted from before the partition had another leader."""
    seen = observer("run-1")
    assert seen.observe("west", None, controllers(), T).gangs_at_risk_since == T
    knows_gangs = {"node": "n3", "boot": "i3" + GANGS_EXTENSION, "term": 9}
    seen._view.put(keys.leader_key("west"), knows_gangs, 100)
    assert seen.observe("west", None, controllers(), T + S).gangs_at_risk_since is None
    seen._view.put(keys.leader_key("west"), {"node": "n2", "boot": "i2", "term": 10}, 101)
    assert seen.observe("west", None, controllers(), T + 2 * S).gangs_at_risk_since == T + 2 * S


async def test_a_controllers_own_record_of_an_older_version_does_not_count():
    """Guards against a just upgraded controller that leaves its own gangs to others."""
    view, settings = RecordView(), settings_for(0, 3)
    for revision, name in enumerate(("node-0", "node-1"), 1):
        view.put(keys.controller_key(name), {"boot": "older"}, revision)
    live = LiveControllers(settings, "i1" + GANGS_EXTENSION, view, SimpleNamespace(links={}))
    assert live.observe((), T).without_gangs == {"node-1"}
