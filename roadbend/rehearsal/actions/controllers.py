"""Actions on controllers: to stop, partition and start them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from roadbend.rehearsal.measurement import RestartMeasurement
from roadbend.rehearsal.stage import Stage


@dataclass(frozen=True)
class CutWorkers:
    """Partition all workers from all controllers until `StopControllers`.

    What is decided meanwhile is recorded but reaches no worker.
    """

    async def play(self, stage: Stage) -> None:
        """Block the network between every worker and every controller."""
        for worker in stage.world.workers():
            for controller in stage.controller_names():
                stage.world.network.block(worker.machine, controller)
        stage.record_event("workers cut off from the controllers")


@dataclass(frozen=True)
class StopControllers:
    """Crash all controllers at once, without a clean shutdown."""

    async def play(self, stage: Stage) -> None:
        """Crash all controllers, and end the network partition of `CutWorkers`."""
        for index in range(stage.world.count):
            stage.world.crash(index)
        for worker in stage.world.workers():
            for controller in stage.controller_names():
                stage.world.network.unblock(worker.machine, controller)
        stage.record_event("all controllers ended")


@dataclass(frozen=True)
class StopController:
    """Crash one controller."""

    at: int

    async def play(self, stage: Stage) -> None:
        """Crash the controller."""
        stage.world.crash(self.at)
        stage.record_event(f"controller {self.at} ended")


@dataclass(frozen=True)
class ReturnControllers:
    """Start all stopped controllers, one after the other, with a pause in between.

    The first start begins the measurement, unless it has begun already.
    """

    pause: timedelta = timedelta()
    previous_version_first: bool = False
    # How long the first controller runs alone.
    first_alone: timedelta = timedelta()

    async def play(self, stage: Stage) -> None:
        """Start the controllers that are not running."""
        if stage.restart is None:
            stage.restart = RestartMeasurement(stage.world, stage.faulted)
            stage.world.nursery.start_soon(stage.restart.watch)
            stage.record_event(
                f"differences at the return: {_format_counts(stage.restart.initial.counts())}"
            )
        for index, name in enumerate(stage.controller_names()):
            if name not in stage.world.controllers:
                stage.world.start(index, self.previous_version_first and index == 0)
                stage.record_event(f"controller {index} started")
                pause = self.pause if len(stage.world.controllers) > 1 else self.first_alone
                await trio.sleep(max(pause, self.pause).total_seconds())


@dataclass(frozen=True)
class ReturnController:
    """Start one controller."""

    at: int

    async def play(self, stage: Stage) -> None:
        """Start the controller."""
        stage.world.start(self.at)
        stage.record_event(f"controller {self.at} started")


def _format_counts(counts: dict[str, int]) -> str:
    shown = [f"{count} {name}" for name, count in counts.items() if count]
    return ", ".join(shown) or "none"
