"""Zone reachability: distinguishes a network partition from failed machines."""

from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.leader import Controller, Leader

# For how many worker leases the machines of an unreachable zone are kept.
MAX_UNREACHABLE_LEASES = 6
# With fewer machines than this, their silence says nothing about the zone.
MIN_MACHINES_OF_UNREACHABLE_ZONE = 3
# In the decision whether its zone is unreachable, a machine counts as silent after
# SILENT_INTERVALS heartbeat intervals. In the count of machines that fell silent together it does
# so after RECENTLY_SILENT_INTERVALS, which are fewer.
SILENT_INTERVALS = 2.2
RECENTLY_SILENT_INTERVALS = 1.3
# After this many heartbeat intervals of leadership every machine has had time for a heartbeat.
SETTLED_INTERVALS = 3
# The least numbers of silent machines for a common cause. The first one applies if the zone is not
# marked as unreachable and most of its machines are silent, the second one otherwise.
MIN_SILENT_BEFORE_UNREACHABLE = 2
MIN_SILENT_OF_COMMON_CAUSE = 3
# After this many leases without a response a machine's lease has certainly expired.
EXPIRED_LEASES = 1.3


class _SilenceCounts(NamedTuple):
    """Number of silent and of known machines of a partition."""

    silent: int
    known: int
    # All silent machines are spot machines, and not all known ones are.
    only_spot: bool


class _UnreachableZone(NamedTuple):
    """A zone most of whose machines are silent."""

    since: datetime
    # The silent machines. They are kept here because the records cease to name machines whose
    # leases expire.
    machines: frozenset[str]


class ZoneReachability:
    """Tracks the partitions whose zones are unreachable as a whole."""

    def __init__(self, controller: Controller, inventory: CloudInventory) -> None:
        self._controller, self._inventory = controller, inventory
        self._silence_counts: dict[str, _SilenceCounts] = {}
        self._unreachable: dict[str, _UnreachableZone] = {}

    def update(self, leader: Leader, recorded: Iterable[str], now: datetime) -> None:
        """Update whether most of a partition's machines are silent, so its zone is unreachable.

        This includes recorded machines from which a new leader has received no heartbeat at all.
        Otherwise a leader that acquires a partition during a network partition of its zone would
        delete all of its machines, which are still running their tasks.
        """
        self._silence_counts[leader.partition] = self._count_silent(leader, now)
        since, before = self._unreachable.get(leader.partition, _UnreachableZone(now, frozenset()))
        interval = self._controller.settings.heartbeat_interval
        silent_after = interval * SILENT_INTERVALS
        known = leader.machines.keys() | recorded | before
        silent = known - {
            machine.id
            for machine in leader.machines.values()
            if machine.contact.is_responsive(now, silent_after)
        }
        settled = now - leader.leadership.acquired_at > interval * SETTLED_INTERVALS
        if (
            settled
            and len(known) >= MIN_MACHINES_OF_UNREACHABLE_ZONE
            and len(silent) > self._controller.operator.fence_share * len(known)
        ):
            self._unreachable[leader.partition] = _UnreachableZone(since, frozenset(silent))
        else:
            self._unreachable.pop(leader.partition, None)

    def is_unreachable(self, partition: str, now: datetime) -> bool:
        """Return whether a partition's zone is unreachable, for less than the maximum time.

        During this time no machine is created there, and none of its machines is deleted.
        """
        zone = self._unreachable.get(partition)
        return (
            zone is not None
            and now - zone.since < self._controller.settings.lease * MAX_UNREACHABLE_LEASES
        )

    def has_common_cause(self, leader: Leader, machine_id: str, now: datetime) -> bool:
        """Return whether a machine's silence is more likely caused by the network.

        This is so if several machines fell silent together, since deleting machines that are merely
        unreachable costs more than waiting. It is not so when the cloud reclaims spot machines in a
        wave: then only spot machines are silent, or the machines have left the inventory.
        """
        if self.is_unreachable(leader.partition, now):
            return True
        operator = self._controller.operator
        counts = self._silence_counts.get(leader.partition) or self._count_silent(leader, now)
        if (
            counts.silent >= MIN_SILENT_BEFORE_UNREACHABLE
            and counts.silent > operator.fence_share * counts.known
            and leader.partition not in self._unreachable
        ):
            return True
        if self._has_lease_expired(leader, machine_id, now) or self._inventory.has_left(machine_id):
            return False
        if (
            counts.silent < MIN_SILENT_OF_COMMON_CAUSE
            or counts.silent < operator.common_share * counts.known
        ):
            return False
        return not counts.only_spot

    def _has_lease_expired(self, leader: Leader, machine_id: str, now: datetime) -> bool:
        """Return whether a machine's lease has expired, so that its tasks have stopped anyway."""
        machine = leader.machines.get(machine_id)
        if machine is None or machine.contact.acknowledged_at is None:
            return True
        silence = now - machine.contact.acknowledged_at
        return silence > self._controller.settings.lease * EXPIRED_LEASES

    def _count_silent(self, leader: Leader, now: datetime) -> _SilenceCounts:
        """Count the silent machines among those that were ever acknowledged."""
        after = self._controller.settings.heartbeat_interval * RECENTLY_SILENT_INTERVALS
        known = silent = spot = silent_spot = 0
        for machine in leader.machines.values():
            acknowledged_at = machine.contact.acknowledged_at
            if acknowledged_at is None:
                continue
            known, spot = known + 1, spot + machine.spot
            if now - acknowledged_at > after:
                silent, silent_spot = silent + 1, silent_spot + machine.spot
        return _SilenceCounts(silent, known, silent_spot == silent and spot != known)
