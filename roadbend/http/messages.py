"""Requests and responses as the program sees them; bodies are CBOR on the wire."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import cbor2

from roadbend.errors import PermanentError

Headers = tuple[tuple[str, str], ...]


class MalformedError(PermanentError):
    """The peer's bytes are not what the protocol asks for."""


@dataclass(frozen=True)
class Request:
    """A request that came whole."""

    method: str
    path: str
    query: str
    body: bytes
    # The W3C trace context that came with it, unchecked.
    trace_parent: str | None = None
    # The steady time, in seconds, before which its client can't have sent it: when its connection
    # was accepted, or when the response before it went out. What was held back on its way came on
    # an old connection.
    sent_after_s: float = 0.0


@dataclass(frozen=True)
class Response:
    """What a request is answered; `close` ends the connection after it."""

    status: int
    body: Any = None
    headers: Headers = field(default=())
    close: bool = False


Handle = Callable[[Request], Awaitable[Response]]


def method_not_allowed(allowed: str) -> Response:
    """Answer that a path knows only one method."""
    return Response(405, {"error": allowed}, (("allow", allowed),))


def encode(body: Any) -> bytes:
    """Return a body's bytes; None is no body."""
    return b"" if body is None else cbor2.dumps(body)


def decode(body: bytes) -> Any:
    """Return what a body says; raise `MalformedError` where it is not CBOR."""
    try:
        return cbor2.loads(body)
    except Exception as error:  # cbor2 raises many kinds on hostile input
        raise MalformedError(f"not CBOR: {type(error).__name__}") from None
