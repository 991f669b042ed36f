"""A cancellation is confirmed by what a leader reported before it became unreachable.

A user got 503 while a leader and its machine were both unreachable, although the task had been
running there for long (docs/incidents/2026-12-leader-out-of-reach.md). Each test covers one rule
without which a cancelled job starts again, or a lost task waits too long.
"""

from typing import Any

import trio

from roadbend import clock
from roadbend.fakes.world import World
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.start_reports import REPORT_LIFETIME
from tests.scenarios.held_starts import RUNNING_JOB, deployment, run_service

# Within this time a cancellation is confirmed by a report, not by querying machines: a controller
# queries those only once unreachable leaders have stopped sending starts; in seconds.
CONFIRMED_BY_REPORT_S = 1.8
# Time for two start reports and the heartbeat that is answered with the start; in seconds.
RESTARTED_WITHIN_S = 8.0
LEASE_S = 18.0


async def expire_lease(w: World, machine: str) -> None:
    """Expire the worker's lease: it kills and drops its tasks, and soon sends a heartbeat."""
    w.cloud.machines[machine].worker.lease.renewed_at -= 2 * LEASE_S
    assert await w.until(lambda: not w.board.running(RUNNING_JOB), 1, 0.01)


def received_orders(w: World, machine: str) -> list[dict[str, Any]]:
    """Return all orders that a machine has received."""
    return w.cloud.machines[machine].worker.orders


async def cancel_in_one_call(w: World, at: int) -> float:
    """Cancel the running service with one call; return how many seconds that took."""
    began = trio.current_time()
    status, answer = await w.call(at, "POST", f"/v1/jobs/{RUNNING_JOB}/withdraw", {})
    assert (status, answer["status"]) == (200, "aborted")
    return trio.current_time() - began


async def test_the_machine_of_a_leader_that_ended_hangs_and_its_task_is_confirmed_by_a_report():
    async with deployment() as w:
        machine = await run_service(w)
        w.crash(0)
        w.nursery.start_soon(w.hang, [machine], 12.0)
        await trio.sleep(1.0)
        assert await cancel_in_one_call(w, 1) < CONFIRMED_BY_REPORT_S
        await trio.sleep(14.0)
        w.start(0)
        assert await w.until_ready()
        await w.finish()


async def test_a_task_that_its_machine_lost_is_not_started_again_while_a_report_is_relied_on():
    """Guards against a leader that immediately resends the start of a lost attempt.

    The leader is unreachable, its records are fresh enough for a moment longer, and a peer has just
    confirmed the cancellation by its report.
    """
    async with deployment() as w:
        machine = await run_service(w)
        leader = w.controllers["node-0"]
        w.nursery.start_soon(w.isolate_controller, 0, 5.0)
        await trio.sleep(0.01)
        # The report confirms the cancellation immediately, while the leader may still start tasks.
        assert await cancel_in_one_call(w, 1) < CONFIRMED_BY_REPORT_S
        assert leader.election.may_start(clock.now())
        await expire_lease(w, machine)
        await trio.sleep(REPORT_LIFETIME.total_seconds() + 5.0)
        assert not w.board.running(RUNNING_JOB)
        await w.finish()


async def test_a_lost_task_is_started_again_soon_where_all_controllers_are_up():
    """Guards against a start that waits for the lifetime of reports whenever a lease expires."""
    async with deployment() as w:
        machine = await run_service(w)
        await expire_lease(w, machine)
        assert await w.until(lambda: w.board.running(RUNNING_JOB), RESTARTED_WITHIN_S)
        await w.finish()


async def test_a_lost_task_is_started_again_while_a_controller_is_gone():
    """Guards against a start that waits for a terminated controller to return."""
    async with deployment() as w:
        machine = await run_service(w)
        w.crash(2)
        await expire_lease(w, machine)
        within = REPORT_LIFETIME.total_seconds() + RESTARTED_WITHIN_S
        assert await w.until(lambda: w.board.running(RUNNING_JOB), within)
        w.start(2)
        assert await w.until_ready()
        await w.finish()


async def test_a_direct_start_that_waited_for_its_turn_is_not_sent_to_a_machine_that_holds_it():
    """Guards against the start of a held attempt that is sent after it was reported as settled."""
    async with deployment() as w:
        machine = await run_service(w)
        controller = w.controllers["node-0"]
        leader, key = controller.leaders["east"], TaskKey(RUNNING_JOB, 0)
        attempt, order_count = (
            leader.records.recorded_attempt(key),
            len(received_orders(w, machine)),
        )
        await controller.fleet.commands._start_directly(leader, machine, [(key, attempt)])
        assert len(received_orders(w, machine)) == order_count
        assert key not in leader.machines[machine].token.direct_starts
        await w.finish()


async def test_a_machine_that_restarted_is_reported_before_its_next_heartbeat():
    """Guards against a report that lists as held an attempt that the machine has lost."""
    async with deployment() as w:
        machine = await run_service(w)
        leader = w.controllers["node-0"].leaders["east"]
        assert RUNNING_JOB not in leader.unheld.jobs()
        position = leader.machines[machine].contact.position
        leader.heartbeats.begin_incarnation(leader.machines[machine], position)
        assert RUNNING_JOB in leader.unheld.jobs()
        await w.finish()


async def test_after_a_failover_a_task_is_held_once_its_machine_shows_the_new_token():
    """Guards against a report of attempts that a former leader's starts may still change."""
    async with deployment() as w:
        machine = await run_service(w)
        w.crash(0)
        assert await w.until(lambda: w.leader_of("east"), 30)
        leader = w.controllers[w.leader_of("east")].leaders["east"]
        assert await w.until(lambda: machine in leader.machines, 20, 0.005)
        token = leader.machines[machine].token
        assert not token.confirmed and RUNNING_JOB in leader.unheld.jobs()
        assert await w.until(lambda: token.confirmed, 10, 0.005)
        assert RUNNING_JOB not in leader.unheld.jobs()
        w.start(0)
        assert await w.until_ready()
        await w.finish()


async def test_a_task_on_a_machine_that_restarted_is_started_again():
    """Guards against a restarted machine whose attempts count as held indefinitely."""
    async with deployment() as w:
        machine = await run_service(w)
        w.cloud.reboot(machine)
        assert await w.until(lambda: not w.board.running(RUNNING_JOB), 5, 0.01)
        assert await w.until(lambda: w.board.running(RUNNING_JOB), 30)
        await w.finish()
