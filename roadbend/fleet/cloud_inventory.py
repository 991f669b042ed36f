"""The cloud's list of our machines, as last read."""

from roadbend.cloud.messages import ListedMachine, MachineStatus

# Machines remembered as having been listed once, beside those that are listed now.
MAX_REMEMBERED = 16_384


class CloudInventory:
    """What the cloud last listed, and what it once listed and lists no more."""

    def __init__(self) -> None:
        self.rows: dict[str, ListedMachine] = {}
        # How often a list was read.
        self.reads = 0
        # In the order in which they were first listed.
        self._was_listed: dict[str, None] = {}

    def update(self, rows: list[ListedMachine]) -> None:
        """Replace what is listed by a list that was read anew."""
        self.rows = {row.id: row for row in rows}
        self.reads += 1
        self._was_listed.update(dict.fromkeys(self.rows))
        self._forget_oldest(len(self._was_listed) - len(self.rows) - MAX_REMEMBERED)

    def _forget_oldest(self, count: int) -> None:
        if count <= 0:
            return
        gone = [name for name in self._was_listed if name not in self.rows]
        for name in gone[:count]:
            del self._was_listed[name]

    def is_failed(self, machine: str) -> bool:
        """Whether the cloud lists a machine as failed."""
        row = self.rows.get(machine)
        return row is not None and row.status == MachineStatus.FAILED

    def has_left(self, machine: str) -> bool:
        """Whether a machine was listed before and is not any more: it is gone."""
        return machine in self._was_listed and machine not in self.rows
