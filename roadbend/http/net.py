"""TCP connections and listeners; tests replace them with a fake network."""

import socket
from collections.abc import Awaitable, Callable

import trio

from roadbend.errors import PermanentError
from roadbend.http.accepted_stream import accept
from roadbend.log import Log

log = Log("http")
# The length of the queue of connections to be accepted, which take sockets, too. A refused client
# tries the next controller; a longer queue would fill with clients that have given up.
BACKLOG = 128
# The number of connections accepted before other tasks run, and the pause after the system ran out
# of sockets.
ACCEPT_BATCH = 32
ACCEPT_RETRY_S = 0.1

Handler = Callable[[trio.abc.Stream], Awaitable[None]]


class ListenError(PermanentError):
    """An address can't be listened on; the message has the address and the reason."""


def split(address: str) -> tuple[str, int]:
    """Return the host and the port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _bind(listener: socket.socket, address: str) -> None:
    """Listen on an address; raise `ListenError` if it is taken, not local or malformed."""
    try:
        listener.bind(split(address))
        listener.listen(BACKLOG)
    # `bind` raises the last two for hosts and ports that it can't encode.
    except (OSError, ValueError, TypeError, OverflowError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise ListenError(f"can't listen on {address!r}: {reason}") from None


class Net:
    """TCP over IPv4. Addresses are numeric; there are no DNS queries."""

    async def connect(self, address: str) -> trio.abc.Stream:
        """Open a connection; raise `OSError` if that fails."""
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
        """Accept connections and run `handler` for each in a task of its own, until cancelled.

        Raises `ListenError` before it reports that it has started.
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
                        for _ in range(ACCEPT_BATCH):
                            nursery.start_soon(handler, accept(listener))
                    except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                        pass
                    except OSError as error:
                        # Out of sockets or memory: connections that close will release some.
                        log.error("connection-not-accepted", error=error)
                        await trio.sleep(ACCEPT_RETRY_S)
