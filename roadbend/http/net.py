"""The network as the rest of the program sees it; tests put a fake in its place."""

import socket
from collections.abc import Awaitable, Callable

import trio

from roadbend.errors import PermanentError
from roadbend.http.accepted_stream import accept
from roadbend.log import Log

log = Log("http")
# Connections that wait to be accepted; they take sockets, too. Whoever finds no place tries the
# next controller, and a longer queue would be of clients that have given up.
BACKLOG = 128
# Connections accepted before other tasks have their turn, and the pause after the system had no
# sockets left.
ACCEPTED_AT_ONCE = 32
REFUSED_PAUSE_S = 0.1

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class ListenError(PermanentError):
    """An address can't be listened on; the message says which and why."""


def split(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


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
        """Open a connection; raise `OSError` where that fails."""
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_STREAM)
        try:
            sock.setsockopt(trio.socket.IPPROTO_TCP, trio.socket.TCP_NODELAY, 1)
            await sock.connect(split(address))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def listen(
        self,
        address: str,
        handler: Handler,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Hand connections to `handler`, each in a task of its own, until cancelled.

        Raises `ListenError` before it has started.
        """
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
                            nursery.start_soon(handler, accept(listener))
                    except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                        pass
                    except OSError as error:
                        # No sockets or no memory left: those who end leave some.
                        log.error("connection-not-accepted", error=error)
                        await trio.sleep(REFUSED_PAUSE_S)
