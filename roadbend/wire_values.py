"""Strict parsers of single values received over a connection.

The message types of all interfaces use them. Each takes a decoded value of any type and the name to
use in the error, and raises `MalformedError` if the value violates the protocol.
"""

import math
from typing import Any

from roadbend.http.server import MalformedError

# Counts, versions, tokens and attempt numbers are below this (PROTOCOL-roadbend.md).
INTEGER_LIMIT = 1 << 64


def whole(value: Any, name: str) -> int:
    """Return an integer from 0 to 2^64 - 1; booleans are rejected."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value < INTEGER_LIMIT:
        raise MalformedError(f"{name}: expected a whole number")
    return value


def number(value: Any, name: str) -> float:
    """Return a finite, non-negative number; booleans are rejected."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise MalformedError(f"{name}: expected a number")
    try:
        amount = float(value)
    except OverflowError:
        raise MalformedError(f"{name}: out of range") from None
    if not math.isfinite(amount) or amount < 0:
        raise MalformedError(f"{name}: out of range")
    return amount


def text(value: Any, name: str, max_length: int = 200) -> str:
    """Return text of 1 to `max_length` characters."""
    if not isinstance(value, str) or not 0 < len(value) <= max_length:
        raise MalformedError(f"{name}: expected text of 1 to {max_length} characters")
    return value


def flag(value: Any, name: str) -> bool:
    """Return a boolean; numbers are rejected."""
    if not isinstance(value, bool):
        raise MalformedError(f"{name}: expected true or false")
    return value
