"""Requests and answers as bytes, without the package's own client and server."""

from dataclasses import dataclass, field
from typing import Any

import cbor2
import h11
import trio

READ_SIZE = 65536


def request_bytes(method: str, path: str, body: bytes) -> bytes:
    """A request as a user or a worker sends it."""
    head = f"{method} {path} HTTP/1.1\r\nhost: controller\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def exchange(stream: trio.abc.Stream, request: bytes) -> tuple[str, bytes]:
    """Sends a request and gives the answer's head, as it came, and its body."""
    await stream.send_all(request)
    data = b""
    while b"\r\n\r\n" not in data:
        data += await _more(stream)
    head, _, body = data.partition(b"\r\n\r\n")
    while len(body) < _content_length(head):
        body += await _more(stream)
    return head.decode(), body


async def _more(stream: trio.abc.Stream) -> bytes:
    data = await stream.receive_some(READ_SIZE)
    assert data, "the connection was closed amid an answer"
    return bytes(data)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


@dataclass
class Sent:
    """A request that a connection carried, and its answer."""

    sender: str
    receiver: str
    method: str
    target: str
    head: str
    body: Any
    status: int | None = None
    answer: Any = None


@dataclass
class _Connection:
    sender: str
    receiver: str
    requests: h11.Connection = field(default_factory=lambda: h11.Connection(h11.SERVER))
    answers: h11.Connection = field(default_factory=lambda: h11.Connection(h11.CLIENT))
    sent: list[Sent] = field(default_factory=list)
    body: bytes = b""
    answer: bytes = b""
    raw: bytes = b""


class Traffic:
    """What went over a network in memory, put together to requests and answers."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []
        # Data between controllers, which is not HTTP.
        self.frames: list[tuple[str, str, bytes]] = []
        self._connections: dict[int, _Connection] = {}

    def note(self, number: int, sender: str, receiver: str, data: bytes | None) -> None:
        """Takes in what `adapter.watched_network` tells of."""
        if data is None:
            self._connections[number] = _Connection(sender, receiver)
            return
        connection = self._connections[number]
        if ":81" in sender + receiver:
            self.frames.append((sender, receiver, data))
        elif sender == connection.sender:
            self._note_request(connection, data)
        elif data:
            self._note_answer(connection, data)

    def _note_request(self, connection: _Connection, data: bytes) -> None:
        connection.requests.receive_data(data)
        connection.raw += data
        while (event := connection.requests.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Request):
                head = connection.raw.partition(b"\r\n\r\n")[0].decode()
                row = Sent(
                    connection.sender,
                    connection.receiver,
                    event.method.decode(),
                    event.target.decode(),
                    head,
                    None,
                )
                connection.sent.append(row)
                self.sent.append(row)
            elif isinstance(event, h11.Data):
                connection.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                connection.sent[-1].body = _decoded(connection.body)
                connection.body = connection.raw = b""
                # The other side's answer is looked at elsewhere; here the next request may come.
                connection.requests = h11.Connection(h11.SERVER)

    def _note_answer(self, connection: _Connection, data: bytes) -> None:
        if connection.answers.our_state is h11.IDLE:
            connection.answers.send(
                h11.Request(method="GET", target="/", headers=[("host", "any")])
            )
            connection.answers.send(h11.EndOfMessage())
        connection.answers.receive_data(data)
        while (event := connection.answers.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.Response):
                connection.sent[-1].status = event.status_code
            elif isinstance(event, h11.Data):
                connection.answer += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                connection.sent[-1].answer = _decoded(connection.answer)
                connection.answer, connection.answers = b"", h11.Connection(h11.CLIENT)
                return
            else:
                return


def _decoded(body: bytes) -> Any:
    return cbor2.loads(body) if body else None
