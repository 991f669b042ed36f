"""After a change of leader, a cancellation does not wait for a machine that hangs.

The former leader's report of its settled starts was not valid under the new term, so a user had to
wait until the machine responded (docs/incidents/2026-12-report-lost-with-its-term.md).
"""

import pytest
import trio

from roadbend.fakes.world import World
from tests.scenarios.held_starts import RUNNING_JOB, deployment, run_service

# Within this time a cancellation is confirmed by a report, not by querying machines: a controller
# queries those only once unreachable leaders have stopped sending starts; in seconds.
CONFIRMED_BY_REPORT_S = 1.8
HANG_S = 15.0


async def wait_for_successor(w: World) -> None:
    """Wait until a controller other than node-0 leads the east."""
    others = (w.controllers["node-1"], w.controllers["node-2"])
    assert await w.until(lambda: any(one.election.leadership("east") for one in others), 12, 0.02)


async def test_a_task_held_for_long_is_confirmed_by_the_successor_of_its_leader():
    """Guards against a successor that treats every start of its predecessor as in doubt."""
    async with deployment() as w:
        machine = await run_service(w)
        w.nursery.start_soon(w.hang, [machine], HANG_S)
        w.crash(0)
        await wait_for_successor(w)
        began = trio.current_time()
        status, answer = await w.call(1, "POST", f"/v1/jobs/{RUNNING_JOB}/withdraw", {})
        assert (status, answer["status"]) == (200, "aborted")
        assert trio.current_time() - began < CONFIRMED_BY_REPORT_S
        await trio.sleep(HANG_S)
        w.start(0)
        assert await w.until_ready()
        await w.finish()


@pytest.mark.parametrize(
    "services", [(), ("state", "cloud")], ids=["peers-and-workers", "everything"]
)
async def test_a_former_leader_that_lives_does_not_begin_a_cancelled_task_again(services):
    """Guards against a former leader that starts the task again after its machine has lost it.

    Meanwhile the new leader relies on the former one's report that the machine holds the task.
    """
    async with deployment() as w:
        machine = await run_service(w)
        # If it can't reach the cloud, it does not delete the machine as silent.
        others = (*services, "node-1", "node-2", *(worker.machine for worker in w.workers()))
        w.nursery.start_soon(w.block_pairs, [("node-0", other) for other in others], 30.0)
        await wait_for_successor(w)
        status, answer = await w.call(1, "POST", f"/v1/jobs/{RUNNING_JOB}/withdraw", {})
        assert (status, answer["status"]) == (200, "aborted")
        w.cloud.machines[machine].worker.lease.renewed_at -= 100.0
        await trio.sleep(40.0)
        assert not w.board.running(RUNNING_JOB)
        await w.finish()
