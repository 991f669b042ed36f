"""A cancellation is confirmed by a machine that rejects the job's starts, without its leader.

A user got 503 while the leader could not be queried and a recorded start had not reached its
machine yet (docs/incidents/2026-12-start-that-nobody-sent.md). The controller that confirms sends
the machine the next fencing token of its term. Each test covers one rule without which a cancelled
job starts, or a machine loses its lease.
"""

import pytest
import trio

from roadbend.controller.attempts_on_machines import AttemptsOnMachines
from roadbend.fakes.previous_version import Version0100Controller
from roadbend.fakes.submission import job
from roadbend.fakes.world import World
from roadbend.store.records import Attempt
from tests.scenarios.held_starts import (
    ARRAY,
    CANCELLED_JOB,
    COMMAND_DELAY_S,
    RUNNING_JOB,
    SERVICE,
    START_DELAY_S,
    deployment,
    run_service,
    submit_until_start_recorded,
    wait_for_heartbeat,
)

# The timeout of a user's call; in seconds.
CALL_TIMEOUT_S = 5.0
# How long the leader is unreachable, which is less than its own lease; in seconds.
UNREACHABLE_S = 4.0
# Longer than a worker's lease; in seconds.
BEYOND_LEASE_S = 30.0


async def cancel_in_one_call(w: World, at: int) -> None:
    """Cancel a job with one call."""
    status, answer = await w.call(
        at, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {}, CALL_TIMEOUT_S
    )
    assert (status, answer["status"]) == (200, "aborted")


async def isolate_leader(w: World, length: float = UNREACHABLE_S) -> None:
    """Disconnect the leader of the east from the state store and its peers."""
    w.nursery.start_soon(w.isolate_controller, 0, length)
    await trio.sleep(0.01)


async def test_a_start_that_arrives_after_its_machine_was_shown_a_higher_token_is_refused():
    """Guards against a confirmation that only queries the machine while the start is in flight."""
    async with deployment() as w:
        machine = await run_service(w)
        worker = w.cloud.machines[machine].worker
        await wait_for_heartbeat(w, machine)
        delays = iter([START_DELAY_S])
        worker.command_delay = lambda: next(delays, None)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        w.crash(0)
        await cancel_in_one_call(w, 1)
        await trio.sleep(START_DELAY_S)
        assert worker.late_command_results == [False]
        w.start(0)
        assert await w.until_ready()
        await w.finish()


async def test_a_leader_goes_on_from_a_token_that_a_peer_has_raised():
    """Guards against a lost lease: a leader that ignores the raised token can't renew it."""
    async with deployment() as w:
        machine = await run_service(w)
        worker = w.cloud.machines[machine].worker
        await wait_for_heartbeat(w, machine)
        await submit_until_start_recorded(w, job(1, **ARRAY), 60.0)
        await isolate_leader(w)
        before = worker.token
        await cancel_in_one_call(w, 1)
        assert worker.token == before + 1
        await trio.sleep(BEYOND_LEASE_S)
        token = w.controllers["node-0"].leaders["east"].machines[machine].token
        assert worker.epoch == 1 and token.confirmed and token.incarnation == 1
        # The machine still accepts work.
        assert await w.submit(0, job(2, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 15)
        await w.finish()


async def test_two_controllers_may_raise_a_token_at_once():
    """Guards against a leader that adopts only one of two tokens raised at the same time."""
    async with deployment() as w:
        machine = await run_service(w)
        worker = w.cloud.machines[machine].worker
        await wait_for_heartbeat(w, machine)
        await submit_until_start_recorded(w, job(1, **ARRAY), 60.0)
        await isolate_leader(w)
        async with trio.open_nursery() as nursery:
            for at in (1, 2):
                nursery.start_soon(cancel_in_one_call, w, at)
        await trio.sleep(BEYOND_LEASE_S)
        assert worker.epoch == 1 and w.board.running(RUNNING_JOB)
        await w.finish()


async def test_a_leader_that_raises_the_token_itself_and_a_peer_do_not_disturb_each_other():
    """Guards against a leader whose own raised token is lower than the one that a peer sent."""
    async with deployment() as w:
        machine = await run_service(w)
        worker = w.cloud.machines[machine].worker
        await wait_for_heartbeat(w, machine)
        delays = iter([COMMAND_DELAY_S])
        worker.command_delay = lambda: next(delays, None)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        await isolate_leader(w)
        await cancel_in_one_call(w, 1)
        await trio.sleep(BEYOND_LEASE_S)
        assert worker.epoch == 1 and w.board.running(RUNNING_JOB)
        assert worker.late_command_results == [False]
        await w.finish()


async def test_the_machine_of_a_leader_of_0_10_0_keeps_its_token():
    """Rolling upgrade: 0.10.0 can't continue from a raised token, so the lease would expire."""
    async with deployment(previous_version=Version0100Controller) as w:
        machine = await run_service(w)
        w.crash(1)
        w.start(1)
        assert await w.until_ready()
        worker = w.cloud.machines[machine].worker
        await wait_for_heartbeat(w, machine)
        delays = iter([COMMAND_DELAY_S])
        worker.command_delay = lambda: next(delays, None)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        w.crash(0)
        before = worker.token
        status, _ = await w.call(
            1, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {}, CALL_TIMEOUT_S
        )
        assert (status, worker.token) == (503, before)
        w.start(0, previous_version=Version0100Controller)
        assert await w.until_ready()
        await w.cancel_job(CANCELLED_JOB, 60)
        await w.finish()


@pytest.mark.parametrize("lacks", ["address", "answer", "room"])
async def test_a_machine_that_can_not_be_shown_a_token_is_waited_for(lacks):
    """Guards against a machine that counts as settled although it refused or didn't answer."""
    async with deployment() as w:
        machine = await run_service(w)
        worker = w.cloud.machines[machine].worker
        await wait_for_heartbeat(w, machine)
        delays = iter([START_DELAY_S])
        worker.command_delay = lambda: next(delays, COMMAND_DELAY_S if lacks == "answer" else None)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        w.crash(0)
        if lacks == "address":
            for at in (1, 2):
                w.network.block(f"node-{at}", machine)
        elif lacks == "room":
            # The highest incarnation that a token can hold.
            worker.lease.token |= 0xFFFF
        status, _ = await w.call(
            1, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {}, CALL_TIMEOUT_S
        )
        assert status == 503
        for at in (1, 2):
            w.network.unblock(f"node-{at}", machine)
        w.start(0)
        assert await w.until_ready()
        await w.cancel_job(CANCELLED_JOB, 60)
        await w.finish()


async def test_a_machine_is_shown_one_higher_token_for_a_job_however_often_its_user_asks():
    """Guards against a machine that gets a new token every second while another is unreachable."""
    async with deployment() as w:
        machine = await run_service(w)
        worker = w.cloud.machines[machine].worker
        controller = w.controllers["node-1"]
        machines = AttemptsOnMachines(w.network.port("node-1"), controller.fleet.inventory)
        term, before = controller.view.terms["east"].number, worker.token
        assert await w.submit(0, job(51, **{**SERVICE, "yard": "west"}), None) == 201
        assert await w.until(lambda: w.board.running("run-000051"), 60)
        unreachable = next(iter(w.board.machines_by_task[w.board.running("run-000051")[0]]))
        await trio.sleep(10)
        w.network.block("node-1", unreachable)
        attempts = {0: Attempt(9, machine), 1: Attempt(9, unreachable)}
        for _ in range(5):
            assert not await machines.settle_all(CANCELLED_JOB, attempts, term)
            await trio.sleep(1)
        w.network.unblock("node-1", unreachable)
        assert await machines.settle_all(CANCELLED_JOB, {0: Attempt(9, machine)}, term)
        assert worker.token == before + 1
        # To reject the starts of another job, the token is raised again.
        assert await machines.settle_all("run-000002", {0: Attempt(10, machine)}, term)
        assert worker.token == before + 2
        await w.finish()


async def test_no_start_goes_out_under_a_token_that_its_machine_has_not_shown():
    """A peer that raises a token relies on all earlier starts carrying lower ones."""
    async with deployment() as w:
        machine = await run_service(w)
        worker = w.cloud.machines[machine].worker
        handle_answer, raised = worker.handle_answer, []

        def record_and_handle(answer: dict, *rest) -> bool:
            verbs = [order["verb"] for order in answer.get("orders", [])]
            if answer.get("baton", 0) > worker.token:
                raised.append(verbs)
            return handle_answer(answer, *rest)

        worker.handle_answer = record_and_handle
        await wait_for_heartbeat(w, machine)
        # The direct start is not answered, and the raised token sent after it does not arrive.
        worker.command_delay = lambda: COMMAND_DELAY_S
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        assert await w.until(lambda: w.board.running(CANCELLED_JOB), 15)
        assert raised and not any("run" in verbs for verbs in raised)
        await w.finish()
