"""A start that is held up on its way across the restart of its machine.

A worker that begins anew knows no token and counts its epochs from one, so it can't refuse what was
sent to its former incarnation (docs/incidents/2026-12-start-after-cancellation.md, "Left open").
What keeps the start away is that a message belongs to a connection, and the connection ends with
the worker that accepted it. These tests bring the schedule about, with token and epoch matching.
"""

import pytest
import trio

from roadbend.fakes.submission import job
from roadbend.fakes.world import World
from tests.scenarios.held_starts import (
    CANCELLED,
    SERVICE,
    deployment,
    machine_of_kept_service,
    next_heartbeat,
    start_recorded,
)

# How long a machine takes to be back, and what is held arrives after that; in seconds.
BACK_S, HELD_S = 2.0, 6.0


async def restarted(w: World, machine: str) -> None:
    """Restart a machine, and wait until its new worker runs."""
    former = w.cloud.machines[machine].worker
    w.cloud.reboot(machine)
    assert await w.until(
        lambda: w.cloud.machines[machine].worker not in (None, former), BACK_S, 0.01
    )


async def held_on_the_network(w: World, machine: str) -> None:
    """What the leader sends is held back, and delivered later."""
    w.nursery.start_soon(w.hold, [("node-0", machine)], HELD_S)


async def held_by_the_worker(w: World, machine: str) -> None:
    """The worker has the message, and takes it up late."""
    w.cloud.machines[machine].worker.command_delay = lambda: HELD_S


@pytest.mark.parametrize("held", [held_on_the_network, held_by_the_worker])
async def test_a_start_that_is_held_up_across_its_machines_restart_is_not_carried_out(held):
    """Guards against a start of a cancelled job, or of a task that runs elsewhere by then."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        await next_heartbeat(w, machine)
        await held(w, machine)
        await start_recorded(w, job(1, **SERVICE), None)
        former = w.cloud.machines[machine].worker
        sent = former.epoch
        await restarted(w, machine)
        worker = w.cloud.machines[machine].worker
        # The new worker would take the command: it knows no token, and its epoch is the same.
        assert (worker.token, worker.epoch) == (0, sent)
        await w.cancel_job(CANCELLED, 60)
        await trio.sleep(HELD_S)
        assert not w.board.running(CANCELLED)
        await w.finish()
