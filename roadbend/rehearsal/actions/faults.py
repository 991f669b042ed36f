"""Faults of machines, the state store and the cloud."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from roadbend.rehearsal.stage import Stage


@dataclass(frozen=True)
class RememberRecords:
    """Take a snapshot of the state store's records, for `LoseNewestWrites`."""

    async def play(self, stage: Stage) -> None:
        """Take the snapshot."""
        stage.snapshot = stage.world.state.take_snapshot()
        stage.record_event("records copied")


@dataclass(frozen=True)
class LoseNewestWrites:
    """Reset the state store to the snapshot, which loses all later writes."""

    async def play(self, stage: Stage) -> None:
        """Restore the records from the snapshot."""
        assert stage.snapshot is not None, "no snapshot was taken"
        lost = stage.world.state.revision - stage.snapshot.revision
        stage.world.state.restore_records(stage.snapshot)
        stage.record_event(f"the state service lost its newest {lost} changes")


@dataclass(frozen=True)
class EndMachines:
    """End machines and all tasks on them; the cloud lists them as failed."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Draw the machines and end them."""
        drawn = stage.draw_machines(self.count)
        for name in drawn:
            stage.world.cloud.kill(name)
        stage.record_event(f"machines ended: {', '.join(drawn)}")


@dataclass(frozen=True)
class RebootMachines:
    """Restart machines at once; they lose all their tasks."""

    count: int

    async def play(self, stage: Stage) -> None:
        """Draw the machines and restart them."""
        drawn = stage.draw_machines(self.count)
        for name in drawn:
            stage.world.cloud.reboot(name)
        stage.record_event(f"machines began anew: {', '.join(drawn)}")


@dataclass(frozen=True)
class HangMachines:
    """Hang machines for a while; then they continue where they were."""

    count: int
    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Draw the machines and hang them; return at once."""
        drawn = stage.draw_machines(self.count)
        stage.world.nursery.start_soon(stage.world.hang, drawn, self.length.total_seconds())
        stage.record_event(
            f"machines hang for {self.length.total_seconds():g} s: {', '.join(drawn)}"
        )


@dataclass(frozen=True)
class CutMachines:
    """Partition machines from all controllers for a while."""

    count: int
    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Draw the machines and partition them; return at once."""
        drawn = stage.draw_machines(self.count)
        controllers = stage.controller_names()
        pairs = [(machine, controller) for machine in drawn for controller in controllers]
        length = self.length.total_seconds()
        stage.world.nursery.start_soon(stage.world.block_pairs, pairs, length)
        stage.record_event(f"machines cut off for {length:g} s: {', '.join(drawn)}")


@dataclass(frozen=True)
class StateOutage:
    """Take the state store down for a while; the scenario continues meanwhile."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Begin the outage, and return at once."""
        stage.world.nursery.start_soon(stage.world.outage, self.length.total_seconds())
        stage.record_event(f"state service down for {self.length.total_seconds():g} s")


@dataclass(frozen=True)
class SlowState:
    """Delay every answer of the state store from now on."""

    delay: timedelta

    async def play(self, stage: Stage) -> None:
        """Set the delay."""
        stage.world.state.slow = self.delay.total_seconds()
        stage.record_event(f"state service slower by {self.delay.total_seconds():g} s")


@dataclass(frozen=True)
class CloudOutage:
    """Take the cloud's API down for a while; the scenario continues meanwhile."""

    length: timedelta

    async def play(self, stage: Stage) -> None:
        """Begin the outage, and return at once."""
        stage.world.cloud.down = True
        stage.record_event(f"cloud down for {self.length.total_seconds():g} s")
        stage.world.nursery.start_soon(self._end, stage)

    async def _end(self, stage: Stage) -> None:
        await trio.sleep(self.length.total_seconds())
        stage.world.cloud.down = False
