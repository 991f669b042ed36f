"""The peers' latest reports of settled starts, used when a peer can't be queried."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.controller.cancellations import MAX_CANCELLATIONS, ConfirmedCancellations
from roadbend.log import Log
from roadbend.partitions.election import START_FRESHNESS
from roadbend.peers.frames import SETTLED_EXTENSION, FrameError, FrameKind
from roadbend.peers.links import Link, NoReplyError
from roadbend.peers.settled_starts import SettledStarts, SettledStartsReport, SettledStartsRequest
from roadbend.placement.start_reports import REPORT_LIFETIME

log = Log("controller")

REPORT_INTERVAL = timedelta(seconds=1)
REPORT_TIMEOUT = timedelta(seconds=1)
# For at most this long after a cancellation was added here or a new term was written, a leader may
# send starts without knowing of it. After that it knows, or its records are too old for any start.
STALE_STARTS_PERIOD = START_FRESHNESS * (1 + 2 * clock.DRIFT)
# Every leader that may start tasks has read older cancellations from the records.
CANCELLATIONS_SPAN = REPORT_LIFETIME * 2


@dataclass(frozen=True)
class _PeerReport:
    """A peer's report, and when it was requested."""

    incarnation: str = ""
    number: int = 0
    requested_at: datetime = clock.ORIGIN
    partitions: dict[str, SettledStarts] = field(default_factory=dict)


class _HeldAcknowledgement(NamedTuple):
    """The latest report of a peer that may be acknowledged, and until when later ones may not."""

    incarnation: str
    number: int
    until: datetime


class PeerStartReports:
    """Requests a report from each peer every second, and keeps the latest."""

    def __init__(self, cancellations: ConfirmedCancellations) -> None:
        self._cancellations = cancellations
        self._reports: dict[str, _PeerReport] = {}
        self._held: dict[str, _HeldAcknowledgement] = {}

    async def run(self, link: Link) -> None:
        """Request reports from one peer until cancelled."""
        while True:
            await clock.pause(REPORT_INTERVAL)
            if link.peer_state.supports(SETTLED_EXTENSION):
                await self._fetch_report(link)

    def find_report(self, partition: str, term: int) -> SettledStarts | None:
        """Return the report of the leader of a partition under a term, if it is still valid."""
        sender = self._find_sender(partition, term)
        return None if sender is None else self._reports[sender].partitions[partition]

    def inherit_report(self, partition: str, term: int) -> SettledStarts | None:
        """Return the same for this controller as the successor of that leader.

        The successor relies on the report from now on. A former leader that is still alive may
        resend starts that the report lists as settled, once all peers have acknowledged a later
        report. So no later report is acknowledged until the former leader can't send starts any
        more.
        """
        sender = self._find_sender(partition, term)
        if sender is None:
            return None
        report = self._reports[sender]
        until = clock.now() + STALE_STARTS_PERIOD
        held = self._held.get(sender)
        if held is None or held.incarnation != report.incarnation or clock.now() >= held.until:
            self._held[sender] = _HeldAcknowledgement(report.incarnation, report.number, until)
        else:
            self._held[sender] = held._replace(until=until)
        return report.partitions[partition]

    def _find_sender(self, partition: str, term: int) -> str | None:
        """Return the peer with a valid report as the leader of a partition under a term."""
        now = clock.now()
        for peer, report in self._reports.items():
            settled = report.partitions.get(partition)
            if settled is None or now - report.requested_at > REPORT_LIFETIME:
                continue
            if settled.term == term:
                return peer
        return None

    async def _fetch_report(self, link: Link) -> None:
        requested_at = clock.now()
        try:
            request = self._next_request(link.peer.name, requested_at).pack()
            reply = await link.call(FrameKind.SETTLED_STARTS, request, REPORT_TIMEOUT)
            report = SettledStartsReport.unpack(reply)
        except NoReplyError:
            log.debug("start-report-unanswered", peer=link.peer.name)
            return
        except FrameError as error:
            log.error("frame-malformed", peer=link.peer.name, error=str(error))
            return
        self._reports[link.peer.name] = _PeerReport(
            report.incarnation,
            report.number,
            requested_at,
            {settled.partition: settled for settled in report.partitions},
        )

    def _next_request(self, peer: str, now: datetime) -> SettledStartsRequest:
        """Build the request for the next report.

        It acknowledges the last report, together with all cancellations that were confirmed by
        earlier reports.
        """
        cancellations = self._cancellations.added_since(now - CANCELLATIONS_SPAN)
        last = self._reports.get(peer)
        if last is None or len(cancellations) > MAX_CANCELLATIONS:
            return SettledStartsRequest("", 0, tuple(cancellations[:MAX_CANCELLATIONS]))
        held = self._held.get(peer)
        if held is not None and now < held.until and held.incarnation == last.incarnation:
            return SettledStartsRequest(held.incarnation, held.number, tuple(cancellations))
        return SettledStartsRequest(last.incarnation, last.number, tuple(cancellations))
