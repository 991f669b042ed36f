"""The decisions of the election policy, given a controller's knowledge and the time."""

from dataclasses import replace
from datetime import timedelta

import pytest

from roadbend import clock
from roadbend.partitions.leadership import Leadership, LossReason
from roadbend.partitions.policy import Action, ControllersState, Decision, PartitionState, decide
from roadbend.peers.heartbeat import PeerHeartbeat, PeerState, RequestRates
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord

S = timedelta(seconds=1)
T = clock.ORIGIN + 1000 * S
OPERATOR = OperatorSettings()
ZONES = {"n1": "east", "n2": "west"}
OURS = LeaderRecord("n1", "i1", 7)
LEADING = Leadership("west", 7, 70, T - 100 * S)


def controllers(**alive_since):
    """Build what n1, of the east, knows while it and the named controllers are alive."""
    heartbeat = PeerHeartbeat("i2", 100 * S, S, RequestRates(0.0, 0.0, 0.0))
    peers = {"n2": PeerState(heartbeat=heartbeat, requested_at=T, received_at=T)}
    return ControllersState("n1", "i1", ZONES, {"n1": T - 100 * S, **alive_since}, peers)


def partition(name="west", **known):
    state = PartitionState(name, None, None, T, 0, False, frozenset())
    return replace(state, **known)


def decision(state, known=None, now=T):
    return decide(state, known or controllers(n2=T - 100 * S), OPERATOR, now)


def test_a_partition_without_a_leader_goes_to_its_own_zone_at_once_and_to_others_later():
    assert decision(partition("east")).action is Action.ACQUIRE
    grace = OPERATOR.takeover_grace * 2
    assert decision(partition(), now=T + grace * 0.99).action is Action.NOTHING
    assert decision(partition(), now=T + grace).action is Action.ACQUIRE
    # No other controller is alive: n1 is preferred, but the west's own one may be starting.
    alone = controllers()
    assert decision(partition(), alone, T + grace / 2 * 0.99).action is Action.NOTHING
    assert decision(partition(), alone, T + grace / 2).action is Action.ACQUIRE


def test_a_controller_that_was_silent_for_a_whole_lease_is_not_waited_for():
    """Guards against workers' leases that expire in a second wait for a dead controller."""
    lease, grace = OPERATOR.own_lease, OPERATOR.takeover_grace
    alone, leaderless = controllers(), partition(leaderless_since=T + lease - grace / 2)
    assert decision(leaderless, alone, T + lease * 0.99).action is Action.NOTHING
    assert decision(leaderless, alone, T + lease).action is Action.ACQUIRE
    # No reply since we started, but we started recently.
    lately = replace(alone, began_at=T + lease * 0.5)
    assert decision(leaderless, lately, T + lease).action is Action.NOTHING
    assert decision(leaderless, lately, T + lease + grace / 2).action is Action.ACQUIRE
    # A zone without a controller of its own.
    stray = partition("south", leaderless_since=T)
    assert decision(stray, alone, T + grace * 0.99).action is Action.NOTHING


@pytest.mark.parametrize(
    "was_led, others, acquired",
    [(True, {}, True), (False, {}, False), (True, {"n3": T - 100 * S}, False)],
    ids=["led-and-alone", "never-led", "others-live"],
)
def test_a_controller_that_is_alone_acquires_what_was_led_at_once(was_led, others, acquired):
    """Guards against a cold restart in which the first controller waits twice for the others."""
    state = decision(partition(was_led=was_led), controllers(**others))
    assert (state.action is Action.ACQUIRE) == acquired


def test_a_partition_that_was_given_up_is_left_to_others_if_there_are_any():
    given_up = partition("east", acquisition_held=True)
    assert decision(given_up, now=T + 100 * S).action is Action.NOTHING
    assert decision(given_up, controllers(), T + 100 * S).action is Action.ACQUIRE


def test_a_leadership_ends_with_its_record():
    gone = decision(partition(leadership=LEADING))
    assert gone == Decision(Action.NOTHING, LossReason.RECORD_MISSING)
    theirs = LeaderRecord("n2", "i2", 8)
    taken = decision(partition(recorded=theirs, leadership=LEADING))
    assert taken == Decision(Action.NOTHING, LossReason.LED_BY_ANOTHER)
    assert decision(partition(recorded=theirs)) == Decision(Action.NOTHING)


def test_a_record_of_ours_without_a_leadership_is_released_or_acquired_anew():
    assert decision(partition(recorded=OURS)) == Decision(Action.RELEASE)
    former = replace(OURS, incarnation="i0")
    assert decision(partition(recorded=former)) == Decision(Action.ACQUIRE)
    unconfirmed = partition(recorded=OURS, is_unconfirmed=True)
    assert decision(unconfirmed) == Decision(Action.ACQUIRE)


@pytest.mark.parametrize("lost_term, raised", [(0, False), (6, False), (7, True), (8, True)])
def test_a_term_that_the_records_lost_is_raised_from_ours_on(lost_term, raised):
    state = partition("east", recorded=OURS, leadership=LEADING, lost_term=lost_term)
    assert decision(state) == Decision(Action.RAISE_TERM if raised else Action.NOTHING)


def test_a_partition_fails_back_to_its_own_zone_once_that_is_alive_for_long_enough():
    state = partition(recorded=OURS, leadership=LEADING)
    assert decision(state) == Decision(Action.FAIL_BACK, LossReason.FAILED_BACK, "n2")
    stays = Decision(Action.NOTHING)
    after = OPERATOR.hand_back_after
    assert decision(state, controllers(n2=T - after * 0.99)) == stays
    lately = replace(LEADING, acquired_at=T - after * 0.99)
    assert decision(replace(state, leadership=lately)) == stays
    assert decision(replace(state, held_failbacks=frozenset({"n2"}))) == stays
    assert decision(replace(state, held_failbacks=frozenset({"n3"}))).failback_to == "n2"
    # Our own zone's partition stays with us, whoever else is alive.
    assert decision(partition("east", recorded=OURS, leadership=LEADING)) == stays


def test_a_partition_does_not_fail_back_to_a_controller_that_could_not_lead_it():
    state, known = partition(recorded=OURS, leadership=LEADING), controllers(n2=T - 100 * S)
    peer = known.peers["n2"]
    for last_read_age in (None, 2.1 * S):
        heartbeat = replace(peer.heartbeat, last_read_age=last_read_age)
        deaf = replace(known, peers={"n2": replace(peer, heartbeat=heartbeat)})
        assert decision(state, deaf).action is Action.NOTHING
    silent = replace(known, peers={"n2": replace(peer, received_at=T - 10 * S)})
    assert decision(state, silent).action is Action.NOTHING
    assert decision(state, replace(known, peers={})).action is Action.NOTHING
