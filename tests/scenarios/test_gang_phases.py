"""Gangs, phase by phase: what the operators' page says of waiting, stopping, completing and
cancelling. docs/gangs.md names the sentence that each test shows."""

import pytest
import trio

from roadbend import clock
from roadbend.fakes.gangs import NAME, TEAMS, attempts, running, start_gang
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.placement import gang_reservations, preemption
from roadbend.placement.reservations import ReservationReason
from roadbend.settings import Team
from roadbend.store import keys

# A fetch that takes longer than gangs wait.
SLOW_FETCH = 45.0


async def keep_machines(w: World, number: int, count: int, zone: str = "east") -> None:
    """A service that keeps machines up: a machine holds one of its tasks."""
    body = job(
        number,
        shape="daemon",
        legs=count,
        yard=zone,
        vcpus=13.0,
        gpus=0.0,
        memoryGb=1.0,
        dueS=None,
        loaners=False,
        crew="blue",
    )
    assert await w.submit(0, body, None) == 201
    assert await w.until(lambda: len(w.board.running(body["id"])) == count, 90)
    await trio.sleep(6)


def states(w: World, name: str) -> set[str]:
    return {
        task.state
        for worker in w.workers()
        for task in worker.tasks.values()
        if task.name.startswith(name + "/")
    }


async def test_alone_is_nobodys_failure():
    """One machine's fetch takes longer than the others wait, twice: they exit with `alone`, no
    machine counts as faulty, and the gang runs in the end."""
    async with world(count=1, teams=TEAMS) as w:
        await keep_machines(w, 50, 3)
        machines = {worker.machine for worker in w.workers()}
        slow = sorted(w.workers(), key=lambda worker: worker.machine)[0]
        slow.settings.fetch_s = SLOW_FETCH
        assert await w.submit(0, gang(1, 15, yard="east", imageGb=2.0, bundle="img-2"), 5.0) == 201
        causes: set[str] = set()

        def look() -> bool:
            causes.update(
                task.cause
                for worker in w.workers()
                for task in worker.tasks.values()
                if task.name.startswith(NAME) and task.cause
            )
            return "alone" in causes

        assert await w.until(look, 90, 0.1)
        slow.settings.fetch_s = 1.0
        await w.finish()
        assert machines <= {m.id for m in w.cloud.machines.values() if m.status == "running"}


async def test_tasks_that_wait_hold_room_and_count_for_their_team():
    """A gang that gathers has its team at its limit: a job of the same team waits for its end."""
    teams = {**TEAMS, "red": Team("red", 0, 0, 0, 4)}
    async with world(count=1, teams=teams) as w:
        await keep_machines(w, 50, 3)
        for worker in sorted(w.workers(), key=lambda worker: worker.machine)[:1]:
            worker.settings.fetch_s = 12.0
        body = gang(1, 4, yard="east", gpus=1.0, vcpus=5.0)
        assert await w.submit(0, body, 8.0) == 201
        assert await w.until(lambda: "gathering" in states(w, NAME), 30, 0.1)
        assert await w.submit(0, job(2, yard="east", vcpus=1.0, memoryGb=1.0), 2.0) == 201
        while running(w, NAME) == [] and w.board.running(NAME):
            assert not w.board.running("run-000002")
            await trio.sleep(0.1)
        await w.finish()


PHASES = ["waiting", "fetching", "gathering", "running", "flushing"]


@pytest.mark.parametrize("phase", PHASES)
async def test_a_gang_is_cancelled_in_each_phase(phase):
    async with world(count=1, capacity=3, teams=TEAMS) as w:
        await keep_machines(w, 50, 3)
        body = gang(1, 15, yard="east", rank="best_effort", milestoneS=1000.0, stowS=4.0)
        for worker in sorted(w.workers(), key=lambda worker: worker.machine)[:1]:
            worker.settings.fetch_s = 8.0
        if phase == "waiting":
            body["legs"] = 100
        assert await w.submit(0, body, None) == 201
        if phase in ("running", "flushing"):
            assert await w.until(lambda: len(running(w, NAME)) == 15, 60)
        if phase == "flushing":
            urgent = job(2, rank="production", vcpus=10.0, gpus=0.0, legs=3, yard="east")
            assert await w.submit(0, {**urgent, "loaners": False}, 3.0) == 201
        if phase == "waiting":
            await trio.sleep(5)
            assert not w.board.running(NAME)
        else:
            assert await w.until(lambda: phase in states(w, NAME), 60, 0.05)
        await w.cancel_job(NAME)
        assert await w.until(lambda: not states(w, NAME) - {"ended"}, 10)
        await w.finish()
        assert await w.until(lambda: w.state.values_with_prefix("r/gang/") == {}, 10)


@pytest.mark.parametrize("late_copy", [False, True])
async def test_one_done_ends_a_gang_across_a_change_of_owner(late_copy):
    """It completes while nobody owns its partition; one machine is cut off, so that its tasks are
    seen by nobody. What the others report, or a late copy of it, ends the job, once."""
    async with world(teams=TEAMS) as w:
        machines = await start_gang(w, gang(1, 24, yard="east"), 12.0)
        assert len(machines) >= 2
        copies: list[dict] = []
        for worker in w.workers():
            if worker.machine in machines[1:]:
                worker.heartbeat_listeners.append(lambda _worker, body: copies.append(body))
        w.crash(0)
        pairs = [(f"node-{at}", machines[0]) for at in range(3)]
        if late_copy:
            pairs = [(f"node-{at}", machine) for at in range(3) for machine in machines]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(w.block_pairs, pairs, 30.0)
            assert await w.until(lambda: not w.board.running(NAME), 30)
            await trio.sleep(4)
            if late_copy:
                for body in [row for row in copies if "done" in str(row)][:2]:
                    for at in (1, 2):
                        nursery.start_soon(w.call, at, "POST", "/hello", body)
            w.start(0)
        await w.finish()
        assert len(attempts(w, NAME)) == 1
        assert keys.job_end_key(NAME) in w.state.values_with_prefix("fin/")


async def test_no_task_begins_in_another_zone_before_the_old_attempt_is_gone():
    """A gang that must stay together loses its zone: the judge watches that nothing of it starts
    elsewhere while a task of the old attempt may be on a machine there."""
    async with world(teams=TEAMS) as w:
        await start_gang(w, gang(1, 16), 50.0)
        zone = {
            w.cloud.machines[m].zone
            for t in w.board.running(NAME)
            for m in w.board.machines_by_task[t]
        }
        at = ("east", "north", "west").index(zone.pop())
        await trio.sleep(5)
        await w.isolate_zone(at, 70.0)
        await w.finish()


async def test_a_gang_that_has_no_room_keeps_nobody_from_room():
    """It needs more machines than can be had; smaller jobs, also lesser ones, go on beside it."""
    async with world(count=1, capacity=2, teams=TEAMS) as w:
        assert await w.submit(0, gang(1, 60, yard="east", rank="high"), 5.0) == 201
        await trio.sleep(15)
        for n in range(2, 8):
            body = job(n, yard="east", rank="best_effort", loaners=False, dueS=None)
            assert await w.submit(0, body, 4.0) == 201
            name = body["id"]
            assert await w.until(lambda name=name: w.board.running(name), 90), name
        assert not w.board.running(NAME)
        await w.cancel_job(NAME)
        await w.finish()


async def test_the_largest_gang_begins_within_four_minutes_behind_a_steady_stream():
    """Small jobs of the same team and rank come all the time and fill what comes free."""
    teams = {**TEAMS, "red": Team("red", 0, 0, 0, 12)}
    async with world(count=1, capacity=2, teams=teams) as w:
        over = trio.Event()

        async def stream() -> None:
            for n in range(100, 500):
                if over.is_set():
                    return
                body = job(n, yard="east", vcpus=8.0, gpus=0.0, loaners=False, dueS=60.0)
                await w.submit(0, body, 9.0)
                await trio.sleep(1.6)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await trio.sleep(40)
            assert await w.submit(0, gang(1, 20, yard="east"), 8.0) == 201
            began = await w.until(lambda: len(running(w, NAME)) == 20, 240)
            over.set()
        assert began
        await w.finish()


async def test_a_job_is_kept_from_room_for_others_for_a_while_only():
    """All machines are reserved, over and over, for a gang that never begins: a job that fits
    there is passed over for less long than users permit."""
    async with world(count=1, capacity=1, teams=TEAMS) as w:
        await keep_machines(w, 50, 1)
        assert await w.submit(0, gang(1, 60, yard="east"), 5.0) == 201
        await trio.sleep(3)
        leader = w.controllers["node-0"].leaders["east"]

        async def reserve() -> None:
            while True:
                until = clock.now() + preemption.RESERVATION_LIFETIME
                leader.reservations.reserve(
                    leader.machines, NAME, until, ReservationReason.PREEMPTION
                )
                await trio.sleep(0.05)

        w.nursery.start_soon(reserve)
        small = job(2, yard="east", vcpus=2.0, gpus=0.0, memoryGb=1.0, loaners=False, dueS=None)
        assert await w.submit(0, small, 5.0) == 201
        await trio.sleep(20)
        assert not w.board.running("run-000002")
        assert await w.until(lambda: w.board.running("run-000002"), 40)
        await w.cancel_job(NAME)
        await w.finish()


async def test_room_kept_for_a_gang_keeps_no_work_of_higher_priority_from_it():
    async with world(count=1, capacity=1, teams=TEAMS) as w:
        await keep_machines(w, 50, 1)
        assert await w.submit(0, gang(1, 60, yard="east"), 5.0) == 201
        await trio.sleep(3)
        leader = w.controllers["node-0"].leaders["east"]
        until = clock.now() + gang_reservations.RESERVATION_LIFETIME
        leader.reservations.reserve(leader.machines, NAME, until, ReservationReason.GANG)
        small = dict(yard="east", vcpus=2.0, gpus=0.0, memoryGb=1.0, loaners=False, dueS=None)
        assert await w.submit(0, job(2, **small), 5.0) == 201
        assert await w.submit(0, job(3, rank="production", **small), 5.0) == 201
        assert await w.until(lambda: w.board.running("run-000003"), 10)
        assert not w.board.running("run-000002")
        await w.cancel_job(NAME)
        await w.finish()
