"""How much is settled at once: additive increase, multiplicative decrease."""

from dataclasses import dataclass


@dataclass
class AdaptiveBound:
    """A bound on work in progress that grows while it succeeds and halves when it fails."""

    least: int
    most: int
    _bound: float = 0.0

    def __post_init__(self) -> None:
        self._bound = float(self.least)

    @property
    def value(self) -> int:
        """How much may be in progress."""
        return int(self._bound)

    def succeeded(self, count: int = 1) -> None:
        """Note that work was carried out."""
        self._bound = min(float(self.most), self._bound + count)

    def failed(self) -> None:
        """Note that work was refused, or its answer was lost."""
        self._bound = max(float(self.least), self._bound / 2)
