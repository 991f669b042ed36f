"""Remember which partitions are not to change their leader again for a while.

Without that, a partition could go to and fro between controllers: one acquires it, finds that it
can't serve it, gives it up, and acquires it again.
"""

from datetime import datetime
from typing import NamedTuple


class FailbackRoute(NamedTuple):
    """A partition, and the controller to which it might fail back."""

    partition: str
    controller: str


class HoldOffs:
    """Which partitions this controller does not acquire, or does not fail back, and until when."""

    def __init__(self) -> None:
        self._acquisitions: dict[str, datetime] = {}
        self._failbacks: dict[FailbackRoute, datetime] = {}
        # Partitions that we gave up because their workers did not reach us.
        self._unreachable: set[str] = set()

    def hold_acquisition(self, partition: str, until: datetime) -> None:
        """Leave the partition to others for a while, if there are any."""
        self._acquisitions[partition] = until

    def hold_failback(self, partition: str, controller: str, until: datetime) -> None:
        """Don't fail the partition back to the controller for a while."""
        self._failbacks[FailbackRoute(partition, controller)] = until

    def note_unreachable(self, partition: str) -> None:
        """Remember for good that a partition's workers did not reach us."""
        self._unreachable.add(partition)

    def was_unreachable(self, partition: str) -> bool:
        """Tell whether we once gave the partition up because its workers did not reach us."""
        return partition in self._unreachable

    def holds_acquisition(self, partition: str, now: datetime) -> bool:
        """Tell whether the partition is left to others."""
        return now < self._acquisitions.get(partition, now)

    def held_failbacks(self, partition: str, now: datetime) -> frozenset[str]:
        """List the controllers to which the partition is not failed back now."""
        return frozenset(
            route.controller
            for route, until in self._failbacks.items()
            if route.partition == partition and now < until
        )
