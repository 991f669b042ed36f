"""When a partition is acquired before its silent leader's lease expires."""

from dataclasses import replace
from datetime import timedelta

import pytest

from roadbend import clock
from roadbend.partitions.policy import (
    Action,
    ControllersState,
    PartitionState,
    decide,
    preferred_controller,
)
from roadbend.partitions.unserved import MachineCounts
from roadbend.peers.heartbeat import ALIVE_FOR, PeerState
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord

S = timedelta(seconds=1)
T = clock.ORIGIN + 1000 * S
OPERATOR = OperatorSettings()
SILENCE, GRACE = OPERATOR.takeover_silence, OPERATOR.takeover_grace
ZONES = {"n1": "east", "n2": "west", "n3": "north"}
LEADER = LeaderRecord("n2", "i2", 8)
WEST = PartitionState(
    name="west",
    recorded=LEADER,
    leadership=None,
    leaderless_since=T,
    lost_term=0,
    acquisition_held=False,
    held_failbacks=frozenset(),
    machines=MachineCounts(running=10, unserved=6),
)


def controllers(silent_for=SILENCE, other_silent_for=timedelta(0), began_at=clock.ORIGIN):
    """Build what n1 knows: for how long n2, the leader, and n3 have been silent."""
    return ControllersState(
        name="n1",
        incarnation="i1",
        zones=ZONES,
        alive_since={"n1": T - 100 * S, "n2": T - 100 * S, "n3": T - 100 * S},
        peers={
            "n2": PeerState(received_at=T - silent_for),
            "n3": PeerState(received_at=T - other_silent_for),
        },
        began_at=began_at,
    )


def action(state=WEST, known=None):
    return decide(state, known or controllers(), OPERATOR, T).action


def test_a_silent_leader_whose_workers_turn_to_us_is_replaced():
    """Guards against workers' leases that expire during a wait for a dead leader's lease."""
    assert action() is Action.REPLACE_LEADER


@pytest.mark.parametrize(
    "known",
    [controllers(SILENCE * 0.99), controllers(began_at=T - SILENCE * 0.99)],
    ids=["heard-lately", "we-began-lately"],
)
def test_a_leader_that_was_silent_for_less_long_is_not_replaced(known):
    """Guards against replacing a leader because one or two heartbeats were lost."""
    assert action(known=known) is Action.NOTHING


@pytest.mark.parametrize("began_ago, replaced", [(0.99, False), (1.0, True)])
def test_a_leader_that_we_have_never_heard_is_replaced_sooner(began_ago, replaced):
    """Guards against a cold restart in which the first controller waits too long for the others."""
    known = controllers(began_at=T - ALIVE_FOR * began_ago)
    known = replace(known, peers={**known.peers, "n2": PeerState()})
    assert action(known=known) is (Action.REPLACE_LEADER if replaced else Action.NOTHING)


@pytest.mark.parametrize("running, unserved", [(0, 0), (10, 0), (10, 5), (1, 0)])
def test_a_leader_that_may_serve_half_of_its_workers_is_not_replaced(running, unserved):
    """Guards against replacing a leader that only we can't reach."""
    assert action(replace(WEST, machines=MachineCounts(running, unserved))) is Action.NOTHING


def test_a_partition_that_we_gave_up_is_not_taken_from_its_leader():
    """Guards against a partition that flaps between leaders."""
    assert action(replace(WEST, acquisition_held=True)) is Action.NOTHING


def test_the_preferred_one_of_those_who_are_heard_goes_first():
    """Guards against two controllers that always race, and against waiting for a silent one."""
    ours = {name for name in ("south", "up", "down", "left") if _first_in(name) == "n1"}
    theirs = {name for name in ("south", "up", "down", "left") if _first_in(name) == "n3"}
    assert ours and theirs
    for name in ours:
        assert action(replace(WEST, name=name)) is Action.REPLACE_LEADER
    for name in theirs:
        state = replace(WEST, name=name)
        assert action(state) is Action.NOTHING
        assert action(state, controllers(SILENCE + GRACE)) is Action.REPLACE_LEADER
        assert action(state, controllers(other_silent_for=4 * S)) is Action.REPLACE_LEADER


def _first_in(partition):
    return preferred_controller(partition, ZONES, ["n1", "n3"])
