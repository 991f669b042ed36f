"""The resources that tasks take on machines."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Resources:
    """The resources of one task: CPUs, GPUs, and memory in GB."""

    cpus: float
    gpus: float
    memory: float

    def times(self, n: int) -> "Resources":
        """Return the resources of `n` tasks."""
        return Resources(self.cpus * n, self.gpus * n, self.memory * n)

    def to_value(self) -> list[float]:
        """Return the value for records."""
        return [self.cpus, self.gpus, self.memory]

    @staticmethod
    def from_value(value: list[float]) -> "Resources":
        """Parse the value in records."""
        return Resources(*map(float, value))
