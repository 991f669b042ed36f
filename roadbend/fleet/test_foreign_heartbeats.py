"""Which machines of a silent leader have turned to this controller."""

from dataclasses import replace
from datetime import timedelta

import pytest
import trio

from roadbend import clock
from roadbend.fakes.world import world
from roadbend.fleet.foreign_heartbeats import UNSERVED_ROUND, ForeignHeartbeats
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat
from roadbend.partitions.unserved import UnservedMachinesQuery
from roadbend.store.records import INCARNATION_BITS

S = timedelta(seconds=1)
T = clock.ORIGIN + 1000 * S
TERM = 7
HEARTBEAT = WorkerHeartbeat(
    machine="m-1",
    address="m-1:1",
    machine_type="g2",
    zone="east",
    spot=False,
    position=HeartbeatPosition(1, 50),
    token=TERM << INCARNATION_BITS,
    notice=None,
    tasks=(),
    reported_tasks=None,
)
QUERY = UnservedMachinesQuery("east", TERM, T - 5 * S, {"m-1": None, "m-2": None})


def recorded(*rows):
    """Record heartbeats, given as changes, time of arrival, and earliest time of sending."""
    foreign = ForeignHeartbeats()
    for changes, came, sent_after in rows:
        foreign.record(replace(HEARTBEAT, **changes), came, sent_after)
    return foreign


@pytest.mark.parametrize(
    "changes, came, sent_after, counted",
    [
        ({}, T, T - S, 1),
        ({"machine": "m-3"}, T, T - S, 0),
        ({"zone": "west"}, T, T - S, 0),
        ({"token": (TERM - 1) << INCARNATION_BITS}, T, T - S, 0),
        ({"token": (TERM + 1) << INCARNATION_BITS}, T, T - S, 0),
        ({"token": TERM << INCARNATION_BITS | 3}, T, T - S, 1),
        # It may have returned to its leader since.
        ({}, T - UNSERVED_ROUND, T - UNSERVED_ROUND, 0),
        # The leader sent a peer heartbeat since.
        ({}, T, T - 6 * S, 0),
        # It may have been delayed in transit: its connection is an old one.
        ({}, T, T - 100 * S, 0),
        ({}, T, clock.ORIGIN, 0),
    ],
    ids=[
        "turned",
        "other-machine",
        "other-zone",
        "older-term",
        "newer-term",
        "raised-token",
        "a-round-ago",
        "before-silence",
        "held-back",
        "unknown",
    ],
)
def test_a_machine_counts_once_it_has_turned_to_us_under_its_leaders_term(
    changes, came, sent_after, counted
):
    """Guards against replacing a leader because of a heartbeat that proves nothing."""
    foreign = recorded((changes, came, sent_after))
    assert len(foreign.find_unserved(QUERY, T)) == counted


def test_a_copy_does_not_make_a_machine_turn_to_us_again():
    """Guards against counting late copies as heartbeats."""
    long_ago = T - 30 * S
    copy = ({}, T, T - S)
    older = ({"position": HeartbeatPosition(1, 49)}, T, T - S)
    foreign = recorded(({}, long_ago, long_ago), copy, older)
    assert len(foreign.find_unserved(QUERY, T)) == 0


def test_what_is_held_back_for_longer_than_two_rounds_does_not_count():
    """Guards against replacing a leader that is silent to this controller but serves its workers.

    A heartbeat that was sent before the last two rounds may have been delayed in transit.
    """
    query = replace(QUERY, silent_since=T - 600 * S)
    sent_after = T - 2 * UNSERVED_ROUND
    assert len(recorded(({}, T, sent_after)).find_unserved(query, T)) == 0
    assert len(recorded(({}, T, sent_after + S)).find_unserved(query, T)) == 1


def test_a_machine_that_came_a_round_ago_may_be_served_again():
    """Guards against counting workers as unserved that have returned to their leader."""
    query = replace(QUERY, silent_since=T - 600 * S)
    came = T - UNSERVED_ROUND
    assert len(recorded(({}, came, came)).find_unserved(query, T)) == 0
    assert len(recorded(({}, came + S, came)).find_unserved(query, T)) == 1


async def test_nothing_counts_for_a_round_after_a_pause_of_this_process():
    """Guards against heartbeats queued during a pause, which look as if they were sent after it."""
    async with world() as w:
        await trio.sleep(30)
        fleet = w.controllers["node-0"].fleet
        now = clock.now()
        query = replace(QUERY, silent_since=now - 5 * S)
        fleet.foreign_heartbeats.record(HEARTBEAT, now, now - S)
        assert fleet.count_unserved(query, now) == 1
        fleet.failure_detector._pauses.record_time(now - 20 * S)
        assert fleet.count_unserved(query, now) == 0
        later = now + UNSERVED_ROUND
        fleet.foreign_heartbeats.record(
            replace(HEARTBEAT, position=HeartbeatPosition(1, 51)), later, later - S
        )
        assert fleet.count_unserved(query, later) == 1
