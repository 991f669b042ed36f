"""Direct starts: sent to machines at once rather than with the answer to a heartbeat."""

from collections.abc import Callable

from roadbend.fleet.terminations import TaskKey
from roadbend.store.records import Attempt

# Sends a machine its starts.
SendStarts = Callable[[str, list[tuple[TaskKey, Attempt]]], None]


class DirectStarts:
    """The queued direct starts of one partition."""

    def __init__(self, send: SendStarts | None = None) -> None:
        self._send = send
        self._by_machine: dict[str, list[tuple[TaskKey, Attempt]]] = {}

    def add(self, key: TaskKey, attempt: Attempt) -> None:
        """Queue a recorded start to be sent."""
        self._by_machine.setdefault(attempt.machine, []).append((key, attempt))

    def send_all(self) -> None:
        """Send all queued starts; without a sender they go out with the answers to heartbeats."""
        by_machine, self._by_machine = self._by_machine, {}
        if self._send is not None:
            for machine, starts in by_machine.items():
                self._send(machine, starts)
