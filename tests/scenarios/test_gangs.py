"""Gangs: all tasks of a job run at the same time or none does, whatever fails.

The checker verifies the protocol rules.
"""

import random
from datetime import timedelta

import pytest
import trio

from roadbend.fakes.gangs import NAME, SMALL, TEAMS, attempts, running, start_gang
from roadbend.fakes.random_failures import FAILURES
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import world
from roadbend.settings import OperatorSettings, ServiceLevelObjective, Team
from roadbend.store import keys

SECOND = timedelta(seconds=1)


async def test_a_gang_starts_whole_under_one_number_and_is_done_once():
    async with world(teams=TEAMS) as w:
        machines = await start_gang(w, gang(1, 16), 15.0)
        assert len(machines) > 1 and len(attempts(w, NAME)) == 1
        assert await w.until(lambda: w.status(2, NAME), 3)
        assert await w.until(lambda: not w.board.running(NAME), 30)
        await w.finish()
        assert len({m.zone for m in w.cloud.machines.values() if m.id in machines}) == 1
        assert (
            w.state.values_with_prefix("r/gang/") == {}
            and w.state.values_with_prefix("r/job/") == {}
        )
        assert await w.until(lambda: w.state.values_with_prefix("r/slice/") == {}, 20)


async def test_a_gang_begins_within_two_seconds_where_there_is_room():
    """Its start orders are sent without waiting for heartbeats."""
    async with world(count=1, teams=TEAMS) as w:
        # A service so that the machines are kept.
        service = job(50, shape="daemon", legs=4, yard="east", vcpus=8.0, dueS=None, loaners=False)
        assert await w.submit(0, service, None) == 201
        assert await w.until(lambda: len(w.board.running("run-000050")) == 4, 60)
        await trio.sleep(5)
        for n in range(2, 7):
            began = trio.current_time()
            await start_gang(w, gang(n, 8, yard="east"), 4.0)
            # This includes one second for the fetch of its image.
            assert trio.current_time() - began < 2.0, n
            await trio.sleep(5.3)


@pytest.mark.parametrize("tasks, limit, status", [(4, 4.0, 201), (5, 4.0, 422)])
async def test_what_could_never_start_whole_is_refused(tasks, limit, status):
    async with world(count=1, teams={"red": Team("red", 0, 0, 0, limit)}) as w:
        assert await w.submit(0, gang(1, tasks, gpus=1.0), 5.0) == status
        assert await w.submit(0, gang(2, 2, vcpus=25.0)) == 422
        # There is no zone for the other half.
        assert await w.submit(0, gang(3, 2, together=False, apart=True, yard="east")) == 422
        assert await w.submit(0, gang(5, 2, together=True, apart=True)) == 422
        assert await w.submit(0, gang(4, 2, milestoneS=-1.0)) == 400
        await w.finish()


WIDE_GANG = dict(vcpus=0.5, memoryGb=0.5, yard="east")


@pytest.mark.parametrize("ends", ["done", "withdrawn"])
async def test_a_gang_wider_than_a_transaction_runs_whole_under_one_number(ends):
    """Its attempts are recorded in several transactions, and so is its end."""
    async with world(count=1, teams=TEAMS, **SMALL) as w:
        length = 10.0 if ends == "done" else None
        await start_gang(w, gang(1, 300, **WIDE_GANG), length, within=90)
        assert len(attempts(w, NAME)) == 1
        if ends == "withdrawn":
            await w.cancel_job(NAME)
        assert await w.until(lambda: not w.board.running(NAME), 40)
        await w.finish()
        assert await w.until(lambda: w.state.values_with_prefix("r/slice/") == {}, 40)


async def test_an_owner_that_ends_amid_a_wide_gangs_start_leaves_no_half_of_it():
    async with world(teams=TEAMS, **SMALL) as w:
        await start_gang(w, gang(9, 40, **WIDE_GANG), 2.0)
        assert await w.submit(1, gang(1, 300, **WIDE_GANG), 8.0) == 201
        slice_prefix = f"r/slice/east/{NAME}"
        assert await w.until(lambda: len(w.state.values_with_prefix(slice_prefix)) == 3, 90, 0.01)
        w.crash(0)
        await trio.sleep(3)
        w.start(0)
        await w.finish()
        assert keys.job_end_key(NAME) in w.state.values_with_prefix("fin/")


async def test_two_gangs_that_need_all_the_room_run_one_after_the_other():
    """Guards against a deadlock of gangs that each hold a part of the capacity.

    A team's limit counts all tasks of a gang together.
    """
    async with world(count=1, capacity=1, teams=TEAMS) as w:
        names = [f"run-{n:06d}" for n in (1, 2, 3)]
        for n in (1, 2, 3):
            assert await w.submit(0, gang(n, 10, yard="east"), 12.0) == 201
        for _ in range(1200):
            assert sum(1 for name in names if w.board.running(name)) <= 1
            await trio.sleep(0.1)
        await w.finish()
        assert {len(attempts(w, name)) for name in names} == {1}


async def test_a_task_lost_while_the_gang_gathers_is_replaced_under_the_same_number():
    async with world(count=1, teams=TEAMS) as w:
        await start_gang(w, gang(9, 16), 3.0)
        await trio.sleep(6)
        find_gang = w.board.gang
        machine = None
        # One machine's image fetch takes long, so the other tasks wait; then the machine fails.
        slow = sorted(w.workers(), key=lambda x: x.machine)[0]
        slow.settings.fetch_s = 40.0
        assert await w.submit(0, gang(1, 16), 8.0) == 201
        assert await w.until(lambda: len(w.board.running(NAME)) >= 4, 10)
        if any(t.name.startswith(NAME) for t in slow.tasks.values()):
            machine = slow.machine
            await trio.sleep(1.5)
            w.cloud.kill(machine)
        assert await w.until(lambda: len(running(w, NAME)) == 16, 90)
        assert machine is not None and len(attempts(w, NAME)) == 1 and find_gang is not None
        await w.finish()


@pytest.mark.parametrize("fault", ["dies", "hangs"])
async def test_a_task_lost_while_running_ends_the_attempt_and_the_next_resumes(fault):
    async with world(count=1, teams=TEAMS) as w:
        machines = await start_gang(w, gang(1, 16), 60.0)
        await trio.sleep(25)
        if fault == "dies":
            w.cloud.kill(machines[0])
        else:
            w.nursery.start_soon(w.hang, machines[:1], 40.0)
        assert await w.until(lambda: len(attempts(w, NAME)) == 2, 90)
        assert await w.until(lambda: len(running(w, NAME)) == 16, 60)
        assert w.board.progress[NAME] >= 20.0
        await w.finish()


@pytest.mark.parametrize("cause", ["preempted", "notice"])
async def test_a_gang_is_stopped_whole_and_saves_what_it_did(cause):
    async with world(count=1, capacity=2, teams=TEAMS) as w:
        machines = await start_gang(
            w, gang(1, 20, rank="best_effort", milestoneS=1000.0, yard="east"), 40.0
        )
        await trio.sleep(14)
        if cause == "preempted":
            for n in (2, 3):
                body = job(
                    n,
                    shape="daemon",
                    rank="production",
                    vcpus=20.0,
                    dueS=None,
                    yard="east",
                    loaners=False,
                )
                assert await w.submit(0, body, None) == 201
        else:
            for worker in w.workers():
                if worker.machine == machines[0]:
                    worker.reclaim_in_s = 15.0
        assert await w.until(lambda: w.board.progress.get(NAME, 0) > 12, 60)
        saved = w.board.progress[NAME]
        assert saved >= 13.0
        for n in (2, 3):
            if f"run-{n:06d}" in w.rules.jobs:
                await w.cancel_job(f"run-{n:06d}")
        if cause == "notice":
            w.cloud.kill(machines[0])
        await w.finish()


async def test_a_direct_order_that_arrives_late_is_refused():
    """A delayed direct start arrives after its job was cancelled and its task removed.

    The machine had received the same order with the response to a heartbeat.
    """
    async with world(count=1, teams=TEAMS) as w:
        service = job(50, shape="daemon", legs=2, yard="east", vcpus=8.0, dueS=None, loaners=False)
        assert await w.submit(0, service, None) == 201
        assert await w.until(lambda: len(w.board.running("run-000050")) == 2, 60)
        await trio.sleep(6)
        machines = sorted(
            {m for t in w.board.running("run-000050") for m in w.board.machines_by_task[t]}
        )
        for machine in machines:
            w.network.hold("node-0", machine, requests=True)
        await start_gang(w, gang(1, 2, yard="east"), None)
        await trio.sleep(4)
        await w.cancel_job(NAME)
        assert await w.until(lambda: not w.board.running(NAME), 10)
        await trio.sleep(6)
        for machine in machines:
            w.network.release("node-0", machine)
        await trio.sleep(5)
        assert not w.board.running(NAME)
        # The machines still accept work.
        await start_gang(w, gang(2, 2, yard="east"), 5.0, within=6)
        await w.finish()


@pytest.mark.parametrize("seed", range(10))
async def test_pairs_of_troubles_in_every_phase_of_gangs_break_no_rule(seed):
    """Gangs are submitted, start, run, end and are cancelled, next to an array and a service."""
    rng = random.Random(seed)
    changes = (
        dict(value_bytes=2048, txn_ops=4, state_write_rps=25.0, cancel_within=48 * SECOND)
        if seed % 2
        else {}
    )
    # Services have a start objective, too, so their starts are sent directly, as those of gangs.
    changes["objectives"] = (ServiceLevelObjective("wait", "plans", 0.9, 5 * SECOND),)
    async with world(
        capacity=8, teams=TEAMS, operator=OperatorSettings(reoffer_every=2 * SECOND), **changes
    ) as w:
        assert (
            await w.submit(
                0, job(50, shape="daemon", legs=3, apart=True, dueS=None, loaners=False), None
            )
            == 201
        )
        assert await w.submit(1, job(51, legs=5, crew="blue", dueS=40.0), 15.0) == 201
        first = gang(1, rng.choice((4, 12)), loaners=True)
        await start_gang(w, first, rng.uniform(20, 50))
        submitted_all = trio.Event()

        async def submit_gangs() -> None:
            for n in range(2, 12):
                body = gang(
                    n,
                    rng.choice((2, 3, 8, 16)),
                    rank=rng.choice(("normal", "high")),
                    loaners=n % 2 == 0,
                )
                for at in rng.sample(range(3), 3):
                    if await w.submit(at, body, rng.uniform(3, 20)) in (200, 201):
                        break
                if rng.random() < 0.3:
                    await trio.sleep(rng.uniform(0, 4))
                    w.nursery.start_soon(w.cancel_job, body["id"], 200)
                await trio.sleep(rng.uniform(0.5, 4))
            submitted_all.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_gangs)
            for fault in rng.sample(FAILURES, 2):
                nursery.start_soon(fault, w, rng)
                await trio.sleep(rng.uniform(0, 6))
            await submitted_all.wait()
        assert await w.until_ready()
        await w.finish()
        assert not w.state.values_with_prefix("r/gang/")
        assert keys.job_end_key(NAME) in w.state.values_with_prefix("fin/")
