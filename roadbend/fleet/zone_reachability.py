"""Zone reachability: tells a network partition from machines that are dead."""

from collections.abc import Iterable
from datetime import datetime
from typing import NamedTuple

from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.leader import Controller, Leader

# For how many of the workers' leases machines of a zone that can't be reached are kept.
CUT_LEASES = 6
# With fewer machines than this, silence says nothing of a zone.
FEWEST_OF_A_CUT = 3
# A machine is silent for a zone's sake after so many heartbeat intervals; of the count of machines
# that fell silent together it is after fewer.
SILENT_INTERVALS = 2.2
QUIET_INTERVALS = 1.3
# So many intervals after leadership was acquired every machine has had time for a heartbeat.
SETTLED_INTERVALS = 3
# So many silent machines fell silent together: for a zone that is not cut off by then, and else.
FEWEST_QUIET = 2
FEWEST_OF_A_COMMON_CAUSE = 3
# After so many leases without our answers a machine's lease has ended long since.
ENDED_LEASES = 1.3


class _Quiet(NamedTuple):
    """How many machines of a partition are silent."""

    silent: int
    known: int
    # All silent ones are spot machines, and there are others.
    only_spot: bool


class _Cut(NamedTuple):
    """A partition most of whose machines are silent."""

    since: datetime
    # Which; the records cease to name them as their leases end.
    machines: frozenset[str]


class ZoneReachability:
    """Which partitions' machines can't be reached together."""

    def __init__(self, controller: Controller, inventory: CloudInventory) -> None:
        self._controller, self._inventory = controller, inventory
        self._quiet: dict[str, _Quiet] = {}
        self._cut: dict[str, _Cut] = {}

    def note(self, leader: Leader, recorded: Iterable[str], now: datetime) -> None:
        """Note whether most of a partition's machines are silent: then its zone can't be reached.

        Machines count that the records name and that a new leader has not heard at all. Otherwise a
        leader that acquires a partition while its zone is cut off would delete all of its machines,
        which go on working inside.
        """
        self._quiet[leader.partition] = self._count_quiet(leader, now)
        since, before = self._cut.get(leader.partition, _Cut(now, frozenset()))
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
            and len(known) >= FEWEST_OF_A_CUT
            and len(silent) > self._controller.operator.fence_share * len(known)
        ):
            self._cut[leader.partition] = _Cut(since, frozenset(silent))
        else:
            self._cut.pop(leader.partition, None)

    def is_unreachable(self, partition: str, now: datetime) -> bool:
        """Whether a partition's zone can't be reached, and has not been so for long.

        Until then no machine is created there, and none of its machines deleted.
        """
        cut = self._cut.get(partition)
        return cut is not None and now - cut.since < self._controller.settings.lease * CUT_LEASES

    def common_cause(self, leader: Leader, name: str, now: datetime) -> bool:
        """Whether this silence is rather the network's than the machine's.

        So it is if several fell silent together: deleting machines that are only cut off costs more
        than waiting. Told apart are waves in which the cloud reclaims spot machines: only spot
        machines are silent, or they have left the inventory.
        """
        if self.is_unreachable(leader.partition, now):
            return True
        operator = self._controller.operator
        quiet = self._quiet.get(leader.partition) or self._count_quiet(leader, now)
        if (
            quiet.silent >= FEWEST_QUIET
            and quiet.silent > operator.fence_share * quiet.known
            and leader.partition not in self._cut
        ):
            return True
        if self._is_lease_over(leader, name, now) or self._inventory.has_left(name):
            return False
        if (
            quiet.silent < FEWEST_OF_A_COMMON_CAUSE
            or quiet.silent < operator.common_share * quiet.known
        ):
            return False
        return not quiet.only_spot

    def _is_lease_over(self, leader: Leader, name: str, now: datetime) -> bool:
        """Whether a machine's lease has ended long since, so that its tasks are gone anyway."""
        machine = leader.machines.get(name)
        if machine is None or machine.contact.acknowledged_at is None:
            return True
        silence = now - machine.contact.acknowledged_at
        return silence > self._controller.settings.lease * ENDED_LEASES

    def _count_quiet(self, leader: Leader, now: datetime) -> _Quiet:
        """Count the machines that are silent, of those that were heard."""
        after = self._controller.settings.heartbeat_interval * QUIET_INTERVALS
        known = quiet = spot = quiet_spot = 0
        for machine in leader.machines.values():
            acknowledged_at = machine.contact.acknowledged_at
            if acknowledged_at is None:
                continue
            known, spot = known + 1, spot + machine.spot
            if now - acknowledged_at > after:
                quiet, quiet_spot = quiet + 1, quiet_spot + machine.spot
        return _Quiet(quiet, known, quiet_spot == quiet and spot != known)
