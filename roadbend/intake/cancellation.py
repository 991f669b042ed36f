"""Handles `POST /v1/jobs/{id}/withdraw`."""

from datetime import timedelta

import trio

from roadbend.http.messages import Response
from roadbend.intake.job_states import JobStates
from roadbend.intake.messages import JobState, JobStatus
from roadbend.intake.refusals import RetryLaterError, RetryLaterReason, no_such_job
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.store import keys, records
from roadbend.store.client import ConflictError, commit, delete, put
from roadbend.store.records import Job

log = Log("intake")
# Users wait for a response for 5 s.
ANSWER_TIMEOUT_S = 4
WRITE_TIMEOUT = timedelta(seconds=2.5)
# For how long a response waits until no start can be carried out any more: the machines of an
# unreachable leader are queried once it has sent its last start, 2 s after the cancellation.
CONFIRMATION_TIMEOUT = timedelta(seconds=2.3)
# How often the write is tried; it conflicts with every other change of the job's record.
MAX_WRITE_TRIES = 8


class CancellationHandler:
    """Cancels jobs."""

    def __init__(self, context: ControllerContext, states: JobStates) -> None:
        self._context = context
        self._states = states

    async def handle(self, job_id: str) -> Response:
        """Cancel a job, and respond once no start of it can be carried out any more.

        The cancellation is recorded first. Raises `RetryLaterError` if a start may still be carried
        out, so that the user repeats the request.
        """
        known = self._states.answer_without_read(job_id)
        if known is not None:
            return known
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            for _ in range(MAX_WRITE_TRIES):
                job = await self._find_live(job_id)
                if job is None:
                    return await self._answer_not_live(job_id)
                state = await self._record(job)
                if state is not None:
                    return await self._states.answer_final(job_id, state, CONFIRMATION_TIMEOUT)
        raise RetryLaterError(RetryLaterReason.NO_STATE_STORE)

    async def _find_live(self, job_id: str) -> Job | None:
        """Return the live job; None only after a read barrier has confirmed that there is none."""
        view = self._context.view
        job = view.jobs.get(job_id)
        if job is None:
            await self._context.reader.read_barrier()
            job = view.jobs.get(job_id)
        return job

    async def _answer_not_live(self, job_id: str) -> Response:
        state = await self._states.fetch_final(job_id)
        if state is None:
            return no_such_job()
        return await self._states.answer_final(job_id, state, CONFIRMATION_TIMEOUT)

    async def _record(self, job: Job) -> JobState | None:
        """Record a job's cancellation; return None if its record has changed meanwhile."""
        context = self._context
        state = JobState(JobStatus.CANCELLED, self._states.live_state(job).done)
        changes = [
            delete(keys.job_key(job.id)),
            put(
                keys.job_end_key(job.id),
                records.job_end_value(state.status.value, state.done),
            ),
        ]
        if job.spec.gang:
            changes.append(delete(keys.gang_key(job.id)))
        conditions = {keys.job_key(job.id): job.mod_revision, keys.job_end_key(job.id): 0}
        try:
            revision = await commit(
                context.state, conditions, changes, within=WRITE_TIMEOUT, urgent=True
            )
        except ConflictError:
            await context.reader.read_barrier()
            return None
        # Recorded before the user is notified. Leaders stop the tasks of a job that is not live.
        context.view.apply_transaction(changes, revision)
        log.info("job-cancelled", job=job.id)
        context.observer.job_ended(job, state.status.value)
        return state
