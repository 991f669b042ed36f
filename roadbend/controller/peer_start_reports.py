"""What peers last reported of their settled starts, for when they can't be asked."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.controller.cancellations import MAX_CANCELLATIONS, ConfirmedCancellations
from roadbend.log import Log
from roadbend.peers.frames import SETTLED_EXTENSION, FrameError, FrameKind
from roadbend.peers.links import Link, NoReplyError
from roadbend.peers.settled_starts import SettledStarts, SettledStartsReport, SettledStartsRequest
from roadbend.placement.start_reports import REPORT_LIFETIME

log = Log("controller")

REPORT_INTERVAL = timedelta(seconds=1)
REPORT_TIMEOUT = timedelta(seconds=1)
# Cancellations noted so long ago are in the records of whoever may start tasks.
CANCELLATIONS_SPAN = REPORT_LIFETIME * 2


@dataclass(frozen=True)
class _PeerReport:
    """A peer's report, and when it was asked for."""

    incarnation: str = ""
    number: int = 0
    asked_at: datetime = clock.ORIGIN
    partitions: dict[str, SettledStarts] = field(default_factory=dict)


class PeerStartReports:
    """Asks each peer for a report every second, and keeps the latest."""

    def __init__(self, noted: ConfirmedCancellations) -> None:
        self._noted = noted
        self._reports: dict[str, _PeerReport] = {}

    async def run(self, link: Link) -> None:
        """Ask one peer, for ever."""
        while True:
            await clock.pause(REPORT_INTERVAL)
            if link.known.supports(SETTLED_EXTENSION):
                await self._ask(link)

    def find(self, partition: str, term: int) -> SettledStarts | None:
        """Return what the leader of a partition under a term reported, if it may be relied on."""
        now = clock.now()
        for report in self._reports.values():
            settled = report.partitions.get(partition)
            if settled is None or now - report.asked_at > REPORT_LIFETIME:
                continue
            if settled.term == term:
                return settled
        return None

    async def _ask(self, link: Link) -> None:
        asked_at = clock.now()
        try:
            request = self._request(link.peer.name, asked_at).pack()
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
            asked_at,
            {settled.partition: settled for settled in report.partitions},
        )

    def _request(self, peer: str, now: datetime) -> SettledStartsRequest:
        """Ask for the next report; acknowledge the last with all that earlier ones confirmed."""
        cancellations = self._noted.noted_since(now - CANCELLATIONS_SPAN)
        last = self._reports.get(peer)
        if last is None or len(cancellations) > MAX_CANCELLATIONS:
            return SettledStartsRequest("", 0, tuple(cancellations[:MAX_CANCELLATIONS]))
        return SettledStartsRequest(last.incarnation, last.number, tuple(cancellations))
