"""The phases of one partition's recovery. Each is a value, and gives the next one."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from enum import StrEnum

from roadbend.recovery.differences import Kind


class PhaseName(StrEnum):
    """Names as they are logged, recorded and traced."""

    GATHERING = "gathering"
    COMPARING = "comparing"
    SETTLING = "settling"
    SETTLED = "settled"


@dataclass(frozen=True)
class Evidence:
    """What is known of a partition's machines at one moment."""

    # Named by records or listed by the cloud.
    expected: frozenset[str]
    heard: frozenset[str]
    # Not heard, for a reason that is known: gone, or not up yet.
    explained: frozenset[str]
    list_was_read: bool

    @property
    def complete(self) -> bool:
        """Whether every machine was heard, or its silence is explained."""
        return self.list_was_read and self.expected <= self.heard | self.explained


@dataclass(frozen=True)
class Gathering:
    """Machines send heartbeats. Ends by evidence, at the latest at a bound."""

    since: datetime
    until: datetime
    name = PhaseName.GATHERING

    def next(self, evidence: Evidence, now: datetime) -> Gathering | Comparing:
        """Stay until all machines are known or the bound is reached."""
        if evidence.complete or now >= self.until:
            return Comparing(self.since, evidence.complete)
        return self


@dataclass(frozen=True)
class Comparing:
    """Records and heartbeats are compared."""

    since: datetime
    complete: bool
    name = PhaseName.COMPARING

    def next(self, counts: dict[str, int], now: datetime) -> Settling | Settled:
        """Go on as soon as the comparison is made; `counts` are its differences by kind."""
        return Settling(self.since).next(counts, now)


# What stays open until its own evidence comes, or a machine is up, does not keep a recovery from
# being over.
SETTLED_LATER = {Kind.MACHINE_SILENT, Kind.MACHINE_GONE, Kind.MACHINE_UNKNOWN}


@dataclass(frozen=True)
class Settling:
    """Differences are settled one by one."""

    since: datetime
    name = PhaseName.SETTLING

    def next(self, counts: dict[str, int], now: datetime) -> Settling | Settled:
        """Stay while anything differs that machines could settle at their next heartbeats."""
        open_kinds = {kind for kind, count in counts.items() if count} - SETTLED_LATER
        return self if open_kinds else Settled(self.since, now)


@dataclass(frozen=True)
class Settled:
    """Nothing is left that differs, but for what waits for its evidence."""

    since: datetime
    at: datetime
    name = PhaseName.SETTLED


Phase = Gathering | Comparing | Settling | Settled
