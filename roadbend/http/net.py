"""The network as the rest of the program sees it; tests put a fake in its place."""

import socket
from collections.abc import Awaitable, Callable

import trio

from roadbend.errors import RoadbendError
from roadbend.log import Log

log = Log("http")
# Connections that wait to be accepted; they take sockets, too. Whoever finds no place tries the
# next controller, and a longer queue would be of clients that have given up.
BACKLOG = 128
# Connections accepted before other tasks have their turn, and the pause after the system had no
# sockets left.
ACCEPTED_AT_ONCE = 32
REFUSED_PAUSE_S = 0.1
RECEIVE_BYTES = 64 * 1024

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class ListenError(RoadbendError):
    """An address can't be listened on; the message says which and why."""


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class _Accepted(trio.abc.Stream):
    """A connection that somebody opened to us, on a plain socket that does not block.

    Those who serve wait for the next request, and nearly always it is not there yet: waiting first
    saves a system call, and an exception, for each. What can be sent at once is sent without giving
    way to other tasks, which every wait for a request does. A report took twice as many turns of
    the scheduler over `trio.SocketStream`. As with that, one task at a time may receive, and one
    send."""

    __slots__ = ("_socket",)

    def __init__(self, sock: socket.socket):
        self._socket = sock

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        while True:
            await trio.lowlevel.wait_readable(self._checked())
            try:
                return self._checked().recv(max_bytes or RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def send_all(self, data) -> None:
        left = memoryview(data)
        while left:
            try:
                left = left[self._checked().send(left) :]
            except (BlockingIOError, InterruptedError):
                await trio.lowlevel.wait_writable(self._socket)
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.wait_writable(self._checked())

    async def aclose(self) -> None:
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
        await trio.lowlevel.checkpoint()

    def _checked(self) -> socket.socket:
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("this connection was closed")
        return self._socket


def _accept(listener: socket.socket) -> _Accepted:
    """The next connection that waits; raises `BlockingIOError` where none does."""
    sock, _ = listener.accept()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return _Accepted(sock)


def _bind(listener: socket.socket, address: str) -> None:
    """Listen on an address; raise `ListenError` where it is taken, not ours or no address."""
    try:
        listener.bind(split(address))
        listener.listen(BACKLOG)
    # The last two are what the system's interface raises for hosts and ports that it can't encode.
    except (OSError, ValueError, TypeError, OverflowError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ListenError(f"can't listen on {address!r}: {reason}") from None


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
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.setblocking(False)
            _bind(listener, address)
            async with trio.open_nursery() as nursery:
                task_status.started()
                while True:
                    await trio.lowlevel.wait_readable(listener)
                    try:
                        for _ in range(ACCEPTED_AT_ONCE):
                            nursery.start_soon(handler, _accept(listener))
                    except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                        pass
                    except OSError as error:
                        # No sockets or no memory left: those who end leave some.
                        log.error("connection-not-accepted", error=error)
                        await trio.sleep(REFUSED_PAUSE_S)
