"""The state of one rehearsal that actions work on: deployment, random draws, measurement."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus

import trio

from roadbend.fakes.state import StateSnapshot
from roadbend.fakes.world import World
from roadbend.rehearsal.events import Event
from roadbend.rehearsal.measurement import RestartMeasurement
from roadbend.rehearsal.messages import Body

# Delay before a user repeats a submission that was not accepted.
RETRY_INTERVAL = timedelta(seconds=2)
# How often a user submits a job at most.
MAX_TRIES = 30
# Statuses of an accepted submission: a known job, or a new one.
ACCEPTED_STATUSES = (HTTPStatus.OK, HTTPStatus.CREATED)


@dataclass
class Stage:
    """One running rehearsal: its deployment, its random draws, and what is recorded of it."""

    world: World
    rng: random.Random
    workers: int
    # Ids of jobs in the order in which they were accepted, by kind.
    services: list[str] = field(default_factory=list)
    arrays: list[str] = field(default_factory=list)
    gangs: list[str] = field(default_factory=list)
    snapshot: StateSnapshot | None = None
    # Machines with an injected fault: controllers are not blamed for what becomes of their tasks.
    faulted: set[str] = field(default_factory=set)
    restart: RestartMeasurement | None = None
    # For the report.
    events: list[Event] = field(default_factory=list)
    _submitted: int = 0

    def record_event(self, event: str) -> None:
        """Add an event to the report."""
        self.events.append(Event(trio.current_time(), event))

    def next_number(self) -> int:
        """Return an unused job number."""
        self._submitted += 1
        return self._submitted

    async def submit(self, body: Body, length: float | None) -> bool:
        """Submit a job as users do: at one controller after the other until it is accepted.

        Its tasks run for `length` seconds; with None, until they are stopped. Return whether it
        was accepted within `MAX_TRIES`.
        """
        first = self.rng.randrange(self.world.count)
        for offset in range(MAX_TRIES):
            index = (first + offset) % self.world.count
            if await self.world.submit(index, body, length) in ACCEPTED_STATUSES:
                return True
            await trio.sleep(RETRY_INTERVAL.total_seconds())
        return False

    def controller_names(self) -> list[str]:
        """Return the names of all controllers, running or not, in order."""
        return [f"node-{index}" for index in range(self.world.count)]

    def running_machines(self) -> list[str]:
        """Return the ids of the running machines without an injected fault, sorted."""
        return sorted(
            machine.id
            for machine in self.world.cloud.machines.values()
            if machine.status == "running"
            and machine.worker is not None
            and not machine.worker.hung
            and machine.id not in self.faulted
        )

    def draw_machines(self, count: int) -> list[str]:
        """Draw machines for a fault and mark them as faulted."""
        machines = self.running_machines()
        drawn = self.rng.sample(machines, min(count, len(machines)))
        self.faulted.update(drawn)
        if self.restart is not None:
            self.restart.exclude_machines(drawn)
        return drawn
