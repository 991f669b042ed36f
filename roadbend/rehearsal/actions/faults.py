"""Faults of machines, of the state store and of the cloud."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from roadbend.rehearsal.stage import Stage


@dataclass(frozen=True)
class RememberRecords:
    """The state store's records are copied as they are, for `LoseNewestWrites`."""

    async def play(self, stage: Stage) -> None:
        """Copy the records."""
        stage.stored = stage.world.state.copy_records()
        stage.note("records copied")


@dataclass(frozen=True)
class LoseNewestWrites:
    """The state store goes on from the copy: what was written since is lost."""

    async def play(self, stage: Stage) -> None:
        """Restore the records from the copy."""
        assert stage.stored is not None, "no copy was made"
        lost = stage.world.state.revision - stage.stored.revision
        stage.world.state.restore_records(stage.stored)
        stage.note(f"the state service lost its newest {lost} changes")


@dataclass(frozen=True)
class EndMachines:
    """Machines end with all that is on them; the cloud lists them as failed."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Draw the machines and end them."""
        drawn = stage.draw_machines(self.count)
        for name in drawn:
            stage.world.cloud.kill(name)
        stage.note(f"machines ended: {', '.join(drawn)}")


@dataclass(frozen=True)
class RebootMachines:
    """Machines restart at once, and hold nothing."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Draw the machines and restart them."""
        drawn = stage.draw_machines(self.count)
        for name in drawn:
            stage.world.cloud.reboot(name)
        stage.note(f"machines began anew: {', '.join(drawn)}")


@dataclass(frozen=True)
class HangMachines:
    """Machines hang for a while, and then go on from where they were."""

    count: int
    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Draw the machines and let them hang; return at once."""
        drawn = stage.draw_machines(self.count)
        stage.world.nursery.start_soon(stage.world.hang, drawn, self.length.total_seconds())
        stage.note(f"machines hang for {self.length.total_seconds():g} s: {', '.join(drawn)}")


@dataclass(frozen=True)
class CutMachines:
    """Machines reach no controller and none reaches them, for a while."""

    count: int
    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Draw the machines and cut them off; return at once."""
        drawn = stage.draw_machines(self.count)
        controllers = stage.controller_names()
        pairs = [(machine, controller) for machine in drawn for controller in controllers]
        length = self.length.total_seconds()
        stage.world.nursery.start_soon(stage.world.block_pairs, pairs, length)
        stage.note(f"machines cut off for {length:g} s: {', '.join(drawn)}")


@dataclass(frozen=True)
class StateOutage:
    """The state store answers nobody for a while; the scenario goes on meanwhile."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Begin the outage, and return at once."""
        stage.world.nursery.start_soon(stage.world.outage, self.length.total_seconds())
        stage.note(f"state service down for {self.length.total_seconds():g} s")


@dataclass(frozen=True)
class SlowState:
    """Every answer of the state store takes that much longer, from now on."""

    delay: timedelta

    async def play(self, stage: Stage) -> None:
        """Slow the state store down."""
        stage.world.state.slow = self.delay.total_seconds()
        stage.note(f"state service slower by {self.delay.total_seconds():g} s")


@dataclass(frozen=True)
class CloudOutage:
    """The cloud's interface is down for a while; the scenario goes on meanwhile."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Begin the outage, and return at once."""
        stage.world.cloud.down = True
        stage.note(f"cloud down for {self.length.total_seconds():g} s")
        stage.world.nursery.start_soon(self._end, stage)

    async def _end(self, stage: Stage) -> None:
        await trio.sleep(self.length.total_seconds())
        stage.world.cloud.down = False
