"""HTTP requests and responses as bytes, without the package's own client and server."""

from dataclasses import dataclass, field
from typing import Any

import cbor2
import h11
import trio

READ_SIZE = 65536


def request_bytes(method: str, path: str, body: bytes) -> bytes:
    """Return a request as a user or a worker sends it."""
    head = f"{method} {path} HTTP/1.1\r\nhost: controller\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def exchange(stream: trio.abc.Stream, request: bytes) -> tuple[str, bytes]:
    """Send a request; return the head of the response, as received, and its body."""
    await stream.send_all(request)
    data = b""
    while b"\r\n\r\n" not in data:
        data += await _receive(stream)
    head, _, body = data.partition(b"\r\n\r\n")
    while len(body) < _content_length(head):
        body += await _receive(stream)
    return head.decode(), body


async def _receive(stream: trio.abc.Stream) -> bytes:
    data = await stream.receive_some(READ_SIZE)
    assert data, "the connection was closed within a response"
    return bytes(data)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


@dataclass
class RecordedRequest:
    """A request sent over a connection, and its response."""

    sender: str
    receiver: str
    method: str
    target: str
    head: str
    body: Any
    status: int | None = None
    response: Any = None


@dataclass
class _Connection:
    sender: str
    receiver: str
    request_parser: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))
    response_parser: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    requests: list[RecordedRequest] = field(default_factory=list)
    request_body: bytes = b""
    response_body: bytes = b""
    raw_request: bytes = b""


class Traffic:
    """Records the data sent over an in-memory network as requests with their responses."""

    def __init__(self) -> None:
        self.requests: list[RecordedRequest] = []
        # Sender, receiver and data between controllers, which don't use HTTP.
        self.frames: list[tuple[str, str, bytes]] = []
        self._connections: dict[int, _Connection] = {}

    def record_data(self, number: int, sender: str, receiver: str, data: bytes | None) -> None:
        """Record data passed by `adapter.intercept_network`; None means a new connection."""
        if data is None:
            self._connections[number] = _Connection(sender, receiver)
            return
        connection = self._connections[number]
        if ":81" in sender + receiver:
            self.frames.append((sender, receiver, data))
        elif sender == connection.sender:
            self._record_request(connection, data)
        elif data:
            self._record_response(connection, data)

    def _record_request(self, connection: _Connection, data: bytes) -> None:
        connection.request_parser.receive_data(data)
        connection.raw_request += data
        while (event := connection.request_parser.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Request):
                head = connection.raw_request.partition(b"\r\n\r\n")[0].decode()
                request = RecordedRequest(
                    connection.sender,
                    connection.receiver,
                    event.method.decode(),
                    event.target.decode(),
                    head,
                    None,
                )
                connection.requests.append(request)
                self.requests.append(request)
            elif isinstance(event, h11.Data):
                connection.request_body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                connection.requests[-1].body = _decode(connection.request_body)
                connection.request_body = connection.raw_request = b""
                # Responses have a parser of their own; a new parser here accepts the next request.
                connection.request_parser = h11.Connection(h11.SERVER)

    def _record_response(self, connection: _Connection, data: bytes) -> None:
        if connection.response_parser.our_state is h11.IDLE:
            connection.response_parser.send(
                h11.Request(method="GET", target="/", headers=[("host", "any")])
            )
            connection.response_parser.send(h11.EndOfMessage())
        connection.response_parser.receive_data(data)
        while (event := connection.response_parser.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response):
                connection.requests[-1].status = event.status_code
            elif isinstance(event, h11.Data):
                connection.response_body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                connection.requests[-1].response = _decode(connection.response_body)
                connection.response_body, connection.response_parser = (
                    b"",
                    h11.Connection(h11.CLIENT),
                )
                return
            else:
                return


def _decode(body: bytes) -> Any:
    return cbor2.loads(body) if body else None
