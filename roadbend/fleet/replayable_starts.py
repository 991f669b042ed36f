"""Starts that a late copy of a direct command could make a machine carry out again.

A worker executes every copy of a command whose fencing token and epoch match its own. While it
holds an attempt, even an ended one, a copy of its start does nothing; once it was ordered to forget
the attempt, a copy starts it again. So an attempt that a direct command has started is forgotten
only with an answer that carries a higher token than that command. A machine is given no starts
until it has shown a raised token, so ended attempts are kept on it for a while, and then forgotten
together under one raised token.
"""

from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend.fleet.messages import ForgetTask
from roadbend.fleet.terminations import TaskKey

# Ended attempts that a machine keeps at most. They lengthen each of its heartbeats.
MAX_KEPT_ATTEMPTS = 16
# A worker reports a raised token at once no more than once in this share of its lease.
RAISE_INTERVAL_LEASE_SHARE = 0.5


class StartedAttempt(NamedTuple):
    """An attempt that was started by a direct command."""

    key: TaskKey
    number: int


class ReplayableStarts:
    """The direct starts under a machine's present token and epoch, and those of them that ended.

    The owner clears it when the machine's token or epoch has advanced, since the machine then
    refuses all copies of these starts.
    """

    def __init__(self) -> None:
        self._started: set[StartedAttempt] = set()
        # Orders to forget the ended attempts that the machine keeps.
        self._kept: Sequence[ForgetTask] = ()
        # How many of the started attempts no record names any more, and since when there are any.
        self._ended_count = 0
        self._ended_since: datetime | None = None

    def __len__(self) -> int:
        return len(self._started)

    def __contains__(self, started: StartedAttempt) -> bool:
        return started in self._started

    @property
    def forgets(self) -> Sequence[ForgetTask]:
        """The orders to forget the ended attempts that the machine keeps."""
        return self._kept

    def add(self, key: TaskKey, number: int) -> None:
        """Record a direct start before it is sent."""
        self._started.add(StartedAttempt(key, number))

    def clear(self) -> None:
        """Remove all: the machine refuses copies of the starts, or will with the next answer."""
        self._started.clear()
        self._kept, self._ended_count, self._ended_since = (), 0, None

    def update(
        self, kept: Sequence[ForgetTask], recorded: Mapping[TaskKey, int], now: datetime
    ) -> None:
        """Record what a heartbeat shows.

        `kept`: the orders to forget the ended attempts that it shows; `recorded`: the numbers of
        the attempts that the records name on the machine.
        """
        if not self._started:
            return
        self._kept = kept
        self._ended_count = sum(
            recorded.get(started.key) != started.number for started in self._started
        )
        if not self._ended_count:
            self._ended_since = None
        elif self._ended_since is None:
            self._ended_since = now

    def is_full(self) -> bool:
        """Return whether the token must be raised before the machine is given more starts."""
        return self._ended_count >= MAX_KEPT_ATTEMPTS

    def is_due(self, now: datetime, lease: timedelta) -> bool:
        """Return whether the ended attempts should be forgotten with the next answer."""
        if self._ended_since is None:
            return False
        return self.is_full() or now - self._ended_since >= lease * RAISE_INTERVAL_LEASE_SHARE
