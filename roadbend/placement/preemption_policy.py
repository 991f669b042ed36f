"""Preemption policy: which tasks may be stopped for which others, and on which machines.

Pure functions: all state is passed in.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from roadbend.fleet.terminations import TaskKey
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE, FreeCapacity, allowed
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import Attempt, Job, Resources


class RunningTask(NamedTuple):
    """A task with its recorded attempt and its job."""

    key: TaskKey
    attempt: Attempt
    job: Job


@dataclass(frozen=True, slots=True)
class Victim:
    """A running task that may be preempted."""

    resources: Resources
    priority: int
    # Its team uses more than its guarantee, and its job is not within that guarantee.
    over_guarantee: bool
    # Its job is within its team's guarantee.
    guaranteed: bool
    team: str
    # Seconds of work that stopping it would waste.
    loss: float
    task: RunningTask


class PreemptionOption(NamedTuple):
    """A machine on which preemption can free capacity, and the tasks to stop there."""

    capacity: FreeCapacity
    victims: list[Victim]


def may_preempt(item: PendingTasks, victim: Victim, exceeds_guarantee: bool) -> bool:
    """Return whether a task may be stopped for an item.

    The protocol ("Preemption") permits stopping tasks of lower priority. An item within its team's
    guarantee may also preempt tasks of another team that are over that team's guarantee. Where the
    victim could preempt the item in turn by the second rule, the first one does not apply.

    `exceeds_guarantee`: the item's team would be over its guarantee with a task of the item, which
    is not within it.
    """
    spec = item.job.spec
    is_other_team = victim.team != spec.team
    if victim.priority < spec.priority:
        return not (exceeds_guarantee and victim.guaranteed and is_other_team)
    return item.guaranteed and victim.over_guarantee and is_other_team


def preemption_options(
    item: PendingTasks,
    capacities: Iterable[FreeCapacity],
    victims_by_machine: Mapping[str, list[Victim]],
    exceeds_guarantee: bool = False,
) -> list[PreemptionOption]:
    """Return the machines on which preemption makes one task of the item fit, best first.

    Machines that have the image come first, then those where the least work is lost, then those
    where the fewest tasks are stopped. `running` holds the candidate victims by machine id. All
    machines are evaluated at once: a job with many tasks uses many of them, and stopping tasks on
    one machine does not affect another. `exceeds_guarantee`: see `may_preempt`.
    """
    image = item.job.spec.image

    def preference(option: PreemptionOption) -> tuple[bool, float, int, str]:
        capacity, victims = option
        loss = sum(victim.loss for victim in victims)
        return image not in capacity.images, loss, len(victims), capacity.id

    options = []
    for capacity in capacities:
        candidates = victims_by_machine.get(capacity.id)
        if (
            not candidates
            or capacity.ready_in > 0
            or not allowed(item.job, capacity.machine_type, capacity.zone, capacity.spot)
        ):
            continue
        permitted = [v for v in candidates if may_preempt(item, v, exceeds_guarantee)]
        victims = _cheapest_victims(item, capacity, permitted)
        if victims:
            options.append(PreemptionOption(capacity, victims))
    options.sort(key=preference)
    return options


def _cheapest_victims(
    item: PendingTasks, capacity: FreeCapacity, permitted: list[Victim]
) -> list[Victim]:
    """Return which of the permitted tasks to stop on a machine so that a task of the item fits.

    Empty if it can't be made to fit, or fits without stopping any.
    """
    resources = item.job.spec.resources
    cpus = capacity.cpus + RESOURCE_TOLERANCE
    gpus = capacity.gpus + RESOURCE_TOLERANCE
    memory = capacity.memory + RESOURCE_TOLERANCE
    victims: list[Victim] = []
    for victim in sorted(permitted, key=_loss):
        if resources.cpus <= cpus and resources.gpus <= gpus and resources.memory <= memory:
            return victims
        cpus += victim.resources.cpus
        gpus += victim.resources.gpus
        memory += victim.resources.memory
        victims.append(victim)
    fits = resources.cpus <= cpus and resources.gpus <= gpus and resources.memory <= memory
    return victims if fits else []


def _loss(victim: Victim) -> float:
    return victim.loss
