"""A limit on work in progress: additive increase, multiplicative decrease."""

from dataclasses import dataclass


@dataclass
class AdaptiveBound:
    """A bound on work in progress that grows on success and halves on failure."""

    min_bound: int
    max_bound: int
    _bound: float = 0.0

    def __post_init__(self) -> None:
        self._bound = float(self.min_bound)

    @property
    def value(self) -> int:
        """How much may be in progress."""
        return int(self._bound)

    def record_success(self, count: int = 1) -> None:
        """Raise the bound: this much work has succeeded."""
        self._bound = min(float(self.max_bound), self._bound + count)

    def record_failure(self) -> None:
        """Halve the bound: work was refused, or its response was lost."""
        self._bound = max(float(self.min_bound), self._bound / 2)
