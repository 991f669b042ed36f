"""The quota records: what each partition has reserved of a team's quota."""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

QuotaValue = dict[str, list[float]]

# Amounts below this are what is left over by adding and subtracting fractions.
NEGLIGIBLE = 1e-9


class Usage(NamedTuple):
    """The CPUs and GPUs that are used, or reserved, for a team."""

    cpus: float
    gpus: float


NO_USAGE = Usage(0.0, 0.0)


@dataclass(frozen=True)
class QuotaRecord:
    """What each partition has reserved of a team's quota.

    It is never less than what the partition's attempts take that are not known to be terminated.
    A partition changes its own entry only.
    """

    team: str
    partitions: dict[str, Usage] = field(default_factory=dict)
    mod_revision: int = 0

    @property
    def cpus(self) -> float:
        """The CPUs that all partitions have reserved."""
        return sum(cpus for cpus, _ in self.partitions.values())

    @property
    def gpus(self) -> float:
        """The GPUs that all partitions have reserved."""
        return sum(gpus for _, gpus in self.partitions.values())

    def with_partition(self, partition: str, cpus: float, gpus: float) -> "QuotaRecord":
        """Return the record with another reservation for a partition."""
        partitions = {name: usage for name, usage in self.partitions.items() if name != partition}
        if cpus > NEGLIGIBLE or gpus > NEGLIGIBLE:
            partitions[partition] = Usage(round(cpus, 6), round(gpus, 6))
        return replace(self, partitions=partitions)

    def to_value(self) -> QuotaValue:
        """Return the value that the state store keeps."""
        return {partition: [cpus, gpus] for partition, (cpus, gpus) in self.partitions.items()}

    @staticmethod
    def from_value(team: str, value: QuotaValue, mod_revision: int) -> "QuotaRecord":
        """Read the value that the state store keeps."""
        partitions = {
            partition: Usage(float(cpus), float(gpus)) for partition, (cpus, gpus) in value.items()
        }
        return QuotaRecord(team, partitions, mod_revision)
