"""Why a request can't be answered now, and the answers that say what went wrong."""

from enum import StrEnum

from roadbend.errors import RetryableError
from roadbend.http.messages import Response

# The seconds after which a user that was refused is to come back.
BUSY_RETRY_S = 2
NOT_NOW_RETRY_S = 1


class NotNowReason(StrEnum):
    """Why a controller can't answer now; the text is the one that users see."""

    NO_STATE_STORE = "no state"
    MACHINE_TYPES_UNKNOWN = "starting"
    # A start of the cancelled job may still be carried out.
    CANCELLATION_IN_PROGRESS = "being cancelled"
    # Machines run the job though no record names it; it is accepted once they have stopped.
    JOB_UNRECORDED = "being recovered"
    # Machines may run the job though no record names it.
    JOB_MAY_BE_UNRECORDED = "recovering"


class NotNowError(RetryableError):
    """A request can't be answered now and is to be repeated."""

    def __init__(self, reason: NotNowReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


def refused(status: int, reason: str) -> Response:
    """Answer that a request is wrong; the same request will be refused again."""
    return Response(status, {"error": reason})


def no_such_job() -> Response:
    """Answer that a job was never accepted."""
    return refused(404, "no such job")


def busy() -> Response:
    """Answer that too many requests are in progress."""
    return Response(429, {"error": "busy"}, _retry_after(BUSY_RETRY_S))


def not_now(reason: NotNowReason, *, close: bool) -> Response:
    """Answer that a request is to be repeated; `close` ends the connection with the answer."""
    return Response(503, {"error": reason.value}, _retry_after(NOT_NOW_RETRY_S), close=close)


def _retry_after(seconds: int) -> tuple[tuple[str, str], ...]:
    return (("retry-after", str(seconds)),)
