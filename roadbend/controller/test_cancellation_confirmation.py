"""Which words a confirmation of a cancellation relies on.

A user that was told too early saw its cancelled job begin: the scenarios are in
tests/scenarios/test_confirmed_cancellations.py. Here is what they can't bring about at will.
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


class Desk:
    """A controller that leads the east, where a start of a job is recorded.

    Its view shows the record once it has read: it was written just before the cancellation.
    """

    def __init__(self, *answers: PartitionStartsInDoubt):
        self.answers, self.asked, self.terms = answers, 0, {}
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
        self.asked += 1
        return StartsInDoubtReply(self.answers, self.terms)

    async def are_all_held(self, _job: str, _attempts: dict[int, Attempt]) -> bool:
        self.inspected += 1
        return self.held

    async def confirmed(self, patience: timedelta = clock.ZERO) -> bool:
        return await self.confirmation.confirm(JOB, patience)


async def test_a_start_that_was_recorded_just_before_the_cancellation_is_asked_about():
    desk = Desk(PartitionStartsInDoubt("east", TERM, (JOB,)))
    assert not await desk.confirmed()
    assert desk.asked == 2


@pytest.mark.parametrize("term, counts", [(TERM - 1, False), (TERM, True), (TERM + 1, True)])
async def test_an_answer_of_a_leader_that_was_deposed_does_not_count(term, counts):
    """The next leader has recorded a start that this one does not know."""
    desk = Desk(PartitionStartsInDoubt("east", term, ()))
    assert await desk.confirmed() == counts


async def test_an_answer_for_another_partition_does_not_count():
    assert not await Desk(PartitionStartsInDoubt("north", TERM, ())).confirmed()


async def test_a_partition_without_an_answer_is_waited_for_until_the_bound():
    desk = Desk()
    assert not await desk.confirmed()
    await trio.sleep(max_confirmation_wait(SETTINGS, OperatorSettings()).total_seconds() - 1)
    assert not await desk.confirmed()
    await trio.sleep(1)
    assert await desk.confirmed()


async def test_it_is_looked_at_again_for_as_long_as_its_user_is_patient():
    desk = Desk()
    began = trio.current_time()
    assert not await desk.confirmed(2 * S)
    assert 2.0 <= trio.current_time() - began < 2.2
    assert desk.asked > 10


async def test_without_a_read_nothing_is_confirmed():
    desk = Desk()
    desk.confirmation._context.reader.read_barrier = trio.sleep_forever
    assert not await desk.confirmed()


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
    desk = Desk(*answers)
    desk.terms = terms
    desk.confirmation._context.reader.read_barrier = trio.sleep_forever
    assert await desk.confirmed() == counts


async def test_machines_are_asked_only_once_no_leader_sends_starts_any_more():
    """Before that a machine that loses the task may be sent the start again.

    A leader that does not know of the cancellation sends starts until its records are two seconds
    old.
    """
    desk = Desk()
    desk.held = True
    assert not await desk.confirmed()
    await trio.sleep(1.7)
    assert not await desk.confirmed() and desk.inspected == 0
    await trio.sleep(0.2)
    assert await desk.confirmed() and desk.inspected == 1


async def test_an_attempt_that_its_machine_does_not_hold_is_waited_for():
    desk = Desk()
    await desk.confirmed()
    await trio.sleep(3)
    assert not await desk.confirmed(2 * S)
    assert 1 <= desk.inspected <= 3


def test_the_bound_follows_from_the_settings():
    """The time for a cancellation, or what fences a start and a lease, whichever is longer."""
    operator = OperatorSettings()
    assert max_confirmation_wait(SETTINGS, operator) == 38 * S * 1.002 + operator.state_margin
    short = settings_for(0, 1, cancel_within=20 * S)
    assert (
        max_confirmation_wait(short, operator) == (18 + 2 + 1.5) * S * 1.002 + operator.state_margin
    )


class SilentLink:
    """A peer that was heard lately, and does not answer the question."""

    def __init__(self):
        heartbeat = PeerHeartbeat("b1+starts+gangs", S, None, RequestRates(0, 0, 0))
        self.peer_state, self.peer = PeerState(heartbeat), SimpleNamespace(name="node-1")
        self.asked = 0

    def alive(self, _now: datetime) -> bool:
        return True

    async def call(self, *_arguments) -> bytes:
        self.asked += 1
        raise NoReplyError("node-1")


async def test_without_a_read_a_peer_that_does_not_answer_may_know_of_a_higher_term():
    desk = Desk(*ALL)
    desk.terms = {"east": TERM, "north": TERM}
    link = SilentLink()
    desk.confirmation._peers.links["node-1"] = link
    desk.confirmation._context.reader.read_barrier = trio.sleep_forever
    assert not await desk.confirmed()
    assert link.asked == 1


@pytest.mark.parametrize("loaded", [True, False])
async def test_a_controller_that_has_not_read_the_records_knows_no_terms(loaded):
    """What it got by other ways may lack the latest."""
    desk = Desk()
    desk.view.loaded = loaded
    context = SimpleNamespace(cancellations=Cancellations(desk.view))
    service = StartsInDoubtService(desk.view, PartitionLeaders(context, None, None, {}))
    assert service.answer((JOB,)).terms == ({"east": TERM} if loaded else {})
    assert JOB in context.cancellations.jobs
