"""A cancellation is confirmed by what a leader reported before it could not be asked any more.

A user got 503 for as long as a leader and its machine were out of reach together, though the task
had run there for long (docs/incidents/2026-12-leader-out-of-reach.md). Each test names the guard
without which a cancelled job begins again, or a lost task waits too long.
"""

from typing import Any

import trio

from roadbend import clock
from roadbend.fakes.world import World
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.start_reports import REPORT_LIFETIME
from tests.scenarios.held_starts import KEPT, deployment, machine_of_kept_service

# Confirmed without the machine: no controller waits until leaders send no starts any more.
BEFORE_MACHINES_ARE_ASKED_S = 1.8
# Two reports, and the heartbeat that is answered with the start; in seconds.
STARTED_AGAIN_S = 8.0
LEASE_S = 18.0


async def lose_tasks(w: World, machine: str) -> None:
    """The worker's lease expires: it kills and forgets its tasks, and reports soon."""
    w.cloud.machines[machine].worker.lease.renewed_at -= 2 * LEASE_S
    assert await w.until(lambda: not w.board.running(KEPT), 1, 0.01)


def leader_orders(w: World, machine: str) -> list[dict[str, Any]]:
    """Return all orders that a machine has got."""
    return w.cloud.machines[machine].worker.orders


async def withdrawn_by_one_call(w: World, at: int) -> float:
    """Cancel the kept service by one call; return how many seconds that took."""
    began = trio.current_time()
    status, answer = await w.call(at, "POST", f"/v1/jobs/{KEPT}/withdraw", {})
    assert (status, answer["status"]) == (200, "aborted")
    return trio.current_time() - began


async def test_the_machine_of_a_leader_that_ended_hangs_and_its_task_is_confirmed_by_a_report():
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        w.crash(0)
        w.nursery.start_soon(w.hang, [machine], 12.0)
        await trio.sleep(1.0)
        assert await withdrawn_by_one_call(w, 1) < BEFORE_MACHINES_ARE_ASKED_S
        await trio.sleep(14.0)
        w.start(0)
        assert await w.until_ready()
        await w.finish()


async def test_a_task_that_its_machine_lost_is_not_started_again_while_a_report_is_relied_on():
    """Guards against a leader that sends the start of a lost attempt anew at once: it is cut off,
    its records are fresh enough for a moment, and a peer has just confirmed by its report."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        leader = w.controllers["node-0"]
        w.nursery.start_soon(w.isolate_controller, 0, 5.0)
        await trio.sleep(0.01)
        # The user is told as soon as the report is read: the leader may still start tasks.
        assert await withdrawn_by_one_call(w, 1) < BEFORE_MACHINES_ARE_ASKED_S
        assert leader.election.may_start(clock.now())
        await lose_tasks(w, machine)
        await trio.sleep(REPORT_LIFETIME.total_seconds() + 5.0)
        assert not w.board.running(KEPT)
        await w.finish()


async def test_a_lost_task_is_started_again_soon_where_all_controllers_are_up():
    """Guards against a start that waits for the lifetime of reports at every lost lease."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        await lose_tasks(w, machine)
        assert await w.until(lambda: w.board.running(KEPT), STARTED_AGAIN_S)
        await w.finish()


async def test_a_lost_task_is_started_again_while_a_controller_is_gone():
    """Guards against a start that waits for a controller that does not come back."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        w.crash(2)
        await lose_tasks(w, machine)
        within = REPORT_LIFETIME.total_seconds() + STARTED_AGAIN_S
        assert await w.until(lambda: w.board.running(KEPT), within)
        w.start(2)
        assert await w.until_ready()
        await w.finish()


async def test_a_direct_start_that_waited_for_its_turn_is_not_sent_to_a_machine_that_holds_it():
    """Guards against a start of a held attempt that goes out after it was reported as settled."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        controller = w.controllers["node-0"]
        leader, key = controller.leaders["east"], TaskKey(KEPT, 0)
        attempt, before = leader.records.recorded_attempt(key), len(leader_orders(w, machine))
        await controller.fleet.commands._start_directly(leader, machine, [(key, attempt)])
        assert len(leader_orders(w, machine)) == before
        assert key not in leader.machines[machine].token.direct_starts
        await w.finish()


async def test_a_machine_that_restarted_is_reported_before_its_next_heartbeat():
    """Guards against a report that calls held what the machine has lost."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        leader = w.controllers["node-0"].leaders["east"]
        assert KEPT not in leader.unheld.jobs()
        position = leader.machines[machine].contact.position
        leader.heartbeats.begin_incarnation(leader.machines[machine], position)
        assert KEPT in leader.unheld.jobs()
        await w.finish()


async def test_after_a_failover_a_task_is_held_once_its_machine_shows_the_new_token():
    """Guards against a report of what a former leader's starts may yet change."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        w.crash(0)
        assert await w.until(lambda: w.leader_of("east"), 30)
        leader = w.controllers[w.leader_of("east")].leaders["east"]
        assert await w.until(lambda: machine in leader.machines, 20, 0.005)
        token = leader.machines[machine].token
        assert not token.confirmed and KEPT in leader.unheld.jobs()
        assert await w.until(lambda: token.confirmed, 10, 0.005)
        assert KEPT not in leader.unheld.jobs()
        w.start(0)
        assert await w.until_ready()
        await w.finish()


async def test_a_task_on_a_machine_that_restarted_is_started_again():
    """Guards against a restarted machine whose attempts count as held for ever."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        w.cloud.reboot(machine)
        assert await w.until(lambda: not w.board.running(KEPT), 5, 0.01)
        assert await w.until(lambda: w.board.running(KEPT), 30)
        await w.finish()
