"""Judge what leaders answer, or have reported, of the starts of a cancelled job."""

from collections.abc import Iterable

from roadbend.controller.cancellation_check import CancellationCheck, Evidence, Missing
from roadbend.controller.peer_start_reports import PeerStartReports
from roadbend.peers.starts_in_doubt import PartitionStartsInDoubt
from roadbend.store.record_view import RecordView


class LeaderEvidence:
    """Judges leaders' answers by the records, and reads their reports where they don't answer."""

    def __init__(self, view: RecordView, reports: PeerStartReports) -> None:
        self._view, self._reports = view, reports

    def judge(
        self,
        job: str,
        partition: str,
        answers: Iterable[PartitionStartsInDoubt],
        look: CancellationCheck,
    ) -> None:
        """Note whether the partition's leader has answered, or reported, that all is settled."""
        answer = next(
            (a for a in answers if a.partition == partition and self._is_current(a)), None
        )
        if answer is not None and job in answer.jobs:
            look.waits_for[partition] = Missing.LEADER_IN_DOUBT
        elif answer is not None:
            look.settle(partition, Evidence.LEADER)
        elif self._is_reported_settled(job, partition):
            look.settle(partition, Evidence.REPORT)
        else:
            look.waits_for[partition] = Missing.LEADER_SILENT

    def _is_current(self, answer: PartitionStartsInDoubt) -> bool:
        """Whether an answer is of the latest leadership that the records name, or a later one."""
        term = self._view.terms.get(answer.partition)
        return term is not None and answer.term >= term.number

    def _is_reported_settled(self, job: str, partition: str) -> bool:
        """Whether the latest leader has reported that all recorded starts of a job are settled.

        Until a report is withdrawn it sends none of them anew. None are recorded any more.
        """
        view = self._view
        term, job_slice = view.terms.get(partition), view.job_slices[partition].get(job)
        if term is None or job_slice is None:
            return False
        report = self._reports.find(partition, term.number)
        if report is None or job in report.unsettled_jobs:
            return False
        return job_slice.newest_mod_revision <= report.revision
