"""An HTTP server; connections stay open until one side closes them."""

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
# A connection is closed if it is idle for this long, or if its response can't be sent in this time.
IDLE_TIMEOUT_S = 75.0
WRITE_TIMEOUT_S = 10.0
# The interval of checking all connections for these timeouts.
SWEEP_INTERVAL_S = 1.0
MAX_LOGGED_PATH = 80


class Server:
    """Answers requests by calling `handle`.

    At most `max_connections` are open at once; `reserved` of these are kept free for new clients by
    closing connections after their responses. `prioritized` selects the requests whose connections
    are kept in preference to all others, and for at least `stale_after_s` seconds without another
    request.
    """

    def __init__(
        self,
        handle: Handle,
        max_connections: int,
        prioritized: Callable[[Request], bool] | None = None,
        stale_after_s: float = IDLE_TIMEOUT_S,
        reserved: int = 0,
    ) -> None:
        self._handle = handle
        self._prioritized = prioritized
        self._connections = ConnectionTable(max_connections, reserved, stale_after_s)
        self._request_heads = RequestHeads()
        self._response_heads = ResponseHeads()

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Answer the requests of one connection until it is closed."""
        connection = self._connections.add(trio.current_time() + IDLE_TIMEOUT_S)
        if connection is None:
            await trio.aclose_forcefully(stream)
            return
        try:
            with connection.scope:
                await self._answer_all(stream, connection)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        except Exception:
            # A failure on one connection must not end the process.
            log.crash("connection-failed")
        finally:
            self._connections.remove(connection)
            await trio.aclose_forcefully(stream)

    async def sweep(self) -> None:
        """Close connections that are idle, send too slowly, or don't read their responses.

        A periodic check of all connections is cheaper than a timer for each request.
        """
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self._connections.close_overdue(trio.current_time())

    async def _answer_all(self, stream: trio.abc.Stream, connection: OpenConnection) -> None:
        exchange = Exchange(stream, connection, self._request_heads, self._response_heads)
        is_open = True
        while is_open:
            now = trio.current_time()
            connection.deadline = now + IDLE_TIMEOUT_S
            connection.waiting[connection] = now
            try:
                request = await exchange.receive(now)
            except h11.RemoteProtocolError as error:
                connection.deadline = trio.current_time() + WRITE_TIMEOUT_S
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
            connection.deadline = trio.current_time() + WRITE_TIMEOUT_S
            if self._connections.is_crowded() and not response.close:
                response = replace(response, close=True)
            is_open = await exchange.send(response)

    async def _answer(self, request: Request, connection: OpenConnection) -> Response:
        is_prioritized = self._prioritized is not None and self._prioritized(request)
        connections = self._connections
        connection.waiting = connections.prioritized if is_prioritized else connections.other
        # The handler bounds the time that it takes.
        connection.deadline = math.inf
        try:
            return await self._handle(request)
        except Exception:
            # A failed request must neither end the process nor leave its client without a response.
            log.crash("request-failed", path=request.path[:MAX_LOGGED_PATH])
            return Response(500, {"error": "internal"})
