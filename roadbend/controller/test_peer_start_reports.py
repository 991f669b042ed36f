"""Which reports of a leader are valid while it can't be queried.

A report that is valid for too long, or for too many starts, lets a cancelled job start.
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
from roadbend.controller.peer_start_reports import STALE_STARTS_PERIOD, PeerStartReports
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
    """A peer that leads the east; it sends the answer that the test sets, or none."""

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


class ConfirmationHarness:
    """A controller that confirms a cancellation but can't query the leader of the east."""

    def __init__(self):
        self.link = Link()
        self.cancellations = ConfirmedCancellations(SETTINGS.cancel_within)
        self.reports = PeerStartReports(self.cancellations)
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
        # The leader's answers, if it can be queried.
        self.answers: tuple[PartitionStartsInDoubt, ...] = ()
        service = SimpleNamespace(answer=lambda _jobs: StartsInDoubtReply(self.answers, {}))
        self.confirmation = CancellationConfirmation(
            context, no_peers, None, service, unheld, self.cancellations, self.reports
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
        await self.reports._fetch_report(self.link)

    async def confirmed(self) -> bool:
        return await self.confirmation.confirm(JOB, clock.ZERO)


async def test_a_report_of_the_latest_leader_counts():
    harness = ConfirmationHarness()
    assert not await harness.confirmed()
    await harness.get(SETTLED)
    assert await harness.confirmed()


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
    """Guards against trusting a deposed leader, and against newer starts and lost attempts."""
    harness = ConfirmationHarness()
    await harness.get(settled)
    assert not await harness.confirmed()


async def test_a_report_counts_for_its_lifetime_from_when_it_was_asked_for():
    """Guards against a report that is delayed in transit and seems new when it arrives."""
    harness = ConfirmationHarness()
    await harness.get(SETTLED)
    await trio.sleep(REPORT_LIFETIME.total_seconds() - 0.1)
    harness.link.answer = None
    await harness.reports._fetch_report(harness.link)
    assert await harness.confirmed()
    await trio.sleep(0.2)
    assert not await harness.confirmed()


async def test_a_leader_that_answers_knows_better_than_its_report():
    """Guards against a report from before a machine restarted."""
    harness = ConfirmationHarness()
    await harness.get(SETTLED)
    harness.answers = (PartitionStartsInDoubt("east", TERM, (JOB,)),)
    assert not await harness.confirmed()


async def test_a_later_report_replaces_the_former_one():
    """Guards against use of a withdrawn report after a later one was acknowledged."""
    harness = ConfirmationHarness()
    await harness.get(SETTLED)
    await harness.get(number=2)
    assert not await harness.confirmed()
    await harness.reports._fetch_report(harness.link)
    assert harness.link.requests[-1] == SettledStartsRequest("b1", 2, (JOB,))


@pytest.mark.parametrize(
    "malformed", [b"", b"\x00", SettledStartsReport("b1", 1, (SETTLED,)).pack()[:-1]]
)
async def test_a_malformed_report_is_logged_and_counts_as_none(malformed, caplog):
    harness = ConfirmationHarness()
    harness.link.answer = malformed
    await harness.reports._fetch_report(harness.link)
    assert not await harness.confirmed()
    assert "frame-malformed" in caplog.text
    assert harness.reports._next_request("node-1", clock.now()).number == 0


async def test_a_list_of_cancellations_that_was_cut_short_acknowledges_nothing():
    """Guards against a leader that resends a start because it missed a confirmation."""
    harness = ConfirmationHarness()
    await harness.get(SETTLED)
    for number in range(MAX_CANCELLATIONS + 1):
        harness.cancellations.add(f"run-{number:06d}")
    request = harness.reports._next_request("node-1", clock.now())
    assert (request.incarnation, request.number) == ("", 0)
    assert len(request.cancellations) == MAX_CANCELLATIONS


async def test_a_report_that_a_successor_relies_on_is_the_last_one_acknowledged_for_a_while():
    """Guards against a live former leader that resends a start it reported as settled."""
    harness = ConfirmationHarness()
    await harness.get(SETTLED)
    assert harness.reports.inherit_report("east", TERM) == SETTLED
    await harness.get(SETTLED, number=2)
    await harness.get(number=3)
    assert harness.link.requests[-1].number == 1
    # Another of the former leader's partitions is acquired in the meantime.
    await trio.sleep(STALE_STARTS_PERIOD.total_seconds() / 2)
    await harness.get(SETTLED, number=4)
    assert harness.reports.inherit_report("east", TERM) == SETTLED
    await trio.sleep(STALE_STARTS_PERIOD.total_seconds() * 0.9)
    assert harness.reports._next_request("node-1", clock.now()).number == 1
    await trio.sleep(STALE_STARTS_PERIOD.total_seconds() * 0.2)
    assert harness.reports._next_request("node-1", clock.now()).number == 4


async def test_a_restarted_peer_gets_its_reports_acknowledged():
    """Guards against starts of lost tasks that are delayed by a missing acknowledgement."""
    harness = ConfirmationHarness()
    await harness.get(SETTLED)
    harness.reports.inherit_report("east", TERM)
    harness.link.answer = SettledStartsReport("b2", 7, ()).pack()
    await harness.reports._fetch_report(harness.link)
    request = harness.reports._next_request("node-1", clock.now())
    assert (request.incarnation, request.number) == ("b2", 7)


@pytest.mark.parametrize(
    "late, partition, term",
    [(True, "east", TERM), (False, "west", TERM), (False, "east", TERM + 1)],
    ids=["too-old", "other-partition", "other-term"],
)
async def test_a_successor_relies_on_nothing_else(late, partition, term):
    """Guards against a report that has expired or that its sender never made."""
    harness = ConfirmationHarness()
    await harness.get(SETTLED)
    await trio.sleep(REPORT_LIFETIME.total_seconds() + 0.01 if late else 0)
    assert harness.reports.inherit_report(partition, term) is None
    await harness.get(SETTLED, number=2)
    assert harness.reports._next_request("node-1", clock.now()).number == 2


@pytest.mark.parametrize("lost_term", [False, True])
def test_a_leader_inherits_from_the_term_before_its_own(lost_term):
    """Guards against a report from two leaders ago, or from before records were lost."""
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


class ReportingLeader:
    """A controller that leads the east and sends reports."""

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
    harness = ReportingLeader()
    (settled,) = harness.ask().partitions
    assert settled == SettledStarts("east", TERM, REVISION, ("run-000002", "run-000003"))


async def test_with_too_many_unsettled_jobs_there_is_no_report():
    """Guards against a truncated list of jobs."""
    harness = ReportingLeader()
    harness.unheld = {f"run-{number:06d}" for number in range(MAX_UNSETTLED_JOBS + 1)}
    assert harness.ask().partitions == ()


async def test_what_a_peer_confirmed_is_known_before_its_acknowledgement_counts():
    harness = ReportingLeader()
    first = harness.ask()
    withdrawal = harness.context.start_reports.withdraw(clock.now())
    second = harness.ask("b1", first.number)
    assert not harness.context.start_reports.is_complete(withdrawal, clock.now())
    harness.ask("b1", second.number, [JOB])
    assert harness.context.start_reports.is_complete(withdrawal, clock.now())
    assert JOB in harness.context.cancellations.jobs


async def test_an_acknowledgement_of_a_former_incarnations_report_does_not_count():
    """Guards against report numbers that restart with the process."""
    harness = ReportingLeader()
    harness.ask()
    withdrawal = harness.context.start_reports.withdraw(clock.now())
    harness.ask("b0", 500)
    assert not harness.context.start_reports.is_complete(withdrawal, clock.now())


async def test_a_malformed_request_is_refused():
    with pytest.raises(FrameError):
        ReportingLeader().service.on_call("node-0", b"\x00")
