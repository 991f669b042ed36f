"""Which machines of another controller's partition are served by no leader."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime


@dataclass(frozen=True, slots=True)
class UnservedMachinesQuery:
    """Asks how many machines their leader, which is silent, does not serve."""

    partition: str
    # The leader's term: machines that follow another leader do not count.
    term: int
    silent_since: datetime
    machines: Collection[str]


@dataclass(frozen=True, slots=True)
class MachineCounts:
    """How many machines of a partition with a silent leader run tasks, and lack a leader."""

    # Those on which the records name attempts.
    running: int = 0
    # Those of them that have lately turned to this controller, under the leader's term.
    unserved: int = 0


NO_MACHINES = MachineCounts()

# Returns how many machines have turned to this controller lately.
CountUnserved = Callable[[UnservedMachinesQuery, datetime], int]


def count_none(_question: UnservedMachinesQuery, _now: datetime) -> int:
    """Count no machine: for a controller that hears none."""
    return 0
