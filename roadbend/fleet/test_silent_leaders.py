"""Which silent leaders are avoided."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from roadbend import clock
from roadbend.fakes.platform import settings_for
from roadbend.fleet.avoidance_policy import avoidance_limits
from roadbend.fleet.silent_leaders import CHECK_INTERVAL, SilentLeaders
from roadbend.peers.heartbeat import PeerHeartbeat, RequestRates
from roadbend.peers.links import Peers
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord

S = timedelta(seconds=1)
HEARD = clock.ORIGIN + 1000 * S
SETTINGS, OPERATOR = settings_for(1, 3), OperatorSettings()
LIMITS = avoidance_limits(SETTINGS, OPERATOR)
LEADER = LeaderRecord("node-0", "i0", 4)
MACHINES = ("m-1", "m-2", "m-3", "m-4")
MOST, FEW = set(MACHINES[:3]), set(MACHINES[:2])


class Harness:
    """The view of node-1: node-0 leads east and is silent since HEARD; node-2 is live."""

    def __init__(self, turned=MOST, reported=()):
        self.turned, self.reported = turned, tuple(reported)
        self.view = SimpleNamespace(
            partition_leaders={"east": LEADER},
            attempts_by_machine={"east": dict.fromkeys(MACHINES)},
        )
        controller = SimpleNamespace(settings=SETTINGS, operator=OPERATOR, view=self.view)
        self.peers = Peers(None, SETTINGS.name, SETTINGS.peers)
        self.peers.links["node-0"].peer_state.received_at = HEARD
        self.leaders = SilentLeaders(controller, self.peers, lambda _query, _now: set(self.turned))

    def check_until(self, silence, first=timedelta(0)):
        """Check every second of the silence, from `first` on; return whether it is avoided."""
        now = HEARD + first
        while now < HEARD + silence:
            self.check(now)
            now += CHECK_INTERVAL
        self.check(HEARD + silence)
        return self.leaders.is_avoided("east", HEARD + silence)

    def check(self, now):
        """Check once, with a heartbeat of node-2 received just now."""
        other = self.peers.links["node-2"].peer_state
        other.received_at = now
        other.heartbeat = PeerHeartbeat(
            "i2", 100 * S, 0 * S, RequestRates(0, 0, 0), reporting_machines={"east": self.reported}
        )
        self.leaders.check(now)


@pytest.mark.parametrize(
    "turned, reported, avoided",
    [
        (MOST, (), True),
        (FEW, (), False),
        (FEW, MACHINES[2:3], True),
        (FEW, MACHINES[:2], False),
        ((), MACHINES[:3], True),
        ((), ("m-7", "m-8", "m-9"), False),
    ],
    ids=["here", "half", "here-and-there", "the-same", "there", "others"],
)
def test_a_leader_is_avoided_once_most_of_its_machines_have_turned_to_any_controller(
    turned, reported, avoided
):
    """Guards against avoiding a leader that is silent to this controller only."""
    assert Harness(turned, reported).check_until(LIMITS.min_silence) is avoided


def test_a_leader_is_avoided_only_while_a_redirect_may_cost_a_lease():
    """Guards against avoiding a leader that is back soon, and against endless redirects."""
    harness = Harness()
    assert not harness.check_until(LIMITS.min_silence - S)
    assert harness.check_until(LIMITS.min_silence)
    assert harness.check_until(LIMITS.max_silence - S)
    assert not harness.check_until(LIMITS.max_silence)


def test_a_leader_that_served_its_workers_without_its_peers_is_not_avoided():
    """Guards against avoiding a leader that is silent to its peers but serves its workers."""
    harness = Harness(turned=FEW)
    assert not harness.check_until(LIMITS.max_departure)
    harness.turned = MOST
    assert not harness.check_until(LIMITS.max_silence - S, first=LIMITS.max_departure + S)


def test_a_leader_whose_workers_have_found_it_is_not_avoided():
    """Guards against avoiding a recovered leader when workers lose contact with it later."""
    harness = Harness()
    assert harness.check_until(LIMITS.min_silence)
    harness.turned = FEW
    assert not harness.check_until(LIMITS.min_silence + S, first=LIMITS.min_silence + S)


def test_a_leader_that_is_heard_again_is_not_avoided_from_then_on():
    """Guards against a flapping link: each silence is measured from its own start."""
    harness = Harness()
    assert harness.check_until(LIMITS.min_silence)
    heard_again = HEARD + LIMITS.min_silence + S
    harness.peers.links["node-0"].peer_state.received_at = heard_again
    assert not harness.leaders.is_avoided("east", heard_again)
    harness.check(heard_again + 4 * S)
    assert not harness.leaders.is_avoided("east", heard_again + 4 * S)
    for second in range(5, 10):
        harness.check(heard_again + second * S)
    assert harness.leaders.is_avoided("east", heard_again + LIMITS.min_silence)


@pytest.mark.parametrize("recorded", [None, LeaderRecord(SETTINGS.name, "i1", 5)])
def test_a_former_leader_is_avoided_until_the_partition_is_led_again(recorded):
    """Guards against workers that try the former leader while the partition has no leader."""
    harness = Harness()
    harness.check_until(LIMITS.min_silence - S)
    if recorded is None:
        del harness.view.partition_leaders["east"]
    else:
        harness.view.partition_leaders["east"] = recorded
    assert harness.check_until(LIMITS.min_silence, first=LIMITS.min_silence)
    harness.view.partition_leaders["east"] = LeaderRecord("node-2", "i2", 6)
    assert not harness.leaders.is_avoided("east", HEARD + LIMITS.min_silence)


def test_a_leader_that_was_never_heard_is_not_avoided():
    """Guards against a silence without a start time."""
    harness = Harness()
    harness.peers.links["node-0"].peer_state.received_at = None
    assert not harness.check_until(LIMITS.min_silence)
