"""The cloud's list of the cluster's machines, as last read."""

from roadbend.cloud.messages import ListedMachine, MachineStatus

# Machines that are remembered after they have disappeared from the list.
MAX_REMEMBERED = 16_384


class CloudInventory:
    """The machines that the cloud last listed, and those that have disappeared from its list."""

    def __init__(self) -> None:
        self.rows: dict[str, ListedMachine] = {}
        # Number of lists read so far.
        self.reads = 0
        # In the order in which they were first listed.
        self._was_listed: dict[str, None] = {}

    def update(self, rows: list[ListedMachine]) -> None:
        """Replace the listed machines by a newly read list."""
        self.rows = {row.id: row for row in rows}
        self.reads += 1
        self._was_listed.update(dict.fromkeys(self.rows))
        self._forget_oldest(len(self._was_listed) - len(self.rows) - MAX_REMEMBERED)

    def _forget_oldest(self, count: int) -> None:
        if count <= 0:
            return
        removed = [name for name in self._was_listed if name not in self.rows]
        for name in removed[:count]:
            del self._was_listed[name]

    def is_failed(self, machine: str) -> bool:
        """Return whether the cloud lists a machine as failed."""
        row = self.rows.get(machine)
        return row is not None and row.status == MachineStatus.FAILED

    def has_left(self, machine: str) -> bool:
        """Return whether a machine has disappeared from the list, that is, no longer exists."""
        return machine in self._was_listed and machine not in self.rows
