"""Cases in which a job is left waiting although its team's limit and the machines have room.

Another team's service keeps machines of one zone up, each with room for one task of the job. A
class of services of the job's own team comes three times as often for a moment, as in the site's
days: three services instead of one. Then the job is submitted.
"""

from typing import Any

import trio
from deployment import BROKEN, COULD_NOT_RUN, HELD, Deployment, Limits, has_trouble

from roadbend.fakes.submission import job
from roadbend.settings import Team

# Of the page: no job is left waiting for so long while a machine that fits has room and its team is
# under its limit.
LEFT_WAITING_S = 90.0
TEAM_LIMIT = 12.0
LIMITS = Limits(gpus=TEAM_LIMIT, machines=16)
OTHER_TEAM = Team("blue", 0, 0, 12.0, 24.0)
ZONE = "east"
MACHINES_WITH_ROOM = 11
OTHER_SERVICE = "run-000100"
# What a task takes, and what a machine has: CPUs, GPUs and GB of memory.
AMOUNTS = ("vcpus", "gpus", "memoryGb")
TASK = {"vcpus": 8.0, "gpus": 1.0, "memoryGb": 43.0}
MACHINE = {"vcpus": 24.0, "gpus": 2.0, "memoryGb": 144.0}


def service(number: int, zone: str, **changes: Any) -> dict[str, Any]:
    """Return the submission of a service of one task."""
    body = {**TASK, "lane": "slotmatch", "yard": zone, **changes}
    return job(
        number,
        shape="daemon",
        rank="production",
        loaners=False,
        expectedS=0.0,
        dueS=None,
        **body,
    )


def other_teams_service() -> dict[str, Any]:
    """Return the submission of the service of the other team: one task a machine."""
    return service(
        100, ZONE, crew="blue", lane="screens", legs=MACHINES_WITH_ROOM, vcpus=13.0, memoryGb=70.0
    )


def room(deployment: Deployment) -> int:
    """Return how many more tasks fit on the zone's machines that are up."""
    count = 0
    for worker in deployment.fakes.workers():
        if worker.zone == ZONE:
            free = dict(MACHINE)
            for task in worker.tasks.values():
                body = deployment.fakes.board.body(task.job)
                for amount in AMOUNTS:
                    free[amount] -= body[amount]
            count += int(min(free[amount] / TASK[amount] for amount in AMOUNTS))
    return count


def team_gpus(deployment: Deployment) -> float:
    """Return the GPUs that the team's tasks take on machines."""
    return sum(
        body["gpus"]
        for worker in deployment.fakes.workers()
        for task in worker.tasks.values()
        if (body := deployment.fakes.board.body(task.job))["crew"] == "red"
    )


async def prepare(deployment: Deployment, burst_zones: tuple[str, str]) -> bool:
    """Start the services; return whether they run. Those of `burst_zones` are the disruption."""
    zones = (ZONE, *burst_zones) if has_trouble() else (ZONE,)
    services = [service(101 + number, zone) for number, zone in enumerate(zones)]
    if not await deployment.submit(other_teams_service(), None):
        return False
    if not await deployment.wait_until_running(OTHER_SERVICE, MACHINES_WITH_ROOM):
        return False
    for body in services:
        if not await deployment.submit(body, None):
            return False
    for body in services:
        if not await deployment.wait_until_running(body["id"], 1):
            return False
    deployment.record.add(f"{len(services)} services of the team run, and no more come")
    return True


async def watch(deployment: Deployment, body: dict[str, Any], needed_at_once: int) -> int:
    """Submit a job and watch whether it is left waiting for too long.

    `needed_at_once`: how many of its tasks have to start together.
    """
    if not await deployment.submit(body, 10.0):
        return COULD_NOT_RUN
    name, waits_since = body["id"], trio.current_time()
    while (waited := trio.current_time() - waits_since) <= LEFT_WAITING_S:
        running = len(deployment.fakes.board.running(name))
        fitting, used = room(deployment), team_gpus(deployment)
        deployment.record.add(
            f"{name}: {running} tasks on machines, waits for {waited:.1f} s; room for {fitting} "
            f"more tasks on machines in {ZONE}; the team uses {used:g} of {TEAM_LIMIT:g} GPUs"
        )
        if running:
            deployment.record.add(f"{name} was started")
            return HELD
        if fitting < needed_at_once or used + needed_at_once * TASK["gpus"] > TEAM_LIMIT:
            # It is excused now, and the time counts anew.
            waits_since = trio.current_time()
        await deployment.query(name)
        await trio.sleep(2)
    deployment.record.add(f"broken: {name} was left waiting for more than {LEFT_WAITING_S:g} s")
    return BROKEN
