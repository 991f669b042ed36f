"""Instants and durations.

Instants of the steady (monotonic) clock are naive datetimes from an arbitrary origin: only their
differences are meaningful, and only within one process. The time of day is an aware datetime in
UTC. Durations are timedeltas. Numbers of seconds are used only where trio requires them.
"""

from datetime import UTC, datetime, timedelta

import trio

# The origin of the steady clock.
ORIGIN = datetime(2000, 1, 1)
ZERO = timedelta()
# The maximum relative difference of the rates of two machines' steady clocks (protocol: each clock
# is off by at most 0.05%).
DRIFT = 0.001


def now() -> datetime:
    """Return the current instant of the steady clock."""
    return from_steady_s(trio.current_time())


def from_steady_s(seconds: float) -> datetime:
    """Convert seconds of trio's clock to an instant of the steady clock."""
    return ORIGIN + timedelta(seconds=seconds)


def wall() -> datetime:
    """Return the current time of day, in UTC."""
    return datetime.now(UTC)


def to_ms(instant: datetime) -> int:
    """Convert a time of day to whole milliseconds since 1970."""
    return round(instant.timestamp() * 1000)


def from_ms(value: int) -> datetime:
    """Convert milliseconds since 1970 to a time of day, in UTC."""
    return datetime.fromtimestamp(value / 1000, UTC)


async def pause(length: timedelta) -> None:
    """Sleep; a negative duration is only a checkpoint."""
    await trio.sleep(max(0.0, length.total_seconds()))
