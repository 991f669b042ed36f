"""Streams for accepted connections."""

import socket

import trio

RECEIVE_BYTES = 64 * 1024


class AcceptedStream(trio.abc.Stream):
    """A stream over a non-blocking socket of an accepted connection.

    A server waits for the next request, which has nearly always not arrived yet: waiting before
    `recv` saves a system call and an exception for each request. Data that can be sent at once is
    sent without a checkpoint, since every wait for a request is one. With `trio.SocketStream` a
    heartbeat took twice as many turns of trio's scheduler. As with that, only one task at a time
    may receive, and one may send.
    """

    __slots__ = ("_socket",)

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes; empty at the end of the stream."""
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
        remaining = memoryview(data)
        while remaining:
            try:
                remaining = remaining[self._checked().send(remaining) :]
            except (BlockingIOError, InterruptedError):
                await trio.lowlevel.wait_writable(self._socket)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until data might be sent without blocking."""
        await trio.lowlevel.wait_writable(self._checked())

    async def aclose(self) -> None:
        """Close the connection; closing it twice does nothing."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
        await trio.lowlevel.checkpoint()

    def _checked(self) -> socket.socket:
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("the connection was closed")
        return self._socket


def accept(listener: socket.socket) -> AcceptedStream:
    """Accept the next connection; raise `BlockingIOError` if there is none."""
    sock, _ = listener.accept()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return AcceptedStream(sock)
