"""Handles `POST /v1/jobs`: submissions, which users repeat until they get a response."""

from collections.abc import Callable
from datetime import timedelta

import trio

from roadbend import clock
from roadbend.http.messages import MalformedError, Request, Response, decode
from roadbend.intake import messages
from roadbend.intake.feasibility import InfeasibleJobError, check_feasible, check_gang_width
from roadbend.intake.job_states import JobStates
from roadbend.intake.refusals import RetryLaterError, RetryLaterReason, refused
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.store import keys, records
from roadbend.store.client import ConflictError, commit, put
from roadbend.store.records import Job, JobSpec

log = Log("intake")
# How long a response waits for a read barrier and the read of the job's state after it.
READ_TIMEOUT_S = 2
WRITE_TIMEOUT = timedelta(seconds=2.5)
# The share of the size limit of a value that a job's record may use before any allocation.
MAX_RECORD_SHARE = 0.7
MALFORMED_STATUS = 400
INFEASIBLE_STATUS = 422


class SubmissionHandler:
    """Accepts jobs; `submit` is called with the id of each to queue it for bidding."""

    def __init__(
        self, context: ControllerContext, states: JobStates, submit: Callable[[str], None]
    ) -> None:
        self._context = context
        self._states = states
        self._submit = submit

    async def handle(self, request: Request) -> Response:
        """Accept a new job, or respond to a repeated submission with the job's state."""
        try:
            data = decode(request.body)
            job_id = messages.read_id(data)
        except MalformedError as error:
            return refused(MALFORMED_STATUS, str(error))
        try:
            spec = messages.read_submission(data).spec
        except MalformedError as error:
            return await self._refuse(job_id, MALFORMED_STATUS, str(error))
        known = self._states.answer_known_final(job_id)
        if known is not None:
            return known
        if job_id in self._context.view.jobs:
            return await self._answer_known(job_id)
        try:
            job = self._create(job_id, spec)
        except MalformedError as error:
            return await self._refuse(job_id, MALFORMED_STATUS, str(error))
        except InfeasibleJobError as error:
            return await self._refuse(job_id, INFEASIBLE_STATUS, str(error))
        return await self._accept(job, request.trace_parent)

    def _create(self, job_id: str, spec: JobSpec) -> Job:
        """Create the job of a submission that can be accepted.

        Raises `RetryLaterError`, `InfeasibleJobError`, and `MalformedError` for a job too large for
        its record.
        """
        context, settings = self._context, self._context.settings
        self._states.freshness.require()
        if not context.machine_types:
            raise RetryLaterError(RetryLaterReason.MACHINE_TYPES_UNKNOWN)
        check_feasible(spec, settings.teams, context.machine_types)
        if job_id in context.view.unrecorded:
            raise RetryLaterError(RetryLaterReason.JOB_UNRECORDED)
        job = Job(job_id, spec, clock.wall())
        if records.value_size_bound(job.to_value()) > settings.value_bytes * MAX_RECORD_SHARE:
            raise MalformedError("rigs: more names than a record holds")
        check_gang_width(spec, settings)
        return job

    async def _accept(self, job: Job, trace_parent: str | None) -> Response:
        """Record a job, unless an earlier submission of it has been accepted."""
        context, job_id = self._context, job.id
        changes = [put(keys.job_key(job_id), job.to_value())]
        if job.spec.gang:
            changes.insert(0, put(keys.gang_key(job_id), 1))
        conditions = {
            keys.job_key(job_id): 0,
            keys.job_end_key(job_id): 0,
            keys.unrecorded_key(job_id): 0,
        }
        try:
            revision = await commit(context.state, conditions, changes, within=WRITE_TIMEOUT)
        except ConflictError:
            return await self._answer_conflict(job_id)
        context.view.apply_transaction(changes, revision)
        _log_accepted(job)
        context.observer.job_accepted(job, trace_parent)
        self._submit(job_id)
        return Response(201, messages.accepted_body(job_id))

    async def _answer_known(self, job_id: str) -> Response:
        """Respond to the repeated submission of a job that is live according to the records."""
        with trio.move_on_after(READ_TIMEOUT_S):
            await self._context.reader.read_barrier()
            return await self._states.answer_or_not_found(job_id)
        raise RetryLaterError(RetryLaterReason.NO_STATE_STORE)

    async def _answer_conflict(self, job_id: str) -> Response:
        """Respond after a conflict: an earlier try has recorded the job, or it is unrecorded.

        The earlier try may have been this controller's own, whose write got no reply: such a job
        has not been queued for bidding yet.
        """
        view = self._context.view
        with trio.move_on_after(READ_TIMEOUT_S):
            await self._context.reader.read_barrier()
            if job_id in view.jobs:
                self._submit(job_id)
            elif job_id in view.unrecorded:
                raise RetryLaterError(RetryLaterReason.JOB_UNRECORDED)
            return await self._states.answer_or_not_found(job_id)
        raise RetryLaterError(RetryLaterReason.NO_STATE_STORE)

    async def _refuse(self, job_id: str, status: int, reason: str) -> Response:
        """Refuse a submission, unless its job was accepted before.

        The repeated submission of an accepted job is never refused, whatever its body, and even if
        the machine types or the settings have changed since. So a read barrier first makes certain
        that the job was never accepted.
        """
        known = self._states.answer_known_final(job_id)
        if known is not None:
            return known
        self._states.freshness.require()
        with trio.move_on_after(READ_TIMEOUT_S):
            await self._context.reader.read_barrier()
            answer = await self._states.answer_after_barrier(job_id)
            return answer or refused(status, reason)
        raise RetryLaterError(RetryLaterReason.NO_STATE_STORE)


def _log_accepted(job: Job) -> None:
    spec = job.spec
    log.info(
        "job-accepted",
        job=job.id,
        team=spec.team,
        tasks=spec.task_count,
        service=spec.service,
        expected_s=spec.expected_duration.total_seconds(),
        due_s=None if spec.due is None else spec.due.total_seconds(),
        image=f"{spec.image}:{spec.image_gb:.1f}",
    )
