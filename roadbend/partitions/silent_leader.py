"""Decide whether a silent leader is presumed down and replaced before its lease expires.

Pure functions; the current time is an argument.
"""

from datetime import datetime, timedelta

from roadbend.clock import ZERO
from roadbend.partitions.election_state import ControllersState, PartitionState
from roadbend.partitions.preference import preferred_controller
from roadbend.peers.heartbeat import ALIVE_FOR
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord


def silent_since(
    recorded: LeaderRecord,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> datetime | None:
    """Return since when a partition's leader, another controller, has not answered our heartbeats.

    None if it answers, or has not been silent for long enough.
    """
    if recorded.controller == controllers.name:
        return None
    received_at = last_reply_at(recorded.controller, controllers)
    required = _required_silence(recorded.controller, controllers, operator)
    return received_at if now - received_at >= required else None


def _required_silence(
    controller: str, controllers: ControllersState, operator: OperatorSettings
) -> timedelta:
    """Return how long a leader must be silent before it may be presumed down.

    A leader that restarts answers again within `takeover_silence`. One that has never answered
    since we started would have done so within `ALIVE_FOR` if it were alive.
    """
    peer = controllers.peers.get(controller)
    if peer is not None and peer.received_at is not None:
        return operator.takeover_silence
    return min(operator.takeover_silence, ALIVE_FOR)


def should_replace_silent_leader(
    partition: PartitionState,
    recorded: LeaderRecord,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> bool:
    """Return whether to acquire a partition before its silent leader's lease expires.

    A leader that only we can't reach still serves its workers, and they keep sending it their
    heartbeats; the workers of a leader that is down send them to other controllers. Safety does not
    depend on the lease: terms and fencing tokens fence the former leader (docs/meetings.md).
    """
    since = silent_since(recorded, controllers, operator, now)
    if since is None or partition.acquisition_held:
        return False
    machines = partition.machines
    if machines.unserved <= machines.running * operator.takeover_share:
        return False
    me = controllers.name
    responsive = [name for name, peer in controllers.peers.items() if peer.alive(now)]
    candidates = [me, *(name for name in responsive if name != recorded.controller)]
    # The preferred one of the responsive controllers acts first, if the workers reach it, too.
    is_first = preferred_controller(partition.name, controllers.zones, candidates) == me
    grace = ZERO if is_first else operator.takeover_grace
    required = _required_silence(recorded.controller, controllers, operator)
    return now - since >= required + grace


def last_reply_at(name: str, controllers: ControllersState) -> datetime:
    """Return when a controller last answered a heartbeat, but not before we began to send them."""
    peer = controllers.peers.get(name)
    received_at = peer.received_at if peer is not None else None
    return max(received_at or controllers.began_at, controllers.began_at)
