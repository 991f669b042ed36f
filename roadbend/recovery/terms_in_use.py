"""Detects from the machines' heartbeats that the records have lost a term."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.log import Log
from roadbend.recovery.machines import PartitionMachines

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("recovery")

# Terms from `MAX_TERM` on are invalid: an attempt's number has 32 bits for its term. Nor is it
# plausible that the records have lost more than `MAX_TERMS_AHEAD` changes of leader.
MAX_TERM, MAX_TERMS_AHEAD = 1 << 31, 100_000


class TermsInUse:
    """Terms that machines reported before this leader answered them, and not below its own term.

    Each is that of another leader, or the records have lost it. A lost term must not be used a
    second time: machines would accept the orders of the former leader that had the same token.
    """

    def __init__(self, leader: PartitionLeader, machines: PartitionMachines, cold: bool) -> None:
        self._leader, self._machines, self._cold = leader, machines, cold
        # By machine.
        self._terms: dict[str, int] = {}
        # When the first of them was reported, by the steady clock; None: there are none.
        self.since: datetime | None = None

    def record(self, machine: str, term: int) -> None:
        """Record a term that a machine has reported, unless it is implausible or outdated."""
        own_term = self._leader.leadership.term
        if not own_term <= term < min(MAX_TERM, own_term + MAX_TERMS_AHEAD):
            partition = self._leader.partition
            log.warning("term-implausible", partition=partition, machine=machine, term=term)
            return
        if term == own_term and not (self._cold and self._machines.is_present(machine)):
            # A delayed duplicate of a heartbeat from a machine that no longer exists.
            return
        self._terms[machine] = term
        if self.since is None:
            self.since = clock.now()

    def pop_highest(self) -> int:
        """Return the highest of the terms and remove all of them; there must be at least one."""
        highest = max(self._terms.values())
        self._terms, self.since = {}, None
        return highest
