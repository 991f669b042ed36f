"""Open connections of a server: how many, who waits, and who makes room for others."""

from collections import OrderedDict

import trio


class OpenConnection:
    """A connection that is open.

    `scope` ends it; `deadline` is the steady time, in seconds, until which its client may take for
    what it does now; `waiting` is the queue in which it waits for a request, by what it is known to
    be for.
    """

    __slots__ = ("deadline", "scope", "waiting")

    def __init__(self, deadline: float, waiting: "WaitingConnections") -> None:
        self.scope = trio.CancelScope()
        self.deadline = deadline
        self.waiting = waiting


# Connections that wait for a request, with the steady time since when; the longest waiting first.
WaitingConnections = OrderedDict[OpenConnection, float]


class ConnectionTable:
    """All open connections of a server.

    `limit`: how many there may be. `spare`: how many of these are kept free for clients to come.
    `stale_after_s`: for how many seconds at least a favoured connection is kept without a request.
    """

    def __init__(self, limit: int, reserved: int, stale_after_s: float) -> None:
        self._limit, self._reserved, self._stale_after_s = limit, reserved, stale_after_s
        self._open: set[OpenConnection] = set()
        # By the last request of a connection: new ones have had none.
        self.new = WaitingConnections()
        self.prioritized = WaitingConnections()
        self.other = WaitingConnections()

    def __len__(self) -> int:
        return len(self._open)

    def add(self, deadline: float) -> OpenConnection | None:
        """Take in a new connection; None where there is no room for it.

        Past the limit a connection that only waits makes room, or else the new one is refused at
        once instead of waiting for memory.
        """
        if len(self._open) >= self._limit and not self._make_room():
            return None
        connection = OpenConnection(deadline, self.new)
        self._open.add(connection)
        return connection

    def remove(self, connection: OpenConnection) -> None:
        """Forget a connection that is over."""
        self._open.discard(connection)
        connection.waiting.pop(connection, None)

    def end_overdue(self, now: float) -> None:
        """End the connections whose deadline has passed."""
        for connection in [one for one in self._open if one.deadline < now]:
            self._end(connection)

    def is_crowded(self) -> bool:
        """Return whether connections are to be closed after their responses.

        So more clients than there are connections take turns: a worker that found no connection
        would lose its lease.
        """
        return self._reserved > 0 and len(self._open) > self._limit - self._reserved

    def _make_room(self) -> bool:
        """End the connection that has waited longest.

        Favoured ones, the workers', are kept from storms of users: one of theirs goes only when a
        living worker would long have used it, as after a network partition that left it half open.
        One that has just been opened goes last, for it may be a worker's that is about to speak.
        """
        return self._end_longest(self.other) or self._end_stale() or self._end_longest(self.new)

    def _end_longest(self, waiting: WaitingConnections) -> bool:
        connection = next(iter(waiting), None)
        if connection is None:
            return False
        self._end(connection)
        return True

    def _end_stale(self) -> bool:
        since = next(iter(self.prioritized.values()), None)
        if since is None or trio.current_time() - since <= self._stale_after_s:
            return False
        return self._end_longest(self.prioritized)

    def _end(self, connection: OpenConnection) -> None:
        self.remove(connection)
        connection.scope.cancel()
