"""Scenarios of rehearsals. A scenario is a plain value, so the runner depends on none by name."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from roadbend.rehearsal.stage import Stage

# Permitted numbers of workers; more do not fit on one ordinary machine.
MIN_WORKERS = 6
MAX_WORKERS = 4000


class Action(Protocol):
    """One step of a scenario. Actions are frozen dataclasses."""

    async def play(self, stage: Stage) -> None:
        """Carry out the action; return when it has been carried out."""


@dataclass(frozen=True)
class Limits:
    """The limits that a rehearsal must stay within to pass."""

    # Orders received in excess of those needed to settle the differences, as a share of the latter.
    order_excess: float = 0.03
    # Running tasks that were stopped or restarted needlessly.
    needless_restarts: int = 0
    # How long settling may take from the restart of the first controller.
    settled_within: timedelta = timedelta(seconds=60)


@dataclass(frozen=True)
class Scenario:
    """A deployment, the actions on it in order, and the limits that it must stay within."""

    name: str
    summary: str
    seed: int
    workers: int
    actions: tuple[Action, ...]
    limits: Limits = Limits()
    # Whether recovery is enabled on the controllers.
    recovery: bool = True
    # Whether controllers of the version in production take part until they are replaced.
    previous_version: bool = False
