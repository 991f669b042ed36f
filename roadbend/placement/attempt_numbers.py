"""Attempt numbers, never used twice since the leadership's term is part of each."""

# The low bits of an attempt number, which count within the term; the bits above are the term.
SEQUENCE_BITS = 32


class AttemptNumbers:
    """Generates the attempt numbers of one leadership."""

    def __init__(self, term: int) -> None:
        self._term, self._sequence = term, 0

    def next(self, sequence_prefix: int = 0) -> int:
        """Return a new number, with `sequence_prefix` in the upper bits of its sequence."""
        self._sequence += 1
        return (self._term << SEQUENCE_BITS) | self._sequence | sequence_prefix
