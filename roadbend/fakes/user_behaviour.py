"""Unusual behaviour of users.

There are cancellations at the worst time, repeated and malformed requests, and queries to all
controllers at once.
"""

from __future__ import annotations

import random
from enum import IntEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import trio

from roadbend.checkers.observed_jobs import REQUIRED_FIELDS, ObservedJob
from roadbend.checkers.protocol_rules import Rules
from roadbend.fakes.submission import job

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from roadbend.fakes.board import Board

# Pauses before the queries that follow a job's acceptance, end or cancellation, in seconds.
QUERY_PAUSES_S = (0.0, 0.002, 0.01, 0.05, 0.3)
# A user reacts to one in so many changes with a repeated submission, and to one in so many with a
# cancellation.
REPEAT_ONE_IN, CANCEL_ONE_IN = 3, 6


class RequestKind(IntEnum):
    """What an unusual request is."""

    REPEATED = 0
    MALFORMED = 1
    LATE_CANCELLATION = 2
    INCOMPLETE = 3
    UNFIT = 4


class UserBehaviour:
    """A mixin of `World` with the behaviour of users."""

    rules: Rules
    board: Board
    nursery: trio.Nursery
    count: int
    call: Callable[..., Awaitable[tuple[int, Any]]]
    until: Callable[..., Awaitable[bool]]
    hang: Callable[..., Awaitable[None]]

    async def cancel_now(self, job_ids: list[str], hang_s: float = 0.0) -> None:
        """Cancel running jobs, all within a fifth of a second.

        With `hang_s`, up to eight of their machines hang for that time, in seconds.
        """
        machines = sorted(
            {
                m
                for job_id in job_ids
                for t in self.board.running(job_id)
                for m in self.board.machines_by_task[t]
            }
        )[:8]
        async with trio.open_nursery() as nursery:
            if hang_s:
                nursery.start_soon(self.hang, machines, hang_s)
            for position, job_id in enumerate(job_ids):
                nursery.start_soon(self._cancel_after, job_id, 0.2 * position / len(job_ids))

    async def _cancel_after(self, job_id: str, delay: float) -> None:
        await trio.sleep(delay)
        await self.cancel_job(job_id, 240)

    async def cancel_job(self, job_id: str, within: float = 60) -> None:
        """Request a cancellation at one controller after the other until it is confirmed."""

        async def is_confirmed() -> bool:
            for index in range(self.count):
                if (await self.call(index, "POST", f"/v1/jobs/{job_id}/withdraw", {}))[
                    0
                ] == HTTPStatus.OK:
                    return True
            return False

        assert await self.until(is_confirmed, within, 1.0), job_id

    async def cancel_at_end(self, job_ids: list[str]) -> None:
        """Cancel, query and resubmit each job at the moment at which its last task ends."""

        def completed(task: str) -> None:
            job_id = task.rpartition("/")[0]
            observed = self.rules.jobs[job_id]
            if job_id in job_ids and len(observed.completed) >= observed.body["legs"]:
                for index in range(self.count):
                    for method, path, body in (
                        ("POST", f"/v1/jobs/{job_id}/withdraw", {}),
                        ("GET", f"/v1/jobs/{job_id}", None),
                        ("POST", "/v1/jobs", observed.body),
                    ):
                        self.nursery.start_soon(self.call, index, method, path, body)
                job_ids.remove(job_id)

        def cancelled(job_id: str) -> bool:
            return job_id in self.rules.jobs and self.rules.jobs[job_id].cancelled_at is not None

        self.board.completion_listeners.append(completed)
        # A job that is cancelled by another user never completes.
        await self.until(lambda: all(cancelled(job_id) for job_id in job_ids), float("inf"), 0.5)

    async def send_malformed_requests(self, length: float, rng: random.Random) -> None:
        """Send unusual and malformed requests.

        They repeat submissions of unfinished jobs, correct or malformed, cancel jobs that are done,
        and submit jobs that fit no machine or lack a field.
        """
        number, end = 900_000, trio.current_time() + length
        while trio.current_time() < end:
            number, index = number + 1, rng.randrange(self.count)
            accepted = [
                known for known in self.rules.jobs.values() if known.accepted_at is not None
            ]
            old = rng.choice(accepted) if accepted else None
            kind = RequestKind(rng.randrange(len(RequestKind)))
            if kind == RequestKind.REPEATED and old is not None:
                await self.call(index, "POST", "/v1/jobs", old.body)
            elif kind == RequestKind.MALFORMED and old is not None:
                malformed = {
                    k: v for k, v in old.body.items() if k != rng.choice(REQUIRED_FIELDS[1:])
                }
                await self.call(
                    index, "POST", "/v1/jobs", {**malformed, "vcpus": rng.choice((-1, 99.0, "x"))}
                )
            elif (
                kind == RequestKind.LATE_CANCELLATION
                and old is not None
                and old.done_at is not None
            ):
                await self.call(index, "POST", f"/v1/jobs/{old.id}/withdraw", {})
            elif kind == RequestKind.INCOMPLETE:
                incomplete = job(number)
                del incomplete[rng.choice(REQUIRED_FIELDS[1:])]
                await self.call(index, "POST", "/v1/jobs", incomplete)
            else:
                unfit = rng.choice(
                    ({"vcpus": 25.0}, {"rigs": ["none"]}, {"crew": "nobody"}, {"yard": "moon"})
                )
                await self.call(index, "POST", "/v1/jobs", job(number, **unfit))
            await trio.sleep(rng.uniform(0.1, 1.0))

    async def poll_on_changes(self, length: float, rng: random.Random) -> None:
        """Query every controller within milliseconds after a job was accepted, ended or cancelled.

        Some users also repeat the submission, and some cancel a job that was just accepted.
        """

        def on_change(changed: ObservedJob) -> None:
            for index in range(self.count):
                self.nursery.start_soon(self._poll_job, index, changed.id)
                if rng.randrange(REPEAT_ONE_IN) == 0:
                    self.nursery.start_soon(self.call, index, "POST", "/v1/jobs", changed.body)
            if not changed.has_ended and rng.randrange(CANCEL_ONE_IN) == 0:
                index = rng.randrange(self.count)
                path = f"/v1/jobs/{changed.id}/withdraw"
                self.nursery.start_soon(self.call, index, "POST", path, {})

        self.rules.listeners.append(on_change)
        await trio.sleep(length)
        self.rules.listeners.remove(on_change)

    async def _poll_job(self, index: int, job_id: str) -> None:
        for pause in QUERY_PAUSES_S:
            await trio.sleep(pause)
            await self.call(index, "GET", f"/v1/jobs/{job_id}")
