"""Which confirmed cancellations a heartbeat lists, and for which span the list is complete."""

from datetime import timedelta

import trio

from roadbend import clock
from roadbend.controller import cancellations
from roadbend.controller.cancellations import ConfirmedCancellations, RecentCancellations

S = timedelta(seconds=1)


async def test_a_heartbeat_names_what_was_confirmed_within_its_span():
    confirmed = ConfirmedCancellations(10 * S)
    confirmed.add("run-1")
    await trio.sleep(20)
    confirmed.add("run-2")
    confirmed.add("run-1")
    assert confirmed.recent(clock.now()) == RecentCancellations(30 * S, ("run-1", "run-2"))
    await trio.sleep(11)
    assert confirmed.recent(clock.now()) == RecentCancellations(30 * S, ("run-2",))


async def test_a_list_that_is_too_long_reaches_back_less_far(monkeypatch):
    monkeypatch.setattr(cancellations, "MAX_CANCELLATIONS", 2)
    confirmed = ConfirmedCancellations(10 * S)
    for number in range(1, 4):
        confirmed.add(f"run-{number}")
        await trio.sleep(1)
    assert confirmed.recent(clock.now()) == RecentCancellations(2 * S, ("run-2", "run-3"))


async def test_no_more_cancellations_are_remembered_than_four_heartbeats_name(
    monkeypatch,
):
    monkeypatch.setattr(cancellations, "MAX_CANCELLATIONS", 2)
    confirmed = ConfirmedCancellations(10 * S)
    for number in range(20):
        confirmed.add(f"run-{number}")
    assert len(confirmed._confirmed_at) == 8
