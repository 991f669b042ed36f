"""Actions on controllers: they stop, are cut off, and return."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from roadbend.rehearsal.measurement import Restart
from roadbend.rehearsal.stage import Stage


@dataclass(frozen=True)
class CutWorkers:
    """Controllers and workers can't reach each other until the controllers have ended.

    What is decided meanwhile is recorded, and no worker hears of it.
    """

    async def play(self, stage: Stage) -> None:
        """Cut the network between each worker and each controller."""
        for worker in stage.world.workers():
            for controller in stage.controller_names():
                stage.world.network.block(worker.machine, controller)
        stage.note("workers cut off from the controllers")


@dataclass(frozen=True)
class StopControllers:
    """All controllers end at once, without a word."""

    async def play(self, stage: Stage) -> None:
        """Stop all controllers, and heal what `CutWorkers` cut."""
        for at in range(stage.world.count):
            stage.world.crash(at)
        for worker in stage.world.workers():
            for controller in stage.controller_names():
                stage.world.network.unblock(worker.machine, controller)
        stage.note("all controllers ended")


@dataclass(frozen=True)
class StopController:
    """One controller ends."""

    at: int

    async def play(self, stage: Stage) -> None:
        """Stop the controller."""
        stage.world.crash(self.at)
        stage.note(f"controller {self.at} ended")


@dataclass(frozen=True)
class ReturnControllers:
    """All controllers start, one after the other, with a pause in between.

    The first one starts the measurement, unless one is under way.
    """

    pause: timedelta = timedelta()
    previous_version_first: bool = False
    # How long the first one is alone.
    first_alone: timedelta = timedelta()

    async def play(self, stage: Stage) -> None:
        """Start the controllers that are not up."""
        if stage.restart is None:
            stage.restart = Restart(stage.world, stage.faulted)
            stage.world.nursery.start_soon(stage.restart.watch)
            stage.note(
                f"differences at the return: {_format_counts(stage.restart.before.counts())}"
            )
        for at, name in enumerate(stage.controller_names()):
            if name not in stage.world.controllers:
                stage.world.start(at, self.previous_version_first and at == 0)
                stage.note(f"controller {at} started")
                pause = self.pause if len(stage.world.controllers) > 1 else self.first_alone
                await trio.sleep(max(pause, self.pause).total_seconds())


@dataclass(frozen=True)
class ReturnController:
    """One controller starts."""

    at: int

    async def play(self, stage: Stage) -> None:
        """Start the controller."""
        stage.world.start(self.at)
        stage.note(f"controller {self.at} started")


def _format_counts(counts: dict[str, int]) -> str:
    shown = [f"{count} {name}" for name, count in counts.items() if count]
    return ", ".join(shown) or "none"
