"""Answering `GET /v1/jobs/{id}`."""

import trio

from roadbend.http.messages import Response
from roadbend.intake.job_states import JobStates
from roadbend.intake.refusals import NotNowError, NotNowReason
from roadbend.placement.context import ControllerContext

# Users wait for 2 s; the answer needs a little of that.
ANSWER_WITHIN_S = 1.6


class QueryHandler:
    """Tells users the states of their jobs."""

    def __init__(self, context: ControllerContext, states: JobStates) -> None:
        self._context = context
        self._states = states

    async def handle(self, job_id: str) -> Response:
        """Answer with a job's state: no older than any that a user has been told before."""
        known = self._states.answer_without_read(job_id)
        if known is not None:
            return known
        with trio.move_on_after(ANSWER_WITHIN_S):
            await self._context.reader.read_barrier()
            return await self._states.answer_or_not_found(job_id)
        raise NotNowError(NotNowReason.NO_STATE_STORE)
