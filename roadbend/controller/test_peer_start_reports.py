"""Which reports of a leader count while it can't be asked.

One that counts too long, or for too much, lets a cancelled job begin.
"""

import threading
from datetime import timedelta
from types import SimpleNamespace

import pytest
import trio

from roadbend import clock
from roadbend.controller.cancellation_confirmation import CancellationConfirmation
from roadbend.controller.cancellations import MAX_CANCELLATIONS, ConfirmedCancellations
from roadbend.controller.leaders import PartitionLeaders
from roadbend.controller.peer_start_reports import NO_MORE_STARTS, PeerStartReports
from roadbend.controller.settled_starts_service import MAX_UNSETTLED_JOBS, SettledStartsService
from roadbend.fakes.platform import settings_for
from roadbend.peers.frames import FrameError
from roadbend.peers.links import NoReplyError
from roadbend.peers.settled_starts import SettledStarts, SettledStartsReport, SettledStartsRequest
from roadbend.peers.starts_in_doubt import PartitionStartsInDoubt, StartsInDoubtReply
from roadbend.placement.cancellations import Cancellations
from roadbend.placement.start_reports import REPORT_LIFETIME, StartReports
from roadbend.settings import OperatorSettings
from roadbend.store import keys
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Resources, SliceShard

JOB, TERM, REVISION = "run-000001", 7, 412
SETTINGS = settings_for(0, 1)
SETTLED = SettledStarts("east", TERM, REVISION, ())


class Link:
    """A peer that leads the east; it answers with what it is given, or not at all."""

    def __init__(self):
        self.peer = SimpleNamespace(name="node-1")
        self.peer_state = SimpleNamespace(supports=lambda _extension: True)
        self.answer: bytes | None = None
        self.requests: list[SettledStartsRequest] = []

    async def call(self, _kind, payload: bytes, _within: timedelta) -> bytes:
        self.requests.append(SettledStartsRequest.unpack(payload))
        if self.answer is None:
            raise NoReplyError("node-1")
        return self.answer


class Desk:
    """A controller that confirms a cancellation, and can't ask the leader of the east."""

    def __init__(self):
        self.link = Link()
        self.noted = ConfirmedCancellations(SETTINGS.cancel_within)
        self.reports = PeerStartReports(self.noted)
        self.view = RecordView()
        self.view.put(keys.term_key("east"), {"n": TERM, "node": "node-1"}, 3)
        self.record(REVISION)
        context = SimpleNamespace(
            view=self.view,
            settings=SETTINGS,
            operator=OperatorSettings(),
            reader=SimpleNamespace(read_barrier=trio.lowlevel.checkpoint),
            election=SimpleNamespace(leader_of=lambda _partition: SETTINGS.name),
        )
        unheld = SimpleNamespace(are_all_held=self.hold_none)
        no_peers = SimpleNamespace(links={})
        # What the leader answers, where it can be asked.
        self.answers: tuple[PartitionStartsInDoubt, ...] = ()
        service = SimpleNamespace(answer=lambda _jobs: StartsInDoubtReply(self.answers, {}))
        self.confirmation = CancellationConfirmation(
            context, no_peers, None, service, unheld, self.noted, self.reports
        )

    def record(self, revision: int) -> None:
        row = SliceShard(
            JOB, "east", "red", Resources(1, 0, 1), attempts={0: Attempt(70, "m-1")}, shard=0
        )
        self.view.put(row.key, row.to_value(), revision)

    async def hold_none(self, _job: str, _attempts: dict[int, Attempt]) -> bool:
        return False

    async def get(self, *settled: SettledStarts, number: int = 1) -> None:
        self.link.answer = SettledStartsReport("b1", number, settled).pack()
        await self.reports._ask(self.link)

    async def confirmed(self) -> bool:
        return await self.confirmation.confirm(JOB, clock.ZERO)


async def test_a_report_of_the_latest_leader_counts():
    desk = Desk()
    assert not await desk.confirmed()
    await desk.get(SETTLED)
    assert await desk.confirmed()


@pytest.mark.parametrize(
    "settled",
    [
        SETTLED._replace(term=TERM - 1),
        SETTLED._replace(term=TERM + 1),
        SETTLED._replace(revision=REVISION - 1),
        SETTLED._replace(unsettled_jobs=("run-000000", JOB)),
        SETTLED._replace(partition="west"),
    ],
    ids=["former-term", "unknown-term", "before-the-start", "names-the-job", "elsewhere"],
)
async def test_a_report_does_not_count_that_says_nothing_of_the_start(settled):
    """Guards against a deposed leader, a start that is newer than the report, a lost attempt."""
    desk = Desk()
    await desk.get(settled)
    assert not await desk.confirmed()


async def test_a_report_counts_for_its_lifetime_from_when_it_was_asked_for():
    """Guards against a report that is held up on its way and looks new when it arrives."""
    desk = Desk()
    await desk.get(SETTLED)
    await trio.sleep(REPORT_LIFETIME.total_seconds() - 0.1)
    desk.link.answer = None
    await desk.reports._ask(desk.link)
    assert await desk.confirmed()
    await trio.sleep(0.2)
    assert not await desk.confirmed()


async def test_a_leader_that_answers_knows_better_than_its_report():
    """Guards against a report from before a machine restarted."""
    desk = Desk()
    await desk.get(SETTLED)
    desk.answers = (PartitionStartsInDoubt("east", TERM, (JOB,)),)
    assert not await desk.confirmed()


async def test_a_later_report_replaces_the_former_one():
    """Guards against a withdrawn report that is relied on after a later one was acknowledged."""
    desk = Desk()
    await desk.get(SETTLED)
    await desk.get(number=2)
    assert not await desk.confirmed()
    await desk.reports._ask(desk.link)
    assert desk.link.requests[-1] == SettledStartsRequest("b1", 2, (JOB,))


@pytest.mark.parametrize(
    "spoilt", [b"", b"\x00", SettledStartsReport("b1", 1, (SETTLED,)).pack()[:-1]]
)
async def test_a_malformed_report_is_logged_and_counts_as_none(spoilt, caplog):
    desk = Desk()
    desk.link.answer = spoilt
    await desk.reports._ask(desk.link)
    assert not await desk.confirmed()
    assert "frame-malformed" in caplog.text
    assert desk.reports._request("node-1", clock.now()).number == 0


async def test_a_list_of_cancellations_that_was_cut_short_acknowledges_nothing():
    """Guards against a leader that sends a start anew and has not heard of a confirmation."""
    desk = Desk()
    await desk.get(SETTLED)
    for number in range(MAX_CANCELLATIONS + 1):
        desk.noted.add(f"run-{number:06d}")
    request = desk.reports._request("node-1", clock.now())
    assert (request.incarnation, request.number) == ("", 0)
    assert len(request.cancellations) == MAX_CANCELLATIONS


async def test_a_report_that_a_successor_relies_on_is_the_last_one_acknowledged_for_a_while():
    """Guards against a former leader that lives and sends a start anew that it called settled."""
    desk = Desk()
    await desk.get(SETTLED)
    assert desk.reports.take_over("east", TERM) == SETTLED
    await desk.get(SETTLED, number=2)
    await desk.get(number=3)
    assert desk.link.requests[-1].number == 1
    # Another one of its partitions is acquired meanwhile.
    await trio.sleep(NO_MORE_STARTS.total_seconds() / 2)
    await desk.get(SETTLED, number=4)
    assert desk.reports.take_over("east", TERM) == SETTLED
    await trio.sleep(NO_MORE_STARTS.total_seconds() * 0.9)
    assert desk.reports._request("node-1", clock.now()).number == 1
    await trio.sleep(NO_MORE_STARTS.total_seconds() * 0.2)
    assert desk.reports._request("node-1", clock.now()).number == 4


async def test_a_restarted_peer_gets_its_reports_acknowledged():
    """Guards against starts of lost tasks that wait for an acknowledgement without need."""
    desk = Desk()
    await desk.get(SETTLED)
    desk.reports.take_over("east", TERM)
    desk.link.answer = SettledStartsReport("b2", 7, ()).pack()
    await desk.reports._ask(desk.link)
    request = desk.reports._request("node-1", clock.now())
    assert (request.incarnation, request.number) == ("b2", 7)


@pytest.mark.parametrize(
    "late, partition, term",
    [(True, "east", TERM), (False, "west", TERM), (False, "east", TERM + 1)],
    ids=["too-old", "other-partition", "other-term"],
)
async def test_a_successor_relies_on_nothing_else(late, partition, term):
    """Guards against a report that its sender does not stand by any more, or never gave."""
    desk = Desk()
    await desk.get(SETTLED)
    await trio.sleep(REPORT_LIFETIME.total_seconds() + 0.01 if late else 0)
    assert desk.reports.take_over(partition, term) is None
    await desk.get(SETTLED, number=2)
    assert desk.reports._request("node-1", clock.now()).number == 2


@pytest.mark.parametrize("lost_term", [False, True])
def test_a_leader_inherits_from_the_term_before_its_own(lost_term):
    """Guards against a report from before two changes of leader, or with records that were lost."""
    inherited = []
    observer = SimpleNamespace(has_lost_term=lambda _partition: lost_term)
    election = SimpleNamespace(observer=observer)
    leaders = PartitionLeaders(SimpleNamespace(election=election), None, None, {})
    reports = {("east", TERM): SETTLED}
    leaders.predecessor_report = lambda partition, term: reports.get((partition, term))
    for term in (TERM, TERM + 1, TERM + 2):
        leader = SimpleNamespace(
            partition="east",
            leadership=SimpleNamespace(term=term),
            starts_in_doubt=SimpleNamespace(inherit=lambda *report: inherited.append(report)),
        )
        leaders._inherit_starts(leader)
    assert inherited == ([] if lost_term else [(REVISION, ())])


class LeaderDesk:
    """A controller that leads the east, and reports."""

    def __init__(self):
        self.view = RecordView()
        self.view.revision = REVISION
        self.unheld, self.sent = {"run-000002"}, {"run-000003"}
        self.context = SimpleNamespace(
            view=self.view, start_reports=StartReports(), cancellations=Cancellations(self.view)
        )
        leader = SimpleNamespace(
            partition="east",
            lock=threading.RLock(),
            leadership=SimpleNamespace(term=TERM),
            unheld=SimpleNamespace(jobs=lambda: self.unheld),
            starts_in_doubt=SimpleNamespace(jobs=lambda _now: self.sent),
            stops=SimpleNamespace(order_all_cancelled=lambda _now: None),
        )
        leaders = PartitionLeaders(self.context, None, None, {"east": leader})
        self.service = SettledStartsService("b1", self.context, leaders)

    def ask(self, incarnation="", number=0, cancellations=()) -> SettledStartsReport:
        request = SettledStartsRequest(incarnation, number, tuple(cancellations)).pack()
        return SettledStartsReport.unpack(self.service.on_call("node-0", request))


async def test_a_report_names_what_is_unheld_and_what_was_sent():
    desk = LeaderDesk()
    (settled,) = desk.ask().partitions
    assert settled == SettledStarts("east", TERM, REVISION, ("run-000002", "run-000003"))


async def test_with_too_many_unsettled_jobs_there_is_no_report():
    """Guards against a list that was cut short."""
    desk = LeaderDesk()
    desk.unheld = {f"run-{number:06d}" for number in range(MAX_UNSETTLED_JOBS + 1)}
    assert desk.ask().partitions == ()


async def test_what_a_peer_confirmed_is_known_before_its_acknowledgement_counts():
    desk = LeaderDesk()
    first = desk.ask()
    withdrawal = desk.context.start_reports.withdraw(clock.now())
    second = desk.ask("b1", first.number)
    assert not desk.context.start_reports.is_complete(withdrawal, clock.now())
    desk.ask("b1", second.number, [JOB])
    assert desk.context.start_reports.is_complete(withdrawal, clock.now())
    assert JOB in desk.context.cancellations.jobs


async def test_an_acknowledgement_of_a_former_incarnations_report_does_not_count():
    """Guards against numbers that begin anew with the process."""
    desk = LeaderDesk()
    desk.ask()
    withdrawal = desk.context.start_reports.withdraw(clock.now())
    desk.ask("b0", 500)
    assert not desk.context.start_reports.is_complete(withdrawal, clock.now())


async def test_a_malformed_request_is_refused():
    with pytest.raises(FrameError):
        LeaderDesk().service.on_call("node-0", b"\x00")
