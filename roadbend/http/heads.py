"""Caches of heads, the part of a message before its body.

Nearly all requests and responses repeat a head to the last byte. Parsing and writing them anew took
two fifths of the processor time of a fleet's controller.
"""

from dataclasses import dataclass

import h11

from roadbend.http.messages import Headers, Request

# Heads of each kind that are remembered, and how long one of a request may be without its end.
MAX_HEADS = 4096
MAX_HEAD_LENGTH = 508
END_OF_HEAD = b"\r\n\r\n"
PLAIN_METHODS = ("GET", "POST")
# Requests with one of these are read by h11 every time.
ODD_HEADERS = {b"transfer-encoding", b"expect", b"upgrade", b"traceparent"}

_HeadKey = tuple[int, int, Headers, bool]


@dataclass(frozen=True, slots=True)
class _KnownHead:
    """What a request's head says, and how long the body after it is."""

    method: str
    path: str
    query: str
    body_length: int


class RequestHeads:
    """Heads of requests that h11 has parsed: the same bytes mean the same again."""

    def __init__(self) -> None:
        self._known: dict[bytes, _KnownHead] = {}

    def __len__(self) -> int:
        return len(self._known)

    def find(self, data: bytes, sent_after_s: float = 0.0) -> Request | None:
        """Return the request, if the bytes are a whole one with a known head."""
        head, end_of_head, body = data.partition(END_OF_HEAD)
        known = self._known.get(head)
        if known is None or not end_of_head or len(body) != known.body_length:
            return None
        return Request(known.method, known.path, known.query, body, None, sent_after_s)

    def remember(
        self, data: bytes, parsed: h11.Request, request: Request, conn: h11.Connection
    ) -> None:
        """Take in a request that came in `data`.

        Only plain ones are remembered, that came whole and in one piece, and after which the
        connection stays open.
        """
        head, end_of_head, body = data.partition(END_OF_HEAD)
        is_whole = body == request.body and not conn.trailing_data[0]
        if not is_whole or not end_of_head or len(head) > MAX_HEAD_LENGTH:
            return
        if not _is_plain(parsed, request) or conn.their_state is not h11.DONE:
            return
        if len(self._known) >= MAX_HEADS:
            self._known.clear()
        self._known[head] = _KnownHead(
            request.method, request.path, request.query, len(request.body)
        )


def _is_plain(head: h11.Request, request: Request) -> bool:
    return (
        request.method in PLAIN_METHODS
        and head.http_version == b"1.1"
        and not any(name in ODD_HEADERS for name, _ in head.headers)
    )


def response_head(status: int, body_length: int, headers: Headers, close: bool) -> h11.Response:
    """Make the head of a response."""
    fields = [("content-length", str(body_length))]
    if body_length:
        fields.append(("content-type", "application/cbor"))
    fields.extend(headers)
    if close:
        fields.append(("connection", "close"))
    return h11.Response(status_code=status, headers=fields)


class ResponseHeads:
    """Bytes of heads of responses: h11 writes each kind once."""

    def __init__(self) -> None:
        self._written: dict[_HeadKey, bytes] = {}

    def get(self, status: int, body_length: int, headers: Headers, close: bool) -> bytes:
        """Return the head of a response to a plain request."""
        key = (status, body_length, headers, close)
        found = self._written.get(key)
        if found is None:
            if len(self._written) >= MAX_HEADS:
                self._written.clear()
            found = self._written[key] = _write(response_head(status, body_length, headers, close))
        return found


def _write(head: h11.Response) -> bytes:
    """Return a head's bytes, as h11 writes them after a plain request."""
    conn = h11.Connection(h11.SERVER)
    conn.receive_data(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
    while conn.next_event() is not h11.NEED_DATA and conn.their_state is not h11.DONE:
        pass
    data = conn.send(head)
    assert data is not None  # Only the end of a connection has no bytes.
    return data
