"""What to hire and what to give back. Pure."""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend.autoscaler.cloud import MachineType
from roadbend.placement.forecast import NEVER, MachineTimeline, ScheduleProjection, StartCandidates
from roadbend.placement.free_capacity import FreeCapacity, allowed, min_resources
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import Job

# Rounds of an array's tasks over which a machine's boot and first fetch are written off.
ROUNDS = 1.5
# How much more a place may cost, times the least, when a task would be late on anything.
HASTE = 1.6
# And how much more, times the least, work that is late hires at all the same: it holds up what
# comes behind it.
LATE_PAYS = 3.0


@dataclass(frozen=True)
class MachineOption:
    """A type and kind that may be hired in this partition, at its price an hour."""

    machine_type: MachineType
    spot: bool
    price: float


def options(
    machine_types: Iterable[MachineType], partition: str, refused: set[tuple[str, bool]]
) -> list[MachineOption]:
    out = []
    for machine_type in machine_types:
        if partition not in machine_type.zones:
            continue
        for spot, price in ((False, machine_type.price), (True, machine_type.spot_price)):
            if (machine_type.name, spot) not in refused and price > 0:
                out.append(MachineOption(machine_type, spot, price))
    return out


def empty_room(name: str, option: MachineOption, partition: str) -> FreeCapacity:
    capacity = option.machine_type.capacity
    return FreeCapacity(
        name,
        option.machine_type.name,
        partition,
        option.spot,
        capacity.cpus,
        capacity.gpus,
        capacity.memory,
        total=capacity,
        ready_in=option.machine_type.startup.total_seconds(),
        price=option.price,
        fetch_gb_per_s=option.machine_type.fetch_gb_per_s,
    )


def cost(item: PendingTasks, option: MachineOption, partition: str, alike: int) -> float | None:
    """Price a task. An array fills a machine only as far as it has tasks, and pays for boot and
    fetch over a few rounds of its run; a service stays, and what comes later fills the rest."""
    if not allowed(item.job, option.machine_type.name, partition, option.spot):
        return None
    count = empty_room("", option, partition).count(item.job.spec.resources)
    if count < 1:
        return None
    spec = item.job.spec
    if spec.service:
        return option.price / count
    run = max(5.0, spec.expected_duration.total_seconds())
    # A machine that stays meets a second image before long.
    overhead = ready_after(option, 2 * spec.image_gb, 1.0) / (run * ROUNDS)
    return option.price / min(count, max(1, alike)) * (1.0 + overhead)


def cheapest(
    item: PendingTasks, choices: list[MachineOption], partition: str, alike: int
) -> MachineOption | None:
    priced = [
        (price, at)
        for at, option in enumerate(choices)
        if (price := cost(item, option, partition, alike)) is not None
    ]
    return choices[min(priced)[1]] if priced else None


def least_cost(
    item: PendingTasks, machine_types: Iterable[MachineType], alike: int
) -> float | None:
    """The least price a task in any zone, whether it can be had or not: what is dear is told by
    it."""
    machine_types = list(machine_types)
    prices = [
        price
        for zone in {zone for machine_type in machine_types for zone in machine_type.zones}
        for option in options(machine_types, zone, set())
        if (price := cost(item, option, zone, alike)) is not None
    ]
    return min(prices, default=None)


def expensive_machine_types(
    job: Job, machine_types: Iterable[MachineType], dear: float, partition: str
) -> set[str]:
    """Types on which a task of this job costs over `dear` times the least, when machines are full.
    A job that must spread over zones can't go where the cheap type is: there only this partition's
    types compare."""
    prices: dict[str, float] = {}
    if job.spec.zone_cap < job.spec.task_count:
        machine_types = [
            machine_type for machine_type in machine_types if partition in machine_type.zones
        ]
    for machine_type in machine_types:
        for option in (
            options([machine_type], machine_type.zones[0], set()) if machine_type.zones else ()
        ):
            price = cost(PendingTasks(job, 0, False), option, machine_type.zones[0], 1_000_000)
            if price is not None:
                prices[machine_type.name] = min(price, prices.get(machine_type.name, price))
    least = min(prices.values(), default=0.0)
    return {name for name, price in prices.items() if price > least * dear}


@dataclass(frozen=True)
class Timing:
    """What the hiring needs to know of queued tasks of one job: seconds."""

    item: PendingTasks
    run: float
    slack: float
    image_gb: float = 0.0
    avoid: frozenset[str] = frozenset()
    # The slack to the later deadlines at which the job's aims count, and what a place costs at the
    # least, in any zone and whether it can be had or not.
    later: tuple[float, ...] = ()
    least: float | None = None


def ready_after(option: MachineOption, image_gb: float, boot_factor: float) -> float:
    return (
        option.machine_type.startup.total_seconds() * boot_factor
        + image_gb / option.machine_type.fetch_gb_per_s
    )


def in_reach(
    timing: Timing, choices: list[MachineOption], partition: str, boot_factor: float
) -> tuple[float, bool]:
    """The slack to the next deadline that a new machine could still meet, and whether there is any.
    What has missed a deadline no longer hurries for it: dear machines hired then would be early for
    nothing."""
    if timing.least is not None:
        prices = [
            c
            for o in choices
            if (c := cost(timing.item, o, partition, timing.item.count)) is not None
        ]
        if min(prices, default=0.0) <= timing.least * LATE_PAYS:
            return timing.slack, True
    soonest = min((ready_after(o, timing.image_gb, boot_factor) for o in choices), default=0.0)
    for slack in (timing.slack, *timing.later):
        if soonest <= slack:
            return slack, True
    return timing.slack, not timing.later


def _choose(
    timing: Timing,
    choices: list[MachineOption],
    partition: str,
    boot_factor: float,
    alike: int,
    slack: float,
    reach: bool,
) -> MachineOption | None:
    """The machine to hire for tasks that would start too late on what there is."""
    item = timing.item
    usable = [o for o in choices if o.machine_type.name not in timing.avoid]
    if not reach and timing.least is not None:
        # Too late for every aim: it takes what is cheap, and else the next place that comes free;
        # being the oldest, it is the first to get one.
        usable = [
            o for o in usable if (cost(item, o, partition, alike) or 1e18) <= timing.least * HASTE
        ]
    # Those that would be in time, if any; a slow boot or fetch may cost more than it saves.
    soon = [o for o in usable if ready_after(o, timing.image_gb, boot_factor) <= slack]
    if not soon and usable:
        # Late anyway: the sooner the better, within reason.
        least = min(
            (c for o in usable if (c := cost(item, o, partition, alike)) is not None), default=0.0
        )
        fair = [o for o in usable if (cost(item, o, partition, alike) or 1e18) <= least * HASTE]
        soon = sorted(fair, key=lambda o: ready_after(o, timing.image_gb, boot_factor))[:1]
    return cheapest(item, soon or usable, partition, alike)


def wanted(
    queue: list[Timing],
    timelines: list[MachineTimeline],
    choices: list[MachineOption],
    partition: str,
    boot_factor: float,
    most: int = 1_000_000,
) -> dict[tuple[str, bool], int]:
    """How many machines of which type and kind to hire, just in time; looks at `most` tasks.

    Tasks are laid on the machines in their order, as these come free. One that would start too
    late, and that a new machine would start sooner, calls for that machine; those behind it may
    share it."""
    out: dict[tuple[str, bool], int] = {}
    schedule = ScheduleProjection(
        timelines, min_resources(timing.item.job.spec.resources for timing in queue)
    )
    alike: dict[object, int] = {}
    for timing in queue:
        resources = timing.item.job.spec.resources
        alike[resources] = alike.get(resources, 0) + timing.item.count
    for timing in queue:
        item, spec = timing.item, timing.item.job.spec
        rows = StartCandidates(item.job, schedule, timing.avoid)
        slack, reach = in_reach(timing, choices, partition, boot_factor)
        option: MachineOption | None = None
        # A choice goes by how many are alike only where they are fewer than a machine takes.
        wide = max((empty_room("", o, partition).count(spec.resources) for o in choices), default=0)
        chosen: dict[int, MachineOption | None] = {}
        left = alike[spec.resources]
        alike[spec.resources] = left - item.count
        for at in range(item.count):
            if most <= 0:
                return out
            most -= 1
            begin, created = rows.next_run(), False
            if begin > slack:
                # Of a gang the last task counts: machines are hired for all of it.
                if at == 0 or option is not None or spec.gang:
                    count = min(left, wide)
                    if count not in chosen:
                        chosen[count] = _choose(
                            timing, choices, partition, boot_factor, count, slack, reach
                        )
                    option = chosen[count]
                if option is not None:
                    capacity = empty_room(f"new-{len(schedule.timelines)}", option, partition)
                    capacity.ready_in *= boot_factor
                    if (
                        capacity.ready_in + capacity.fetch(spec.image, timing.image_gb)
                        < begin - 1.0
                    ):
                        rows.add(MachineTimeline(capacity))
                        created = True
                        key = (option.machine_type.name, option.spot)
                        out[key] = out.get(key, 0) + 1
            left -= 1
            if begin == NEVER and not created:
                # Nothing can be had for it, nor for those beside it.
                break
            rows.assign(timing.run)
    return out


def warm_places(
    arrivals: list[int], boot: timedelta, window: timedelta, partitions: int, most: int
) -> int:
    """Places to keep for services that must start sooner than a machine boots: what arrives on
    average while one boots, and one deviation more, over the partitions. `arrivals`: the replicas
    of each service that came; wide ones make the deviation larger. Zero when none arrive."""
    if not arrivals:
        return 0
    share = boot / window
    mean, spread = sum(arrivals) * share, math.sqrt(sum(n * n for n in arrivals) * share)
    return min(most, math.ceil((mean + spread) / max(1, partitions)))


def to_return(
    idle: list[tuple[str, datetime, int]], now: datetime, after: timedelta, surplus: int
) -> list[str]:
    """Empty machines (id, empty since, warm places on it) that have been empty for long enough, the
    longest idle first, as far as the warm room is not cut into."""
    out = []
    for name, since, places in sorted(idle, key=lambda row: row[1]):
        if now - since < after or places > max(0, surplus):
            continue
        surplus -= places
        out.append(name)
    return out
