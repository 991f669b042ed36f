"""A small deployment with jobs of every class, for scenarios of combined faults."""

import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import trio

from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.settings import OperatorSettings, ServiceLevelObjective, Team

S = timedelta(seconds=1)
SITES: dict[str, dict[str, Any]] = {
    "visa": dict(heartbeat_interval=2.5 * S, lease=18 * S, cancel_within=38 * S),
    "pet": dict(
        heartbeat_interval=3 * S,
        lease=18 * S,
        cancel_within=48 * S,
        state_rps=80.0,
        state_write_rps=25.0,
        value_bytes=4096,
        txn_ops=8,
    ),
}
TEAMS = {"red": Team("red", 0, 0, 4, 24), "blue": Team("blue", 0, 0, 4, 30)}
SERVICE = dict(shape="daemon", dueS=None, loaners=False)
# Services are to start soon, so their orders are also sent as direct commands.
OBJECTIVES = (ServiceLevelObjective("wait", "plans", 0.9, 5 * S),)
OPERATOR = OperatorSettings(reoffer_every=2 * S)

# The number of tasks of each long-running job.
LONG_JOB_TASKS = 2
CREATED = HTTPStatus.CREATED


def job_id(number: int) -> str:
    """Return the id of a job by its number."""
    return f"run-{number:06d}"


class Scenario:
    """A small deployment with jobs in every zone.

    Jobs 1 and 2 are services, the second with `apart`. Jobs 10 to 17 are long-running arrays and
    gangs. Short jobs have numbers from 20 on.
    """

    def __init__(self, w: World, rng: random.Random, site: str) -> None:
        self.w, self.rng, self.site = w, rng, SITES[site]
        self.cancel_s = self.site["cancel_within"].total_seconds()
        self.lease_s = self.site["lease"].total_seconds()
        self.long_jobs = [job_id(n) for n in (10, 11, 16, 12, 17, 13, 14, 15)]

    async def begin(self) -> None:
        """Submit the services and long jobs, wait until these run, and submit short jobs."""
        w = self.w
        assert await w.submit(0, job(1, yard="east", legs=2, **SERVICE), None) == CREATED
        assert (
            await w.submit(1, job(2, legs=4, apart=True, rank="high", **SERVICE), None) == CREATED
        )
        zones = ("east", "east", "east", "north", None, None)
        for n, zone in zip(range(10, 16), zones, strict=True):
            body = job(
                n,
                legs=LONG_JOB_TASKS,
                yard=zone,
                crew="blue",
                together=n % 2 == 0,
                dueS=30.0,
                loaners=n % 3 == 0,
            )
            assert await w.submit(n % 3, body, self.rng.uniform(70, 110)) == CREATED
        for n, zone in ((16, "east"), (17, None)):
            assert (
                await w.submit(n % 3, gang(n, LONG_JOB_TASKS, yard=zone), self.rng.uniform(70, 110))
                == CREATED
            )
        assert await w.until(
            lambda: all(len(w.board.running(n)) == LONG_JOB_TASKS for n in self.long_jobs), 90
        ), "all runs"
        for n in range(20, 24):
            await self.submit_more(n)

    async def submit_more(self, number: int, **changes: Any) -> None:
        """Submit a short array, or a gang if `number` is divisible by three.

        It is submitted to one controller after the other until it is accepted.
        """
        make_body = gang if number % 3 == 0 else job
        body = make_body(number, **{"legs": self.rng.randint(1, 3), "dueS": 40.0, **changes})
        for index in self.rng.sample(range(3), 3):
            if await self.w.submit(index, body, self.rng.uniform(4, 20)) in (200, 201):
                return

    async def submit_small_job(self, number: int) -> None:
        """Submit a small job of one task, repeatedly for a minute, as users do."""
        body = job(number, vcpus=0.5, gpus=0.0, memoryGb=1.0, dueS=None, expectedS=2.0)
        end, length = trio.current_time() + 60, self.rng.uniform(0.5, 4)
        while trio.current_time() < end:
            if await self.w.submit(self.rng.randrange(3), body, length) in (200, 201):
                return
            await trio.sleep(1)

    def east_machines(self) -> list[str]:
        """Return the running machines in the east."""
        return sorted(
            m.id
            for m in self.w.cloud.machines.values()
            if m.zone == "east" and m.status == "running"
        )

    def sample_east_machines(self) -> list[str]:
        """Draw half of the running machines in the east."""
        machines = self.east_machines()
        return self.rng.sample(machines, max(1, len(machines) // 2))

    async def wait(self, low: float, high: float) -> None:
        """Wait for a random time within these bounds, in seconds."""
        await trio.sleep(self.rng.uniform(low, high))

    async def cancel(self, job_ids: list[str], low: float = 0.0, high: float = 0.0) -> None:
        """Cancel jobs at controllers in any order, each after a random delay.

        Each request is repeated until it is answered.
        """
        async with trio.open_nursery() as nursery:
            for cancelled in job_ids:
                nursery.start_soon(self._cancel, cancelled, self.rng.uniform(low, high))

    async def _cancel(self, cancelled: str, delay: float) -> None:
        await trio.sleep(delay)
        observed = self.w.rules.jobs.get(cancelled)
        if observed is not None and observed.accepted_at is not None:
            await self.w.cancel_job(cancelled, 240)

    async def cancel_around_outage(self, delay: float) -> None:
        """Cancel jobs before an outage of the state store that is longer than `cancel_within`.

        The state store first refuses only the leader of the east while others confirm the
        cancellations. Then it is down, while workers still send heartbeats to the old leader.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.w.refuse, 0, delay + 10)
            nursery.start_soon(self.cancel, self.long_jobs[:4], 0.0, delay)
            await trio.sleep(delay)
            nursery.start_soon(self.w.outage, self.cancel_s + self.rng.uniform(4, 14))


async def play(
    combined_faults: Callable[[Scenario], Awaitable[None]], seed: int, site: str
) -> None:
    """Run combined faults on a deployment with jobs, until all jobs are settled."""
    rng = random.Random(f"{combined_faults.__name__} {seed}")
    async with world(
        capacity=10, operator=OPERATOR, teams=TEAMS, objectives=OBJECTIVES, **SITES[site]
    ) as w:
        scenario = Scenario(w, rng, site)
        await scenario.begin()
        await combined_faults(scenario)
        assert await w.until_ready()
        await w.finish()
