"""What tasks take of machines."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Resources:
    """What one task takes of its machine: CPUs, GPUs, and memory in GB."""

    cpus: float
    gpus: float
    memory: float

    def times(self, n: int) -> "Resources":
        """Return what so many tasks take."""
        return Resources(self.cpus * n, self.gpus * n, self.memory * n)

    def to_value(self) -> list[float]:
        """Return the form that stands in records."""
        return [self.cpus, self.gpus, self.memory]

    @staticmethod
    def from_value(value: list[float]) -> "Resources":
        """Read the form that stands in records."""
        return Resources(*map(float, value))
