"""Pauses of this process, which are no silence of the machines."""

from collections import deque
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.log import Log

log = Log("fleet")
# How often the time is to be noted.
NOTE_INTERVAL = timedelta(seconds=1)
MAX_REMEMBERED = 64


class ProcessPauses:
    """When this process went on after a pause, lately, and how long the pause was."""

    def __init__(self, shortest: timedelta) -> None:
        """Note pauses that are longer than `shortest`."""
        self._shortest = shortest
        self._pauses: deque[tuple[datetime, timedelta]] = deque(maxlen=MAX_REMEMBERED)

    def note_time(self, last: datetime) -> None:
        """Note the time, when `NOTE_INTERVAL` was to pass since `last`.

        Where far more did, this process paused while its clocks ran on, and all machines look
        silent; what they sent is still to be read.
        """
        now = clock.now()
        paused = now - last - NOTE_INTERVAL
        if paused > self._shortest:
            log.info("process-paused", paused_s=f"{paused.total_seconds():.1f}")
            self._pauses.append((now, paused))

    def any_since(self, instant: datetime) -> bool:
        """Tell whether a pause ended after an instant."""
        return bool(self._pauses) and self._pauses[-1][0] > instant

    def silence(self, since: datetime, now: datetime) -> timedelta:
        """Return how long others have been silent, less our own pauses.

        Under a load that makes us late all the time, the seconds in which we did listen add up, so
        that dead machines are still found.
        """
        return now - since - sum((long for at, long in self._pauses if at > since), clock.ZERO)
