"""Errors of requests to the state store.

Each error has the operation, the keys concerned, and what is known of the outcome. A request
without a usable answer raises `NoAnswerError`, as for every service: its outcome is unknown.
"""

from enum import StrEnum
from typing import ClassVar

from roadbend.errors import PermanentError, RetryableError, RoadbendError, UnknownOutcomeError
from roadbend.http.client import NoAnswerError


class Operation(StrEnum):
    """The operations of the state store."""

    GET = "get"
    LIST = "list"
    FOLLOW = "follow"
    COMPARE_AND_SWAP = "compare-and-swap"
    GRANT_LEASE = "grant lease"
    RENEW_LEASE = "renew lease"


class Outcome(StrEnum):
    """What is known of a request that failed."""

    # It was not carried out, and repeating it would not help.
    NOT_CARRIED_OUT = "not carried out"
    # It was not carried out; repeating it later may succeed.
    TRY_LATER = "try later"
    # It may have been carried out, or may still be carried out.
    UNKNOWN = "unknown"


class StateStoreError(RoadbendError):
    """A request to the state store failed."""

    outcome: ClassVar[Outcome]

    def __init__(
        self, message: str, operation: Operation | None = None, keys: tuple[str, ...] = ()
    ) -> None:
        """Create the error.

        `operation` is None where several requests failed together; `keys` are the requested keys,
        or the requested prefix.
        """
        super().__init__(message)
        self.operation = operation
        self.keys = keys


class RefusedError(StateStoreError, RetryableError):
    """The state store refused a request: an outage, or the controllers exceed its rate limits."""

    outcome = Outcome.TRY_LATER


class LeaseEndedError(StateStoreError, PermanentError):
    """The lease that a request names has expired."""

    outcome = Outcome.NOT_CARRIED_OUT


class ConflictError(StateStoreError, PermanentError):
    """A condition of a transaction does not hold.

    `failed` are the keys whose mod revisions differ from the expected ones. If the transaction was
    sent before and got no answer, the cause may be that it was carried out then.
    """

    outcome = Outcome.NOT_CARRIED_OUT

    def __init__(self, failed: list[str]) -> None:
        super().__init__(",".join(failed), Operation.COMPARE_AND_SWAP, tuple(failed))
        self.failed = failed


class MalformedAnswerError(StateStoreError, NoAnswerError):
    """The answer violates the protocol of the state store."""

    outcome = Outcome.UNKNOWN


class UnavailableError(StateStoreError, UnknownOutcomeError):
    """The state store gave no definite answer to a transaction in time."""

    outcome = Outcome.UNKNOWN


class TooLargeError(UnavailableError):
    """A transaction, or a value in it, exceeds the state store's size limit."""

    outcome = Outcome.NOT_CARRIED_OUT
