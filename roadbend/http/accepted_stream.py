"""A connection that somebody opened to us."""

import socket

import trio

RECEIVE_BYTES = 64 * 1024


class AcceptedStream(trio.abc.Stream):
    """A connection that somebody opened to us, on a plain socket that does not block.

    Those who serve wait for the next request, and nearly always it is not there yet: waiting first
    saves a system call, and an exception, for each. What can be sent at once is sent without giving
    way to other tasks, which every wait for a request does. A heartbeat took twice as many turns of
    the scheduler over `trio.SocketStream`. As with that, one task at a time may receive, and one
    send.
    """

    __slots__ = ("_socket",)

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes; none where the other side is done."""
        while True:
            await trio.lowlevel.wait_readable(self._checked())
            try:
                return self._checked().recv(max_bytes or RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all of the bytes."""
        left = memoryview(data)
        while left:
            try:
                left = left[self._checked().send(left) :]
            except (BlockingIOError, InterruptedError):
                await trio.lowlevel.wait_writable(self._socket)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def wait_send_all_might_not_block(self) -> None:
        """Return when something might be sent at once."""
        await trio.lowlevel.wait_writable(self._checked())

    async def aclose(self) -> None:
        """Close the connection; closing it twice does nothing."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
        await trio.lowlevel.checkpoint()

    def _checked(self) -> socket.socket:
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("this connection was closed")
        return self._socket


def accept(listener: socket.socket) -> AcceptedStream:
    """Return the next connection that waits; raise `BlockingIOError` where none does."""
    sock, _ = listener.accept()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return AcceptedStream(sock)
