"""A cancellation does not wait for a machine that hangs because its leader has just changed.

The former leader's report of its settled starts did not count under the new term, so a user waited
until the machine answered (docs/incidents/2026-12-report-lost-with-its-term.md).
"""

import pytest
import trio

from roadbend.fakes.world import World
from tests.scenarios.held_starts import KEPT, deployment, machine_of_kept_service

# Confirmed without the machine: no controller waits until leaders send no starts any more.
BEFORE_MACHINES_ARE_ASKED_S = 1.8
HANG_S = 15.0


async def successor(w: World) -> None:
    """Wait until another controller leads the east."""
    others = (w.controllers["node-1"], w.controllers["node-2"])
    assert await w.until(lambda: any(one.election.leadership("east") for one in others), 12, 0.02)


async def test_a_task_held_for_long_is_confirmed_by_the_successor_of_its_leader():
    """Guards against a successor that counts every start of its predecessor as in doubt."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        w.nursery.start_soon(w.hang, [machine], HANG_S)
        w.crash(0)
        await successor(w)
        began = trio.current_time()
        status, answer = await w.call(1, "POST", f"/v1/jobs/{KEPT}/withdraw", {})
        assert (status, answer["status"]) == (200, "aborted")
        assert trio.current_time() - began < BEFORE_MACHINES_ARE_ASKED_S
        await trio.sleep(HANG_S)
        w.start(0)
        assert await w.until_ready()
        await w.finish()


@pytest.mark.parametrize(
    "services", [(), ("state", "cloud")], ids=["peers-and-workers", "everything"]
)
async def test_a_former_leader_that_lives_does_not_begin_a_cancelled_task_again(services):
    """Guards against a predecessor whose machine loses the task as its successor relies on it."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        # Without the cloud it does not delete the machine as silent.
        others = (*services, "node-1", "node-2", *(worker.machine for worker in w.workers()))
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 30.0)
        await successor(w)
        status, answer = await w.call(1, "POST", f"/v1/jobs/{KEPT}/withdraw", {})
        assert (status, answer["status"]) == (200, "aborted")
        w.cloud.machines[machine].worker.lease.renewed_at -= 100.0
        await trio.sleep(40.0)
        assert not w.board.running(KEPT)
        await w.finish()
