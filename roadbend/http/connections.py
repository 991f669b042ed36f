"""The open connections of a server: their limit, and which are closed in favor of new ones."""

from collections import OrderedDict

import trio


class OpenConnection:
    """An open connection.

    Cancelling `scope` closes it. `deadline` is the time, in seconds of the steady clock, at which
    the present step (receiving or sending) times out. `waiting` is the queue, by the kind of its
    last request, in which it stays while it waits for the next one.
    """

    __slots__ = ("deadline", "scope", "waiting")

    def __init__(self, deadline: float, waiting: "WaitingConnections") -> None:
        self.scope = trio.CancelScope()
        self.deadline = deadline
        self.waiting = waiting


# Connections that wait for a request, with the time at which they began to wait, in that order.
WaitingConnections = OrderedDict[OpenConnection, float]


class ConnectionTable:
    """All open connections of a server.

    `limit` is their maximum number; `reserved` of these are kept free for new clients. Prioritized
    connections are kept without a request for at least `stale_after_s` seconds.
    """

    def __init__(self, limit: int, reserved: int, stale_after_s: float) -> None:
        self._limit, self._reserved, self._stale_after_s = limit, reserved, stale_after_s
        self._open: set[OpenConnection] = set()
        # By the kind of the last request; new connections have had none.
        self.new = WaitingConnections()
        self.prioritized = WaitingConnections()
        self.other = WaitingConnections()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, deadline: float) -> OpenConnection | None:
        """Add a new connection; None if the limit is reached.

        At the limit a connection that waits for a request is closed in its favor; if there is none
        to close, the new one is refused at once instead of being queued, which would take memory.
        """
        if len(self._open) >= self._limit and not self._close_longest_waiting():
            return None
        connection = OpenConnection(deadline, self.new)
        self._open.add(connection)
        return connection

    def remove(self, connection: OpenConnection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        connection.waiting.pop(connection, None)

    def close_overdue(self, now: float) -> None:
        """Close the connections whose deadline has passed."""
        for connection in [one for one in self._open if one.deadline < now]:
            self._close(connection)

    def is_crowded(self) -> bool:
        """Return whether connections should be closed after their responses.

        This makes clients take turns if they outnumber the connections: a worker that could not
        connect would lose its lease.
        """
        return self._reserved > 0 and len(self._open) > self._limit - self._reserved

    def _close_longest_waiting(self) -> bool:
        """Close the connection that has waited longest; return whether there was one to close.

        Prioritized connections, which are the workers', are protected from floods of user requests:
        one is closed only when a live worker would long have used it, as after a network partition
        that left it half-open. Connections without a request so far are closed last, since they may
        be those of workers about to send a heartbeat.
        """
        return self._close_first(self.other) or self._close_stale() or self._close_first(self.new)

    def _close_first(self, waiting: WaitingConnections) -> bool:
        connection = next(iter(waiting), None)
        if connection is None:
            return False
        self._close(connection)
        return True

    def _close_stale(self) -> bool:
        since = next(iter(self.prioritized.values()), None)
        if since is None or trio.current_time() - since <= self._stale_after_s:
            return False
        return self._close_first(self.prioritized)

    def _close(self, connection: OpenConnection) -> None:
        self.remove(connection)
        connection.scope.cancel()
