"""Serving requests; a connection stays open until one side closes it."""

import math
from collections.abc import Callable
from dataclasses import replace

import h11
import trio

from roadbend.http.connections import ConnectionTable, OpenConnection
from roadbend.http.exchange import Exchange
from roadbend.http.heads import RequestHeads, ResponseHeads
from roadbend.http.messages import Handle, MalformedError, Request, Response, decode
from roadbend.log import Log

__all__ = ["MalformedError", "Request", "Response", "Server", "decode"]

log = Log("http")
# A client that says nothing for this long, or does not take its response, is cut off.
IDLE_S = 75.0
WRITE_S = 10.0
# How often all connections are looked at for that.
SWEEP_S = 1.0
MAX_LOGGED_PATH = 80


class Server:
    """Answers requests with what `handle` makes of them.

    `most`: connections at once. `favoured`: requests whose connections are kept before all others,
    and for `stale` seconds at least without another request. `spare`: so many connections are kept
    free for those who come, by closing others after their responses.
    """

    def __init__(
        self,
        handle: Handle,
        max_connections: int,
        prioritized: Callable[[Request], bool] | None = None,
        stale_after_s: float = IDLE_S,
        reserved: int = 0,
    ) -> None:
        self._handle = handle
        self._prioritized = prioritized
        self._connections = ConnectionTable(max_connections, reserved, stale_after_s)
        self._request_heads = RequestHeads()
        self._response_heads = ResponseHeads()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection until it is over."""
        connection = self._connections.add(trio.current_time() + IDLE_S)
        if connection is None:
            await trio.aclose_forcefully(stream)
            return
        try:
            with connection.scope:
                await self._answer_all(stream, connection)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        except Exception:
            # One bad connection must not end the process.
            log.crash("connection-failed")
        finally:
            self._connections.remove(connection)
            await trio.aclose_forcefully(stream)

    async def sweep(self) -> None:
        """End connections that say nothing, dribble, or don't take their response.

        One look at all of them now and then is cheaper than a timer for each request.
        """
        while True:
            await trio.sleep(SWEEP_S)
            self._connections.end_overdue(trio.current_time())

    async def _answer_all(self, stream: trio.abc.Stream, connection: OpenConnection) -> None:
        exchange = Exchange(stream, connection, self._request_heads, self._response_heads)
        is_open = True
        while is_open:
            now = trio.current_time()
            connection.deadline = now + IDLE_S
            connection.waiting[connection] = now
            try:
                request = await exchange.receive(now)
            except h11.RemoteProtocolError as error:
                connection.deadline = trio.current_time() + WRITE_S
                status = error.error_status_hint or 400
                await exchange.send(Response(status, {"error": "bad request"}))
                return
            finally:
                connection.waiting.pop(connection, None)
            if request is None:
                return
            response = (
                await self._answer(request, connection) if isinstance(request, Request) else request
            )
            connection.deadline = trio.current_time() + WRITE_S
            if self._connections.is_crowded() and not response.close:
                response = replace(response, close=True)
            is_open = await exchange.send(response)

    async def _answer(self, request: Request, connection: OpenConnection) -> Response:
        is_prioritized = self._prioritized is not None and self._prioritized(request)
        connections = self._connections
        connection.waiting = connections.prioritized if is_prioritized else connections.other
        # What a response takes is bounded by whoever makes it.
        connection.deadline = math.inf
        try:
            return await self._handle(request)
        except Exception:
            # One bad request must not end the process, nor leave its client waiting.
            log.crash("request-failed", path=request.path[:MAX_LOGGED_PATH])
            return Response(500, {"error": "internal"})
