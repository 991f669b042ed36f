"""The phases of one partition's recovery: immutable states that compute the next state."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from enum import StrEnum

from roadbend.recovery.differences import Kind


class PhaseName(StrEnum):
    """Names as they occur in logs, records and traces."""

    GATHERING = "gathering"
    COMPARING = "comparing"
    SETTLING = "settling"
    SETTLED = "settled"


@dataclass(frozen=True)
class Evidence:
    """What is known of a partition's machines at one moment."""

    # Named by records or listed by the cloud.
    expected: frozenset[str]
    # Have sent this leader a heartbeat that carries its token.
    reporting: frozenset[str]
    # Have sent none, for a known reason: deleted, failed, or still booting.
    known_absent: frozenset[str]
    # The cloud's list of machines has been read.
    is_list_read: bool

    @property
    def is_complete(self) -> bool:
        """Whether every expected machine is reporting, or known to be absent."""
        return self.is_list_read and self.expected <= self.reporting | self.known_absent


@dataclass(frozen=True)
class Gathering:
    """The leader waits for heartbeats until the evidence is complete, at the latest `until`."""

    since: datetime
    until: datetime
    name = PhaseName.GATHERING

    def next(self, evidence: Evidence, now: datetime) -> Gathering | Comparing:
        """Stay until the evidence is complete or the time limit is reached."""
        if evidence.is_complete or now >= self.until:
            return Comparing(self.since, evidence.is_complete)
        return self


@dataclass(frozen=True)
class Comparing:
    """The records are compared with the heartbeats."""

    since: datetime
    # Whether the evidence of the machines was complete.
    is_complete: bool
    name = PhaseName.COMPARING

    def next(self, counts: dict[str, int], now: datetime) -> Settling | Settled:
        """Return the phase after the comparison; `counts` are its differences by kind."""
        return Settling(self.since).next(counts, now)


# Differences of these kinds don't keep a recovery from being settled: each remains until evidence
# about its machine arrives, or until the machine has booted.
NON_BLOCKING_KINDS = {Kind.MACHINE_SILENT, Kind.MACHINE_GONE, Kind.MACHINE_UNKNOWN}


@dataclass(frozen=True)
class Settling:
    """Differences are settled one by one."""

    since: datetime
    name = PhaseName.SETTLING

    def next(self, counts: dict[str, int], now: datetime) -> Settling | Settled:
        """Stay while there are differences that the machines' next heartbeats could settle."""
        open_kinds = {kind for kind, count in counts.items() if count} - NON_BLOCKING_KINDS
        return self if open_kinds else Settled(self.since, now)


@dataclass(frozen=True)
class Settled:
    """No differences are left except `NON_BLOCKING_KINDS`."""

    since: datetime
    at: datetime
    name = PhaseName.SETTLED


Phase = Gathering | Comparing | Settling | Settled
