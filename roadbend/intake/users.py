"""The users' API: routes requests, and at once refuses those that can't be served now.

The source is the protocol's section "Users -> controller nodes".
"""

from collections.abc import Callable
from datetime import datetime

from roadbend import clock
from roadbend.http.client import NoAnswerError
from roadbend.http.messages import Request, Response, method_not_allowed
from roadbend.intake import admission
from roadbend.intake.admission import Admission
from roadbend.intake.cancellation import CancellationHandler
from roadbend.intake.job_states import ConfirmCancellation, JobStates
from roadbend.intake.limit import AdaptiveLimit
from roadbend.intake.query import QueryHandler
from roadbend.intake.refusals import (
    RetryLaterError,
    RetryLaterReason,
    refused,
    retry_later,
)
from roadbend.intake.submission import SubmissionHandler
from roadbend.placement.context import ControllerContext
from roadbend.store.client import RefusedError, UnavailableError

JOBS_PATH = "/v1/jobs"
CANCEL_VERB = "withdraw"


class JobApi:
    """The users' API: submit, query, cancel.

    `submit` is called with the id of each accepted job, `confirm_cancellation` before a response
    says that a job is cancelled. `state_refuses_only_us` returns whether the state store serves
    other controllers but not this one.
    """

    def __init__(
        self,
        context: ControllerContext,
        submit: Callable[[str], None],
        confirm_cancellation: ConfirmCancellation,
        state_refuses_only_us: Callable[[datetime], bool],
        limit: AdaptiveLimit,
    ) -> None:
        states = JobStates(context, confirm_cancellation)
        self._admission = Admission(limit)
        self._state_refuses_only_us = state_refuses_only_us
        self._submissions = SubmissionHandler(context, states, submit)
        self._queries = QueryHandler(context, states)
        self._cancellations = CancellationHandler(context, states)

    async def handle(self, request: Request) -> Response:
        """Handle one request."""
        try:
            return await self._route(request)
        except RetryLaterError as error:
            return self._retry_later(error.reason)
        except (RefusedError, NoAnswerError, UnavailableError):
            return self._retry_later(RetryLaterReason.NO_STATE_STORE)

    async def _route(self, request: Request) -> Response:
        path, method = request.path, request.method
        if path == JOBS_PATH:
            if method != "POST":
                return method_not_allowed("POST")
            return await self._admission.run(
                admission.SUBMISSION, self._submissions.handle, request
            )
        job_id, slash, verb = path.removeprefix(f"{JOBS_PATH}/").partition("/")
        if slash and verb == CANCEL_VERB:
            if method != "POST":
                return method_not_allowed("POST")
            return await self._admission.run(
                admission.CANCELLATION, self._cancellations.handle, job_id
            )
        if slash or not job_id:
            return refused(404, "no such path")
        if method != "GET":
            return method_not_allowed("GET")
        return await self._admission.run(admission.QUERY, self._queries.handle, job_id)

    def _retry_later(self, reason: RetryLaterReason) -> Response:
        """Respond that a request is to be repeated.

        If the state store refuses only this controller, the connection is closed too, so that the
        next try reaches a controller that the state store serves.
        """
        return retry_later(reason, close=self._state_refuses_only_us(clock.now()))
