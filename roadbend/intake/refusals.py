"""Error responses, and the reasons why a request is to be repeated later."""

from enum import StrEnum

from roadbend.errors import RetryableError
from roadbend.http.messages import Response

# After how many seconds a user is to repeat a request.
BUSY_RETRY_S = 2
RETRY_LATER_S = 1


class RetryLaterReason(StrEnum):
    """Why a controller can't serve a request now; the values are the texts that users see."""

    NO_STATE_STORE = "no state"
    MACHINE_TYPES_UNKNOWN = "starting"
    # A start of the cancelled job may still be carried out.
    CANCELLATION_IN_PROGRESS = "being cancelled"
    # Machines run the job although it has no record; it is accepted once they have stopped it.
    JOB_UNRECORDED = "being recovered"
    # Machines may run the job although it has no record.
    JOB_MAY_BE_UNRECORDED = "recovering"


class RetryLaterError(RetryableError):
    """A request can't be served now and is to be repeated."""

    def __init__(self, reason: RetryLaterReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def refused(status: int, reason: str) -> Response:
    """Respond that a request is invalid; the same request will be refused again."""
    return Response(status, {"error": reason})


def no_such_job() -> Response:
    """Respond that a job was never accepted."""
    return refused(404, "no such job")


def busy() -> Response:
    """Respond that too many requests are in progress."""
    return Response(429, {"error": "busy"}, _retry_after(BUSY_RETRY_S))


def retry_later(reason: RetryLaterReason, *, close: bool) -> Response:
    """Respond that a request is to be repeated; `close` closes the connection afterwards."""
    return Response(503, {"error": reason.value}, _retry_after(RETRY_LATER_S), close=close)


def _retry_after(seconds: int) -> tuple[tuple[str, str], ...]:
    return (("retry-after", str(seconds)),)
