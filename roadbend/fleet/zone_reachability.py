"""Telling a network that is cut from machines that are dead."""

from collections.abc import Iterable
from datetime import datetime

from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader

# For how many of the workers' leases machines of a zone that can't be reached are kept.
CUT_LEASES = 6
# With fewer machines than this, silence says nothing of a zone.
FEWEST_OF_A_CUT = 3


class ZoneReachability:
    """Which partitions' machines can't be reached together."""

    def __init__(self, context: ControllerContext, inventory: CloudInventory):
        self._context, self._inventory = context, inventory
        # By partition: machines silent, machines known, and whether the silent ones are only spot
        # machines.
        self._quiet: dict[str, tuple[int, int, bool]] = {}
        # Partitions most of whose machines are silent: since when, and which; the records cease to
        # name them as their leases end.
        self._cut: dict[str, tuple[datetime, frozenset[str]]] = {}

    def note(self, leader: PartitionLeader, recorded: Iterable[str], now: datetime) -> None:
        """Whether most of a partition's machines are silent, those counted that the records name
        and that a new owner has not heard at all: then it is the zone that can't be reached. An
        owner that took a partition over during a cut of its zone once deleted all of its machines,
        which went on working inside."""
        self._quiet[leader.partition] = self._count_quiet(leader, now)
        since, before = self._cut.get(leader.partition, (now, frozenset()))
        heartbeat = self._context.settings.heartbeat_interval
        known = leader.machines.keys() | recorded | before
        silent = known - {
            m.id for m in leader.machines.values() if m.contact.fresh(now, heartbeat * 2.2)
        }
        settled = now - leader.leadership.acquired_at > heartbeat * 3
        if (
            settled
            and len(known) >= FEWEST_OF_A_CUT
            and len(silent) > self._context.operator.fence_share * len(known)
        ):
            self._cut[leader.partition] = (since, frozenset(silent))
        else:
            self._cut.pop(leader.partition, None)

    def is_cut(self, partition: str, now: datetime) -> bool:
        """Nothing is hired in such a partition, and none of its machines deleted, until that has
        lasted long."""
        row = self._cut.get(partition)
        return row is not None and now - row[0] < self._context.settings.lease * CUT_LEASES

    def _count_quiet(self, leader: PartitionLeader, now: datetime) -> tuple[int, int, bool]:
        """How many machines are silent, of how many, and whether all silent ones are spot among
        others."""
        after = self._context.settings.heartbeat_interval * 1.3
        known = [m for m in leader.machines.values() if m.contact.acknowledged_at is not None]
        quiet = [m for m in known if now - m.contact.acknowledged_at > after]
        return len(quiet), len(known), all(m.spot for m in quiet) and not all(m.spot for m in known)

    def common_cause(self, leader: PartitionLeader, name: str, now: datetime) -> bool:
        """Whether this silence is rather the network's than the machine's: several fell silent
        together.

        Deleting machines that are only cut off costs more than waiting. Told apart are waves in
        which the cloud takes spot machines back: only spot machines are silent, or they have left
        the list."""
        operator, s = self._context.operator, self._context.settings
        quiet, known, only_spot = self._quiet.get(leader.partition) or self._count_quiet(
            leader, now
        )
        if self.is_cut(leader.partition, now):
            return True
        if (
            quiet >= 2
            and quiet > operator.fence_share * known
            and leader.partition not in self._cut
        ):
            return True
        mine = leader.machines.get(name)
        if (
            mine is None
            or mine.contact.acknowledged_at is None
            or now - mine.contact.acknowledged_at > s.lease * 1.3
        ):
            # Its lease has ended long since: its tasks are gone anyway.
            return False
        if self._inventory.has_left(name):
            return False
        if quiet < 3 or quiet < operator.common_share * known:
            return False
        return not only_spot
