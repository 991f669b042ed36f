"""What came of looking for starts of a cancelled job: per partition, a proof or what is missing."""

from dataclasses import dataclass, field
from enum import StrEnum


class Evidence(StrEnum):
    """What proved that no start of a job can be carried out any more; logged."""

    # The leaders of all partitions answered, without a read of the records.
    ALL_LEADERS = "all-leaders"
    LEADER = "leader"
    REPORT = "report"
    MACHINES = "machines"
    TIME = "time"


class Missing(StrEnum):
    """Why a partition is waited for; logged."""

    LEADER_SILENT = "leader-silent"
    LEADER_IN_DOUBT = "leader-in-doubt"


@dataclass
class CancellationCheck:
    """What came of looking at the partitions whose records name attempts of a job."""

    settled: dict[str, Evidence] = field(default_factory=dict)
    waits_for: dict[str, Missing] = field(default_factory=dict)

    def settle(self, partition: str, evidence: Evidence) -> None:
        """Note that no start of the job can be carried out any more in a partition."""
        self.waits_for.pop(partition, None)
        self.settled[partition] = evidence
