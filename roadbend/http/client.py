"""An HTTP client with a bounded pool of connections to one address."""

from datetime import timedelta
from typing import Any, NamedTuple

import h11
import trio

from roadbend.errors import UnknownOutcomeError
from roadbend.http.messages import MalformedError, decode, encode
from roadbend.http.net import Net

# Far above the size of any answer of the services that we use; a larger one is malformed.
ANSWER_LIMIT = 32 * 1024 * 1024
RECEIVE_BYTES = 64 * 1024


class NoAnswerError(UnknownOutcomeError):
    """No usable answer was received; the request may have been, or may still be, carried out."""


class Answer(NamedTuple):
    """The answer to a request."""

    status: int
    body: Any


class _Connection(NamedTuple):
    stream: trio.abc.Stream
    http: h11.Connection


class Client:
    """Sends requests to one address.

    At most `max_connections` are open at once; at most `max_idle` are kept open for reuse.
    """

    def __init__(self, net: Net, address: str, max_connections: int = 8, max_idle: int = 4) -> None:
        self.address = address
        self._net = net
        self._connection_limit = trio.CapacityLimiter(max_connections)
        self._max_idle = max_idle
        self._idle: list[_Connection] = []

    async def request(
        self, method: str, target: str, body: Any = None, *, within: timedelta
    ) -> Answer:
        """Send one request and return its answer; raise `NoAnswerError` if none comes in time."""
        try:
            with trio.fail_after(within.total_seconds()):
                async with self._connection_limit:
                    return await self._send_request(method, target, body)
        except (
            OSError,
            trio.TooSlowError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            raise NoAnswerError(f"{type(error).__name__}") from None
        except (h11.ProtocolError, MalformedError) as error:
            raise NoAnswerError(f"malformed answer: {error}") from None

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await trio.aclose_forcefully(self._idle.pop().stream)

    async def _send_request(self, method: str, target: str, body: Any) -> Answer:
        is_reused = bool(self._idle)
        connection = self._idle.pop() if is_reused else await self._open()
        stream, conn = connection
        is_reusable = False
        try:
            await stream.send_all(self._request_bytes(conn, method, target, body))
            status, data = await _read_answer(stream, conn)
            answer = Answer(status, decode(data) if data else None)
            is_complete = conn.our_state is h11.DONE and conn.their_state is h11.DONE
            if is_complete and len(self._idle) < self._max_idle:
                conn.start_next_cycle()
                is_reusable = True
            return answer
        finally:
            if is_reused and not is_reusable:
                # If a reused connection failed, the other idle ones have probably failed, too (the
                # server restarted).
                await self.close()
            if is_reusable:
                self._idle.append(connection)
            else:
                await trio.aclose_forcefully(stream)

    async def _open(self) -> _Connection:
        return _Connection(await self._net.connect(self.address), h11.Connection(h11.CLIENT))

    def _request_bytes(self, conn: h11.Connection, method: str, target: str, body: Any) -> bytes:
        payload = encode(body)
        headers = [("host", self.address), ("content-length", str(len(payload)))]
        if payload:
            headers.append(("content-type", "application/cbor"))
        out = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if payload:
            out += conn.send(h11.Data(data=payload)) or b""
        return out + (conn.send(h11.EndOfMessage()) or b"")


async def _read_answer(stream: trio.abc.Stream, conn: h11.Connection) -> tuple[int, bytes]:
    """Read an answer; return its status and body."""
    status, data = 0, bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(bytes(await stream.receive_some(RECEIVE_BYTES)))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            data += event.data
            if len(data) > ANSWER_LIMIT:
                raise MalformedError("answer too large")
        elif isinstance(event, h11.EndOfMessage):
            return status, bytes(data)
        elif isinstance(event, h11.ConnectionClosed):
            raise MalformedError("connection closed before the end of the answer")
