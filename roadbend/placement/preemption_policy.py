"""Which work may be stopped to make room for other work, and where.

Pure: everything comes as an argument.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from roadbend.fleet.terminations import TaskKey
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE, FreeCapacity, allowed
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import Attempt, Job, Resources


class RunningTask(NamedTuple):
    """An attempt that is on a machine."""

    key: TaskKey
    attempt: Attempt
    job: Job


@dataclass(frozen=True, slots=True)
class Victim:
    """A running task, as preemption sees it."""

    resources: Resources
    priority: int
    # Its team uses more than its guarantee, and its job is not within that guarantee.
    over_guarantee: bool
    team: str
    # Seconds of work that stopping it would waste.
    loss: float
    task: RunningTask


class PreemptionOption(NamedTuple):
    """A machine on which room can be made, and what is stopped there."""

    capacity: FreeCapacity
    victims: list[Victim]


def may_preempt(item: PendingTasks, victim: Victim) -> bool:
    """Return whether a task may be stopped for an item.

    The protocol ("Preemption") permits it for work of lower priority, or, for work within its
    team's guarantee, for what another team runs beyond its own.
    """
    spec = item.job.spec
    return victim.priority < spec.priority or (
        item.guaranteed and victim.over_guarantee and victim.team != spec.team
    )


def preemption_options(
    item: PendingTasks,
    capacities: Iterable[FreeCapacity],
    running: Mapping[str, list[Victim]],
) -> list[PreemptionOption]:
    """Return the machines on which room for one task of the item can be made, best first.

    The best has the image, then loses the least work, then the fewest tasks. `running` gives what
    may run on a machine, by its id. All machines are found at once: a wide job takes many of them,
    and none of them changes by what is stopped on another.
    """
    image = item.job.spec.image

    def preference(clearing: PreemptionOption) -> tuple[bool, float, int, str]:
        capacity, victims = clearing
        loss = sum(victim.loss for victim in victims)
        return image not in capacity.images, loss, len(victims), capacity.id

    found = []
    for capacity in capacities:
        candidates = running.get(capacity.id)
        if (
            not candidates
            or capacity.ready_in > 0
            or not allowed(item.job, capacity.machine_type, capacity.zone, capacity.spot)
        ):
            continue
        victims = _cheapest_victims(item, capacity, candidates)
        if victims:
            found.append(PreemptionOption(capacity, victims))
    found.sort(key=preference)
    return found


def _cheapest_victims(
    item: PendingTasks, capacity: FreeCapacity, candidates: list[Victim]
) -> list[Victim]:
    """Return what to stop on a machine so that a task of the item fits.

    Empty if that can't be had, or need not be.
    """
    resources = item.job.spec.resources
    cpus = capacity.cpus + RESOURCE_TOLERANCE
    gpus = capacity.gpus + RESOURCE_TOLERANCE
    memory = capacity.memory + RESOURCE_TOLERANCE
    chosen: list[Victim] = []
    permitted = [victim for victim in candidates if may_preempt(item, victim)]
    for victim in sorted(permitted, key=_loss):
        if resources.cpus <= cpus and resources.gpus <= gpus and resources.memory <= memory:
            return chosen
        cpus += victim.resources.cpus
        gpus += victim.resources.gpus
        memory += victim.resources.memory
        chosen.append(victim)
    fits = resources.cpus <= cpus and resources.gpus <= gpus and resources.memory <= memory
    return chosen if fits else []


def _loss(victim: Victim) -> float:
    return victim.loss
