"""The records of recovery: its progress by partition, and jobs that have no job record."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

RecoveryValue = dict[str, Any]
# The format version of the records of unrecorded jobs.
UNRECORDED_JOB_VERSION = 1


@dataclass(frozen=True)
class RecoveryProgress:
    """The progress of a partition's recovery under one term.

    The partition's leader writes it for the other controllers and for operators.
    """

    VERSION: ClassVar[int] = 1

    term: int
    phase: str
    # Whether the state store is known to have lost writes that machines have acted on.
    lost_writes: bool
    # How many machines were expected, how many of them have sent a heartbeat, and the number of
    # differences by kind.
    expected: int = 0
    heard: int = 0
    differences: dict[str, int] = field(default_factory=dict)
    # Seconds since the term began.
    took: float = 0.0
    mod_revision: int = 0

    def to_value(self) -> RecoveryValue:
        """Return the value for the state store."""
        return {
            "v": self.VERSION,
            "t": self.term,
            "p": self.phase,
            "l": int(self.lost_writes),
            "m": [self.expected, self.heard],
            "d": self.differences,
            "s": round(self.took, 1),
        }

    @staticmethod
    def from_value(value: RecoveryValue, mod_revision: int) -> "RecoveryProgress":
        """Parse the value in the state store; raise ValueError for another format version."""
        if value["v"] != RecoveryProgress.VERSION:
            raise ValueError(f"unsupported format version {value['v']}")
        return RecoveryProgress(
            term=int(value["t"]),
            phase=str(value["p"]),
            lost_writes=bool(value["l"]),
            expected=int(value["m"][0]),
            heard=int(value["m"][1]),
            differences={str(name): int(count) for name, count in value["d"].items()},
            took=float(value["s"]),
            mod_revision=mod_revision,
        )


def read_recovery_progress(
    _partition: str, value: RecoveryValue, mod_revision: int
) -> RecoveryProgress:
    """Parse a partition's recovery record, with the signature that `RecordTable` requires."""
    return RecoveryProgress.from_value(value, mod_revision)


def unrecorded_job_value(partition: str) -> dict[str, Any]:
    """Return the record value of a job without a job record, which a partition is to stop."""
    return {"v": UNRECORDED_JOB_VERSION, "part": partition}


def read_unrecorded_job(_job: str, value: dict[str, Any], _mod_revision: int) -> str:
    """Parse the record of an unrecorded job; return the partition that is to stop it."""
    return str(value["part"])
