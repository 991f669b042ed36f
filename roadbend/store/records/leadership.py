"""The records of elections: each partition's term and leader, and the live controllers."""

from dataclasses import dataclass
from typing import Any

# A worker's fencing token is the partition's term, followed by this many bits for the machine's
# incarnation.
INCARNATION_BITS = 16
INCARNATION_MASK = (1 << INCARNATION_BITS) - 1


@dataclass(frozen=True)
class TermRecord:
    """A partition's term, and the controller that started it."""

    number: int
    controller: str
    mod_revision: int = 0

    @staticmethod
    def from_value(_partition: str, value: dict[str, Any], mod_revision: int) -> "TermRecord":
        """Parse the value in the state store."""
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
        """Parse the value in the state store."""
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
        """Parse the value in the state store."""
        return ControllerRecord(name=name, incarnation=value["boot"], mod_revision=mod_revision)
