"""Finds out from machines that the records have lost a term."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.log import Log
from roadbend.recovery.machines import PartitionMachines

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("recovery")

# A term beyond this is nonsense: attempts are numbered by 32 bits of it. Nor can machines be
# further ahead of the records than by so many changes of leader.
MAX_TERM, MAX_TERMS_AHEAD = 1 << 31, 100_000


class TermsInUse:
    """The terms not below ours that a partition's machines have shown before we answered them.

    Each is another leader's, or the records have lost it. A term that was used before must not be
    used again: its token would let through what a former leader ordered.
    """

    def __init__(self, leader: PartitionLeader, machines: PartitionMachines, cold: bool) -> None:
        self._leader, self._machines, self._cold = leader, machines, cold
        # By machine.
        self._terms: dict[str, int] = {}
        # Since when there have been any, a steady instant; None: there are none.
        self.since: datetime | None = None

    def note(self, machine: str, term: int) -> None:
        """Take in a term that a machine has shown."""
        ours = self._leader.leadership.term
        if not ours <= term < min(MAX_TERM, ours + MAX_TERMS_AHEAD):
            partition = self._leader.partition
            log.warning("term-implausible", partition=partition, machine=machine, term=term)
            return
        if term == ours and not (self._cold and self._machines.is_present(machine)):
            # A late copy of a heartbeat of a machine that is no more.
            return
        self._terms[machine] = term
        if self.since is None:
            self.since = clock.now()

    def take_highest(self) -> int:
        """Return the highest of the terms, and forget them all; there must be some."""
        highest = max(self._terms.values())
        self._terms, self.since = {}, None
        return highest
