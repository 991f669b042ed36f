"""What an election decides on, and what it decides."""

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

    # Go on as before: lead it, or leave it to its leader.
    NOTHING = enum.auto()
    ACQUIRE = enum.auto()
    # Acquire it from a leader that is gone, before that controller's lease expires.
    REPLACE_LEADER = enum.auto()
    # Acquire it, with the gangs in it, from a live leader of a version without gangs.
    REPLACE_LEADER_WITHOUT_GANGS = enum.auto()
    # Acquire it again under a term above the one that machines have seen.
    RAISE_TERM = enum.auto()
    # Delete a leader record of ours for which there is no leadership.
    RELEASE = enum.auto()
    FAIL_BACK = enum.auto()


@dataclass(frozen=True, slots=True)
class Decision:
    """What to do with a partition."""

    action: Action
    # Why this controller does not lead the partition any more; it stops that before the action.
    lost: LossReason | None = None
    # The controller to which the partition fails back.
    failback_to: str | None = None


@dataclass(frozen=True, slots=True)
class ControllersState:
    """What this controller knows of all controllers."""

    # This controller's own name and incarnation.
    name: str
    incarnation: str
    zones: Mapping[str, str]
    # The live controllers, this one included, with since when they were seen alive.
    alive_since: Mapping[str, datetime]
    # What the other controllers last said.
    peers: Mapping[str, PeerState]
    # Since when this controller listens to the others.
    began_at: datetime = clock.ORIGIN
    # The partitions that this controller leads.
    led: Collection[str] = ()
    # The live controllers of versions without gangs.
    without_gangs: frozenset[str] = frozenset()

    @property
    def home(self) -> str:
        """This controller's zone, and the partition of it."""
        return self.zones[self.name]

    @property
    def led_of_other_zones(self) -> int:
        """How many partitions this controller leads that other controllers are at home in."""
        others = set(self.zones.values()) - {self.home}
        return sum(1 for partition in self.led if partition in others)


@dataclass(frozen=True, slots=True)
class PartitionState:
    """What this controller knows of a partition."""

    name: str
    # The leader as the records have it.
    recorded: LeaderRecord | None
    # Our leadership, if we lead the partition.
    leadership: Leadership | None
    # Since when there has been no leader, if there is none.
    leaderless_since: datetime
    # The highest term that machines have seen and the records have lost; 0: none.
    lost_term: int
    # Whether we gave it up lately and leave it to others.
    acquisition_held: bool
    # The controllers to which it is not failed back now.
    held_failbacks: frozenset[str]
    # Whether it had a leader since we began to read the records.
    was_led: bool = False
    # Counted only while its leader is silent.
    machines: MachineCounts = NO_MACHINES
    # Whether it holds or runs tasks of gangs; looked at only while a live controller knows none.
    holds_gangs: bool = False
    # Since when it has done so under a leader of a version without gangs; None: it does not.
    gangs_at_risk_since: datetime | None = None
    # Whether we once gave it up because its workers did not reach us.
    was_unreachable: bool = False
    # Whether the leader record, if it is ours, is from an acquisition that was interrupted.
    is_unconfirmed: bool = False
