"""What users do to a deployment in memory beyond plain submitting and asking: cancelling at the
worst moment, repeating, sending nonsense, asking everywhere at once.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from roadbend.checkers.observed_jobs import REQUIRED_FIELDS, ObservedJob
from roadbend.checkers.protocol_rules import Rules
from roadbend.fakes.submission import job

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from roadbend.fakes.board import Board

# After a job was accepted, ended or cancelled, users ask at these times, in seconds.
LOOK_TIMES = (0.0, 0.002, 0.01, 0.05, 0.3)
# One close look in so many repeats the submission, and one in so many cancels the job.
REPEAT_ONE_IN, CANCEL_ONE_IN = 3, 6


class UserBehaviour:
    """A mixin of `World`."""

    rules: Rules
    board: Board
    nursery: trio.Nursery
    count: int
    call: Callable[..., Awaitable[tuple]]
    until: Callable[..., Awaitable[bool]]
    hang: Callable[..., Awaitable[None]]

    async def cancel_now(self, names: list[str], hang_s: float = 0.0) -> None:
        """Users call off jobs that run, within a fifth of a second; with `hang_s`, up to eight of
        their machines hang that long.
        """
        homes = sorted(
            {
                m
                for name in names
                for t in self.board.running(name)
                for m in self.board.machines_by_task[t]
            }
        )[:8]
        async with trio.open_nursery() as nursery:
            if hang_s:
                nursery.start_soon(self.hang, homes, hang_s)
            for at, name in enumerate(names):
                nursery.start_soon(self._cancel_after, name, 0.2 * at / len(names))

    async def _cancel_after(self, name: str, wait: float) -> None:
        await trio.sleep(wait)
        await self.cancel_job(name, 240)

    async def cancel_job(self, name: str, within: float = 60) -> None:
        """A user repeats it until it is answered, here and there."""

        async def told() -> bool:
            for at in range(self.count):
                if (await self.call(at, "POST", f"/v1/jobs/{name}/withdraw", {}))[0] == 200:
                    return True
            return False

        assert await self.until(told, within, 1.0), name

    async def cancel_at_end(self, names: list[str]) -> None:
        """Jobs are called off, asked after and submitted again at the moment at which their last
        task ends.
        """

        def completed(task: str) -> None:
            name = task.rpartition("/")[0]
            case = self.rules.jobs.get(name)
            if name in names and len(case.completed) >= case.body["legs"]:
                for at in range(self.count):
                    for method, path, body in (
                        ("POST", f"/v1/jobs/{name}/withdraw", {}),
                        ("GET", f"/v1/jobs/{name}", None),
                        ("POST", "/v1/jobs", case.body),
                    ):
                        self.nursery.start_soon(self.call, at, method, path, body)
                names.remove(name)

        def cancelled(name: str) -> bool:
            return name in self.rules.jobs and self.rules.jobs[name].cancelled_at is not None

        self.board.completion_listeners.append(completed)
        # One that somebody else cancels never completes.
        await self.until(lambda: all(cancelled(name) for name in names), float("inf"), 0.5)

    async def send_malformed_requests(self, length: float, rng: random.Random) -> None:
        """Users repeat submissions of unfinished jobs, also spoilt ones, cancel jobs that are done,
        and send jobs that fit no machine or lack a field.
        """
        number, end = 900_000, trio.current_time() + length
        while trio.current_time() < end:
            number, at = number + 1, rng.randrange(self.count)
            cases = [case for case in self.rules.jobs.values() if case.accepted_at is not None]
            old = rng.choice(cases) if cases else None
            kind = rng.randrange(5)
            if kind == 0 and old is not None:
                await self.call(at, "POST", "/v1/jobs", old.body)
            elif kind == 1 and old is not None:
                spoilt = {k: v for k, v in old.body.items() if k != rng.choice(REQUIRED_FIELDS[1:])}
                await self.call(
                    at, "POST", "/v1/jobs", {**spoilt, "vcpus": rng.choice((-1, 99.0, "x"))}
                )
            elif kind == 2 and old is not None and old.done_at is not None:
                await self.call(at, "POST", f"/v1/jobs/{old.name}/withdraw", {})
            elif kind == 3:
                lacking = job(number)
                del lacking[rng.choice(REQUIRED_FIELDS[1:])]
                await self.call(at, "POST", "/v1/jobs", lacking)
            else:
                odd = rng.choice(
                    ({"vcpus": 25.0}, {"rigs": ["none"]}, {"crew": "nobody"}, {"yard": "moon"})
                )
                await self.call(at, "POST", "/v1/jobs", job(number, **odd))
            await trio.sleep(rng.uniform(0.1, 1.0))

    async def poll_on_changes(self, length: float, rng: random.Random) -> None:
        """Users ask every controller within milliseconds after a job was accepted, ended or
        cancelled; some repeat the submission, and some cancel a job that was just accepted.
        """

        def news(case: ObservedJob) -> None:
            for at in range(self.count):
                self.nursery.start_soon(self._look_closely, at, case.name)
                if rng.randrange(REPEAT_ONE_IN) == 0:
                    self.nursery.start_soon(self.call, at, "POST", "/v1/jobs", case.body)
            if not case.has_ended and rng.randrange(CANCEL_ONE_IN) == 0:
                at = rng.randrange(self.count)
                path = f"/v1/jobs/{case.name}/withdraw"
                self.nursery.start_soon(self.call, at, "POST", path, {})

        self.rules.watchers.append(news)
        await trio.sleep(length)
        self.rules.watchers.remove(news)

    async def _look_closely(self, at: int, name: str) -> None:
        for pause in LOOK_TIMES:
            await trio.sleep(pause)
            await self.call(at, "GET", f"/v1/jobs/{name}")
