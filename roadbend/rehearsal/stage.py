"""What actions act on: the deployment of one rehearsal, its random draws and its measurement."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

import trio

from roadbend.fakes.state import StoredCopy
from roadbend.fakes.world import World
from roadbend.rehearsal.events import Event
from roadbend.rehearsal.measurement import Restart
from roadbend.rehearsal.messages import Body

# How long users wait before they repeat a submission that was not accepted.
RETRY_EVERY = timedelta(seconds=2)
# How often they try at the most.
MOST_TRIES = 30
# Answers to a submission that is accepted: known already, or new.
ACCEPTED = (HTTPStatus.OK, HTTPStatus.CREATED)


@dataclass
class Stage:
    """One rehearsal under way: the deployment, the draws, and what is kept of what happened."""

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
    events: list[Event] = field(default_factory=list)
    _submitted: int = 0

    def note(self, event: str) -> None:
        """Add a line to the report."""
        self.events.append(Event(trio.current_time(), event))

    def next_number(self) -> int:
        """Return a job number that was not used yet."""
        self._submitted += 1
        return self._submitted

    async def submit(self, body: Body, length: float | None) -> bool:
        """Submit as users do: again and elsewhere until the job is accepted.

        Its tasks run for `length` seconds, or until they are stopped. Return whether it was
        accepted within the tries that users make.
        """
        first = self.rng.randrange(self.world.count)
        for turn in range(MOST_TRIES):
            at = (first + turn) % self.world.count
            if await self.world.submit(at, body, length) in ACCEPTED:
                return True
            await trio.sleep(RETRY_EVERY.total_seconds())
        return False

    def controller_names(self) -> list[str]:
        """Return the names of all controllers, whether they are up or not, in order."""
        return [f"node-{at}" for at in range(self.world.count)]

    def running_machines(self) -> list[str]:
        """Return the names of the machines that work and that nothing was done to, in order."""
        return sorted(
            machine.id
            for machine in self.world.cloud.machines.values()
            if machine.status == "running"
            and machine.worker is not None
            and not machine.worker.hung
            and machine.id not in self.faulted
        )

    def draw_machines(self, count: int) -> list[str]:
        """Draw machines for a fault; from here on they count as faulted."""
        machines = self.running_machines()
        drawn = self.rng.sample(machines, min(count, len(machines)))
        self.faulted.update(drawn)
        if self.restart is not None:
            self.restart.excuse(drawn)
        return drawn
