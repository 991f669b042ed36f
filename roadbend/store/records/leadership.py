"""The records of elections: who may act for a partition, and which controllers are up."""

from dataclasses import dataclass
from typing import Any

# The workers' fencing token is the partition's term with this many bits below it, which number a
# machine's incarnations.
INCARNATION_BITS = 16
INCARNATION_MASK = (1 << INCARNATION_BITS) - 1


@dataclass(frozen=True)
class TermRecord:
    """A partition's term, and the controller that began it."""

    number: int
    controller: str
    mod_revision: int = 0

    @staticmethod
    def from_value(_partition: str, value: dict[str, Any], mod_revision: int) -> "TermRecord":
        """Read the value that the state store keeps."""
        return TermRecord(
            number=int(value["n"]), controller=value["node"], mod_revision=mod_revision
        )


@dataclass(frozen=True)
class LeaderRecord:
    """A partition's leader: the controller, its incarnation, and the term under which it leads."""

    controller: str
    incarnation: str
    term: int
    mod_revision: int = 0

    @staticmethod
    def from_value(_partition: str, value: dict[str, Any], mod_revision: int) -> "LeaderRecord":
        """Read the value that the state store keeps."""
        return LeaderRecord(
            controller=value["node"],
            incarnation=value["boot"],
            term=int(value["term"]),
            mod_revision=mod_revision,
        )


@dataclass(frozen=True)
class ControllerRecord:
    """A live controller."""

    name: str
    incarnation: str
    mod_revision: int = 0

    @staticmethod
    def from_value(name: str, value: dict[str, Any], mod_revision: int) -> "ControllerRecord":
        """Read the value that the state store keeps."""
        return ControllerRecord(name=name, incarnation=value["boot"], mod_revision=mod_revision)
