"""Serving requests. Bodies are CBOR; a connection stays open until one side closes it."""

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import cbor2
import h11
import trio

from roadbend.errors import PermanentError
from roadbend.log import Log

log = Log("http")
BODY_LIMIT = 64 * 1024
# A client that says nothing for this long, or dribbles its request, is cut off.
IDLE_S = 75.0
REQUEST_S = 10.0
WRITE_S = 10.0
# How often all connections are looked at for that.
SWEEP_S = 1.0
# Heads of requests and of answers that are remembered, and how long one may be.
MAX_HEADS = 4096
MAX_HEAD = 512
# Requests with one of these are read by h11 every time.
ODD_HEADERS = {b"transfer-encoding", b"expect", b"upgrade", b"traceparent"}


@dataclass(frozen=True)
class Request:
    """A request that came whole."""

    method: str
    path: str
    query: str
    body: bytes
    # The W3C trace context that came with it, unchecked.
    trace_parent: str | None = None


@dataclass(frozen=True)
class Response:
    """What a request is answered."""

    status: int
    body: Any = None
    headers: tuple[tuple[str, str], ...] = field(default=())
    close: bool = False


class MalformedError(PermanentError):
    """The peer's bytes are not what the protocol asks for."""


def decode(body: bytes) -> Any:
    try:
        return cbor2.loads(body)
    except Exception as error:  # cbor2 raises many kinds on hostile input
        raise MalformedError(f"not CBOR: {type(error).__name__}") from None


Handle = Callable[[Request], Awaitable[Response]]


def _trace_parent(head: h11.Request) -> str | None:
    for name, value in head.headers:
        if name == b"traceparent":
            return value.decode("ascii", "replace")
    return None


# What a connection is known to be for by its last request.
OTHER, FAVOURED, NEW = range(3)


class _Link:
    """A connection that is open: whether it waits for a request, and until when it may."""

    __slots__ = ("scope", "until", "kind")

    def __init__(self, until: float):
        self.scope = trio.CancelScope()
        self.until = until
        self.kind = NEW


class Server:
    """`most`: connections at once. `favoured`: requests whose connections are kept before all
    others, and for `stale` seconds at least without another request. `spare`: so many connections
    are kept free for those who come, by closing others after their answers."""

    def __init__(
        self,
        handle: Handle,
        most: int,
        favoured: Callable[[Request], bool] | None = None,
        stale: float = IDLE_S,
        spare: int = 0,
    ):
        self._handle, self._most, self._spare = handle, most, spare
        self._favoured, self._stale = favoured, stale
        self._links: set[_Link] = set()
        # Those that wait for a request, by kind, the longest waiting first.
        self._waiting: tuple[OrderedDict[_Link, float], ...] = (
            OrderedDict(),
            OrderedDict(),
            OrderedDict(),
        )
        # Heads of requests that h11 has parsed, with what they say and how long their bodies are,
        # and of answers.
        self._heads: dict[bytes, tuple[str, str, str, int]] = {}
        self._answers: dict[tuple, bytes] = {}

    async def serve(self, stream: trio.abc.Stream) -> None:
        # Bounded: past the limit a connection that only waits makes room, or else the new one is
        # refused at once instead of waiting for memory.
        if len(self._links) >= self._most and not self._make_room():
            await trio.aclose_forcefully(stream)
            return
        link = _Link(trio.current_time() + IDLE_S)
        self._links.add(link)
        try:
            with link.scope:
                await self._talk(stream, link)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        except OSError:
            pass
        except Exception:
            log.crash("connection-failed")
        finally:
            self._forget(link)
            await trio.aclose_forcefully(stream)

    async def sweep(self) -> None:
        """Ends connections that say nothing, dribble, or don't take their answer. One look at all
        of them now and then is cheaper than a timer for each request."""
        while True:
            await trio.sleep(SWEEP_S)
            now = trio.current_time()
            for link in [link for link in self._links if link.until < now]:
                self._drop(link)

    def _forget(self, link: _Link) -> None:
        self._links.discard(link)
        self._waiting[link.kind].pop(link, None)

    def _drop(self, link: _Link) -> None:
        self._forget(link)
        link.scope.cancel()

    def _is_crowded(self) -> bool:
        """Whether connections are closed after their answers, so that more clients than there are
        connections take turns: a worker that found no connection would lose its lease."""
        return self._spare > 0 and len(self._links) > self._most - self._spare

    def _make_room(self) -> bool:
        """Ends the connection that has waited longest. Workers' are kept from users' storms: one of
        theirs goes only when a living worker would long have used it, as after a cut that left it
        half open. One that has just been opened goes last, for it may be a worker's that is about
        to speak."""
        for kind in (OTHER, FAVOURED, NEW):
            link, since = next(iter(self._waiting[kind].items()), (None, 0.0))
            if link is not None and (kind != FAVOURED or trio.current_time() - since > self._stale):
                self._drop(link)
                return True
        return False

    async def _talk(self, stream: trio.abc.Stream, link: _Link) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            now = trio.current_time()
            link.until = now + IDLE_S
            self._waiting[link.kind][link] = now
            try:
                # Where a client sent more than one request at once, h11 has the rest.
                data = None if conn.trailing_data[0] else await self._receive(stream, link)
                request = self._known(data) if data is not None else None
                known = request is not None
                if not known:
                    request = await self._read(conn, stream, data)
            except h11.RemoteProtocolError as error:
                link.until = trio.current_time() + WRITE_S
                await self._send(
                    conn, stream, Response(error.error_status_hint or 400, {"error": "bad request"})
                )
                return
            finally:
                self._waiting[link.kind].pop(link, None)
            if request is None:
                return
            if isinstance(request, Response):
                response = request
            else:
                link.kind = (
                    FAVOURED if self._favoured is not None and self._favoured(request) else OTHER
                )
                # What an answer takes is bounded by whoever makes it.
                link.until = float("inf")
                try:
                    response = await self._handle(request)
                except Exception:
                    # One bad request must not end the process, nor leave its client waiting.
                    log.crash("request-failed", path=request.path[:80])
                    response = Response(500, {"error": "internal"})
            link.until = trio.current_time() + WRITE_S
            if self._is_crowded() and not response.close:
                response = replace(response, close=True)
            if known:
                body = b"" if response.body is None else cbor2.dumps(response.body)
                await stream.send_all(
                    self._head(response.status, len(body), response.headers, response.close) + body
                )
                if response.close:
                    return
                continue
            await self._send(conn, stream, response)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _receive(self, stream, link: _Link) -> bytes:
        """The first bytes of a request; empty where the other side is done."""
        data = bytes(await stream.receive_some(65536))
        link.until = trio.current_time() + REQUEST_S
        return data

    def _known(self, data: bytes) -> Request | None:
        """A whole request whose head, to the last byte, h11 has parsed before: it means the same
        again. Nearly all are, and reading them anew took two fifths of the processor time of a
        fleet's controller."""
        end = data.find(b"\r\n\r\n") + 4
        known = self._heads.get(data[:end])
        if known is None or len(data) - end != known[3]:
            return None
        return Request(known[0], known[1], known[2], data[end:])

    def _remember(
        self, data: bytes, head: h11.Request, request: Request, conn: h11.Connection
    ) -> None:
        """Only plain requests that came whole and in one piece, after which the connection stays
        open."""
        end = data.find(b"\r\n\r\n") + 4
        plain = (
            request.method in ("GET", "POST")
            and head.http_version == b"1.1"
            and conn.their_state is h11.DONE
        )
        odd = any(name in ODD_HEADERS for name, _ in head.headers)
        if (
            plain
            and not odd
            and 4 <= end <= MAX_HEAD
            and data[end:] == request.body
            and not conn.trailing_data[0]
        ):
            if len(self._heads) >= MAX_HEADS:
                self._heads.clear()
            self._heads[data[:end]] = (
                request.method,
                request.path,
                request.query,
                len(request.body),
            )

    async def _read(self, conn, stream, first: bytes | None) -> Request | Response | None:
        head, body, size, data = None, [], 0, first
        while True:
            event = conn.next_event()
            if event is h11.NEED_DATA:
                if conn.they_are_waiting_for_100_continue:
                    await stream.send_all(
                        conn.send(h11.InformationalResponse(status_code=100, headers=[]))
                    )
                if data is None:
                    first = None
                    data = await stream.receive_some(65536)
                conn.receive_data(data)
                data = None
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > BODY_LIMIT:
                    return Response(413, {"error": "body too large"}, close=True)
                body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                path, _, query = head.target.decode("ascii", "replace").partition("?")
                request = Request(
                    head.method.decode("ascii", "replace"),
                    path,
                    query,
                    b"".join(body),
                    _trace_parent(head),
                )
                if first is not None:
                    self._remember(first, head, request, conn)
                return request
            else:  # the connection is closed
                return None

    def _answer(
        self, status: int, size: int, more: tuple[tuple[str, str], ...], close: bool
    ) -> h11.Response:
        headers = [("content-length", str(size))]
        if size:
            headers.append(("content-type", "application/cbor"))
        headers.extend(more)
        if close:
            headers.append(("connection", "close"))
        return h11.Response(status_code=status, headers=headers)

    def _head(
        self, status: int, size: int, more: tuple[tuple[str, str], ...], close: bool
    ) -> bytes:
        """Heads of answers are alike: h11 writes each kind once."""
        key = (status, size, more, close)
        found = self._answers.get(key)
        if found is None:
            conn = h11.Connection(h11.SERVER)
            conn.receive_data(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            while conn.next_event() is not h11.NEED_DATA and conn.their_state is not h11.DONE:
                pass
            if len(self._answers) >= MAX_HEADS:
                self._answers.clear()
            found = self._answers[key] = conn.send(self._answer(status, size, more, close))
        return found

    async def _send(self, conn, stream, response: Response) -> None:
        body = b"" if response.body is None else cbor2.dumps(response.body)
        close = response.close or conn.their_state is h11.ERROR
        out = conn.send(self._answer(response.status, len(body), response.headers, close))
        if body:
            out += conn.send(h11.Data(data=body))
        out += conn.send(h11.EndOfMessage())
        await stream.send_all(out)
