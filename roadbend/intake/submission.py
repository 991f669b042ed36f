"""Answering `POST /v1/jobs`: submissions, which users repeat until they get an answer."""

from collections.abc import Callable
from datetime import timedelta

import trio

from roadbend import clock
from roadbend.http.messages import MalformedError, Request, Response, decode
from roadbend.intake import messages
from roadbend.intake.feasibility import NeverRunsError, can_run, check_gang_width
from roadbend.intake.job_states import JobStates
from roadbend.intake.refusals import NotNowError, NotNowReason, refused
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.store import keys, records
from roadbend.store.client import ConflictError, commit, put
from roadbend.store.records import Job, JobSpec

log = Log("intake")
# How long an answer waits for a read barrier and the state that follows it.
READ_WITHIN_S = 2
WRITE_WITHIN = timedelta(seconds=2.5)
# The share of a value that a job's record may take before any partition holds tasks of it.
MAX_RECORD_SHARE = 0.7
MALFORMED_STATUS = 400
NEVER_RUNS_STATUS = 422


class SubmissionHandler:
    """Accepts jobs; `submit` is called with the id of each, so that partitions bid for it."""

    def __init__(
        self, context: ControllerContext, states: JobStates, submit: Callable[[str], None]
    ) -> None:
        self._context = context
        self._states = states
        self._submit = submit

    async def handle(self, request: Request) -> Response:
        """Accept a new job, or answer an idempotent submission with the job's state."""
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
        except NeverRunsError as error:
            return await self._refuse(job_id, NEVER_RUNS_STATUS, str(error))
        return await self._accept(job, request.trace_parent)

    def _create(self, job_id: str, spec: JobSpec) -> Job:
        """Make the job of a submission that can be accepted.

        Raises `NotNowError`, `NeverRunsError`, and `MalformedError` for one that no record holds.
        """
        context, settings = self._context, self._context.settings
        self._states.freshness.require()
        if not context.machine_types:
            raise NotNowError(NotNowReason.MACHINE_TYPES_UNKNOWN)
        can_run(spec, settings.teams, context.machine_types)
        if job_id in context.view.unrecorded:
            raise NotNowError(NotNowReason.JOB_UNRECORDED)
        job = Job(job_id, spec, clock.wall())
        if records.weigh(job.to_value()) > settings.value_bytes * MAX_RECORD_SHARE:
            raise MalformedError("rigs: more names than a record holds")
        check_gang_width(spec, settings)
        return job

    async def _accept(self, job: Job, trace_parent: str | None) -> Response:
        """Record a job, unless a former submission has done so."""
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
            revision = await commit(context.state, conditions, changes, within=WRITE_WITHIN)
        except ConflictError:
            return await self._answer_conflict(job_id)
        context.view.applied(changes, revision)
        _log_accepted(job)
        context.observer.job_accepted(job, trace_parent)
        self._submit(job_id)
        return Response(201, messages.accepted_body(job_id))

    async def _answer_known(self, job_id: str) -> Response:
        """Answer the repeated submission of a job that the records name as live."""
        with trio.move_on_after(READ_WITHIN_S):
            await self._context.reader.read_barrier()
            return await self._states.answer_or_not_found(job_id)
        raise NotNowError(NotNowReason.NO_STATE_STORE)

    async def _answer_conflict(self, job_id: str) -> Response:
        """Answer for a job that is known already, by an earlier try or by our own unanswered one.

        A job whose acceptance went unanswered has not been submitted to the partitions yet.
        """
        view = self._context.view
        with trio.move_on_after(READ_WITHIN_S):
            await self._context.reader.read_barrier()
            if job_id in view.jobs:
                self._submit(job_id)
            elif job_id in view.unrecorded:
                raise NotNowError(NotNowReason.JOB_UNRECORDED)
            return await self._states.answer_or_not_found(job_id)
        raise NotNowError(NotNowReason.NO_STATE_STORE)

    async def _refuse(self, job_id: str, status: int, reason: str) -> Response:
        """Refuse a submission, unless its job is known.

        The repeat of an accepted job is never refused, whatever its body, and even if the machine
        types or the settings have changed since. That it is none must be known for certain.
        """
        known = self._states.answer_known_final(job_id)
        if known is not None:
            return known
        self._states.freshness.require()
        with trio.move_on_after(READ_WITHIN_S):
            await self._context.reader.read_barrier()
            answer = await self._states.answer_after_barrier(job_id)
            return answer or refused(status, reason)
        raise NotNowError(NotNowReason.NO_STATE_STORE)


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
