"""A start that is carried out after its job's cancellation was confirmed.

A leader sends a start to a machine, directly or with the response to a heartbeat. The machine
hangs, or the message is delayed. The job is cancelled, and a controller confirms that to the user,
as no leader will send another start of the job. Then the machine continues within its lease, or the
message arrives, and the machine carries out the start, since the raised fencing token and the stop
order arrive only after it.

The first case was found by `test_gangs_with_anti_affinity.py` (pairs of faults, seed 7);
docs/incidents/2026-12-start-after-cancellation.md has its schedule. These tests produce it
deterministically, for each request from which users learn of a cancellation, and with leaders that
terminate or can't be queried. The checker, `protocol_rules`, records every start that is carried
out after a confirmation.
"""

import random

import pytest
import trio

from roadbend import clock
from roadbend.controller import Controller
from roadbend.controller.attempts_on_machines import AttemptsOnMachines
from roadbend.controller.cancellation_confirmation import max_confirmation_wait
from roadbend.fakes.previous_version import Version090Controller
from roadbend.fakes.scenario import TEAMS, job_id
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.recovery.service import install
from roadbend.recovery.settings import RecoverySettings
from roadbend.settings import Team
from roadbend.store.records import Attempt
from tests.scenarios.held_starts import (
    ARRAY,
    CANCELLED_JOB,
    HANG_S,
    RUNNING_JOB,
    SERVICE,
    START_DELAY_S,
    assert_cancellation_completed,
    delay_start,
    deployment,
    record_cancellation,
    run_service,
    submit_until_start_recorded,
    wait_for_heartbeat,
)

WIDE = {"red": Team("red", 0, 0, 0, 0)}
# A worker drops a heartbeat response that arrives later than this; in seconds.
RESPONSE_TIMEOUT_S = 4.0
# Without a start in doubt, a cancellation is confirmed within this time; in seconds.
IMMEDIATE_S = 0.5
# For how long users repeat a request; in seconds.
USER_RETRY_PERIOD_S = 60.0


async def hang(w: World, machine: str) -> None:
    await w.hang([machine], HANG_S)


async def hold_commands(w: World, machine: str) -> None:
    """Delay what the leader sends, so that it arrives after the leader's timeout."""
    await w.hold([("node-0", machine)], HANG_S)


async def delay_commands(w: World, machine: str) -> None:
    """Delay direct commands by 2 to 16 s, while the machine works."""
    await w.delay_commands(1.0, 2.0, random.Random(f"late {machine}"))


@pytest.mark.parametrize("site", ["visa", "pet"])
@pytest.mark.parametrize("at", [0, 1], ids=["at-the-leader", "at-another"])
async def test_no_direct_start_is_carried_out_after_a_confirmation(at, site):
    async with deployment(site) as w:
        machine = await run_service(w)
        await delay_start(w, machine)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        for _ in range(40):
            await w.call(at, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {})
            await trio.sleep(0.25)
        await assert_cancellation_completed(w)


DELAYS = [hang, hold_commands, delay_commands]


@pytest.mark.parametrize("site", ["visa", "pet"])
@pytest.mark.parametrize("delay", DELAYS, ids=lambda delay: delay.__name__)
@pytest.mark.parametrize("at", [0, 1], ids=["at-the-leader", "at-another"])
async def test_no_direct_start_that_a_trouble_holds_up_is_carried_out_after_a_confirmation(
    at, delay, site
):
    async with deployment(site) as w:
        machine = await run_service(w)
        await wait_for_heartbeat(w, machine)
        w.nursery.start_soon(delay, w, machine)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        for _ in range(40):
            await w.call(at, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {})
            await trio.sleep(0.25)
        await assert_cancellation_completed(w)


async def test_no_start_of_a_gang_is_carried_out_after_a_confirmation():
    async with deployment() as w:
        await delay_start(w, await run_service(w))
        await submit_until_start_recorded(w, gang(1, 2, yard="east"), 30.0)
        await assert_cancellation_completed(w)


@pytest.mark.parametrize("kind", ["array", "service"])
async def test_no_start_of_a_heartbeats_answer_is_carried_out_after_a_confirmation(kind):
    """The response with the start arrives after the job was cancelled, over a slow link.

    It arrives just before the worker would drop it.
    """
    async with deployment() as w:
        machine = await run_service(w)
        body = job(1, **(ARRAY if kind == "array" else SERVICE))
        if kind == "service":
            # Leaders of a later term send no direct starts. The direct start of the current leader
            # is held on the link below.
            for controller in w.controllers.values():
                controller.fleet.commands.order_now = None
        await wait_for_heartbeat(w, machine)
        w.network.hold("node-0", machine)
        await submit_until_start_recorded(w, body, 60.0 if kind == "array" else None)
        await wait_for_heartbeat(w, machine)
        sent_at = trio.current_time() - 0.05
        await trio.sleep(0.5)
        w.nursery.start_soon(w.cancel_job, CANCELLED_JOB, 60)
        await trio.sleep(sent_at + RESPONSE_TIMEOUT_S - 0.3 - trio.current_time())
        w.network.release("node-0", machine)
        await assert_cancellation_completed(w)


async def ask(w: World, at: int) -> None:
    await w.call(at, "GET", f"/v1/jobs/{CANCELLED_JOB}", within=2)


async def submit_again(w: World, at: int) -> None:
    await w.call(at, "POST", "/v1/jobs", w.rules.jobs[CANCELLED_JOB].body)


async def withdraw_again(w: World, at: int) -> None:
    await w.call(at, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {})


@pytest.mark.parametrize("query", [ask, submit_again, withdraw_again], ids=lambda f: f.__name__)
@pytest.mark.parametrize("at", [0, 2], ids=["at-the-leader", "at-another"])
async def test_nobody_learns_of_a_cancellation_while_a_start_may_be_carried_out(at, query):
    """The controller that records the cancellation terminates before it responds to the user.

    Users then query the other controllers.
    """
    async with deployment() as w:
        await delay_start(w, await run_service(w))
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        await record_cancellation(w, 1)
        w.crash(1)
        for _ in range(60):
            await query(w, at)
            await trio.sleep(0.1)
        w.start(1)
        await assert_cancellation_completed(w)


async def the_leader_ends(w: World) -> None:
    w.crash(0)
    await trio.sleep(HANG_S + 2)
    w.start(0)


async def the_leader_restarts_at_once(w: World) -> None:
    w.crash(0)
    await trio.sleep(0.2)
    w.start(0)


async def all_restart_at_once(w: World) -> None:
    for at in range(3):
        w.crash(at)
    await trio.sleep(0.3)
    for at in range(3):
        w.start(at)


async def the_leader_is_cut_off(w: World) -> None:
    """Disconnect it from the state store and the other controllers, but not from its workers."""
    await w.isolate_controller(0, 12.0)


async def the_leader_is_cut_off_from_its_peers(w: World) -> None:
    await w.block_pairs([("node-0", "node-1"), ("node-0", "node-2")], 6.0)


async def the_leader_gives_the_partition_up(w: World) -> None:
    await w.controllers["node-0"].election.fail_over("east")


LEADER_FAULTS = [
    the_leader_ends,
    the_leader_restarts_at_once,
    all_restart_at_once,
    the_leader_is_cut_off,
    the_leader_is_cut_off_from_its_peers,
    the_leader_gives_the_partition_up,
]


@pytest.mark.parametrize("fault", LEADER_FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("first", ["cancelled", "happened"])
async def test_no_start_of_a_leader_that_cannot_be_asked_is_carried_out(first, fault):
    async with deployment() as w:
        await delay_start(w, await run_service(w))
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        if first == "cancelled":
            await record_cancellation(w, 1)
            w.nursery.start_soon(fault, w)
        else:
            w.nursery.start_soon(fault, w)
            await trio.sleep(0.4)
        for _ in range(30):
            for at in (1, 2):
                await w.call(at, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {}, within=5)
            await trio.sleep(0.1)
        await assert_cancellation_completed(w)


@pytest.mark.parametrize("at", [0, 1, 2])
async def test_a_cancellation_that_meets_no_start_in_doubt_is_confirmed_at_once(at):
    async with deployment() as w:
        await run_service(w)
        began = trio.current_time()
        status, answer = await w.call(at, "POST", f"/v1/jobs/{RUNNING_JOB}/withdraw", {})
        assert (status, answer["status"]) == (200, "aborted")
        assert trio.current_time() - began < IMMEDIATE_S
        await w.finish()


@pytest.mark.parametrize("site", ["visa", "pet"])
async def test_a_cancellation_is_confirmed_within_its_bound_whatever_fails(site):
    """Leader and machine are partitioned from all others, and the cloud refuses deletions.

    As the next leader can't reach the machine either, only the elapsed time proves that the start
    is not carried out any more.
    """
    async with deployment(site) as w:
        machine = await run_service(w)
        await delay_start(w, machine)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        w.cloud.refuse_deletion = True
        others = ("state", "cloud", "node-1", "node-2")
        pairs = [("node-0", other) for other in others] + [(machine, f"node-{n}") for n in range(3)]
        w.nursery.start_soon(w.block_pairs, pairs, 90.0)
        await record_cancellation(w, 1)
        settings = w.controllers["node-1"].settings
        bound = max_confirmation_wait(settings, w.operator).total_seconds()
        assert bound < USER_RETRY_PERIOD_S
        began = trio.current_time()
        status = 0
        while status != 200:
            assert trio.current_time() - began < bound + 3.0
            status, _ = await w.call(1, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {})
            assert status in (200, 503)
            await trio.sleep(1.0)
        # There was no earlier evidence: the next leader waits for the leases that the former one
        # may have renewed.
        assert trio.current_time() - began > settings.lease.total_seconds()
        await trio.sleep(90.0)
        w.cloud.refuse_deletion = False
        await assert_cancellation_completed(w)


async def test_a_cancellation_whose_leader_is_of_an_older_version_waits_for_the_end_of_its_tasks():
    """It can't be queried for starts; that the records have no attempt any more is evidence."""
    async with deployment(previous_version=Version090Controller) as w:
        machine = await run_service(w)
        w.crash(1)
        w.start(1)
        assert await w.until_ready()
        await delay_start(w, machine)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        began = trio.current_time()
        for _ in range(30):
            await w.call(1, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {})
            await trio.sleep(0.2)
        await assert_cancellation_completed(w)
        assert w.rules.jobs[CANCELLED_JOB].cancelled_at - began > START_DELAY_S
        # Without a fault, the cancellation of a running job takes as long as stopping its tasks.
        began = trio.current_time()
        assert (await w.call(1, "POST", f"/v1/jobs/{RUNNING_JOB}/withdraw", {}))[0] == 200
        assert trio.current_time() - began < 2.0


async def test_an_older_version_may_ask_and_confirm_beside_todays():
    """Rolling upgrade: the last controller of the old version confirms as before."""
    async with deployment(previous_version=Version090Controller) as w:
        await run_service(w)
        for at in (0, 2):
            w.crash(at)
            await trio.sleep(0.5)
            w.start(at)
            assert await w.until_ready()
        # Its machine has confirmed the token of the new leader.
        await trio.sleep(8)
        assert (await w.call(1, "POST", f"/v1/jobs/{RUNNING_JOB}/withdraw", {}))[0] == 200
        for at in range(3):
            assert await w.status(at, RUNNING_JOB) == "aborted"
        await w.finish()


async def test_with_recovery_switched_on_a_held_start_is_waited_for_too():
    async with deployment(equip=lambda node: install(node, RecoverySettings())) as w:
        machine = await run_service(w)
        await delay_start(w, machine)
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        w.nursery.start_soon(the_leader_restarts_at_once, w)
        for _ in range(30):
            await w.call(1, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {})
            await trio.sleep(0.2)
        await assert_cancellation_completed(w)


async def test_a_start_that_its_machine_refuses_is_not_waited_for():
    """The rejected start will never be carried out."""
    async with deployment() as w:
        machine = await run_service(w)
        await wait_for_heartbeat(w, machine)
        worker = w.cloud.machines[machine].worker
        # The worker's lease has expired, which its leader does not know yet.
        worker.lease.epoch += 1
        await submit_until_start_recorded(w, job(1, **SERVICE), None)
        began = trio.current_time()
        assert (await w.call(0, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {}))[0] == 200
        assert trio.current_time() - began < IMMEDIATE_S
        await assert_cancellation_completed(w)


async def test_after_a_failover_a_cancellation_waits_for_machines_to_show_the_new_token_only():
    async with deployment() as w:
        machine = await run_service(w)
        w.crash(0)
        assert await w.until(lambda: w.leader_of("east"), 30)
        controller = w.controllers[w.leader_of("east")]
        assert await w.until(lambda: machine in controller.leaders["east"].machines, 20, 0.05)
        await trio.sleep(2)
        assert not controller.leaders["east"].starts_in_doubt.has_any(RUNNING_JOB, clock.now())
        began = trio.current_time()
        assert (await w.call(1, "POST", f"/v1/jobs/{RUNNING_JOB}/withdraw", {}))[0] == 200
        assert trio.current_time() - began < IMMEDIATE_S
        w.start(0)
        assert await w.until_ready()
        await w.finish()


async def test_what_was_sent_before_a_machine_restarted_is_in_doubt_until_it_shows_the_new_token():
    """A restarted worker has no token, and counts its epochs from one."""
    async with deployment() as w:
        machine = await run_service(w)
        leader = w.controllers["node-0"].leaders["east"]
        assert not leader.starts_in_doubt.has_any(RUNNING_JOB, clock.now())
        w.cloud.reboot(machine)
        token = leader.machines[machine].token
        former_incarnation = token.incarnation
        assert await w.until(lambda: token.incarnation > former_incarnation, 30, 0.01)
        assert leader.starts_in_doubt.has_any(RUNNING_JOB, clock.now())
        assert await w.until(lambda: token.confirmed, 10, 0.01)
        starts = leader.starts_in_doubt
        assert await w.until(lambda: not starts.has_any(RUNNING_JOB, clock.now()), 10, 0.05)
        await w.finish()


async def test_a_wide_job_is_confirmed_by_its_machines_while_its_leader_is_gone():
    """Guards against a limit on the machines that are queried.

    With a limit of 64, the cancellation of a wider job was confirmed only by the next leader, as
    seen with a fleet of 4,000 machines.
    """
    async with world(teams=WIDE, capacity=90, cloud_rps=30.0, state_rps=900.0) as w:
        w.cloud.boot_seconds = 3.0
        wide = job(1, legs=70, vcpus=24.0, gpus=0.0, yard="east", shape="daemon", dueS=None)
        assert await w.submit(1, wide, None) == 201
        assert await w.until(lambda: len(w.board.running(CANCELLED_JOB)) == 70, 120)
        assert (
            len({m for t in w.board.running(CANCELLED_JOB) for m in w.board.machines_by_task[t]})
            == 70
        )
        await trio.sleep(15)
        w.crash(0)
        assert (await w.call(1, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {}))[0] == 200
        w.start(0)
        assert await w.until(lambda: not w.board.running(CANCELLED_JOB), 30)


async def test_a_machine_that_lacks_a_task_keeps_the_others_from_being_asked():
    """The machines that respond are not enough to confirm a cancellation."""
    async with deployment() as w:
        machine = await run_service(w)
        controller = w.controllers["node-1"]
        machines = AttemptsOnMachines(w.network.port("node-1"), controller.fleet.inventory)
        (attempts,) = (
            s.attempts for s in controller.view.job_slices["east"].values() if s.job == RUNNING_JOB
        )
        assert await machines.are_all_held(RUNNING_JOB, attempts)
        for incomplete in (
            {**attempts, 1: Attempt(9, machine)},
            {0: Attempt(attempts[0].number + 1, machine)},
            {0: Attempt(attempts[0].number, "m-999999")},
        ):
            assert not await machines.are_all_held(RUNNING_JOB, incomplete)
        w.network.block("node-1", machine)
        assert not await machines.are_all_held(RUNNING_JOB, attempts)
        w.network.unblock("node-1", machine)


async def test_a_task_cut_off_with_its_leader_is_confirmed_by_one_call_and_gone_in_time():
    """Guards against a user who has to repeat the request for half a minute.

    Before the network partition, the leader reported that the machine holds the task. It does not
    resend the start while a peer may still rely on that report.
    """
    async with world() as w:
        assert await w.submit(1, job(1, shape="daemon", yard="east", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running(CANCELLED_JOB), 60)
        machine = next(iter(w.board.machines_by_task[f"{CANCELLED_JOB}/0"]))
        for other in ("state", "cloud", "node-1", "node-2"):
            w.network.block("node-0", other)
        for other in ("node-1", "node-2"):
            w.network.block(machine, other)
        await trio.sleep(1)
        w.cloud.refuse_deletion = True
        assert (await w.call(1, "POST", f"/v1/jobs/{CANCELLED_JOB}/withdraw", {}))[0] == 200
        began = trio.current_time()
        assert await w.until(lambda: not w.board.running(CANCELLED_JOB), 38)
        await w.cancel_job(CANCELLED_JOB, began + 45 - trio.current_time())


@pytest.mark.parametrize("version", [Version090Controller, Controller])
async def test_a_leader_that_is_refused_and_cut_off_starts_nothing_that_was_told_to_be_cancelled(
    version,
):
    """Checks that leaders hear of a cancellation before its user does.

    As in `test_owners_hear_of_a_cancellation_before_its_user_does` in `test_meetings`, except that
    the current version may answer 503 while the leader can't be queried. For controllers of version
    0.9.0 the check is the same as there.
    """
    async with world(teams=TEAMS, previous_version=version) as w:
        service = job(50, shape="daemon", yard="east", dueS=None, loaners=False)
        assert await w.submit(1, service, None) == 201
        assert await w.until(lambda: w.board.running(RUNNING_JOB), 60)
        await trio.sleep(5)
        for n in range(30, 42):
            body = job(n, legs=1, yard="east", dueS=5.0, loaners=False, vcpus=2.0)
            assert await w.submit(1, body, 60.0) == 201
            slice_key = f"r/slice/east/{job_id(n)}/0"
            assert await w.until(lambda key=slice_key: w.state.values_with_prefix(key), 3, 0.01)
            unreachable = bool(n % 2)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(w.refuse, 0, 3.0)
                if unreachable:
                    links = [("node-0", "node-1"), ("node-0", "node-2")]
                    nursery.start_soon(w.block_pairs, links, 3.0)
                status = (await w.call(1, "POST", f"/v1/jobs/{job_id(n)}/withdraw", {}))[0]
                assert status == 200 or (status == 503 and unreachable and version is Controller)
            await w.cancel_job(job_id(n), 10)
            await trio.sleep(2 + n * 0.37 % 2.5)
        await w.finish()
