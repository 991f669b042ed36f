"""Admission of users' requests: so many at once as the measured times permit."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from roadbend import clock
from roadbend.http.messages import Response
from roadbend.intake.limit import AdaptiveLimit
from roadbend.intake.refusals import busy

# Answers whose time says how busy we are; what is refused costs little.
MEASURED_STATUSES = (200, 201)
_Argument = TypeVar("_Argument")


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request.

    `share`: the share of the limit that is open to it. `measured`: whether its time says how busy
    we are.
    """

    share: float
    measured: bool


# Submissions are refused first, so that queries and cancellations get through.
SUBMISSION = RequestClass(share=0.7, measured=True)
QUERY = RequestClass(share=1.0, measured=True)
# A cancellation also waits for peers.
CANCELLATION = RequestClass(share=1.0, measured=False)


class Admission:
    """Lets requests begin while there is room for them, and measures them."""

    def __init__(self, limit: AdaptiveLimit) -> None:
        self._limit = limit

    async def run(
        self,
        request_class: RequestClass,
        handler: Callable[[_Argument], Awaitable[Response]],
        argument: _Argument,
    ) -> Response:
        """Answer with what `handler` makes of `argument`, or at once that we are busy."""
        if not self._limit.enter(request_class.share):
            return busy()
        began, took = clock.now(), None
        try:
            response = await handler(argument)
            if request_class.measured and response.status in MEASURED_STATUSES:
                took = clock.now() - began
            return response
        finally:
            self._limit.leave(took)
