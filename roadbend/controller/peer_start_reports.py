"""What peers last reported of their settled starts, for when they can't be asked."""

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
# After so long a leader knows of a cancellation that was noted or of a new term, or sends no start
# any more because its records are too old.
NO_MORE_STARTS = START_FRESHNESS * (1 + 2 * clock.DRIFT)
# Cancellations noted so long ago are in the records of whoever may start tasks.
CANCELLATIONS_SPAN = REPORT_LIFETIME * 2


@dataclass(frozen=True)
class _PeerReport:
    """A peer's report, and when it was asked for."""

    incarnation: str = ""
    number: int = 0
    requested_at: datetime = clock.ORIGIN
    partitions: dict[str, SettledStarts] = field(default_factory=dict)


class _HeldAcknowledgement(NamedTuple):
    """The last report of a peer that is acknowledged, and for how long no later one is."""

    incarnation: str
    number: int
    until: datetime


class PeerStartReports:
    """Asks each peer for a report every second, and keeps the latest."""

    def __init__(self, noted: ConfirmedCancellations) -> None:
        self._noted = noted
        self._reports: dict[str, _PeerReport] = {}
        self._held: dict[str, _HeldAcknowledgement] = {}

    async def run(self, link: Link) -> None:
        """Ask one peer, for ever."""
        while True:
            await clock.pause(REPORT_INTERVAL)
            if link.peer_state.supports(SETTLED_EXTENSION):
                await self._ask(link)

    def find(self, partition: str, term: int) -> SettledStarts | None:
        """Return what the leader of a partition under a term reported, if it may be relied on."""
        sender = self._sender(partition, term)
        return None if sender is None else self._reports[sender].partitions[partition]

    def take_over(self, partition: str, term: int) -> SettledStarts | None:
        """Return the same for the successor here of that leader, which has just been replaced.

        It relies on the report from now on. The former leader, if it lives, may send starts anew
        that it called settled, once all peers have acknowledged a later report; so none is
        acknowledged until it sends no starts any more.
        """
        sender = self._sender(partition, term)
        if sender is None:
            return None
        report = self._reports[sender]
        until = clock.now() + NO_MORE_STARTS
        held = self._held.get(sender)
        if held is None or held.incarnation != report.incarnation or clock.now() >= held.until:
            self._held[sender] = _HeldAcknowledgement(report.incarnation, report.number, until)
        else:
            self._held[sender] = held._replace(until=until)
        return report.partitions[partition]

    def _sender(self, partition: str, term: int) -> str | None:
        """Return the peer whose report as a partition's leader may be relied on."""
        now = clock.now()
        for peer, report in self._reports.items():
            settled = report.partitions.get(partition)
            if settled is None or now - report.requested_at > REPORT_LIFETIME:
                continue
            if settled.term == term:
                return peer
        return None

    async def _ask(self, link: Link) -> None:
        requested_at = clock.now()
        try:
            request = self._request(link.peer.name, requested_at).pack()
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

    def _request(self, peer: str, now: datetime) -> SettledStartsRequest:
        """Ask for the next report; acknowledge the last with all that earlier ones confirmed."""
        cancellations = self._noted.noted_since(now - CANCELLATIONS_SPAN)
        last = self._reports.get(peer)
        if last is None or len(cancellations) > MAX_CANCELLATIONS:
            return SettledStartsRequest("", 0, tuple(cancellations[:MAX_CANCELLATIONS]))
        held = self._held.get(peer)
        if held is not None and now < held.until and held.incarnation == last.incarnation:
            return SettledStartsRequest(held.incarnation, held.number, tuple(cancellations))
        return SettledStartsRequest(last.incarnation, last.number, tuple(cancellations))
