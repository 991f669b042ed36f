"""Decide who leads a partition, and how long a leader may act without reading the records.

Pure functions; the current time is an argument.
"""

from collections.abc import Iterable
from datetime import datetime, timedelta

from roadbend.clock import DRIFT, ZERO
from roadbend.partitions import gang_leaders, silent_leader
from roadbend.partitions.election_state import (
    Action,
    ControllersState,
    Decision,
    PartitionState,
)
from roadbend.partitions.leadership import Leadership, LossReason
from roadbend.partitions.preference import preferred_controller, rendezvous
from roadbend.peers.heartbeat import PeerState
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord

__all__ = [
    "Action",
    "ControllersState",
    "Decision",
    "PartitionState",
    "decide",
    "preferred_controller",
    "rendezvous",
    "renew_until",
]

# A partition fails back only to a controller that has read the records within this time.
FAILBACK_MAX_READ_AGE = timedelta(seconds=2)


def decide(
    partition: PartitionState,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> Decision:
    """Decide what this controller does with a partition."""
    recorded, leadership = partition.recorded, partition.leadership
    if recorded is None:
        loss_reason = None if leadership is None else LossReason.RECORD_MISSING
        if _may_acquire(partition, controllers, operator, now):
            return Decision(Action.ACQUIRE, loss_reason)
        return Decision(Action.NOTHING, loss_reason)
    if recorded.controller != controllers.name:
        loss_reason = None if leadership is None else LossReason.LED_BY_ANOTHER
        return Decision(
            _replacement_action(partition, recorded, controllers, operator, now), loss_reason
        )
    if recorded.incarnation != controllers.incarnation:
        # Our leader record from before a restart: acquire the partition at once, under a new term.
        return Decision(Action.ACQUIRE)
    if leadership is None:
        # Release a partition that we gave up; complete an acquisition that was interrupted.
        return Decision(Action.ACQUIRE if partition.is_unconfirmed else Action.RELEASE)
    if partition.lost_term >= leadership.term:
        return Decision(Action.RAISE_TERM)
    home = _failback_target(partition, leadership, controllers, operator, now)
    if home is not None:
        return Decision(Action.FAIL_BACK, LossReason.FAILED_BACK, home)
    return Decision(Action.NOTHING)


def _replacement_action(
    partition: PartitionState,
    recorded: LeaderRecord,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> Action:
    """Decide whether to acquire a partition from another leader before its lease expires."""
    if silent_leader.should_replace_silent_leader(partition, recorded, controllers, operator, now):
        return Action.REPLACE_LEADER
    if gang_leaders.should_replace_leader_without_gangs(
        partition, recorded, controllers, operator, now
    ):
        return Action.REPLACE_LEADER_WITHOUT_GANGS
    return Action.NOTHING


def _may_acquire(
    partition: PartitionState,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> bool:
    """Return whether the partition has been without a leader for long enough to acquire it.

    The preferred controller acquires it at once, the others after a grace period.
    """
    live = controllers.alive_since
    if partition.acquisition_held and len(live) > 1:
        return False
    me = controllers.name
    unheld = [name for name in live if name != me or not partition.acquisition_held]
    candidates = gang_leaders.acquisition_candidates(partition, unheld, controllers)
    if preferred_controller(partition.name, controllers.zones, candidates) == me:
        grace = ZERO
    else:
        grace = operator.takeover_grace * 2
    home = [name for name, zone in controllers.zones.items() if zone == partition.name]
    if not any(name in live for name in home) and _should_wait_for_home(
        partition, home, controllers, operator, now
    ):
        grace += operator.takeover_grace
    return now - partition.leaderless_since >= grace


def _should_wait_for_home(
    partition: PartitionState,
    home: list[str],
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> bool:
    """Return whether to wait for the controllers of a partition's zone, none of which is alive.

    Not for those that have been silent for a whole lease. Nor if all leases but ours have expired:
    then no worker of the partition has been served for that long.
    """
    if partition.was_led and len(controllers.alive_since) == 1:
        return False
    # If we know no controller of the zone, there may still be one.
    return not home or any(
        now - silent_leader.last_reply_at(name, controllers) < operator.own_lease for name in home
    )


def _failback_target(
    partition: PartitionState,
    leadership: Leadership,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> str | None:
    """Choose a controller of the partition's zone that can lead it again in place of this one."""
    zones, me = controllers.zones, controllers.name
    home = preferred_controller(
        partition.name, zones, gang_leaders.failback_candidates(partition, controllers)
    )
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
    """Return whether a peer answers heartbeats and has read the records recently."""
    if not peer.alive(now) or peer.heartbeat is None:
        return False
    last_read_age = peer.heartbeat.last_read_age
    return last_read_age is not None and last_read_age <= FAILBACK_MAX_READ_AGE


def renew_until(
    last_read_at: datetime | None,
    peers: Iterable[PeerState],
    cancel_within: timedelta,
    lease: timedelta,
    margin: timedelta,
) -> datetime | None:
    """Calculate until when a leader may renew its workers' leases; None: not at all.

    We know all cancellations up to some time: for each peer, the later one of the start of our last
    answered read and the time that the peer's own list covers; of these, the minimum over the
    peers. A cancellation that we don't know may have been accepted right after that time. A
    worker's lease ends `lease` after a heartbeat that we answered, so the last answer must come
    `cancel_within - lease` after that time at the latest, less clock drift and margin.
    docs/meetings.md has the full argument.
    """
    if last_read_at is None:
        return None
    known = min(
        (peer.cancellations_known_until(last_read_at) or last_read_at for peer in peers),
        default=last_read_at,
    )
    return known + (cancel_within - lease) * (1 - 2 * DRIFT) - margin
