"""A proxy that can hold back what is sent, as an interrupted network does."""

from contextlib import suppress

import trio

RECEIVE_BYTES = 65536


class HoldingProxy:
    """Forwards connections to one address, unless it holds everything back.

    What is held back is delivered in order when the interruption ends, in both directions. A
    connection that was attempted meanwhile does not complete later: it hangs, and is closed then.
    """

    def __init__(self, listen: str, target: str) -> None:
        self.listen, self._target = listen, target
        self._open = trio.Event()
        self._open.set()

    def hold(self) -> None:
        """Hold back everything from now on."""
        self._open = trio.Event()

    def release(self) -> None:
        """End the interruption."""
        self._open.set()

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept connections until cancelled."""
        host, port = self.listen.split(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        if not self._open.is_set():
            await self._open.wait()
            await client.aclose()
            return
        host, port = self._target.split(":")
        with suppress(OSError):
            server = await trio.open_tcp_stream(host, int(port))
            async with client, server, trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, client, server, nursery.cancel_scope)
                nursery.start_soon(self._forward, server, client, nursery.cancel_scope)

    async def _forward(
        self, source: trio.SocketStream, target: trio.SocketStream, scope: trio.CancelScope
    ) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await source.receive_some(RECEIVE_BYTES):
                await self._open.wait()
                await target.send_all(data)
            await self._open.wait()
        scope.cancel()
