"""Evaluate leaders' answers and earlier reports about the starts of a cancelled job."""

from collections.abc import Iterable

from roadbend.controller.cancellation_check import CancellationCheck, Evidence, UnsettledReason
from roadbend.controller.peer_start_reports import PeerStartReports
from roadbend.peers.starts_in_doubt import PartitionStartsInDoubt
from roadbend.store.record_view import RecordView


class LeaderEvidence:
    """Checks leaders' answers against the records, and uses their reports if they don't answer."""

    def __init__(self, view: RecordView, reports: PeerStartReports) -> None:
        self._view, self._reports = view, reports

    def evaluate(
        self,
        job: str,
        partition: str,
        answers: Iterable[PartitionStartsInDoubt],
        check: CancellationCheck,
    ) -> None:
        """Record whether the partition's leader answered or reported that all is settled."""
        answer = next(
            (a for a in answers if a.partition == partition and self._is_current(a)), None
        )
        if answer is not None and job in answer.jobs:
            check.unsettled[partition] = UnsettledReason.LEADER_IN_DOUBT
        elif answer is not None:
            check.mark_settled(partition, Evidence.LEADER)
        elif self._is_reported_settled(job, partition):
            check.mark_settled(partition, Evidence.REPORT)
        else:
            check.unsettled[partition] = UnsettledReason.LEADER_SILENT

    def _is_current(self, answer: PartitionStartsInDoubt) -> bool:
        """Return whether an answer is from the latest leadership in the records, or a later one."""
        term = self._view.terms.get(answer.partition)
        return term is not None and answer.term >= term.number

    def _is_reported_settled(self, job: str, partition: str) -> bool:
        """Return whether the latest leader has reported all recorded starts of a job as settled.

        Until it withdraws the report, it does not send any of them again. No further starts of the
        job can be recorded.
        """
        view = self._view
        term, job_slice = view.terms.get(partition), view.job_slices[partition].get(job)
        if term is None or job_slice is None:
            return False
        report = self._reports.find_report(partition, term.number)
        if report is None or job in report.unsettled_jobs:
            return False
        return job_slice.newest_mod_revision <= report.revision
