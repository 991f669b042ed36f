"""Decide whether a silent leader is gone, so that its partition goes over before its lease expires.

Pure functions, given time.
"""

from datetime import datetime, timedelta

from roadbend.clock import ZERO
from roadbend.partitions.election_state import ControllersState, PartitionState
from roadbend.partitions.preference import preferred
from roadbend.peers.heartbeat import ALIVE_FOR
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord


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
    received_at = last_heard(recorded.controller, controllers)
    enough = _silence_needed(recorded.controller, controllers, operator)
    return received_at if now - received_at >= enough else None


def _silence_needed(
    controller: str, controllers: ControllersState, operator: OperatorSettings
) -> timedelta:
    """Return after which silence a leader may be gone.

    One that restarts is heard again within `takeover_silence`; one that lives, soon after we began.
    """
    peer = controllers.peers.get(controller)
    if peer is not None and peer.received_at is not None:
        return operator.takeover_silence
    return min(operator.takeover_silence, ALIVE_FOR)


def is_leader_gone(
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


def last_heard(name: str, controllers: ControllersState) -> datetime:
    """Return when a controller was last heard, at the earliest when we began to listen."""
    peer = controllers.peers.get(name)
    received_at = peer.received_at if peer is not None else None
    return max(received_at or controllers.began_at, controllers.began_at)
