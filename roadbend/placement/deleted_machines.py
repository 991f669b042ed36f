"""Deleted machines, which may still be reported for a while."""

from collections.abc import Collection

# Bound on the ids that are kept; the oldest are dropped first.
MAX_DELETED_MACHINES = 32_768


class DeletedMachines:
    """Machines that this controller deleted recently.

    The cloud still lists them for a while, and their last heartbeats may arrive late.
    """

    def __init__(self) -> None:
        self._ids: dict[str, None] = {}
        # The ids of these machines, as a live view. Not a property, as each heartbeat reads it.
        self.ids: Collection[str] = self._ids.keys()

    def add(self, machine: str) -> None:
        """Record a machine whose deletion the cloud has confirmed."""
        self._ids[machine] = None
        while len(self._ids) > MAX_DELETED_MACHINES:
            del self._ids[next(iter(self._ids))]
