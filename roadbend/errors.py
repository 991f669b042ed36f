"""The hierarchy of the errors that roadbend raises.

Each error class of the packages derives from one of three groups. They answer what matters to a
caller that sent a request: was it carried out, and is it worth repeating?

`PermanentError`
    A definite no. The request was not carried out, or the input is of no use, and the same would
    fail again: a malformed frame, a condition that does not hold, a job that can never run.
`RetryableError`
    Not now. The request was certainly not carried out, and the same may succeed later: an overload,
    an outage, no capacity.
`UnknownOutcomeError`
    Nobody knows. The request may have been carried out, or may be still; who sent it must find out
    before acting on either.

A single exception: `store.errors.TooLargeError` is a definite no, and yet derives from
`UnavailableError`, since callers that can't send less treat both alike.

Errors of Python and of libraries are raised as they are where nobody handles them, and turned into
one of these where somebody does.
"""


class RoadbendError(Exception):
    """Base of all errors that a caller is expected to handle, or to report by its message."""


class PermanentError(RoadbendError):
    """Not carried out or of no use, and the same would fail again."""


class RetryableError(RoadbendError):
    """Certainly not carried out; the same may succeed later."""


class UnknownOutcomeError(RoadbendError):
    """Perhaps carried out, perhaps not, perhaps later."""
