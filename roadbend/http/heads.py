"""Caches of heads, that is, of the parts of messages before their bodies.

The heads of nearly all requests and responses recur byte for byte. Parsing and serializing each of
them took two fifths of a controller's CPU time under the load of a fleet.
"""

from dataclasses import dataclass

import h11

from roadbend.http.messages import Headers, Request

# The maximum number of cached heads of each kind, and the maximum length of a cached request head
# without its final blank line.
MAX_HEADS = 4096
MAX_HEAD_LENGTH = 508
END_OF_HEAD = b"\r\n\r\n"
PLAIN_METHODS = ("GET", "POST")
# Requests with one of these headers are always parsed by h11.
UNCACHED_HEADERS = {b"transfer-encoding", b"expect", b"upgrade", b"traceparent"}

_ResponseKey = tuple[int, int, Headers, bool]


@dataclass(frozen=True, slots=True)
class _RequestHead:
    """The parsed head of a request, and the length of the body after it."""

    method: str
    path: str
    query: str
    body_length: int


class RequestHeads:
    """A cache of the request heads that h11 has parsed, by their bytes."""

    def __init__(self) -> None:
        self._cached: dict[bytes, _RequestHead] = {}

    def __len__(self) -> int:
        return len(self._cached)

    def find(self, data: bytes, sent_after_s: float = 0.0) -> Request | None:
        """Return the request if the bytes are a complete one with a cached head."""
        head, end_of_head, body = data.partition(END_OF_HEAD)
        cached = self._cached.get(head)
        if cached is None or not end_of_head or len(body) != cached.body_length:
            return None
        return Request(cached.method, cached.path, cached.query, body, None, sent_after_s)

    def add(self, data: bytes, parsed: h11.Request, request: Request, conn: h11.Connection) -> None:
        """Cache the head of a request whose bytes are `data`.

        Only plain requests are cached which were received completely and at once, and after which
        the connection stays open.
        """
        head, end_of_head, body = data.partition(END_OF_HEAD)
        is_whole = body == request.body and not conn.trailing_data[0]
        if not is_whole or not end_of_head or len(head) > MAX_HEAD_LENGTH:
            return
        if not _is_plain(parsed, request) or conn.their_state is not h11.DONE:
            return
        if len(self._cached) >= MAX_HEADS:
            self._cached.clear()
        self._cached[head] = _RequestHead(
            request.method, request.path, request.query, len(request.body)
        )


def _is_plain(head: h11.Request, request: Request) -> bool:
    return (
        request.method in PLAIN_METHODS
        and head.http_version == b"1.1"
        and not any(name in UNCACHED_HEADERS for name, _ in head.headers)
    )


def response_head(status: int, body_length: int, headers: Headers, close: bool) -> h11.Response:
    """Create the head of a response."""
    fields = [("content-length", str(body_length))]
    if body_length:
        fields.append(("content-type", "application/cbor"))
    fields.extend(headers)
    if close:
        fields.append(("connection", "close"))
    return h11.Response(status_code=status, headers=fields)


class ResponseHeads:
    """A cache of serialized response heads: h11 serializes each only once."""

    def __init__(self) -> None:
        self._serialized: dict[_ResponseKey, bytes] = {}

    def get(self, status: int, body_length: int, headers: Headers, close: bool) -> bytes:
        """Return the head of a response to a plain request."""
        key = (status, body_length, headers, close)
        serialized = self._serialized.get(key)
        if serialized is None:
            if len(self._serialized) >= MAX_HEADS:
                self._serialized.clear()
            serialized = self._serialized[key] = _serialize(
                response_head(status, body_length, headers, close)
            )
        return serialized


def _serialize(head: h11.Response) -> bytes:
    """Serialize a head as h11 does after a plain request."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    while conn.next_event() is not h11.NEED_DATA and conn.their_state is not h11.DONE:
        pass
    data = conn.send(head)
    assert data is not None  # Only `ConnectionClosed` has no bytes.
    return data
