"""A start that is delayed on its way until its machine has restarted.

A restarted worker has no fencing token and counts its epochs from one, so it can't reject what was
sent to its former incarnation (docs/incidents/2026-12-start-after-cancellation.md, "Left open").
The start is not carried out because a message belongs to a connection, which ends with the worker
that accepted it. These tests produce that schedule, with a matching token and epoch.
"""

import pytest
import trio

from roadbend.fakes.submission import job
from roadbend.fakes.world import World
from tests.scenarios.held_starts import (
    CANCELLED_JOB,
    SERVICE,
    deployment,
    run_service,
    submit_until_start_recorded,
    wait_for_heartbeat,
)

# How long a machine takes to restart; delayed messages arrive after that; in seconds.
RESTART_S, HOLD_S = 2.0, 6.0


async def restart_machine(w: World, machine: str) -> None:
    """Restart a machine, and wait until its new worker is running."""
    former = w.cloud.machines[machine].worker
    w.cloud.reboot(machine)
    assert await w.until(
        lambda: w.cloud.machines[machine].worker not in (None, former), RESTART_S, 0.01
    )


async def held_on_the_network(w: World, machine: str) -> None:
    """Delay what the leader sends on the network."""
    w.nursery.start_soon(w.hold, [("node-0", machine)], HOLD_S)


async def held_by_the_worker(w: World, machine: str) -> None:
    """Have the worker receive the message, and process it late."""
    w.cloud.machines[machine].worker.command_delay = lambda: HOLD_S


@pytest.mark.parametrize("held", [held_on_the_network, held_by_the_worker])
async def test_a_start_that_is_held_up_across_its_machines_restart_is_not_carried_out(held):
    """Guards against the start of a cancelled job, or of a task that runs elsewhere by then."""
    async with deployment() as w:
        machine = await run_service(w)
        await wait_for_heartbeat(w, machine)
        await held(w, machine)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        former = w.cloud.machines[machine].worker
        epoch = former.epoch
        await restart_machine(w, machine)
        worker = w.cloud.machines[machine].worker
        # The new worker would accept the command: it has no token, and its epoch is the same.
        assert (worker.token, worker.epoch) == (0, epoch)
        await w.cancel_job(CANCELLED_JOB, 60)
        await trio.sleep(HOLD_S)
        assert not w.board.running(CANCELLED_JOB)
        await w.finish()
