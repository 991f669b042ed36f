"""A stop goes out once, and at once again where it was lost.

Two tasks of a gang got their stop directly and 0.06 s later with a heartbeat's answer
(docs/incidents/2026-12-stop-sent-twice.md).
"""

import trio

from roadbend.fakes.world import World
from roadbend.fleet.machines import StopReceipt
from roadbend.fleet.messages import HeartbeatPosition
from tests.scenarios.held_starts import KEPT, deployment, machine_of_kept_service, next_heartbeat

# A direct command goes out within 0.2 s of the decision, and the next heartbeat within 1.25 of its
# intervals, of 2.5 s.
NEXT_HEARTBEAT_S = 3.5
# How long a machine may hang without being taken for dead; in seconds.
HANG_S = 3.0


def stops_received(w: World, machine: str) -> list[str]:
    """Return the attempts that a machine was told to stop, one entry for each order."""
    orders = w.cloud.machines[machine].worker.orders
    return [order["leg"] for order in orders if order["verb"] == "kill"]


async def cancel(w: World) -> None:
    status, _ = await w.call(1, "POST", f"/v1/jobs/{KEPT}/withdraw", {})
    assert status == 200


async def test_a_stop_that_was_lost_goes_with_the_answer_to_the_next_heartbeat():
    """Guards against a stop that is taken for received because it was sent."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        # Direct commands are lost.
        w.cloud.machines[machine].worker.command_delay = lambda: 1000.0
        await cancel(w)
        assert await w.until(lambda: not w.board.running(KEPT), NEXT_HEARTBEAT_S, 0.02)
        await w.finish()


async def test_a_machine_that_hangs_stops_its_task_as_it_goes_on():
    """Guards against a stop that waits because one is on its way."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        w.nursery.start_soon(w.hang, [machine], HANG_S)
        await trio.sleep(0.1)
        await cancel(w)
        within = HANG_S + NEXT_HEARTBEAT_S
        assert await w.until(lambda: not w.board.running(KEPT), within, 0.02)
        await w.finish()


async def test_a_stop_that_was_carried_out_is_sent_once():
    """Guards against a stop that goes by both ways."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        await next_heartbeat(w, machine)
        await cancel(w)
        await trio.sleep(8)
        assert stops_received(w, machine) == [f"{KEPT}/0"]
        await w.finish()


async def test_a_heartbeat_is_judged_anew_while_a_stop_is_open():
    """Guards against a heartbeat that is answered unread although its task is to end."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        worker = w.cloud.machines[machine].worker
        leader = w.controllers["node-0"].leaders["east"]
        # It answers, and carries nothing out.
        worker.execute = lambda _orders: None
        await cancel(w)
        await next_heartbeat(w, machine)
        (stop,) = leader.stops.by_task.values()
        worker.command_delay = lambda: 1000.0
        stop.receipt = StopReceipt(stop.receipt.incarnation, HeartbeatPosition(1, 10**6))
        for _ in range(2):
            await next_heartbeat(w, machine)
            assert leader.machines[machine].last_evaluation.unchanged_version is None
