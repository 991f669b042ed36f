"""The states of jobs as users see them, and the responses that contain them."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from roadbend import clock
from roadbend.http.messages import Response
from roadbend.intake import messages
from roadbend.intake.final_states import FinalStateCache, fetch_final_state
from roadbend.intake.freshness import Freshness
from roadbend.intake.messages import JobState, JobStatus
from roadbend.intake.refusals import RetryLaterError, RetryLaterReason, no_such_job
from roadbend.placement.context import ControllerContext
from roadbend.store import ranges
from roadbend.store.records import Job

# Returns whether a cancellation may be confirmed to users; takes the job id and how long to wait
# for that at most.
ConfirmCancellation = Callable[[str, timedelta], Awaitable[bool]]


class JobStates:
    """Determines the states of jobs and builds the responses with them.

    `confirm` is called before a response says that a job is cancelled.
    """

    def __init__(self, context: ControllerContext, confirm: ConfirmCancellation) -> None:
        self._context = context
        self._confirm = confirm
        # Final states that responses may contain without a further check.
        self._final_states = FinalStateCache()
        self.freshness = Freshness(context.view, context.reader)

    def live_state(self, job: Job) -> JobState:
        """Return the state of a live job; its counts are only for display."""
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
        """Return a job's final state or None; a cancellation may not be confirmed to users yet."""
        return self._final_states.get(job_id) or await fetch_final_state(
            self._context.state, job_id
        )

    async def answer_after_barrier(self, job_id: str) -> Response | None:
        """Respond with a job's state; the caller has passed a read barrier.

        Returns None if no such job was ever accepted. Raises `RetryLaterError` while that is not
        certain.
        """
        context = self._context
        job = context.view.jobs.get(job_id)
        if job is not None:
            return _state_response(job_id, self.live_state(job))
        state = await self.fetch_final(job_id)
        if state is not None:
            return await self.answer_final(job_id, state)
        if job_id in context.view.unrecorded or not context.recovery.are_job_records_complete():
            raise RetryLaterError(RetryLaterReason.JOB_MAY_BE_UNRECORDED)
        return None

    async def answer_or_not_found(self, job_id: str) -> Response:
        """Do the same as `answer_after_barrier`, but respond 404 for a job never accepted."""
        return await self.answer_after_barrier(job_id) or no_such_job()

    async def answer_final(
        self, job_id: str, state: JobState, timeout: timedelta = clock.ZERO
    ) -> Response:
        """Respond with a job's recorded final state.

        Raises `RetryLaterError` if a start of a cancelled job may still be carried out after
        `timeout`.
        """
        if state.status is JobStatus.CANCELLED and not await self._confirm(job_id, timeout):
            raise RetryLaterError(RetryLaterReason.CANCELLATION_IN_PROGRESS)
        self._final_states.put(job_id, state)
        return _state_response(job_id, state)

    def answer_without_read(self, job_id: str) -> Response | None:
        """Return the response if it needs no read of the state store, else None.

        Raises `RetryLaterError` if a read is needed and can't succeed now.
        """
        if not messages.is_job_id(job_id):
            return no_such_job()
        known = self.answer_known_final(job_id)
        if known is None:
            self.freshness.require()
        return known

    def answer_known_final(self, job_id: str) -> Response | None:
        """Respond with a job's final state if this controller has sent it before, else None."""
        state = self._final_states.get(job_id)
        return None if state is None else _state_response(job_id, state)


def _state_response(job_id: str, state: JobState) -> Response:
    return Response(200, messages.job_state_body(job_id, state))
