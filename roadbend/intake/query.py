"""Handles `GET /v1/jobs/{id}`."""

import trio

from roadbend.http.messages import Response
from roadbend.intake.job_states import JobStates
from roadbend.intake.refusals import RetryLaterError, RetryLaterReason
from roadbend.placement.context import ControllerContext

# Users wait for a response for 2 s, of which its transfer takes a part.
ANSWER_TIMEOUT_S = 1.6


class QueryHandler:
    """Responds to users' queries with the states of their jobs."""

    def __init__(self, context: ControllerContext, states: JobStates) -> None:
        self._context = context
        self._states = states

    async def handle(self, job_id: str) -> Response:
        """Respond with a job's state, which is never older than one in an earlier response."""
        known = self._states.answer_without_read(job_id)
        if known is not None:
            return known
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            await self._context.reader.read_barrier()
            return await self._states.answer_or_not_found(job_id)
        raise RetryLaterError(RetryLaterReason.NO_STATE_STORE)
