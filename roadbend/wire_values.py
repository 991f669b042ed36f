"""Strict readers of single values that came over a connection.

They are used below the message types of every interface. Each takes a decoded value of any type and
the name to use in the error, and raises `MalformedError` where the value is not what the protocol
promises.
"""

import math
from typing import Any

from roadbend.http.server import MalformedError

# Counts, versions, tokens and attempts are below this (PROTOCOL-roadbend.md).
INTEGER_LIMIT = 1 << 64


def whole(value: Any, name: str) -> int:
    """Return an integer from 0 up to below 2^64; booleans are refused."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < INTEGER_LIMIT:
        raise MalformedError(f"{name}: expected a whole number")
    return value


def number(value: Any, name: str) -> float:
    """Return a finite number that is not negative; booleans are refused."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name}: expected a number")
    try:
        amount = float(value)
    except OverflowError:
        raise MalformedError(f"{name}: out of range") from None
    if not math.isfinite(amount) or amount < 0:
        raise MalformedError(f"{name}: out of range")
    return amount


def text(value: Any, name: str, most: int = 200) -> str:
    """Return text of 1 to `most` characters."""
    if not isinstance(value, str) or not 0 < len(value) <= most:
        raise MalformedError(f"{name}: expected text of 1 to {most} characters")
    return value


def flag(value: Any, name: str) -> bool:
    """Return a boolean; numbers are refused."""
    if not isinstance(value, bool):
        raise MalformedError(f"{name}: expected true or false")
    return value
