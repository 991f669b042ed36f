"""The network as the rest of the program sees it; tests put a fake in its place."""

from collections.abc import Awaitable, Callable

import trio

# Connections that wait to be accepted: after a controller ends, all its workers come at once.
BACKLOG = 4096

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class _Accepted(trio.abc.Stream):
    """Those who serve wait for the next request, and nearly always it is not there yet: waiting
    first saves a system call, and an exception, for each."""

    def __init__(self, stream: trio.SocketStream):
        self._stream = stream

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        await trio.lowlevel.wait_readable(self._stream.socket)
        return await self._stream.receive_some(max_bytes)

    async def send_all(self, data) -> None:
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._stream.wait_send_all_might_not_block()

    async def aclose(self) -> None:
        await self._stream.aclose()


class Net:
    """TCP over IPv4, by number; nothing is ever looked up."""

    async def connect(self, address: str) -> trio.abc.Stream:
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            await sock.connect(split(address))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def listen(
        self, address: str, handler: Handler, *, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        host, port = split(address)
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
        await sock.bind((host, port))
        sock.listen(BACKLOG)

        async def accepted(stream: trio.SocketStream) -> None:
            await handler(_Accepted(stream))

        await trio.serve_listeners(accepted, [trio.SocketListener(sock)], task_status=task_status)
