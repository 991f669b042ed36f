"""Decide who leads a partition, and how long a leader may go on without the records.

Pure functions, given time.
"""

import enum
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.clock import DRIFT, ZERO
from roadbend.partitions.leadership import Leadership, LossReason
from roadbend.partitions.unserved import NO_MACHINES, MachineCounts
from roadbend.peers.heartbeat import ALIVE_FOR, PeerState
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord

# A partition fails back only to a controller that has read the records this lately.
FAILBACK_CONTACT_AGE = timedelta(seconds=2)


class Action(enum.Enum):
    """What to do with a partition."""

    # Go on as before: lead it, or leave it to its leader.
    NOTHING = enum.auto()
    ACQUIRE = enum.auto()
    # Acquire it from a leader that is gone, before that controller's lease expires.
    REPLACE_LEADER = enum.auto()
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


def rendezvous(key: str, names: Iterable[str]) -> str | None:
    """Choose the name with the highest hash: all who see the same names choose the same one."""
    names = sorted(names)
    if not names:
        return None
    return max(
        names, key=lambda name: hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    )


def preferred(partition: str, zones: Mapping[str, str], live: Iterable[str]) -> str | None:
    """Choose a live controller of the partition's own zone, else any live one."""
    live = list(live)
    local = [name for name in live if zones.get(name) == partition]
    return rendezvous(partition, local or live)


def decide(
    partition: PartitionState,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> Decision:
    """Decide what this controller does with a partition."""
    recorded, leadership = partition.recorded, partition.leadership
    if recorded is None:
        lost = None if leadership is None else LossReason.RECORD_GONE
        if _may_acquire(partition, controllers, operator, now):
            return Decision(Action.ACQUIRE, lost)
        return Decision(Action.NOTHING, lost)
    if recorded.controller != controllers.name:
        lost = None if leadership is None else LossReason.LED_BY_ANOTHER
        is_gone = _leader_is_gone(partition, recorded, controllers, operator, now)
        return Decision(Action.REPLACE_LEADER if is_gone else Action.NOTHING, lost)
    if recorded.incarnation != controllers.incarnation:
        # Ours from before a restart: it is acquired at once, under a new term.
        return Decision(Action.ACQUIRE)
    if leadership is None:
        return Decision(Action.RELEASE)
    if partition.lost_term >= leadership.term:
        return Decision(Action.RAISE_TERM)
    home = _failback_target(partition, leadership, controllers, operator, now)
    if home is not None:
        return Decision(Action.FAIL_BACK, LossReason.FAILED_BACK, home)
    return Decision(Action.NOTHING)


def silent_since(
    recorded: LeaderRecord,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> datetime | None:
    """Return since when another controller, a partition's leader, is silent to us.

    None: it is not, or not for long enough.
    """
    if recorded.controller == controllers.name:
        return None
    heard_at = _last_heard(recorded.controller, controllers)
    enough = _silence_needed(recorded.controller, controllers, operator)
    return heard_at if now - heard_at >= enough else None


def _silence_needed(
    controller: str, controllers: ControllersState, operator: OperatorSettings
) -> timedelta:
    """Return after which silence a leader may be gone.

    One that restarts is heard again within `takeover_silence`; one that lives, soon after we began.
    """
    peer = controllers.peers.get(controller)
    if peer is not None and peer.heard_at is not None:
        return operator.takeover_silence
    return min(operator.takeover_silence, ALIVE_FOR)


def _leader_is_gone(
    partition: PartitionState,
    recorded: LeaderRecord,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> bool:
    """Tell whether to acquire a partition before its leader's lease expires.

    A leader out of our reach alone still serves its workers, and they stay with it; those of one
    that is gone turn to other controllers. No rule depends on the lease: terms and tokens fence the
    former leader (docs/meetings.md).
    """
    silent = silent_since(recorded, controllers, operator, now)
    if silent is None or partition.acquisition_held:
        return False
    machines = partition.machines
    if machines.unserved <= machines.running * operator.takeover_share:
        return False
    me = controllers.name
    heard = [name for name, peer in controllers.peers.items() if peer.alive(now)]
    candidates = [me, *(name for name in heard if name != recorded.controller)]
    # Another one that hears the workers, too, goes first.
    is_first = preferred(partition.name, controllers.zones, candidates) == me
    grace = ZERO if is_first else operator.takeover_grace
    enough = _silence_needed(recorded.controller, controllers, operator)
    return now - silent >= enough + grace


def _may_acquire(
    partition: PartitionState,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> bool:
    """Tell whether the partition has been without a leader for long enough.

    The preferred controller acquires it at once, the others only later.
    """
    live = controllers.alive_since
    if partition.acquisition_held and len(live) > 1:
        return False
    me = controllers.name
    candidates = [name for name in live if name != me or not partition.acquisition_held]
    if preferred(partition.name, controllers.zones, candidates) == me:
        grace = ZERO
    else:
        grace = operator.takeover_grace * 2
    home = [name for name, zone in controllers.zones.items() if zone == partition.name]
    if not any(name in live for name in home) and _home_may_be_on_its_way(
        partition, home, controllers, operator, now
    ):
        grace += operator.takeover_grace
    return now - partition.leaderless_since >= grace


def _home_may_be_on_its_way(
    partition: PartitionState,
    home: list[str],
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> bool:
    """Tell whether to wait for the controllers of a partition's zone, none of which is alive.

    Not for those that were silent for a whole lease. Nor where all leases but ours have expired:
    then no worker of the partition has been served for as long.
    """
    if partition.was_led and len(controllers.alive_since) == 1:
        return False
    # The zone may have none that we know of.
    return not home or any(
        now - _last_heard(name, controllers) < operator.own_lease for name in home
    )


def _last_heard(name: str, controllers: ControllersState) -> datetime:
    """Return when a controller was last heard, at the earliest when we began to listen."""
    peer = controllers.peers.get(name)
    heard_at = peer.heard_at if peer is not None else None
    return max(heard_at or controllers.began_at, controllers.began_at)


def _failback_target(
    partition: PartitionState,
    leadership: Leadership,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> str | None:
    """Choose a controller of the partition's zone that can lead it again, instead of this one."""
    zones, me = controllers.zones, controllers.name
    home = preferred(partition.name, zones, controllers.alive_since)
    if home is None or home == me or home in partition.held_failbacks:
        return None
    if now - leadership.acquired_at < operator.hand_back_after:
        return None
    if zones.get(home) != partition.name or zones.get(me) == partition.name:
        return None
    if now - controllers.alive_since[home] < operator.hand_back_after:
        return None
    peer = controllers.peers.get(home)
    return home if peer is not None and _can_lead(peer, now) else None


def _can_lead(peer: PeerState, now: datetime) -> bool:
    """Tell whether a peer answers heartbeats, and has read the records lately."""
    if not peer.alive(now) or peer.heartbeat is None:
        return False
    contact_age = peer.heartbeat.contact_age
    return contact_age is not None and contact_age <= FAILBACK_CONTACT_AGE


def renew_until(
    contact: datetime | None,
    peers: Iterable[PeerState],
    cancel_within: timedelta,
    lease: timedelta,
    margin: timedelta,
) -> datetime | None:
    """Calculate until when a leader may renew its workers' leases; None: not at all.

    A cancellation that we don't know of may have been accepted at any moment after the instant up
    to which we know them all: the least, over the peers, of what our own reads or the peer's own
    list covers. A worker's lease ends `lease` after a heartbeat that we answered, so the last
    answer must come `cancel_within - lease` after that instant at the latest; drift and margin come
    off. docs/meetings.md has the whole argument.
    """
    if contact is None:
        return None
    known = min(
        (peer.cancellations_known_until(contact) or contact for peer in peers), default=contact
    )
    return known + (cancel_within - lease) * (1 - 2 * DRIFT) - margin
