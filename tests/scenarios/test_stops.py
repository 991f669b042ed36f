"""A stop is sent once, and again as soon as possible if it was lost.

Two tasks of a gang received their stop directly and again 0.06 s later with a heartbeat response
(docs/incidents/2026-12-stop-sent-twice.md).
"""

import trio

from roadbend.fakes.world import World
from roadbend.fleet.machines import StopReceipt
from roadbend.fleet.messages import HeartbeatPosition
from tests.scenarios.held_starts import RUNNING_JOB, deployment, run_service, wait_for_heartbeat

# A direct command is sent within 0.2 s of the decision, and the next heartbeat within 1.25 times
# its interval of 2.5 s.
NEXT_HEARTBEAT_S = 3.5
# How long a machine may hang without being considered failed; in seconds.
HANG_S = 3.0


def stops_received(w: World, machine: str) -> list[str]:
    """Return the tasks that a machine was ordered to stop, one entry for each order."""
    orders = w.cloud.machines[machine].worker.orders
    return [order["leg"] for order in orders if order["verb"] == "kill"]


async def cancel(w: World) -> None:
    status, _ = await w.call(1, "POST", f"/v1/jobs/{RUNNING_JOB}/withdraw", {})
    assert status == 200


async def test_a_stop_that_was_lost_goes_with_the_answer_to_the_next_heartbeat():
    """Guards against a stop that counts as received because it was sent."""
    async with deployment() as w:
        machine = await run_service(w)
        # Direct commands are lost.
        w.cloud.machines[machine].worker.command_delay = lambda: 1000.0
        await cancel(w)
        assert await w.until(lambda: not w.board.running(RUNNING_JOB), NEXT_HEARTBEAT_S, 0.02)
        await w.finish()


async def test_a_machine_that_hangs_stops_its_task_as_it_goes_on():
    """Guards against a stop that is delayed because another one is in flight."""
    async with deployment() as w:
        machine = await run_service(w)
        w.nursery.start_soon(w.hang, [machine], HANG_S)
        await trio.sleep(0.1)
        await cancel(w)
        within = HANG_S + NEXT_HEARTBEAT_S
        assert await w.until(lambda: not w.board.running(RUNNING_JOB), within, 0.02)
        await w.finish()


async def test_a_stop_that_was_carried_out_is_sent_once():
    """Guards against a stop that is sent both directly and with a heartbeat response."""
    async with deployment() as w:
        machine = await run_service(w)
        await wait_for_heartbeat(w, machine)
        await cancel(w)
        await trio.sleep(8)
        assert stops_received(w, machine) == [f"{RUNNING_JOB}/0"]
        await w.finish()


async def test_a_heartbeat_is_judged_anew_while_a_stop_is_open():
    """Guards against a heartbeat that is not evaluated although its task is to be stopped."""
    async with deployment() as w:
        machine = await run_service(w)
        worker = w.cloud.machines[machine].worker
        leader = w.controllers["node-0"].leaders["east"]
        # The worker responds to orders but does not carry them out.
        worker.execute = lambda _orders: None
        await cancel(w)
        await wait_for_heartbeat(w, machine)
        (stop,) = leader.stops.by_task.values()
        worker.command_delay = lambda: 1000.0
        stop.receipt = StopReceipt(stop.receipt.incarnation, HeartbeatPosition(1, 10**6))
        for _ in range(2):
            await wait_for_heartbeat(w, machine)
            assert leader.machines[machine].last_evaluation.unchanged_version is None
