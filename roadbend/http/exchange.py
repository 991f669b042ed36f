"""HTTP/1.1 on one connection of a server: reading requests and writing responses."""

import h11
import trio

from roadbend.http.connections import OpenConnection
from roadbend.http.heads import RequestHeads, ResponseHeads, response_head
from roadbend.http.messages import Request, Response, encode

BODY_LIMIT = 64 * 1024
RECEIVE_BYTES = 64 * 1024
# A connection is closed if its request has not arrived completely within this time.
REQUEST_TIMEOUT_S = 10.0


class Exchange:
    """The requests and responses of one connection.

    A request whose head is cached bypasses h11, and so does its response.
    """

    __slots__ = (
        "_conn",
        "_connection",
        "_has_trailing_data",
        "_is_head_cached",
        "_request_heads",
        "_response_heads",
        "_stream",
    )

    def __init__(
        self,
        stream: trio.abc.Stream,
        connection: OpenConnection,
        request_heads: RequestHeads,
        response_heads: ResponseHeads,
    ) -> None:
        self._stream = stream
        self._connection = connection
        self._request_heads = request_heads
        self._response_heads = response_heads
        self._conn = h11.Connection(h11.SERVER)
        # Whether the last request's head was cached.
        self._is_head_cached = False
        # Whether h11 holds bytes of a further request, which the client pipelined.
        self._has_trailing_data = False

    async def receive(self, sent_after_s: float) -> Request | Response | None:
        """Return the next request, a response that rejects it, or None after the last one.

        `sent_after_s` is the time, in seconds of the steady clock, before which the client can't
        have sent it. Raises `h11.RemoteProtocolError` for malformed requests.
        """
        data = None
        if not self._has_trailing_data:
            received = await self._stream.receive_some(RECEIVE_BYTES)
            data = received if type(received) is bytes else bytes(received)
            self._connection.deadline = trio.current_time() + REQUEST_TIMEOUT_S
            request = self._request_heads.find(data, sent_after_s)
            if request is not None:
                self._is_head_cached = True
                return request
        self._is_head_cached = False
        return await self._read(data, sent_after_s)

    async def send(self, response: Response) -> bool:
        """Send a response; return whether another request may follow."""
        body = encode(response.body)
        if self._is_head_cached:
            head = self._response_heads.get(
                response.status, len(body), response.headers, response.close
            )
            await self._stream.send_all(head + body)
            return not response.close
        conn = self._conn
        close = response.close or conn.their_state is h11.ERROR
        out = conn.send(response_head(response.status, len(body), response.headers, close)) or b""
        if body:
            out += conn.send(h11.Data(data=body)) or b""
        out += conn.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(out)
        if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
            return False
        conn.start_next_cycle()
        self._has_trailing_data = bool(conn.trailing_data[0])
        return True

    async def _read(self, first: bytes | None, sent_after_s: float) -> Request | Response | None:
        """Read a request with h11, starting with the bytes that have already been received."""
        head: h11.Request | None = None
        body: list[bytes] = []
        size, data = 0, first
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                await self._send_continue()
                if data is None:
                    first = None
                    data = bytes(await self._stream.receive_some(RECEIVE_BYTES))
                self._conn.receive_data(data)
                data = None
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > BODY_LIMIT:
                    return Response(413, {"error": "body too large"}, close=True)
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return self._finish(head, b"".join(body), first, sent_after_s)
            else:  # The connection is closed.
                return None

    async def _send_continue(self) -> None:
        """Send `100 Continue` to a client that waits for it before it sends the body."""
        if self._conn.they_are_waiting_for_100_continue:
            head = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._conn.send(head) or b"")

    def _finish(
        self, head: h11.Request, body: bytes, first: bytes | None, sent_after_s: float
    ) -> Request:
        """Create the request; `first` holds its bytes if they were received at once."""
        path, _, query = head.target.decode("ascii", "replace").partition("?")
        request = Request(
            method=head.method.decode("ascii", "replace"),
            path=path,
            query=query,
            body=body,
            trace_parent=_trace_parent(head),
            sent_after_s=sent_after_s,
        )
        if first is not None:
            self._request_heads.add(first, head, request, self._conn)
        return request


def _trace_parent(head: h11.Request) -> str | None:
    for name, value in head.headers:
        if name == b"traceparent":
            return value.decode("ascii", "replace")
    return None
