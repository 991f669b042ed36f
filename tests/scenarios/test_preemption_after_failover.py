"""What a leader that has just begun stops for other work, while it still hears its machines.

Found beside docs/incidents/2026-12-gang-under-an-older-leader.md: the machine that a leader heard
first was the only one that it could clear, whatever was lost there.
"""

import trio

from roadbend.fakes.submission import job
from roadbend.fakes.world import World, world
from roadbend.settings import Team

TEAMS = {"red": Team("red", 0, 0, 100, 100), "blue": Team("blue", 0, 0, 100, 100)}
# One task to a machine, and no machine beside those of the first two jobs.
CPUS = 16.0
TASKS = 2
DEAR, CHEAP, URGENT = "run-000001", "run-000002", "run-000003"
# Saving takes the dear job's tasks longer than a new leader has seen the cheap ones run.
DEAR_TO_STOP = dict(milestoneS=60.0, stowS=30.0)
HEARTBEAT_S = 2.5
# Longer than the other machines take to be heard, and shorter than a new leader waits.
LATE_S = 3.0


def machines_of(w: World, name: str) -> list[str]:
    """Return the machines that run a job."""
    return sorted(
        {machine for task in w.board.running(name) for machine in w.board.machines_by_task[task]}
    )


async def fill_east(w: World) -> None:
    """Let two jobs run on all machines of the east."""
    for number, changes in ((1, DEAR_TO_STOP), (2, {})):
        body = job(number, legs=TASKS, yard="east", vcpus=CPUS, dueS=30.0, loaners=False, **changes)
        assert await w.submit(0, body, 400) == 201
    assert await w.until(
        lambda: all(len(machines_of(w, name)) == TASKS for name in (DEAR, CHEAP)), 60
    )
    await trio.sleep(8)


async def restart_leader_with_urgent_work(w: World, late: list[str], late_s: float) -> None:
    """Restart the east's controller while urgent work waits and some machines hang for a while."""
    w.crash(0)
    urgent = job(3, yard="east", rank="production", vcpus=CPUS, crew="blue", loaners=False)
    w.nursery.start_soon(w.submit, 1, urgent, 60)
    w.nursery.start_soon(w.hang, late, late_s)
    await trio.sleep(0.5)
    w.start(0)
    assert await w.until(lambda: w.leader_of("east") == "node-0", 10, 0.05)


def told_to_stop(w: World) -> set[str]:
    """Return the jobs of which machines were told to stop tasks."""
    return {
        order["leg"].partition("/")[0]
        for worker in w.workers()
        for order in worker.orders
        if order["verb"] == "kill"
    }


async def test_a_new_leader_hears_its_machines_before_it_stops_work_for_other_work():
    """Guards against work that is stopped since its machine was the first to be heard."""
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        await fill_east(w)
        await restart_leader_with_urgent_work(w, machines_of(w, CHEAP), LATE_S)
        assert await w.until(lambda: w.board.running(URGENT), 30)
        assert told_to_stop(w) == {CHEAP}


async def test_a_new_leader_does_not_wait_for_long_for_machines_that_it_does_not_hear():
    """Guards against urgent work that waits for a machine which hangs or is gone."""
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        await fill_east(w)
        await restart_leader_with_urgent_work(w, machines_of(w, CHEAP), 300)
        assert await w.until(lambda: told_to_stop(w) == {DEAR}, 2 * HEARTBEAT_S, 0.05)
