"""Instants and durations.

Instants of the steady clock are naive datetimes counted from an arbitrary origin: only their
differences mean anything, and only within one process. The time of day is an aware datetime, in
UTC. Durations are timedeltas. Numbers of seconds appear only where trio takes them.
"""

from datetime import UTC, datetime, timedelta

import trio

# Where the steady clock begins to count.
ORIGIN = datetime(2000, 1, 1)
ZERO = timedelta()
# The steady clocks of two machines may run apart by this share (protocol: 0.05% each way).
DRIFT = 0.001


def now() -> datetime:
    """Return the instant of the steady clock."""
    return from_steady_s(trio.current_time())


def from_steady_s(seconds: float) -> datetime:
    """Convert seconds of trio's clock to an instant of the steady clock."""
    return ORIGIN + timedelta(seconds=seconds)


def wall() -> datetime:
    """Return the time of day, in UTC."""
    return datetime.now(UTC)


def to_ms(instant: datetime) -> int:
    """Convert a time of day to whole milliseconds since 1970."""
    return round(instant.timestamp() * 1000)


def from_ms(value: int) -> datetime:
    """Convert milliseconds since 1970 to a time of day, in UTC."""
    return datetime.fromtimestamp(value / 1000, UTC)


async def pause(length: timedelta) -> None:
    """Sleep; not at all, but with a checkpoint, if the duration is negative."""
    await trio.sleep(max(0.0, length.total_seconds()))
