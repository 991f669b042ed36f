"""Case 5: three jobs with a mistake take every machine that runs a service out of use."""

from http import HTTPStatus
from pathlib import Path

import trio
from stand_ins import (
    BROKEN,
    HELD,
    NOT_RUN,
    TEAMS,
    ZONES,
    Deployment,
    Record,
    Site,
    deployment,
    is_trouble,
    job_body,
    run_case,
)

from roadbend.fakes.board import WorkerTask

# Machines of the only kind that the jobs allow, in each zone.
MACHINES = 2
# The services, one on each machine; the jobs with the mistake; and the job that is submitted last.
SERVICES, MISTAKEN, LAST = range(1, 7), range(11, 14), 21
# The last job's tasks take a GPU each: all of them are within the 4 that its team is guaranteed.
LAST_LEGS = 4
# How long a task with the mistake runs before it fails, and a sound one before it completes.
FAILS_AFTER_S, RUNS_S = 0.5, 3.0
# How long the mistaken jobs may go on before their user cancels them, and how long the last job is
# watched.
MISTAKEN_S, WATCH_S = 35.0, 55.0
POLL_S, WITHDRAW_TRIES = 5.0, 8


def service(number: int) -> dict[str, object]:
    """Build the submission of a service that leaves room for one task of the others beside it."""
    return job_body(
        number,
        lane="slotmatch",
        shape="daemon",
        rank="production",
        yard=ZONES[number % len(ZONES)],
        vcpus=8.0,
        memoryGb=80.0,
        expectedS=0.0,
    )


async def play(record: Record) -> int:
    """Fill the machines with services, let three jobs fail, and submit a sound job afterwards."""
    async with deployment(Site(machines=MACHINES), record) as site:
        if not await site.wait_up():
            return NOT_RUN
        for number in SERVICES:
            if not await site.submit(service(number), None):
                return NOT_RUN
        names = [f"run-{number:06}" for number in SERVICES]
        if not await site.until(lambda: all(site.board.running(name) for name in names), 30):
            return NOT_RUN
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_fail_mistaken, site)
            result = await _run_last(site) if await _play_mistaken(site) else NOT_RUN
            nursery.cancel_scope.cancel()
        for line in site.log_lines("machine-quarantined", "Traceback"):
            record.add(line)
        return result


async def _fail_mistaken(site: Deployment) -> None:
    """Let each task of the mistaken jobs fail soon after it has begun, on whichever machine."""
    if not is_trouble():
        return
    mistaken = {f"run-{number:06}" for number in MISTAKEN}
    while True:
        await trio.sleep(0.1)
        for name, worker in site.workers().items():
            for task in list(worker.tasks.values()):
                if task.job in mistaken and _runs_for(task) >= FAILS_AFTER_S:
                    worker.end(task, "error")
                    site.record.add(f"{task.name} failed on {name}")


def _runs_for(task: WorkerTask) -> float:
    if task.ended or task.state != "running" or task.began is None:
        return 0.0
    return trio.current_time() - task.began


async def _play_mistaken(site: Deployment) -> bool:
    """Submit the three jobs, and withdraw them after a while; return whether all were answered."""
    for number in MISTAKEN:
        body = job_body(number, crew=TEAMS[2].name, legs=6, imageGb=0.5)
        if not await site.submit(body, RUNS_S):
            return False
    await trio.sleep(MISTAKEN_S)
    for number in MISTAKEN:
        if not await _withdraw(site, f"run-{number:06}"):
            return False
    return True


async def _withdraw(site: Deployment, job: str) -> bool:
    """Withdraw a job as its user repeats it; return whether that was answered."""
    for attempt in range(WITHDRAW_TRIES):
        path = f"/v1/jobs/{job}/withdraw"
        if (await site.call(attempt % 3, "POST", path, {}))[0] == HTTPStatus.OK:
            return True
        await trio.sleep(1)
    return False


async def _run_last(site: Deployment) -> int:
    """Submit a sound job and watch whether any of its tasks starts beside the services."""
    body = job_body(LAST, crew=TEAMS[1].name, legs=LAST_LEGS)
    if not await site.submit(body, RUNS_S):
        return NOT_RUN
    has_room = True
    end = trio.current_time() + WATCH_S
    while trio.current_time() < end:
        await trio.sleep(POLL_S)
        await site.call(0, "GET", f"/v1/jobs/{body['id']}")
        started = {task for _, task, _ in site.board.starts if task.startswith(body["id"])}
        running = {
            name: [task.name for task in worker.tasks.values() if not task.ended]
            for name, worker in site.workers().items()
        }
        # Each machine runs its service and nothing else, so that there is room on all of them.
        has_room = has_room and [len(tasks) for tasks in running.values()] == [1] * len(SERVICES)
        machines = ", ".join(f"{name}: {tasks}" for name, tasks in running.items())
        site.record.add(f"{len(started)} of its {LAST_LEGS} tasks have started; {machines}")
        if started:
            return HELD
    return BROKEN if has_room else NOT_RUN


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
