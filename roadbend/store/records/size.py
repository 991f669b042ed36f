"""The size of a record's value, and how many tasks may share a record."""

import json
from typing import Any

MIN_SHARD_WIDTH, MAX_SHARD_WIDTH = 8, 512
# The share of the limit on values that is used; the sizes of a shard without attempts, and of an
# attempt, in bytes.
FILLED_SHARE = 0.8
SHARD_BYTES = 400
ATTEMPT_BYTES = 28


def shard_width(value_bytes: int) -> int:
    """Return how many tasks share a shard, given the limit on a value in bytes.

    `PlatformSettings.shard_width` must compute the same number.
    """
    usable = int(value_bytes * FILLED_SHARE - SHARD_BYTES)
    return max(MIN_SHARD_WIDTH, min(MAX_SHARD_WIDTH, usable // ATTEMPT_BYTES))


def value_size_bound(value: Any) -> int:
    """Return an upper bound of a value's size in bytes, in the encoding that limits refer to."""
    return len(json.dumps(value))
