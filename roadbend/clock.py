"""Time. Steady instants are naive datetimes counted from an arbitrary origin, because only their
differences mean anything; the time of day is an aware datetime. Floats appear only at trio's
door."""

from datetime import UTC, datetime, timedelta

import trio

ORIGIN = datetime(2000, 1, 1)
ZERO = timedelta()
# Steady clocks of two machines may run apart by this much (protocol: 0.05% each way).
DRIFT = 0.001


def now() -> datetime:
    """The steady instant; comparable only inside this process."""
    return ORIGIN + timedelta(seconds=trio.current_time())


def wall() -> datetime:
    return datetime.now(UTC)


def to_ms(instant: datetime) -> int:
    return round(instant.timestamp() * 1000)


def from_ms(value: int) -> datetime:
    return datetime.fromtimestamp(value / 1000, UTC)


async def pause(length: timedelta) -> None:
    await trio.sleep(max(0.0, length.total_seconds()))
