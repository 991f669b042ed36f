"""What happened in a rehearsal, for its report."""

from typing import NamedTuple


class Event(NamedTuple):
    """Something that happened in a rehearsal, in seconds since its begin."""

    at: float
    text: str
