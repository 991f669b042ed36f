"""The hierarchy of the errors that roadbend raises.

Each error class of the packages derives from one of three groups, which tell the sender of a
request whether it was carried out, and whether a retry is useful:

`PermanentError`
    The request was not carried out, or the input is invalid, and a retry would fail again: a
    malformed frame, a condition that does not hold, a job that can never run.
`RetryableError`
    The request was certainly not carried out, and a retry may succeed later: an overload, an
    outage, no capacity.
`UnknownOutcomeError`
    The request may have been carried out, or may still be; its sender must find out which before it
    relies on either.

There is one exception: `store.errors.TooLargeError` is permanent, but derives from
`UnavailableError`, since callers that can't send less treat both alike.

Errors of Python and of libraries are converted into one of these where a caller handles them, and
otherwise raised as they are.
"""


class RoadbendError(Exception):
    """Base of all errors that a caller is expected to handle, or to report by their message."""


class PermanentError(RoadbendError):
    """Not carried out, or invalid; a retry would fail again."""


class RetryableError(RoadbendError):
    """Certainly not carried out; a retry may succeed later."""


class UnknownOutcomeError(RoadbendError):
    """May have been carried out, or may still be."""
