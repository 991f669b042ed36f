"""The records of recovery: how far a partition's is, and jobs that no other record names."""

from dataclasses import dataclass, field
from typing import Any, ClassVar

RecoveryValue = dict[str, Any]
# The version of the form in which unrecorded jobs are written.
UNRECORDED_JOB_VERSION = 1


@dataclass(frozen=True)
class RecoveryProgress:
    """How far a partition's recovery is under one term.

    Its leader writes it for the other controllers and for operators.
    """

    VERSION: ClassVar[int] = 1

    term: int
    phase: str
    # The state store is known to have lost writes that machines have acted on.
    lost_writes: bool
    # How many machines were expected and how many were heard, and what differed, by kind.
    expected: int = 0
    heard: int = 0
    differences: dict[str, int] = field(default_factory=dict)
    # Seconds since the term began.
    took: float = 0.0
    mod_revision: int = 0

    def to_value(self) -> RecoveryValue:
        """Return the value that the state store keeps."""
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
        """Read the value that the state store keeps; raises ValueError for another version's."""
        if value["v"] != RecoveryProgress.VERSION:
            raise ValueError(f"version {value['v']}")
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
    """Read a partition's recovery record as the record view does, which knows the key as well."""
    return RecoveryProgress.from_value(value, mod_revision)


def unrecorded_job_value(partition: str) -> dict[str, Any]:
    """Return the value that says that a partition stops a job which no other record names."""
    return {"v": UNRECORDED_JOB_VERSION, "part": partition}


def read_unrecorded_job(_job: str, value: dict[str, Any], _mod_revision: int) -> str:
    """Return the partition that stops a job which machines run and no other record names."""
    return str(value["part"])
