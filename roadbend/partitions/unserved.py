"""Types for counting the machines of another controller's partition that no leader serves."""

from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime


@dataclass(frozen=True, slots=True)
class UnservedMachinesQuery:
    """Asks how many of these machines are not served by their silent leader."""

    partition: str
    # The leader's term: machines that follow a leader under another term are not counted.
    term: int
    silent_since: datetime
    machines: Collection[str]


@dataclass(frozen=True, slots=True)
class MachineCounts:
    """How many machines of a silent leader's partition run tasks, and how many are unserved."""

    # Machines to which the records assign attempts.
    running: int = 0
    # Those of them that recently sent their heartbeats to this controller under the leader's term.
    unserved: int = 0


NO_MACHINES = MachineCounts()

# Returns how many machines recently sent their heartbeats to this controller instead.
CountUnserved = Callable[[UnservedMachinesQuery, datetime], int]


def count_none(_query: UnservedMachinesQuery, _now: datetime) -> int:
    """Return 0: the default for a controller that receives no heartbeats of machines."""
    return 0
