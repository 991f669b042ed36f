"""Keep partitions in which gangs run with leaders that know gangs.

A leader of a version without gangs takes a gang's tasks for single ones: it preempts one of them,
or starts a lost one anew by itself, and the whole gang ends. Pure functions, given time.
"""

from collections.abc import Iterable
from datetime import datetime

from roadbend.clock import ZERO
from roadbend.partitions.election_state import ControllersState, PartitionState
from roadbend.partitions.preference import preferred
from roadbend.peers.frames import GANGS_EXTENSION
from roadbend.settings import OperatorSettings
from roadbend.store.records import LeaderRecord

# Partitions of other zones that a controller leads for the sake of gangs: of the others' machines
# it can serve only some beside its own.
MAX_LED_FOR_GANGS = 1


def is_leader_to_replace(
    partition: PartitionState,
    recorded: LeaderRecord,
    controllers: ControllersState,
    operator: OperatorSettings,
    now: datetime,
) -> bool:
    """Tell whether to acquire a partition with gangs from its live leader, which knows none.

    Only from one that we hear, and if it is our own zone's or we lead that one: elsewhere its
    machines may reach that leader alone. Terms and tokens fence it (docs/meetings.md).
    """
    since = partition.gangs_at_risk_since
    if since is None or partition.acquisition_held:
        return False
    if not _may_lead_for_gangs(partition, controllers):
        return False
    if not _is_heard(recorded, controllers, now):
        return False
    is_first = preferred(partition.name, controllers.zones, _replacements(controllers, now))
    grace = ZERO if is_first == controllers.name else operator.takeover_grace
    return now - since >= grace


def _may_lead_for_gangs(partition: PartitionState, controllers: ControllersState) -> bool:
    """Tell whether we may lead a partition: our own zone's, or one more where we lead that."""
    home = controllers.zones[controllers.name]
    if partition.name == home:
        return True
    return home in controllers.led and controllers.led_of_other_zones < MAX_LED_FOR_GANGS


def _is_heard(leader: LeaderRecord, controllers: ControllersState, now: datetime) -> bool:
    """Tell whether we hear a leader, and not only heard the process before it."""
    peer = controllers.peers.get(leader.controller)
    if peer is None or peer.heartbeat is None or not peer.alive(now):
        return False
    return peer.heartbeat.incarnation == leader.incarnation


def _replacements(controllers: ControllersState, now: datetime) -> list[str]:
    """List the controllers that are heard and know gangs, this one included."""
    heard = [
        name
        for name, peer in controllers.peers.items()
        if peer.alive(now) and peer.supports(GANGS_EXTENSION)
    ]
    return [controllers.name, *heard]


def acquirers(
    partition: PartitionState, names: Iterable[str], controllers: ControllersState
) -> list[str]:
    """Return who of some controllers should acquire a partition that has no leader.

    For one with gangs these are the controllers that know gangs, if there are any.
    """
    names = list(names)
    if not partition.holds_gangs or controllers.led_of_other_zones >= MAX_LED_FOR_GANGS:
        return names
    return [name for name in names if name not in controllers.without_gangs] or names


def failback_candidates(partition: PartitionState, controllers: ControllersState) -> list[str]:
    """Return the live controllers to which a partition of ours may fail back.

    One with gangs stays with us as long as only controllers without gangs could have it.
    """
    live = list(controllers.alive_since)
    if not partition.holds_gangs or controllers.led_of_other_zones > MAX_LED_FOR_GANGS:
        return live
    return [name for name in live if name not in controllers.without_gangs]
