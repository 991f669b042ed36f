"""A cancellation is confirmed by a machine that refuses the job's starts, without its leader.

A user got 503 for as long as a leader could not be asked and a recorded start had not reached its
machine yet (docs/incidents/2026-12-start-that-nobody-sent.md). Who confirms shows the machine the
next token of its term. Each test names the guard without which a cancelled job begins, or a machine
loses its lease.
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
    CANCELLED,
    COMMAND_DELAY_S,
    KEPT,
    SERVICE,
    START_DELAY_S,
    deployment,
    machine_of_kept_service,
    next_heartbeat,
    start_recorded,
)

# One call of a user takes no longer; in seconds.
ONE_CALL_S = 5.0
# For how long a leader can't be asked: less than its own lease; in seconds.
CUT_OFF_S = 4.0
# A worker's lease, and some more; in seconds.
LONGER_THAN_A_LEASE_S = 30.0


async def withdrawn_by_one_call(w: World, at: int) -> None:
    """Cancel a job by one call."""
    status, answer = await w.call(at, "POST", f"/v1/jobs/{CANCELLED}/withdraw", {}, ONE_CALL_S)
    assert (status, answer["status"]) == (200, "aborted")


async def cut_leader_off(w: World, length: float = CUT_OFF_S) -> None:
    """The leader of the east is refused by the state store, and loses its peers."""
    w.nursery.start_soon(w.cut_controller, 0, length)
    await trio.sleep(0.01)


async def test_a_start_that_arrives_after_its_machine_was_shown_a_higher_token_is_refused():
    """Guards against a confirmation that only asks the machine: the start was on its way."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        worker = w.cloud.machines[machine].worker
        await next_heartbeat(w, machine)
        delays = iter([START_DELAY_S])
        worker.command_delay = lambda: next(delays, None)
        await start_recorded(w, job(1, **SERVICE), None)
        w.crash(0)
        await withdrawn_by_one_call(w, 1)
        await trio.sleep(START_DELAY_S)
        assert worker.late_commands == [False]
        w.start(0)
        assert await w.settled()
        await w.over()


async def test_a_leader_goes_on_from_a_token_that_a_peer_has_raised():
    """Guards against a lost lease: a leader that ignores the raised token renews it no more."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        worker = w.cloud.machines[machine].worker
        await next_heartbeat(w, machine)
        await start_recorded(w, job(1, **ARRAY), 60.0)
        await cut_leader_off(w)
        before = worker.token
        await withdrawn_by_one_call(w, 1)
        assert worker.token == before + 1
        await trio.sleep(LONGER_THAN_A_LEASE_S)
        known = w.controllers["node-0"].leaders["east"].machines[machine].token
        assert worker.epoch == 1 and known.confirmed and known.incarnation == 1
        # The machine is given work as before.
        assert await w.submit(0, job(2, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 15)
        await w.over()


async def test_two_controllers_may_raise_a_token_at_once():
    """Guards against two that confirm at once, whose tokens the leader has to follow both."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        worker = w.cloud.machines[machine].worker
        await next_heartbeat(w, machine)
        await start_recorded(w, job(1, **ARRAY), 60.0)
        await cut_leader_off(w)
        async with trio.open_nursery() as nursery:
            for at in (1, 2):
                nursery.start_soon(withdrawn_by_one_call, w, at)
        await trio.sleep(LONGER_THAN_A_LEASE_S)
        assert worker.epoch == 1 and w.board.running(KEPT)
        await w.over()


async def test_a_leader_that_raises_the_token_itself_and_a_peer_do_not_disturb_each_other():
    """Guards against a leader whose own raised token is below the one that a peer has shown."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        worker = w.cloud.machines[machine].worker
        await next_heartbeat(w, machine)
        delays = iter([COMMAND_DELAY_S])
        worker.command_delay = lambda: next(delays, None)
        await start_recorded(w, job(1, **SERVICE), None)
        await cut_leader_off(w)
        await withdrawn_by_one_call(w, 1)
        await trio.sleep(LONGER_THAN_A_LEASE_S)
        assert worker.epoch == 1 and w.board.running(KEPT)
        assert worker.late_commands == [False]
        await w.over()


async def test_the_machine_of_a_leader_of_0_10_0_keeps_its_token():
    """Guards a roll: that version does not go on from a raised token, and the lease would end."""
    async with deployment(previous_version=Version0100Controller) as w:
        machine = await machine_of_kept_service(w)
        w.crash(1)
        w.start(1)
        assert await w.settled()
        worker = w.cloud.machines[machine].worker
        await next_heartbeat(w, machine)
        delays = iter([COMMAND_DELAY_S])
        worker.command_delay = lambda: next(delays, None)
        await start_recorded(w, job(1, **SERVICE), None)
        w.crash(0)
        before = worker.token
        status, _ = await w.call(1, "POST", f"/v1/jobs/{CANCELLED}/withdraw", {}, ONE_CALL_S)
        assert (status, worker.token) == (503, before)
        w.start(0, previous_version=Version0100Controller)
        assert await w.settled()
        await w.withdrawn(CANCELLED, 60)
        await w.over()


@pytest.mark.parametrize("lacks", ["address", "answer", "room"])
async def test_a_machine_that_can_not_be_shown_a_token_is_waited_for(lacks):
    """Guards against a machine that counts as settled though it has refused, or not answered."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        worker = w.cloud.machines[machine].worker
        await next_heartbeat(w, machine)
        delays = iter([START_DELAY_S])
        worker.command_delay = lambda: next(delays, COMMAND_DELAY_S if lacks == "answer" else None)
        await start_recorded(w, job(1, **SERVICE), None)
        w.crash(0)
        if lacks == "address":
            for at in (1, 2):
                w.network.cut(f"node-{at}", machine)
        elif lacks == "room":
            # The last incarnation that a token can number.
            worker.lease.token |= 0xFFFF
        status, _ = await w.call(1, "POST", f"/v1/jobs/{CANCELLED}/withdraw", {}, ONE_CALL_S)
        assert status == 503
        for at in (1, 2):
            w.network.heal(f"node-{at}", machine)
        w.start(0)
        assert await w.settled()
        await w.withdrawn(CANCELLED, 60)
        await w.over()


async def test_a_machine_is_shown_one_higher_token_for_a_job_however_often_its_user_asks():
    """Guards against a machine that gets a new token every second while another one is silent."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        worker = w.cloud.machines[machine].worker
        node = w.controllers["node-1"]
        machines = AttemptsOnMachines(w.network.port("node-1"), node.fleet.inventory)
        term, before = node.view.terms["east"].number, worker.token
        assert await w.submit(0, job(51, **{**SERVICE, "yard": "west"}), None) == 201
        assert await w.until(lambda: w.board.running("run-000051"), 60)
        silent = next(iter(w.board.where[w.board.running("run-000051")[0]]))
        await trio.sleep(10)
        w.network.cut("node-1", silent)
        attempts = {0: Attempt(9, machine), 1: Attempt(9, silent)}
        for _ in range(5):
            assert not await machines.settle_all(CANCELLED, attempts, term)
            await trio.sleep(1)
        w.network.heal("node-1", silent)
        assert await machines.settle_all(CANCELLED, {0: Attempt(9, machine)}, term)
        assert worker.token == before + 1
        # Another job's start is refused by a token of its own.
        assert await machines.settle_all("run-000002", {0: Attempt(10, machine)}, term)
        assert worker.token == before + 2
        await w.over()


async def test_no_start_goes_out_under_a_token_that_its_machine_has_not_shown():
    """Guards what a peer relies on that raises a token: all starts carry lower ones."""
    async with deployment() as w:
        machine = await machine_of_kept_service(w)
        worker = w.cloud.machines[machine].worker
        take, raised = worker.take, []

        def note_and_take(answer: dict, *rest) -> bool:
            verbs = [order["verb"] for order in answer.get("orders", [])]
            if answer.get("baton", 0) > worker.token:
                raised.append(verbs)
            return take(answer, *rest)

        worker.take = note_and_take
        await next_heartbeat(w, machine)
        # Nobody knows what became of the direct start, and its fence does not arrive either.
        worker.command_delay = lambda: COMMAND_DELAY_S
        await start_recorded(w, job(1, **SERVICE), None)
        assert await w.until(lambda: w.board.running(CANCELLED), 15)
        assert raised and not any("run" in verbs for verbs in raised)
        await w.over()
