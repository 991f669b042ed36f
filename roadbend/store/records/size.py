"""How large a record's value is, and how many tasks may share one."""

import json
from typing import Any

MIN_SHARD_WIDTH, MAX_SHARD_WIDTH = 8, 512
# Of a value's limit, what is filled; what a shard takes without attempts, and what an attempt
# takes, in bytes.
FILLED_SHARE = 0.8
SHARD_BYTES = 400
ATTEMPT_BYTES = 28


def shard_width(value_bytes: int) -> int:
    """Return how many tasks share a shard where values may have so many bytes.

    The settings, where only that limit is known, count with the same number.
    """
    room = int(value_bytes * FILLED_SHARE - SHARD_BYTES)
    return max(MIN_SHARD_WIDTH, min(MAX_SHARD_WIDTH, room // ATTEMPT_BYTES))


def value_size_bound(value: Any) -> int:
    """Return an upper bound of a value's size in bytes, as limits are measured."""
    return len(json.dumps(value))
