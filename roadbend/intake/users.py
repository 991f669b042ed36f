"""Answering users. What can't be answered now is refused at once, with the time to come back."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.http.client import NoAnswerError
from roadbend.http.server import MalformedError, Request, Response, decode
from roadbend.intake import messages
from roadbend.intake.limit import AdaptiveLimit
from roadbend.intake.messages import (
    STATUS_ABORTED,
    STATUS_DONE,
    STATUS_PENDING,
    STATUS_RUNNING,
    NeverRunsError,
)
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.store import keys, ranges, records
from roadbend.store.client import ConflictError, RefusedError, UnavailableError, commit, delete, put
from roadbend.store.records import Job

log = Log("intake")
MAX_ENDS = 20_000
# How much of a value a job's record may take before any of its tasks is held by a partition.
LARGEST = 0.7
SUBMIT_SHARE, POLL_SHARE = 0.7, 1.0
# Reads of the records come several times a second; so long without one is trouble.
STALE = timedelta(seconds=1.6)


class FinalStateCache:
    """Final states, which never change: a bounded cache before the state service."""

    def __init__(self, most: int = MAX_ENDS):
        self._most = most
        self._rows: OrderedDict[str, tuple[str, int]] = OrderedDict()

    def get(self, job: str) -> tuple[str, int] | None:
        return self._rows.get(job)

    def put(self, job: str, status: str, done: int) -> None:
        self._rows[job] = (status, done)
        while len(self._rows) > self._most:
            self._rows.popitem(last=False)


def wait_header(seconds: int) -> tuple[tuple[str, str], ...]:
    return (("retry-after", str(seconds)),)


class JobApi:
    """The users' interface: submit, query, cancel."""

    def __init__(
        self,
        context: ControllerContext,
        submit: Callable[[str], None],
        told: Callable[[str], None],
        propagate_cancellations: Callable[[], Awaitable[None]],
        state_refuses_only_us: Callable[[datetime], bool],
        limit: AdaptiveLimit,
    ):
        self._context, self._submit, self._told, self._state_refuses_only_us = (
            context,
            submit,
            told,
            state_refuses_only_us,
        )
        self._propagate_cancellations = propagate_cancellations
        self.limit = limit
        self.ends = FinalStateCache()

    async def handle(self, request: Request) -> Response:
        path, method = request.path, request.method
        if path == "/v1/jobs":
            if method != "POST":
                return Response(405, {"error": "POST"}, (("allow", "POST"),))
            return await self._limited(SUBMIT_SHARE, self._post, request)
        rest = path.removeprefix("/v1/jobs/")
        name, slash, verb = rest.partition("/")
        if slash and verb == "withdraw":
            if method != "POST":
                return Response(405, {"error": "POST"}, (("allow", "POST"),))
            return await self._limited(POLL_SHARE, self._withdraw, name, measured=False)
        if slash or not name:
            return Response(404, {"error": "no such path"})
        if method != "GET":
            return Response(405, {"error": "GET"}, (("allow", "GET"),))
        return await self._limited(POLL_SHARE, self._query, name)

    async def _limited(self, share: float, call, argument, measured: bool = True) -> Response:
        """`measured`: how long it took says how busy we are. A withdrawal also waits for peers."""
        if not self.limit.enter(share):
            return Response(429, {"error": "busy"}, wait_header(2))
        began, took = clock.now(), None
        try:
            response = await call(argument)
            if measured and response.status in (200, 201):
                took = clock.now() - began
            return response
        except (RefusedError, NoAnswerError, UnavailableError):
            return self._later("no state")
        finally:
            self.limit.leave(took)

    def _known(self, job: Job) -> tuple[str, int, int]:
        """Status, done and running of a live job, for display."""
        running = done = 0
        for partition, rows in self._context.view.job_slices.items():
            piece = rows.get(job.id)
            if piece is not None:
                running += len(piece.attempts)
                done += (
                    ranges.size(ranges.minus(piece.done, job.done))
                    if partition in job.allocation
                    else 0
                )
        done += ranges.size(job.done)
        return (STATUS_RUNNING if running else STATUS_PENDING), done, running

    async def _post(self, request: Request) -> Response:
        context = self._context
        try:
            data = decode(request.body)
            name = messages.read_id(data)
        except MalformedError as error:
            return Response(400, {"error": str(error)})
        try:
            _, spec = messages.read_submission(data)
        except MalformedError as error:
            # An accepted job is known whatever a repeat of it looks like.
            return await self._refuse(name, 400, str(error))
        end = self.ends.get(name)
        if end is not None:
            return self._ended(name, end, 200)
        if name in context.view.jobs:
            with trio.move_on_after(2):
                await context.reader.read_barrier()
                return await self._state(name, 200)
            return self._later("no state")
        if not self._fresh(clock.now()):
            return self._later("no state")
        if not context.machine_types:
            # Not decided yet: the machine types are not known.
            return self._later("starting")
        try:
            messages.can_run(spec, context.settings.teams, context.machine_types)
        except NeverRunsError as error:
            return await self._refuse(name, 422, str(error))
        if name in context.view.unrecorded:
            # Machines run it though no record names it; it is accepted once they have stopped.
            return self._later("being recovered")
        job = Job(name, spec, clock.wall())
        value = job.to_value()
        if records.weigh(value) > context.settings.value_bytes * LARGEST:
            return await self._refuse(name, 400, "rigs: more names than a record holds")
        settings = context.settings
        widest = settings.widest_apart_gang if spec.apart else settings.widest_gang
        if spec.gang and spec.task_count > widest:
            # It can never run: its first tasks would give up before its last one is recorded.
            return await self._refuse(name, 422, "wider than any gang that can start")
        rows = [put(keys.job_key(name), value)]
        if spec.gang:
            rows.insert(0, put(keys.gang_key(name), 1))
        conditions = {
            keys.job_key(name): 0,
            keys.job_end_key(name): 0,
            keys.unrecorded_key(name): 0,
        }
        try:
            revision = await commit(context.state, conditions, rows, within=timedelta(seconds=2.5))
        except ConflictError:
            # Known already, by an earlier try or by our own unanswered one.
            with trio.move_on_after(2):
                await context.reader.read_barrier()
                if name in context.view.jobs:
                    self._submit(name)
                elif name in context.view.unrecorded:
                    return self._later("being recovered")
                return await self._state(name, 200)
            return self._later("no state")
        context.view.applied(rows, revision)
        log.info(
            "job-accepted",
            job=name,
            team=spec.team,
            tasks=spec.task_count,
            service=spec.service,
            expected_s=spec.expected_duration.total_seconds(),
            due_s=None if spec.due is None else spec.due.total_seconds(),
            image=f"{spec.image}:{spec.image_gb:.1f}",
        )
        context.observer.job_accepted(job, request.trace_parent)
        self._submit(name)
        return Response(201, {"id": name, "status": STATUS_PENDING})

    async def _refuse(self, name: str, status: int, why: str) -> Response:
        """A repeat of an accepted job is never refused, whatever its body, and even if the catalog
        has changed since. That it is none must be known for certain."""
        end = self.ends.get(name)
        if end is not None:
            return self._ended(name, end, 200)
        if not self._fresh(clock.now()):
            return self._later("no state")
        with trio.move_on_after(2):
            await self._context.reader.read_barrier()
            answer = await self._state(name, 200)
            return answer if answer.status in (200, 503) else Response(status, {"error": why})
        return self._later("no state")

    async def _fetch_end(self, name: str) -> tuple[str, int] | None:
        found = await self._context.state.get(keys.job_end_key(name))
        if found is None:
            return None
        value, _ = found
        if not isinstance(value, dict) or value.get("s") not in (STATUS_DONE, STATUS_ABORTED):
            raise NoAnswerError("nonsense: end")
        self.ends.put(name, value["s"], int(value.get("n", 0)))
        return self.ends.get(name)

    def _ended(self, name: str, end: tuple[str, int], status: int) -> Response:
        if end[0] == STATUS_ABORTED:
            self._told(name)
        return Response(status, {"id": name, "status": end[0], "done": end[1], "running": 0})

    async def _state(self, name: str, status: int) -> Response:
        """The state after a read barrier that the caller has passed."""
        job = self._context.view.jobs.get(name)
        if job is not None:
            word, done, running = self._known(job)
            return Response(status, {"id": name, "status": word, "done": done, "running": running})
        end = self.ends.get(name) or await self._fetch_end(name)
        if end is not None:
            return self._ended(name, end, status)
        if name in self._context.view.unrecorded or not self._context.recovery.knows_jobs():
            # Machines may run it though no record names it.
            return self._later("recovering")
        return Response(404, {"error": "no such job"})

    async def _query(self, name: str) -> Response:
        if not messages.valid_id(name):
            return Response(404, {"error": "no such job"})
        end = self.ends.get(name)
        if end is not None:
            return self._ended(name, end, 200)
        if not self._fresh(clock.now()):
            return self._later("no state")
        with trio.move_on_after(1.6):
            await self._context.reader.read_barrier()
            return await self._state(name, 200)
        return self._later("no state")

    def _fresh(self, now: datetime) -> bool:
        """Without contact nobody waits for a read or a write that can't come: refused at once."""
        contact = self._context.reader.contact
        return self._context.view.loaded and contact is not None and now - contact < STALE

    def _later(self, why: str) -> Response:
        """Where the state service refuses us alone, the connection is closed too: the next try
        reaches a controller that it serves, instead of this one again."""
        return Response(
            503, {"error": why}, wait_header(1), close=self._state_refuses_only_us(clock.now())
        )

    async def _withdraw(self, name: str) -> Response:
        if not messages.valid_id(name):
            return Response(404, {"error": "no such job"})
        context = self._context
        end = self.ends.get(name)
        if end is not None:
            return self._ended(name, end, 200)
        if not self._fresh(clock.now()):
            return self._later("no state")
        with trio.move_on_after(4):
            for _ in range(8):
                job = context.view.jobs.get(name)
                if job is None:
                    await context.reader.read_barrier()
                    job = context.view.jobs.get(name)
                if job is None:
                    end = await self._fetch_end(name)
                    return (
                        Response(404, {"error": "no such job"})
                        if end is None
                        else await self._told_all(name, end)
                    )
                done = self._known(job)[1]
                rows = [
                    delete(keys.job_key(name)),
                    put(keys.job_end_key(name), records.job_end_value(STATUS_ABORTED, done)),
                ]
                if job.spec.gang:
                    rows.append(delete(keys.gang_key(name)))
                conditions = {keys.job_key(name): job.mod_revision, keys.job_end_key(name): 0}
                try:
                    revision = await commit(
                        context.state, conditions, rows, within=timedelta(seconds=2.5), urgent=True
                    )
                except ConflictError:
                    await context.reader.read_barrier()
                    continue
                # Recorded before it is told. Owners stop the tasks of a job that is no longer live.
                context.view.applied(rows, revision)
                log.info("job-cancelled", job=name)
                context.observer.job_over(job, STATUS_ABORTED)
                return await self._told_all(name, (STATUS_ABORTED, done))
        return self._later("no state")

    async def _told_all(self, name: str, end: tuple[str, int]) -> Response:
        """Once its user is told, no task of a cancelled job may be started. So owners are told
        first, and one that can't be told is waited for until it can start nothing on records as old
        as that."""
        if end[0] == STATUS_ABORTED:
            self._told(name)
            await self._propagate_cancellations()
        self.ends.put(name, *end)
        return self._ended(name, end, 200)
