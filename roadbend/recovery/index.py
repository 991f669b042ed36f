"""Names as dense numbers, so that sets of them can be compressed bitmaps."""

from collections.abc import Hashable, Iterable


class DenseIndex:
    """Gives every name the next free number, once."""

    def __init__(self) -> None:
        self._numbers: dict[Hashable, int] = {}
        self._names: list[Hashable] = []

    def __len__(self) -> int:
        return len(self._names)

    def number(self, name: Hashable) -> int:
        """Return the name's number, a new one if it has none."""
        found = self._numbers.get(name)
        if found is None:
            found = self._numbers[name] = len(self._names)
            self._names.append(name)
        return found

    def numbers(self, names: Iterable[Hashable]) -> list[int]:
        """Return the numbers of several names."""
        return [self.number(name) for name in names]

    def name(self, number: int) -> Hashable:
        """Return the name that has a number."""
        return self._names[number]
