"""Admission control of users' requests: limits those in progress by the measured times."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from roadbend import clock
from roadbend.http.messages import Response
from roadbend.intake.limit import AdaptiveLimit
from roadbend.intake.refusals import busy

# Responses whose times show the load; refusals take little time whatever the load.
MEASURED_STATUSES = (200, 201)
_Argument = TypeVar("_Argument")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests.

    `share`: the share of the limit that the class may use. `measured`: whether its times show the
    load.
    """

    share: float
    measured: bool


# Submissions are refused first, so that queries and cancellations get through.
SUBMISSION = RequestClass(share=0.7, measured=True)
QUERY = RequestClass(share=1.0, measured=True)
# Not measured: a cancellation also waits for peers.
CANCELLATION = RequestClass(share=1.0, measured=False)


class Admission:
    """Admits requests as far as the limit allows, and measures their times."""

    def __init__(self, limit: AdaptiveLimit) -> None:
        self._limit = limit

    async def run(
        self,
        request_class: RequestClass,
        handler: Callable[[_Argument], Awaitable[Response]],
        argument: _Argument,
    ) -> Response:
        """Return the handler's response to `argument`, or refuse it at once if over the limit."""
        if not self._limit.acquire(request_class.share):
            return busy()
        began, took = clock.now(), None
        try:
            response = await handler(argument)
            if request_class.measured and response.status in MEASURED_STATUSES:
                took = clock.now() - began
            return response
        finally:
            self._limit.release(took)
