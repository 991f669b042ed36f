"""Starts that were just recorded and must not wait for their machines' next heartbeats."""

from collections.abc import Callable

from roadbend.fleet.terminations import TaskKey
from roadbend.store.records import Attempt

# Sends the starts of one machine to it.
SendStarts = Callable[[str, list[tuple[TaskKey, Attempt]]], None]


class DirectStarts:
    """The direct starts of one partition that wait to be sent."""

    def __init__(self, send: SendStarts | None = None) -> None:
        self._send = send
        self._by_machine: dict[str, list[tuple[TaskKey, Attempt]]] = {}

    def add(self, key: TaskKey, attempt: Attempt) -> None:
        """Have a recorded start sent."""
        self._by_machine.setdefault(attempt.machine, []).append((key, attempt))

    def send_all(self) -> None:
        """Send all that wait; without a sender they go out with the heartbeats' answers."""
        by_machine, self._by_machine = self._by_machine, {}
        if self._send is not None:
            for machine, starts in by_machine.items():
                self._send(machine, starts)
