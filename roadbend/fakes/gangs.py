"""Shared parts of scenario tests of gangs: teams, small records, and starting a gang."""

from http import HTTPStatus
from typing import Any

from roadbend.fakes.world import World
from roadbend.settings import Team

# The id of the first job that a scenario submits.
NAME = "run-000001"
TEAMS = {"red": Team("red", 0, 0, 4, 24), "blue": Team("blue", 0, 0, 4, 30)}
# Limits so small that a large gang needs several records and transactions.
SMALL = dict(value_bytes=2048, txn_ops=4, state_write_rps=25.0)


def running(w: World, name: str) -> list[str]:
    """Return the tasks of a job that run, without those that still wait for the others."""
    return [
        t.name
        for worker in w.workers()
        for t in worker.tasks.values()
        if t.state == "running" and t.name.startswith(name + "/")
    ]


def attempts(w: World, name: str) -> set[int]:
    """Return the numbers of all attempts of a gang so far."""
    return {a for j, a in w.board.gangs if j == name}


async def start_gang(
    w: World, body: dict[str, Any], length: float | None, at: int = 0, within: float = 60
) -> list[str]:
    """Submit a gang, wait until all its tasks run, and return its machines.

    `length`: how long its tasks run, in seconds. `within`: how long it may take to start, in
    seconds.
    """
    assert await w.submit(at, body, length) == HTTPStatus.CREATED
    assert await w.until(lambda: len(running(w, body["id"])) == body["legs"], within)
    return sorted({m for t in w.board.running(body["id"]) for m in w.board.machines_by_task[t]})
