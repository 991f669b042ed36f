"""Machines that were deleted and may still show up."""

from collections.abc import Collection

# Most machines that are remembered.
MAX_DELETED_MACHINES = 32_768


class DeletedMachines:
    """Machines that this controller deleted lately.

    The cloud's list goes on showing them for a while, and their last heartbeats may arrive late.
    """

    def __init__(self) -> None:
        self._ids: dict[str, None] = {}
        # The ids of these machines: a view that follows. No property, for every heartbeat asks.
        self.ids: Collection[str] = self._ids.keys()

    def add(self, machine: str) -> None:
        """Remember a machine that the cloud has confirmed as deleted."""
        self._ids[machine] = None
        while len(self._ids) > MAX_DELETED_MACHINES:
            del self._ids[next(iter(self._ids))]
