"""What is rehearsed: a scenario is a value, and the runner knows none by name."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from roadbend.rehearsal.stage import Stage

# What a rehearsal may be asked for; more than this does not fit one ordinary machine.
FEWEST_WORKERS = 6
MOST_WORKERS = 4000


class Action(Protocol):
    """Something that happens in a scenario. Actions are frozen dataclasses."""

    async def play(self, stage: Stage) -> None:
        """Make it happen, and return once it has."""


@dataclass(frozen=True)
class Limits:
    """What a rehearsal must keep to pass."""

    # Orders received beyond those that the differences need, as a share of these.
    order_excess: float = 0.03
    # Running tasks that were stopped or started again without need.
    needless_restarts: int = 0
    # How long settling may take, from the return of the first controller.
    settled_within: timedelta = timedelta(seconds=60)


@dataclass(frozen=True)
class Scenario:
    """A deployment, what happens to it in order, and what it must keep."""

    name: str
    summary: str
    seed: int
    workers: int
    actions: tuple[Action, ...]
    limits: Limits = Limits()
    # Whether the controllers have recovery switched on.
    recovery: bool = True
    # The version in production takes part until it is replaced.
    previous_version: bool = False
