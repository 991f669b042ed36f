"""The cloud's list of our machines, as last read."""

from roadbend.rental.cloud import Listed

# Machines remembered as having been listed once.
MAX_REMEMBERED = 4096


class MachineList:
    """What the cloud last listed, and what it once listed and lists no more."""

    def __init__(self) -> None:
        self.rows: dict[str, Listed] = {}
        self._was_listed: set[str] = set()

    def take(self, rows: list[Listed]) -> None:
        """A list was read anew."""
        self.rows = {row.id: row for row in rows}
        self._was_listed |= set(self.rows)
        if len(self._was_listed) > MAX_REMEMBERED:
            self._was_listed = set(self.rows)

    def has_left(self, machine: str) -> bool:
        """Whether a machine was listed before and is not any more: it is gone."""
        return machine in self._was_listed and machine not in self.rows
