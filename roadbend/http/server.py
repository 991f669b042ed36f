"""Serving requests. Bodies are CBOR; a connection stays open until one side closes it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import cbor2
import h11
import trio

from roadbend.log import Log

log = Log("http")
BODY_LIMIT = 64 * 1024
# A client that says nothing for this long, or dribbles its request, is cut off.
IDLE_S = 75.0
REQUEST_S = 10.0
WRITE_S = 10.0


@dataclass(frozen=True)
class Request:
    method: str
    path: str
    query: str
    body: bytes


@dataclass(frozen=True)
class Response:
    status: int
    body: Any = None
    headers: tuple[tuple[str, str], ...] = field(default=())
    close: bool = False


class Malformed(Exception):
    """The peer's bytes are not what the protocol asks for."""


def decode(body: bytes) -> Any:
    try:
        return cbor2.loads(body)
    except Exception as error:  # cbor2 raises many kinds on hostile input
        raise Malformed(f"not CBOR: {type(error).__name__}") from None


Handle = Callable[[Request], Awaitable[Response]]


class Server:
    def __init__(self, handle: Handle, most: int):
        self._handle = handle
        self._most = most
        self._open = 0

    async def serve(self, stream: trio.abc.Stream) -> None:
        # Bounded: past the limit a connection is refused at once instead of waiting for memory.
        if self._open >= self._most:
            await trio.aclose_forcefully(stream)
            return
        self._open += 1
        try:
            await self._talk(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError, h11.ProtocolError):
            pass
        except OSError:
            pass
        except Exception:
            log.crash("connection-failed")
        finally:
            self._open -= 1
            await trio.aclose_forcefully(stream)

    async def _talk(self, stream: trio.abc.Stream) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            try:
                request = await self._read(conn, stream)
            except h11.RemoteProtocolError as error:
                with trio.move_on_after(WRITE_S):
                    await self._send(conn, stream, Response(error.error_status_hint or 400, {"error": "bad request"}))
                return
            if request is None:
                return
            if isinstance(request, Response):
                response = request
            else:
                try:
                    response = await self._handle(request)
                except Exception:
                    # One bad request must not end the process, nor leave its client waiting.
                    log.crash("request-failed", path=request.path[:80])
                    response = Response(500, {"error": "internal"})
            with trio.fail_after(WRITE_S):
                await self._send(conn, stream, response)
            if conn.our_state is not h11.DONE or conn.their_state is not h11.DONE:
                return
            conn.start_next_cycle()

    async def _read(self, conn, stream) -> Request | Response | None:
        head, body, size = None, [], 0
        scope = trio.CancelScope(deadline=trio.current_time() + IDLE_S)
        with scope:
            while True:
                event = conn.next_event()
                if event is h11.NEED_DATA:
                    if conn.they_are_waiting_for_100_continue:
                        await stream.send_all(conn.send(h11.InformationalResponse(status_code=100, headers=[])))
                    data = await stream.receive_some(65536)
                    if head is None and conn.their_state is h11.IDLE and data:
                        scope.deadline = min(scope.deadline, trio.current_time() + REQUEST_S)
                    conn.receive_data(data)
                elif isinstance(event, h11.Request):
                    head = event
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    if size > BODY_LIMIT:
                        return Response(413, {"error": "body too large"}, close=True)
                    body.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    path, _, query = head.target.decode("ascii", "replace").partition("?")
                    return Request(head.method.decode("ascii", "replace"), path, query, b"".join(body))
                else:  # the connection is closed
                    return None
        return None

    async def _send(self, conn, stream, response: Response) -> None:
        body = b"" if response.body is None else cbor2.dumps(response.body)
        headers = [("content-length", str(len(body)))]
        if body:
            headers.append(("content-type", "application/cbor"))
        headers.extend(response.headers)
        if response.close or conn.their_state is h11.ERROR:
            headers.append(("connection", "close"))
        out = conn.send(h11.Response(status_code=response.status, headers=headers))
        if body:
            out += conn.send(h11.Data(data=body))
        out += conn.send(h11.EndOfMessage())
        await stream.send_all(out)
