"""Requests and responses; their bodies are CBOR on the wire."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import cbor2

from roadbend.errors import PermanentError

Headers = tuple[tuple[str, str], ...]


class MalformedError(PermanentError):
    """The received bytes violate the protocol."""


@dataclass(frozen=True)
class Request:
    """A completely received request."""

    method: str
    path: str
    query: str
    body: bytes
    # The W3C trace context of the request, not validated.
    trace_parent: str | None = None
    # The time, in seconds of the steady clock, before which the client can't have sent it: when its
    # connection was accepted, or when the previous response was sent. It reveals requests that the
    # network delayed: these arrive on a connection that has been open for long.
    sent_after_s: float = 0.0


@dataclass(frozen=True)
class Response:
    """The response to a request; `close` closes the connection after it."""

    status: int
    body: Any = None
    headers: Headers = field(default=())
    close: bool = False


Handle = Callable[[Request], Awaitable[Response]]


def method_not_allowed(allowed: str) -> Response:
    """Return the response for a path that supports only another method."""
    return Response(405, {"error": allowed}, (("allow", allowed),))


def encode(body: Any) -> bytes:
    """Serialize a body; None means no body."""
    return b"" if body is None else cbor2.dumps(body)


def decode(body: bytes) -> Any:
    """Parse a body; raise `MalformedError` if it is not CBOR."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # cbor2 raises many kinds of errors for hostile input
        raise MalformedError(f"not CBOR: {type(error).__name__}") from None
