"""The numbers of attempts: never used twice, since the leadership's term is part of them."""

# How many bits of a number, below the term, count within the term.
SEQUENCE_BITS = 32


class AttemptNumbers:
    """Gives out the attempt numbers of one leadership."""

    def __init__(self, term: int) -> None:
        self._term, self._sequence = term, 0

    def next(self, mark: int = 0) -> int:
        """Return a new number; `mark` is set in its higher bits below the term."""
        self._sequence += 1
        return (self._term << SEQUENCE_BITS) | self._sequence | mark
