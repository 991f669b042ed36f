"""What scenario tests of gangs share: teams, small records, and how a gang begins."""

from http import HTTPStatus
from typing import Any

from roadbend.fakes.world import World
from roadbend.settings import Team

# The first job that a scenario submits.
NAME = "run-000001"
TEAMS = {"red": Team("red", 0, 0, 4, 24), "blue": Team("blue", 0, 0, 4, 30)}
# Records and transactions so small that a wide gang needs several.
SMALL = dict(value_bytes=2048, txn_ops=4, state_write_rps=25.0)


def running(w: World, name: str) -> list[str]:
    """Return the tasks of a job that really run, not those that wait for each other."""
    return [
        t.name
        for worker in w.workers()
        for t in worker.tasks.values()
        if t.state == "running" and t.name.startswith(name + "/")
    ]


def attempts(w: World, name: str) -> set[int]:
    """Return the numbers of a gang's attempts, those before its present one included."""
    return {a for j, a in w.board.gangs if j == name}


async def start_gang(
    w: World, body: dict[str, Any], length: float | None, at: int = 0, within: float = 60
) -> list[str]:
    """Submit a gang, wait until all of it runs, and return its machines.

    `length`: how long its tasks run, in seconds. `within`: how long it may take to begin, in
    seconds.
    """
    assert await w.submit(at, body, length) == HTTPStatus.CREATED
    assert await w.until(lambda: len(running(w, body["id"])) == body["legs"], within)
    return sorted({m for t in w.board.running(body["id"]) for m in w.board.machines_by_task[t]})
