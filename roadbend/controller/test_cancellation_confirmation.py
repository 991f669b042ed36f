"""Which evidence is accepted for the confirmation of a cancellation.

After a confirmation that came too early, a cancelled job started: the scenarios are in
tests/scenarios/test_confirmed_cancellations.py. These tests cover the cases that scenarios can't
produce reliably.
"""

from datetime import datetime, timedelta
from types import SimpleNamespace

import pytest
import trio

from roadbend import clock
from roadbend.controller.cancellation_confirmation import (
    CancellationConfirmation,
    max_confirmation_wait,
)
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.leaders import PartitionLeaders
from roadbend.controller.starts_in_doubt_service import StartsInDoubtService
from roadbend.fakes.platform import settings_for
from roadbend.peers.heartbeat import PeerHeartbeat, PeerState, RequestRates
from roadbend.peers.links import NoReplyError
from roadbend.peers.starts_in_doubt import PartitionStartsInDoubt, StartsInDoubtReply
from roadbend.placement.cancellations import Cancellations
from roadbend.settings import OperatorSettings
from roadbend.store import keys
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Resources, SliceShard

S = timedelta(seconds=1)
JOB = "run-000001"
TERM = 7
SETTINGS = settings_for(0, 1)


class ConfirmationHarness:
    """A controller that leads the east, where a start of a job is recorded.

    The start was recorded just before the cancellation, and appears in the view after a read.
    """

    def __init__(self, *answers: PartitionStartsInDoubt):
        self.answers, self.query_count, self.terms = answers, 0, {}
        self.held, self.inspected = False, 0
        self.view = RecordView()
        self.view.put(keys.term_key("east"), {"n": TERM, "node": "node-0"}, 3)
        context = SimpleNamespace(
            view=self.view,
            settings=SETTINGS,
            operator=OperatorSettings(),
            reader=SimpleNamespace(read_barrier=self.read),
            election=SimpleNamespace(leader_of=lambda _partition: SETTINGS.name),
        )
        self.confirmation = CancellationConfirmation(
            context,
            SimpleNamespace(links={}),
            None,
            SimpleNamespace(answer=self.answer),
            SimpleNamespace(are_all_held=self.are_all_held),
            ConfirmedCancellations(SETTINGS.cancel_within),
        )

    async def read(self) -> None:
        await trio.sleep(0.1)
        row = SliceShard(
            JOB, "east", "red", Resources(1, 0, 1), attempts={0: Attempt(70, "m-1")}, shard=0
        )
        self.view.put(row.key, row.to_value(), 5)

    def answer(self, _jobs: tuple[str, ...]) -> StartsInDoubtReply:
        self.query_count += 1
        return StartsInDoubtReply(self.answers, self.terms)

    async def are_all_held(self, _job: str, _attempts: dict[int, Attempt]) -> bool:
        self.inspected += 1
        return self.held

    async def confirmed(self, timeout: timedelta = clock.ZERO) -> bool:
        return await self.confirmation.confirm(JOB, timeout)


async def test_a_start_that_was_recorded_just_before_the_cancellation_is_asked_about():
    harness = ConfirmationHarness(PartitionStartsInDoubt("east", TERM, (JOB,)))
    assert not await harness.confirmed()
    assert harness.query_count == 2


@pytest.mark.parametrize("term, counts", [(TERM - 1, False), (TERM, True), (TERM + 1, True)])
async def test_an_answer_of_a_leader_that_was_deposed_does_not_count(term, counts):
    """The next leader may have recorded a start that this one does not know."""
    harness = ConfirmationHarness(PartitionStartsInDoubt("east", term, ()))
    assert await harness.confirmed() == counts


async def test_an_answer_for_another_partition_does_not_count():
    assert not await ConfirmationHarness(PartitionStartsInDoubt("north", TERM, ())).confirmed()


async def test_a_partition_without_an_answer_is_waited_for_until_the_bound():
    harness = ConfirmationHarness()
    assert not await harness.confirmed()
    await trio.sleep(max_confirmation_wait(SETTINGS, OperatorSettings()).total_seconds() - 1)
    assert not await harness.confirmed()
    await trio.sleep(1)
    assert await harness.confirmed()


async def test_it_is_looked_at_again_for_as_long_as_its_user_is_patient():
    harness = ConfirmationHarness()
    began = trio.current_time()
    assert not await harness.confirmed(2 * S)
    assert 2.0 <= trio.current_time() - began < 2.2
    assert harness.query_count > 10


async def test_without_a_read_nothing_is_confirmed():
    harness = ConfirmationHarness()
    harness.confirmation._context.reader.read_barrier = trio.sleep_forever
    assert not await harness.confirmed()


ALL = (PartitionStartsInDoubt("east", TERM, ()), PartitionStartsInDoubt("north", TERM, ()))


@pytest.mark.parametrize(
    "terms, answers, counts",
    [
        ({"east": TERM, "north": TERM}, ALL, True),
        ({"east": TERM}, ALL, True),
        ({"east": TERM + 1, "north": TERM}, ALL, False),
        ({"east": TERM, "north": TERM, "west": 1}, ALL, False),
        ({"east": TERM, "north": TERM}, ALL[:1], False),
        ({"east": TERM}, (PartitionStartsInDoubt("east", TERM, (JOB,)),), False),
        ({}, ALL, False),
    ],
    ids=[
        "all-lead",
        "one-unknown",
        "a-higher-term-is-known",
        "nobody-leads",
        "one-silent",
        "in-doubt",
        "not-loaded",
    ],
)
async def test_without_a_read_the_leaders_of_all_partitions_have_to_answer(terms, answers, counts):
    harness = ConfirmationHarness(*answers)
    harness.terms = terms
    harness.confirmation._context.reader.read_barrier = trio.sleep_forever
    assert await harness.confirmed() == counts


async def test_machines_are_asked_only_once_no_leader_sends_starts_any_more():
    """Until then, a leader may resend the start to a machine that lost the task.

    A leader that does not know of the cancellation sends starts until its records are two seconds
    old.
    """
    harness = ConfirmationHarness()
    harness.held = True
    assert not await harness.confirmed()
    await trio.sleep(1.7)
    assert not await harness.confirmed() and harness.inspected == 0
    await trio.sleep(0.2)
    assert await harness.confirmed() and harness.inspected == 1


async def test_an_attempt_that_its_machine_does_not_hold_is_waited_for():
    harness = ConfirmationHarness()
    await harness.confirmed()
    await trio.sleep(3)
    assert not await harness.confirmed(2 * S)
    assert 1 <= harness.inspected <= 3


def test_the_bound_follows_from_the_settings():
    """It is the longer of the time for a cancellation and the time to fence starts plus a lease."""
    operator = OperatorSettings()
    assert max_confirmation_wait(SETTINGS, operator) == 38 * S * 1.002 + operator.state_margin
    short = settings_for(0, 1, cancel_within=20 * S)
    assert (
        max_confirmation_wait(short, operator) == (18 + 2 + 1.5) * S * 1.002 + operator.state_margin
    )


class SilentLink:
    """A peer that recently answered a heartbeat but does not answer queries."""

    def __init__(self):
        heartbeat = PeerHeartbeat("b1+starts+gangs", S, None, RequestRates(0, 0, 0))
        self.peer_state, self.peer = PeerState(heartbeat), SimpleNamespace(name="node-1")
        self.query_count = 0

    def alive(self, _now: datetime) -> bool:
        return True

    async def call(self, *_arguments) -> bytes:
        self.query_count += 1
        raise NoReplyError("node-1")


async def test_without_a_read_a_peer_that_does_not_answer_may_know_of_a_higher_term():
    harness = ConfirmationHarness(*ALL)
    harness.terms = {"east": TERM, "north": TERM}
    link = SilentLink()
    harness.confirmation._peers.links["node-1"] = link
    harness.confirmation._context.reader.read_barrier = trio.sleep_forever
    assert not await harness.confirmed()
    assert link.query_count == 1


@pytest.mark.parametrize("loaded", [True, False])
async def test_a_controller_that_has_not_read_the_records_knows_no_terms(loaded):
    """Terms that it learned in other ways may not be the latest."""
    harness = ConfirmationHarness()
    harness.view.loaded = loaded
    context = SimpleNamespace(cancellations=Cancellations(harness.view))
    service = StartsInDoubtService(harness.view, PartitionLeaders(context, None, None, {}))
    assert service.answer((JOB,)).terms == ({"east": TERM} if loaded else {})
    assert JOB in context.cancellations.jobs
