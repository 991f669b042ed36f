"""The result of checking a cancelled job for starts: per partition, evidence or what is missing."""

from dataclasses import dataclass, field
from enum import StrEnum


class Evidence(StrEnum):
    """The evidence that no start of a job can be carried out any more; logged."""

    # The leaders of all partitions answered, without a read of the records.
    ALL_LEADERS = "all-leaders"
    # The leader of the partition answered that it has no start in doubt.
    LEADER = "leader"
    # The leader's last report lists all starts of the job as settled.
    REPORT = "report"
    # The machines hold the attempts, or refuse their starts.
    MACHINES = "machines"
    # So much time has passed (`max_confirmation_wait`) that no start can be carried out any more.
    TIME = "time"


class UnsettledReason(StrEnum):
    """Why a start in a partition may still be carried out; logged."""

    LEADER_SILENT = "leader-silent"
    LEADER_IN_DOUBT = "leader-in-doubt"


@dataclass
class CancellationCheck:
    """The result for each partition that has recorded attempts of a job."""

    settled: dict[str, Evidence] = field(default_factory=dict)
    unsettled: dict[str, UnsettledReason] = field(default_factory=dict)

    def mark_settled(self, partition: str, evidence: Evidence) -> None:
        """Record that no start of the job can be carried out any more in a partition."""
        self.unsettled.pop(partition, None)
        self.settled[partition] = evidence
