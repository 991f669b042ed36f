"""Hold-off times that keep a partition from changing its leader again too soon.

Without them, leadership of a partition could flap: a controller acquires it, finds that it can't
serve it, gives it up, and acquires it again.
"""

from datetime import datetime
from typing import NamedTuple


class FailbackRoute(NamedTuple):
    """A partition, and the controller to which it might fail back."""

    partition: str
    controller: str


class HoldOffs:
    """The partitions that this controller must not acquire or fail back, and until when."""

    def __init__(self) -> None:
        self._acquisitions: dict[str, datetime] = {}
        self._failbacks: dict[FailbackRoute, datetime] = {}
        # Partitions that we gave up because their workers could not reach us; never cleared.
        self._unreachable: set[str] = set()

    def hold_acquisition(self, partition: str, until: datetime) -> None:
        """Leave the partition to other controllers, if there are any, until the given time."""
        self._acquisitions[partition] = until

    def hold_failback(self, partition: str, controller: str, until: datetime) -> None:
        """Don't fail the partition back to the controller until the given time."""
        self._failbacks[FailbackRoute(partition, controller)] = until

    def mark_unreachable(self, partition: str) -> None:
        """Record permanently that a partition's workers could not reach us."""
        self._unreachable.add(partition)

    def was_unreachable(self, partition: str) -> bool:
        """Return whether we ever gave the partition up because its workers could not reach us."""
        return partition in self._unreachable

    def is_acquisition_held(self, partition: str, now: datetime) -> bool:
        """Return whether the partition is left to other controllers now."""
        return now < self._acquisitions.get(partition, now)

    def held_failbacks(self, partition: str, now: datetime) -> frozenset[str]:
        """Return the controllers to which the partition must not fail back now."""
        return frozenset(
            route.controller
            for route, until in self._failbacks.items()
            if route.partition == partition and now < until
        )
