"""Which machines could be created for a task, and what each would cost.

Costs are prices per hour and task. Pure: everything comes as an argument.
"""

from collections.abc import Iterable, Set
from dataclasses import dataclass

from roadbend.cloud.messages import MachineKind, MachineType
from roadbend.placement.free_capacity import UNLIMITED_TASKS, FreeCapacity, allowed
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import Job

# The number of runs of an array's tasks over which a machine's boot and fetches are amortized.
AMORTIZED_RUNS = 1.5
# The shortest run time over which they are amortized, in seconds.
MIN_RUN_SECONDS = 5.0
# The number of image fetches that are amortized: a machine that stays up soon needs a second image.
AMORTIZED_FETCHES = 2


@dataclass(frozen=True)
class MachineOption:
    """A machine type, spot or not, that may be created; its price is per hour."""

    machine_type: MachineType
    spot: bool
    price: float

    @property
    def kind(self) -> MachineKind:
        """What is requested from the cloud."""
        return MachineKind(self.machine_type.name, self.spot)


def options(
    machine_types: Iterable[MachineType], partition: str, refused: Set[MachineKind]
) -> list[MachineOption]:
    """Return what may be created in a partition, without the kinds that the cloud refuses now."""
    found = []
    for machine_type in machine_types:
        if partition not in machine_type.zones:
            continue
        for spot, price in ((False, machine_type.price), (True, machine_type.spot_price)):
            if (machine_type.name, spot) not in refused and price > 0:
                found.append(MachineOption(machine_type, spot, price))
    return found


def new_machine(name: str, option: MachineOption, partition: str) -> FreeCapacity:
    """Return the capacity of a machine that is created now and runs nothing."""
    capacity = option.machine_type.capacity
    return FreeCapacity(
        id=name,
        machine_type=option.machine_type.name,
        zone=partition,
        spot=option.spot,
        cpus=capacity.cpus,
        gpus=capacity.gpus,
        memory=capacity.memory,
        total=capacity,
        ready_in=option.machine_type.startup.total_seconds(),
        price=option.price,
        fetch_gb_per_s=option.machine_type.fetch_gb_per_s,
    )


def ready_after(option: MachineOption, image_gb: float, boot_factor: float) -> float:
    """Return the seconds until a machine that is created now is up and has fetched an image.

    Machines take `boot_factor` times as long to boot as their type says.
    """
    return (
        option.machine_type.startup.total_seconds() * boot_factor
        + image_gb / option.machine_type.fetch_gb_per_s
    )


def cost(
    item: PendingTasks, option: MachineOption, partition: str, similar_count: int
) -> float | None:
    """Return the price per hour and task; None if the job can't run on the machine.

    An array fills a machine only as far as there are similar tasks, and its boot and fetches are
    amortized over a few runs. A service stays, and later tasks fill the rest of the machine.
    """
    if not allowed(item.job, option.machine_type.name, partition, option.spot):
        return None
    count = new_machine("", option, partition).count(item.job.spec.resources)
    if count < 1:
        return None
    spec = item.job.spec
    if spec.service:
        return option.price / count
    run = max(MIN_RUN_SECONDS, spec.expected_duration.total_seconds())
    unproductive = ready_after(option, AMORTIZED_FETCHES * spec.image_gb, 1.0)
    overhead = unproductive / (run * AMORTIZED_RUNS)
    return option.price / min(count, max(1, similar_count)) * (1.0 + overhead)


def cheapest(
    item: PendingTasks, choices: list[MachineOption], partition: str, similar_count: int
) -> MachineOption | None:
    """Return the option with the lowest cost, the first of several; None if none is possible."""
    priced = [
        (price, position)
        for position, option in enumerate(choices)
        if (price := cost(item, option, partition, similar_count)) is not None
    ]
    return choices[min(priced)[1]] if priced else None


def min_cost(
    item: PendingTasks, machine_types: Iterable[MachineType], similar_count: int
) -> float | None:
    """Return the lowest cost in any zone, whether the cloud has such a machine now or not.

    What counts as expensive is relative to it.
    """
    machine_types = list(machine_types)
    prices = [
        price
        for zone in {zone for machine_type in machine_types for zone in machine_type.zones}
        for option in options(machine_types, zone, frozenset())
        if (price := cost(item, option, zone, similar_count)) is not None
    ]
    return min(prices, default=None)


def expensive_machine_types(
    job: Job, machine_types: Iterable[MachineType], max_cost_ratio: float, partition: str
) -> set[str]:
    """Return the types on which a task costs over `max_cost_ratio` times the lowest cost.

    Machines are assumed to be full. A job that must spread over zones can't run entirely where the
    cheap type is: for it, only this partition's types are compared.
    """
    prices: dict[str, float] = {}
    if job.spec.zone_cap < job.spec.task_count:
        machine_types = [
            machine_type for machine_type in machine_types if partition in machine_type.zones
        ]
    item = PendingTasks(job, (), guaranteed=False)
    for machine_type in machine_types:
        if not machine_type.zones:
            continue
        zone = machine_type.zones[0]
        for option in options([machine_type], zone, frozenset()):
            price = cost(item, option, zone, UNLIMITED_TASKS)
            if price is not None:
                prices[machine_type.name] = min(price, prices.get(machine_type.name, price))
    lowest = min(prices.values(), default=0.0)
    return {name for name, price in prices.items() if price > lowest * max_cost_ratio}
