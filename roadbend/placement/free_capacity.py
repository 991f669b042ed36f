"""Free capacity of machines, and which machines a job allows.

Pure functions: all state is passed in.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from roadbend.store.records import Job, Resources

# Amounts of CPUs, GPUs and GB of memory that differ by less than this count as equal. They are sums
# of decimal fractions, and rounding errors from allocating and releasing the same amounts must not
# keep a task from fitting.
RESOURCE_TOLERANCE = 1e-6
# More tasks than any machine runs; returned for a task that requests no resources.
UNLIMITED_TASKS = 1_000_000


@dataclass(slots=True)
class FreeCapacity:
    """A machine and its free capacity; `allocate` and `release` change it in place.

    `cpus`, `gpus` and `memory` (GB) are the free amounts, `total` the capacity of the whole
    machine. `ready_in` is in seconds, and above zero while the machine boots. `price` is per hour.
    """

    id: str
    machine_type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory: float
    images: Collection[str] = frozenset()
    total: Resources = field(default_factory=lambda: Resources(0, 0, 0))
    ready_in: float = 0.0
    price: float = 0.0
    # How fast the machine fetches images, in GB per second; 0 if unknown.
    fetch_gb_per_s: float = 0.0

    def image_fetch_seconds(self, image: str, gb: float) -> float:
        """Return the seconds until an image of the given size is on the machine; 0 if unknown."""
        return 0.0 if image in self.images or self.fetch_gb_per_s <= 0 else gb / self.fetch_gb_per_s

    def fits(self, resources: Resources) -> bool:
        """Return whether one task that needs these resources fits."""
        return (
            resources.cpus <= self.cpus + RESOURCE_TOLERANCE
            and resources.gpus <= self.gpus + RESOURCE_TOLERANCE
            and resources.memory <= self.memory + RESOURCE_TOLERANCE
        )

    def allocate(self, resources: Resources) -> None:
        """Subtract a task's resources from what is free."""
        self.cpus -= resources.cpus
        self.gpus -= resources.gpus
        self.memory -= resources.memory

    def release(self, resources: Resources) -> None:
        """Add a task's resources to what is free."""
        self.cpus += resources.cpus
        self.gpus += resources.gpus
        self.memory += resources.memory

    def count(self, resources: Resources) -> int:
        """Return how many tasks that need these resources each fit."""
        if not self.fits(resources):
            return 0
        count = UNLIMITED_TASKS
        if resources.cpus > 0:
            count = min(count, int((self.cpus + RESOURCE_TOLERANCE) / resources.cpus))
        if resources.gpus > 0:
            count = min(count, int((self.gpus + RESOURCE_TOLERANCE) / resources.gpus))
        if resources.memory > 0:
            count = min(count, int((self.memory + RESOURCE_TOLERANCE) / resources.memory))
        return count

    def leftover_share(self, resources: Resources) -> float:
        """Return the fraction of the machine that would be free with one more task on it.

        The mean over those of CPUs, GPUs and memory that the machine has.
        """
        share, kinds = 0.0, 0
        for free, needed, total in (
            (self.cpus, resources.cpus, self.total.cpus),
            (self.gpus, resources.gpus, self.total.gpus),
            (self.memory, resources.memory, self.total.memory),
        ):
            if total > 0:
                share += (free - needed) / total
                kinds += 1
        return share / max(1, kinds)


def allowed(job: Job, machine_type: str, zone: str, spot: bool) -> bool:
    """Return whether a job's specification allows its tasks on such machines."""
    spec = job.spec
    return (
        (spec.machine_types is None or machine_type in spec.machine_types)
        and (spec.zone is None or zone == spec.zone)
        and (spec.spot or not spot)
    )


def min_resources(needs: Iterable[Resources]) -> Resources:
    """Return the minimum of each resource over several requests; zeros if there are none.

    On a machine on which this does not fit, none of the requests fits.
    """
    needs = list(needs)
    return Resources(
        min((need.cpus for need in needs), default=0.0),
        min((need.gpus for need in needs), default=0.0),
        min((need.memory for need in needs), default=0.0),
    )
