"""Report to peers which starts are settled in the partitions that this controller leads."""

from roadbend import clock
from roadbend.controller.leaders import PartitionLeaders
from roadbend.peers.settled_starts import SettledStarts, SettledStartsReport, SettledStartsRequest
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader

# Jobs with unsettled starts per partition in a report; a partition with more is left out.
MAX_UNSETTLED_JOBS = 1024


class SettledStartsService:
    """Answers peers' requests for a report."""

    def __init__(
        self, incarnation: str, context: ControllerContext, leaders: PartitionLeaders
    ) -> None:
        self._incarnation, self._context, self._leaders = incarnation, context, leaders

    def on_call(self, sender: str, payload: bytes) -> bytes:
        """Answer a peer; raise `FrameError` if its request is malformed."""
        request = SettledStartsRequest.unpack(payload)
        reports = self._context.start_reports
        # Cancellations that the peer confirmed by an earlier report are applied before its
        # acknowledgement, which may allow starts to be resent.
        self._leaders.mark_cancelled(request.cancellations)
        if request.incarnation == self._incarnation:
            reports.acknowledge(sender, request.number)
        settled = tuple(
            report
            for leader in self._leaders.leaders.values()
            if (report := self._report(leader)) is not None
        )
        number = reports.send(sender, clock.now())
        return SettledStartsReport(self._incarnation, number, settled).pack()

    def _report(self, leader: PartitionLeader) -> SettledStarts | None:
        """Build the report for one partition; None if too many jobs have unsettled starts."""
        with leader.lock:
            jobs = leader.unheld.jobs() | leader.starts_in_doubt.jobs(clock.now())
            if len(jobs) > MAX_UNSETTLED_JOBS:
                return None
            revision = self._context.view.revision
            return SettledStarts(
                leader.partition, leader.leadership.term, revision, tuple(sorted(jobs))
            )
