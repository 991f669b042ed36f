"""Pauses of this process, which must not count as silence of the machines."""

from collections import deque
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.log import Log

log = Log("fleet")
# How often the time is to be recorded.
CHECK_INTERVAL = timedelta(seconds=1)
MAX_REMEMBERED = 64


class ProcessPauses:
    """Recent pauses of this process: when each ended, and its duration."""

    def __init__(self, min_pause: timedelta) -> None:
        """Record pauses that are longer than `min_pause`."""
        self._min_pause = min_pause
        self._pauses: deque[tuple[datetime, timedelta]] = deque(maxlen=MAX_REMEMBERED)

    def record_time(self, last: datetime) -> None:
        """Record the time; `CHECK_INTERVAL` should have passed since `last`.

        If far more has passed, this process was paused while its clocks ran on. All machines look
        silent then, as their heartbeats are still unread.
        """
        now = clock.now()
        paused = now - last - CHECK_INTERVAL
        if paused > self._min_pause:
            log.info("process-paused", paused_s=f"{paused.total_seconds():.1f}")
            self._pauses.append((now, paused))

    def has_ended_since(self, instant: datetime) -> bool:
        """Return whether a pause ended after an instant."""
        return bool(self._pauses) and self._pauses[-1][0] > instant

    def silence(self, since: datetime, now: datetime) -> timedelta:
        """Return how long others have been silent, minus the pauses of this process.

        Under a load that constantly delays this process, the time outside the pauses still adds up,
        so that failed machines are detected.
        """
        return (
            now - since - sum((duration for at, duration in self._pauses if at > since), clock.ZERO)
        )
