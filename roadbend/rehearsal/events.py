"""Events of a rehearsal, for its report."""

from typing import NamedTuple


class Event(NamedTuple):
    """An event, with its time in seconds since the rehearsal began."""

    at: float
    text: str
