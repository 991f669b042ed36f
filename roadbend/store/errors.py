"""What can go wrong with a request to the state store.

Each error says what was asked, of which keys, and what is known of the outcome. A request without
any usable answer raises `NoAnswerError`, as with every service: its outcome is unknown.
"""

from enum import StrEnum
from typing import ClassVar

from roadbend.errors import PermanentError, RetryableError, RoadbendError, UnknownOutcomeError
from roadbend.http.client import NoAnswerError


class Operation(StrEnum):
    """What the state store can be asked to do."""

    GET = "get"
    LIST = "list"
    FOLLOW = "follow"
    COMPARE_AND_SWAP = "compare-and-swap"
    GRANT_LEASE = "grant lease"
    RENEW_LEASE = "renew lease"


class Outcome(StrEnum):
    """What is known of a request that failed."""

    # It was not carried out, and the same request would not be later either.
    NOT_CARRIED_OUT = "not carried out"
    # It was not carried out; the same request may be later.
    TRY_LATER = "try later"
    # It may have been carried out, or may still be.
    UNKNOWN = "unknown"


class StateStoreError(RoadbendError):
    """A request to the state store failed."""

    outcome: ClassVar[Outcome]

    def __init__(
        self, message: str, operation: Operation | None = None, keys: tuple[str, ...] = ()
    ) -> None:
        """Make the error.

        `operation` is None where several requests failed together; `keys` are the keys, or the
        prefix, that were asked for.
        """
        super().__init__(message)
        self.operation = operation
        self.keys = keys


class RefusedError(StateStoreError, RetryableError):
    """The state store refused a request: an outage, or the controllers are over its limits."""

    outcome = Outcome.TRY_LATER


class LeaseEndedError(StateStoreError, PermanentError):
    """The lease that a request names has expired."""

    outcome = Outcome.NOT_CARRIED_OUT


class ConflictError(StateStoreError, PermanentError):
    """A condition of a transaction does not hold.

    `failed` are the keys whose mod revisions are others. Where the transaction was sent before
    without an answer, that may be because it was carried out then.
    """

    outcome = Outcome.NOT_CARRIED_OUT

    def __init__(self, failed: list[str]) -> None:
        super().__init__(",".join(failed), Operation.COMPARE_AND_SWAP, tuple(failed))
        self.failed = failed


class MalformedAnswerError(StateStoreError, NoAnswerError):
    """The answer is none that the state store may give."""

    outcome = Outcome.UNKNOWN


class UnavailableError(StateStoreError, UnknownOutcomeError):
    """The state store gave no definite answer to a transaction in time."""

    outcome = Outcome.UNKNOWN


class TooLargeError(UnavailableError):
    """A transaction, or a value in it, is larger than the state store takes."""

    outcome = Outcome.NOT_CARRIED_OUT
