"""Keep partitions with gangs under leaders whose version supports gangs.

A leader of a version without gangs treats a gang's tasks as independent: it preempts one of them,
or restarts a lost one by itself, and the whole gang ends. Pure functions; the current time is an
argument.
"""

from collections.abc import Iterable
from datetime import datetime

from roadbend.clock import ZERO
from roadbend.partitions.election_state import ControllersState, PartitionState
from roadbend.partitions.preference import preferred_controller
from roadbend.peers.frames import GANGS_EXTENSION
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord

# Partitions of other zones that a controller leads because of their gangs. It is limited because a
# controller can serve only so many machines of other zones besides its own.
MAX_LED_FOR_GANGS = 1


def should_replace_leader_without_gangs(
    partition: PartitionState,
    recorded: LeaderRecord,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> bool:
    """Return whether to acquire a partition from its live leader, which does not support its gangs.

    Only from a leader that answers our heartbeats. A partition of another zone is acquired only
    while we lead our own zone's: otherwise its machines may be able to reach that leader only. The
    same holds if its machines don't answer us, which is checked before the partition is acquired.
    Terms and fencing tokens fence the former leader (docs/meetings.md).
    """
    since = partition.gangs_at_risk_since
    if since is None or partition.acquisition_held or partition.was_unreachable:
        return False
    if not _can_lead(partition, controllers) or not _is_responsive(recorded, controllers, now):
        return False
    preferred = preferred_controller(
        partition.name, controllers.zones, _replacement_candidates(controllers, now)
    )
    grace = ZERO if preferred == controllers.name else operator.takeover_grace
    return now - since >= grace


def _can_lead(partition: PartitionState, controllers: ControllersState) -> bool:
    """Return whether we can lead a partition.

    We can lead our own zone's. We can lead another one while we lead our own zone's and fewer than
    `MAX_LED_FOR_GANGS` others.
    """
    if partition.name == controllers.home:
        return True
    if controllers.home not in controllers.led:
        return False
    return controllers.led_of_other_zones_count < MAX_LED_FOR_GANGS


def _is_responsive(leader: LeaderRecord, controllers: ControllersState, now: datetime) -> bool:
    """Return whether a leader answers our heartbeats, in the incarnation that its record names."""
    peer = controllers.peers.get(leader.controller)
    if peer is None or peer.heartbeat is None or not peer.alive(now):
        return False
    return peer.heartbeat.incarnation == leader.incarnation


def _replacement_candidates(controllers: ControllersState, now: datetime) -> list[str]:
    """Return the responsive controllers that support gangs, including this one."""
    responsive = [
        name
        for name, peer in controllers.peers.items()
        if peer.alive(now) and peer.supports(GANGS_EXTENSION)
    ]
    return [controllers.name, *responsive]


def acquisition_candidates(
    partition: PartitionState, names: Iterable[str], controllers: ControllersState
) -> list[str]:
    """Return which of the named controllers should acquire a partition that has no leader.

    For a partition with gangs these are the controllers that support gangs, if there are any.
    """
    names = list(names)
    if not partition.holds_gangs or controllers.led_of_other_zones_count >= MAX_LED_FOR_GANGS:
        return names
    return [name for name in names if name not in controllers.without_gangs] or names


def failback_candidates(partition: PartitionState, controllers: ControllersState) -> list[str]:
    """Return the live controllers to which a partition of ours may fail back.

    A partition with gangs stays with us as long as no other live controller supports gangs.
    """
    live = list(controllers.alive_since)
    if not partition.holds_gangs or controllers.led_of_other_zones_count > MAX_LED_FOR_GANGS:
        return live
    return [name for name in live if name not in controllers.without_gangs]
