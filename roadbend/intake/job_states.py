"""The state of a job as users are told it, and the answer that tells it."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from roadbend import clock
from roadbend.http.messages import Response
from roadbend.intake import messages
from roadbend.intake.final_states import FinalStateCache, fetch_final_state
from roadbend.intake.freshness import Freshness
from roadbend.intake.messages import JobState, JobStatus
from roadbend.intake.refusals import NotNowError, NotNowReason, no_such_job
from roadbend.placement.context import ControllerContext
from roadbend.store import ranges
from roadbend.store.records import Job

# Whether users may be told that a job is cancelled: its id, and how long that may be waited for.
ConfirmCancellation = Callable[[str, timedelta], Awaitable[bool]]


class JobStates:
    """Finds out the states of jobs, and answers with them.

    `confirm` is asked before a user is told that a job is cancelled.
    """

    def __init__(self, context: ControllerContext, confirm: ConfirmCancellation) -> None:
        self._context = context
        self._confirm = confirm
        # Final states that users may be told.
        self._final_states = FinalStateCache()
        self.freshness = Freshness(context.view, context.reader)

    def live_state(self, job: Job) -> JobState:
        """Return the state of a live job; its counts are for display."""
        running = done = 0
        for partition, job_slices in self._context.view.job_slices.items():
            job_slice = job_slices.get(job.id)
            if job_slice is None:
                continue
            running += len(job_slice.attempts)
            if partition in job.allocation:
                done += ranges.size(ranges.minus(job_slice.done, job.done))
        done += ranges.size(job.done)
        status = JobStatus.RUNNING if running else JobStatus.PENDING
        return JobState(status, done, running)

    async def fetch_final(self, job_id: str) -> JobState | None:
        """Return a job's final state, if it has one; it may not be one to tell users yet."""
        return self._final_states.get(job_id) or await fetch_final_state(
            self._context.state, job_id
        )

    async def answer_after_barrier(self, job_id: str) -> Response | None:
        """Answer with a job's state after a read barrier that the caller has passed.

        None where no such job was ever accepted. Raises `NotNowError` while that is not certain.
        """
        context = self._context
        job = context.view.jobs.get(job_id)
        if job is not None:
            return _state_response(job_id, self.live_state(job))
        state = await self.fetch_final(job_id)
        if state is not None:
            return await self.answer_final(job_id, state)
        if job_id in context.view.unrecorded or not context.recovery.knows_jobs():
            raise NotNowError(NotNowReason.JOB_MAY_BE_UNRECORDED)
        return None

    async def answer_or_not_found(self, job_id: str) -> Response:
        """As `answer_after_barrier`, with the answer 404 for a job that was never accepted."""
        return await self.answer_after_barrier(job_id) or no_such_job()

    async def answer_final(
        self, job_id: str, state: JobState, patience: timedelta = clock.ZERO
    ) -> Response:
        """Answer with a job's final state, which its record has.

        Raises `NotNowError` while a start of a cancelled job may still be carried out; `patience`:
        for how long that is waited for.
        """
        if state.status is JobStatus.CANCELLED and not await self._confirm(job_id, patience):
            raise NotNowError(NotNowReason.CANCELLATION_IN_PROGRESS)
        self._final_states.put(job_id, state)
        return _state_response(job_id, state)

    def answer_without_read(self, job_id: str) -> Response | None:
        """Answer with what needs no read, if there is such an answer.

        Raises `NotNowError` where a read is needed and can't come.
        """
        if not messages.is_job_id(job_id):
            return no_such_job()
        known = self.answer_known_final(job_id)
        if known is None:
            self.freshness.require()
        return known

    def answer_known_final(self, job_id: str) -> Response | None:
        """Answer with a job's final state, if users have been told it here."""
        state = self._final_states.get(job_id)
        return None if state is None else _state_response(job_id, state)


def _state_response(job_id: str, state: JobState) -> Response:
    return Response(200, messages.job_state_body(job_id, state))
