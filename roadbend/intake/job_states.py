"""The state of a job as users are told it, and the answer that tells it."""

from collections.abc import Callable

from roadbend.http.messages import Response
from roadbend.intake import messages
from roadbend.intake.final_states import FinalStateCache, fetch_final_state
from roadbend.intake.freshness import Freshness
from roadbend.intake.messages import JobState, JobStatus
from roadbend.intake.refusals import NotNowError, NotNowReason, no_such_job
from roadbend.placement.context import ControllerContext
from roadbend.store import ranges
from roadbend.store.records import Job


class JobStates:
    """Finds out the states of jobs, and answers with them.

    `told` is called with a job's id before a user is told that it is cancelled.
    """

    def __init__(self, context: ControllerContext, told: Callable[[str], None]) -> None:
        self._context = context
        self._told = told
        self.final_states = FinalStateCache()
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
        """Read a job's final state from the state store, and remember it."""
        state = await fetch_final_state(self._context.state, job_id)
        if state is not None:
            self.final_states.put(job_id, state)
        return state

    async def answer_after_barrier(self, job_id: str) -> Response | None:
        """Answer with a job's state after a read barrier that the caller has passed.

        None where no such job was ever accepted. Raises `NotNowError` while that is not certain.
        """
        context = self._context
        job = context.view.jobs.get(job_id)
        if job is not None:
            return _state_response(job_id, self.live_state(job))
        state = self.final_states.get(job_id) or await self.fetch_final(job_id)
        if state is not None:
            return self.answer_final(job_id, state)
        if job_id in context.view.unrecorded or not context.recovery.knows_jobs():
            raise NotNowError(NotNowReason.JOB_MAY_BE_UNRECORDED)
        return None

    async def answer_or_not_found(self, job_id: str) -> Response:
        """As `answer_after_barrier`, with the answer 404 for a job that was never accepted."""
        return await self.answer_after_barrier(job_id) or no_such_job()

    def answer_final(self, job_id: str, state: JobState) -> Response:
        """Answer with a job's final state."""
        if state.status is JobStatus.CANCELLED:
            self._told(job_id)
        return _state_response(job_id, state)

    def answer_known_final(self, job_id: str) -> Response | None:
        """Answer with a job's final state, if it is in the cache."""
        state = self.final_states.get(job_id)
        return None if state is None else self.answer_final(job_id, state)


def _state_response(job_id: str, state: JobState) -> Response:
    return Response(200, messages.job_state_body(job_id, state))
