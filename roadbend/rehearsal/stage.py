"""What actions act on: the deployment of one rehearsal, its random draws and its measurement."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

import trio

from roadbend.fakes.state import StoredCopy
from roadbend.fakes.world import World
from roadbend.rehearsal.measurement import Restart

# How often users repeat a submission that found nobody, and how often at the most.
RETRY_EVERY, RETRIES = timedelta(seconds=2), 30


@dataclass
class Stage:
    """One rehearsal under way."""

    world: World
    rng: random.Random
    workers: int
    # Jobs in the order in which they were accepted, by kind.
    services: list[str] = field(default_factory=list)
    arrays: list[str] = field(default_factory=list)
    gangs: list[str] = field(default_factory=list)
    stored: StoredCopy | None = None
    # Machines that something was done to: what becomes of their tasks is no fault of controllers.
    faulted: set[str] = field(default_factory=set)
    restart: Restart | None = None
    # What happened, with the time, for the report.
    events: list[tuple[float, str]] = field(default_factory=list)
    _submitted: int = 0

    def note(self, event: str) -> None:
        """Adds a line to the report."""
        self.events.append((trio.current_time(), event))

    def next_number(self) -> int:
        """A job number that was not used yet."""
        self._submitted += 1
        return self._submitted

    async def submit(self, body: dict[str, Any], length: float | None) -> bool:
        """Submits as users do: again and elsewhere until it is accepted."""
        first = self.rng.randrange(self.world.count)
        for turn in range(RETRIES):
            at = (first + turn) % self.world.count
            if await self.world.submit(at, body, length) in (200, 201):
                return True
            await trio.sleep(RETRY_EVERY.total_seconds())
        return False

    def running_machines(self) -> list[str]:
        """Names of the machines that work and that nothing was done to, in order."""
        return sorted(
            machine.id
            for machine in self.world.cloud.machines.values()
            if machine.status == "running"
            and machine.worker is not None
            and not machine.worker.hung
            and machine.id not in self.faulted
        )

    def draw_machines(self, count: int) -> list[str]:
        """Machines for a fault; from here on they count as faulted."""
        machines = self.running_machines()
        drawn = self.rng.sample(machines, min(count, len(machines)))
        self.faulted.update(drawn)
        if self.restart is not None:
            self.restart.excuse(drawn)
        return drawn
