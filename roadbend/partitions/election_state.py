"""The input and the output of the election policy."""

import enum
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import datetime

from roadbend import clock
from roadbend.partitions.leadership import Leadership, LossReason
from roadbend.partitions.unserved import NO_MACHINES, MachineCounts
from roadbend.peers.heartbeat import PeerState
from roadbend.store.records import LeaderRecord


class Action(enum.Enum):
    """What to do with a partition."""

    # Keep leading the partition, or leave it to its current leader.
    NOTHING = enum.auto()
    ACQUIRE = enum.auto()
    # Acquire it from a leader that is presumed down, before that controller's lease expires.
    REPLACE_LEADER = enum.auto()
    # Acquire it from a live leader whose version does not support the gangs in it.
    REPLACE_LEADER_WITHOUT_GANGS = enum.auto()
    # Acquire it again under a term above the one that machines have seen.
    RAISE_TERM = enum.auto()
    # Delete a leader record that names this controller although it does not lead the partition.
    RELEASE = enum.auto()
    FAIL_BACK = enum.auto()


@dataclass(frozen=True, slots=True)
class Decision:
    """The policy's decision for a partition."""

    action: Action
    # Why this controller no longer leads the partition; its leadership ends before the action.
    loss_reason: LossReason | None = None
    # The controller to which the partition fails back.
    failback_to: str | None = None


@dataclass(frozen=True, slots=True)
class ControllersState:
    """What this controller knows about all controllers."""

    # This controller's own name and incarnation.
    name: str
    incarnation: str
    zones: Mapping[str, str]
    # The live controllers, including this one, each with the time since when it was seen alive.
    alive_since: Mapping[str, datetime]
    # The latest state reported by each of the other controllers.
    peers: Mapping[str, PeerState]
    # When this controller began to exchange heartbeats with the others.
    began_at: datetime = clock.ORIGIN
    # The partitions that this controller leads.
    led: Collection[str] = ()
    # The live controllers whose version does not support gangs.
    without_gangs: frozenset[str] = frozenset()

    @property
    def home(self) -> str:
        """This controller's zone, which is also the name of that zone's partition."""
        return self.zones[self.name]

    @property
    def led_of_other_zones_count(self) -> int:
        """The number of other controllers' home partitions that this controller leads."""
        others = set(self.zones.values()) - {self.home}
        return sum(1 for partition in self.led if partition in others)


@dataclass(frozen=True, slots=True)
class PartitionState:
    """What this controller knows about a partition."""

    name: str
    # The leader according to the records.
    recorded: LeaderRecord | None
    # This controller's leadership, if it leads the partition.
    leadership: Leadership | None
    # Since when there has been no leader; the current time while there is one.
    leaderless_since: datetime
    # The highest term that machines have seen but the records have lost; 0: none.
    lost_term: int
    # Whether this controller recently gave it up and leaves it to others for now.
    acquisition_held: bool
    # The controllers to which it must not fail back for now.
    held_failbacks: frozenset[str]
    # Whether the records have named a leader since this controller began to read them.
    was_led: bool = False
    # Counted only while the leader is silent.
    machines: MachineCounts = NO_MACHINES
    # Whether gangs are assigned to it or run in it; determined only while a live controller, or the
    # leader, does not support gangs.
    holds_gangs: bool = False
    # Since when that has been so under a leader that does not support gangs; None: it is not so.
    gangs_at_risk_since: datetime | None = None
    # Whether this controller ever gave it up because its workers could not reach this controller.
    was_unreachable: bool = False
    # Whether the leader record was written by an interrupted acquisition of this controller.
    is_unconfirmed: bool = False
