"""What a new leader preempts before it has received heartbeats from all its machines.

Found while investigating docs/incidents/2026-12-gang-under-an-older-leader.md: a leader could
preempt tasks only on the first machine that sent a heartbeat, however costly that was.
"""

import trio

from roadbend.fakes.submission import job
from roadbend.fakes.world import World, world
from roadbend.settings import Team

TEAMS = {"red": Team("red", 0, 0, 100, 100), "blue": Team("blue", 0, 0, 100, 100)}
# One task per machine, and no machines but those of the first two jobs.
CPUS = 16.0
TASKS = 2
COSTLY_JOB, CHEAP_JOB, URGENT_JOB = "run-000001", "run-000002", "run-000003"
# The costly job's tasks take longer to save than a new leader has observed the cheap ones run.
COSTLY_TO_PREEMPT = dict(milestoneS=60.0, stowS=30.0)
HEARTBEAT_S = 2.5
# Longer than the other machines take to send a heartbeat, and shorter than a new leader waits.
HANG_S = 3.0


def machines_of(w: World, name: str) -> list[str]:
    """Return the machines that run a job."""
    return sorted(
        {machine for task in w.board.running(name) for machine in w.board.machines_by_task[task]}
    )


async def fill_east(w: World) -> None:
    """Run two jobs on all machines of the east."""
    for number, changes in ((1, COSTLY_TO_PREEMPT), (2, {})):
        body = job(number, legs=TASKS, yard="east", vcpus=CPUS, dueS=30.0, loaners=False, **changes)
        assert await w.submit(0, body, 400) == 201
    assert await w.until(
        lambda: all(len(machines_of(w, name)) == TASKS for name in (COSTLY_JOB, CHEAP_JOB)), 60
    )
    await trio.sleep(8)


async def restart_leader_with_urgent_work(w: World, hung: list[str], hang_s: float) -> None:
    """Restart the east's controller while an urgent job is pending and some machines hang."""
    w.crash(0)
    urgent = job(3, yard="east", rank="production", vcpus=CPUS, crew="blue", loaners=False)
    w.nursery.start_soon(w.submit, 1, urgent, 60)
    w.nursery.start_soon(w.hang, hung, hang_s)
    await trio.sleep(0.5)
    w.start(0)
    assert await w.until(lambda: w.leader_of("east") == "node-0", 10, 0.05)


def jobs_ordered_to_stop(w: World) -> set[str]:
    """Return the jobs whose tasks machines were ordered to stop."""
    return {
        order["leg"].partition("/")[0]
        for worker in w.workers()
        for order in worker.orders
        if order["verb"] == "kill"
    }


async def test_a_new_leader_hears_its_machines_before_it_stops_work_for_other_work():
    """Guards against a task that is preempted because its machine sent the first heartbeat."""
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        await fill_east(w)
        await restart_leader_with_urgent_work(w, machines_of(w, CHEAP_JOB), HANG_S)
        assert await w.until(lambda: w.board.running(URGENT_JOB), 30)
        assert jobs_ordered_to_stop(w) == {CHEAP_JOB}


async def test_a_new_leader_does_not_wait_for_long_for_machines_that_it_does_not_hear():
    """Guards against an urgent job that waits for a machine which hangs or has failed."""
    async with world(teams=TEAMS, capacity=2 * TASKS) as w:
        await fill_east(w)
        await restart_leader_with_urgent_work(w, machines_of(w, CHEAP_JOB), 300)
        assert await w.until(lambda: jobs_ordered_to_stop(w) == {COSTLY_JOB}, 2 * HEARTBEAT_S, 0.05)
