"""The quota records: what each partition has reserved of a team's quota."""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

QuotaValue = dict[str, list[float]]

# Amounts below this are rounding errors of adding and subtracting fractions.
NEGLIGIBLE = 1e-9


class Usage(NamedTuple):
    """The CPUs and GPUs that are used, or reserved, for a team."""

    cpus: float
    gpus: float


NO_USAGE = Usage(0.0, 0.0)


@dataclass(frozen=True)
class QuotaRecord:
    """What each partition has reserved of a team's quota.

    A partition's reservation is never less than the usage of those of its attempts that are not
    known to be terminated. A partition changes only its own entry.
    """

    team: str
    partitions: dict[str, Usage] = field(default_factory=dict)
    mod_revision: int = 0

    @property
    def cpus(self) -> float:
        """The CPUs that all partitions together have reserved."""
        return sum(cpus for cpus, _ in self.partitions.values())

    @property
    def gpus(self) -> float:
        """The GPUs that all partitions together have reserved."""
        return sum(gpus for _, gpus in self.partitions.values())

    def with_partition(self, partition: str, cpus: float, gpus: float) -> "QuotaRecord":
        """Return a copy of the record with the given reservation for a partition."""
        partitions = {name: usage for name, usage in self.partitions.items() if name != partition}
        if cpus > NEGLIGIBLE or gpus > NEGLIGIBLE:
            partitions[partition] = Usage(round(cpus, 6), round(gpus, 6))
        return replace(self, partitions=partitions)

    def to_value(self) -> QuotaValue:
        """Return the value for the state store."""
        return {partition: [cpus, gpus] for partition, (cpus, gpus) in self.partitions.items()}

    @staticmethod
    def from_value(team: str, value: QuotaValue, mod_revision: int) -> "QuotaRecord":
        """Parse the value in the state store."""
        partitions = {
            partition: Usage(float(cpus), float(gpus)) for partition, (cpus, gpus) in value.items()
        }
        return QuotaRecord(team, partitions, mod_revision)
