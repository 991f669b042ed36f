"""How many machines to create for the queue, just in time.

Waiting tasks are assigned to the machines in their order, as these come free. A task that would
start too late, and that a new machine would start sooner, calls for that machine; those behind it
may share it. Pure: everything comes as an argument; times are in seconds from now.
"""

from dataclasses import dataclass
from typing import NamedTuple

from roadbend.cloud.messages import MachineKind
from roadbend.placement.forecast import (
    NEVER,
    MachineTimeline,
    ScheduleProjection,
    StartCandidates,
)
from roadbend.placement.free_capacity import UNLIMITED_TASKS, min_resources
from roadbend.placement.machine_options import (
    MachineOption,
    cheapest,
    cost,
    new_machine,
    ready_after,
)
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import Resources

# How much a task may cost on a machine that is created for it though it would be late on any, as a
# multiple of what it costs at the least.
MAX_COST_RATIO_IF_LATE = 1.6
# Up to this multiple of the least cost, work that has missed a deadline is hurried all the same:
# late work holds up what comes behind it.
MAX_COST_RATIO_TO_HURRY_LATE = 3.0
# A new machine must start a task sooner than what there is by this much.
MIN_GAIN_SECONDS = 1.0


@dataclass(frozen=True)
class TimedTasks:
    """Waiting tasks of one job, and when they must start."""

    item: PendingTasks
    run: float
    # How long from now they may start and be in time for the first deadline that counts.
    slack: float
    image_gb: float = 0.0
    excluded_types: frozenset[str] = frozenset()
    # The slack to the later deadlines at which the job's objectives count, and what a task costs at
    # the least, in any zone and whether it can be had or not.
    later_slacks: tuple[float, ...] = ()
    min_cost: float | None = None


class Target(NamedTuple):
    """The start that new machines are created for."""

    slack: float
    # Whether a new machine could still be in time for it.
    in_reach: bool


def machines_to_create(
    queue: list[TimedTasks],
    timelines: list[MachineTimeline],
    choices: list[MachineOption],
    partition: str,
    boot_factor: float,
    max_tasks: int = UNLIMITED_TASKS,
) -> dict[MachineKind, int]:
    """Return how many machines of which kind to create for the first `max_tasks` tasks.

    Changes the timelines. Machines take `boot_factor` times as long to boot as their type says.
    """
    plan = _CreationPlan(queue, timelines, choices, partition, boot_factor)
    for timed in queue:
        max_tasks = plan.add(timed, max_tasks)
        if max_tasks <= 0:
            break
    return plan.machines


class _CreationPlan:
    """The queue as it is assigned to the machines, and what is created for it."""

    def __init__(
        self,
        queue: list[TimedTasks],
        timelines: list[MachineTimeline],
        choices: list[MachineOption],
        partition: str,
        boot_factor: float,
    ) -> None:
        self._choices, self._partition, self._boot_factor = choices, partition, boot_factor
        smallest = min_resources(timed.item.job.spec.resources for timed in queue)
        self._schedule = ScheduleProjection(timelines, smallest)
        # How many tasks that need the same are still to be assigned.
        self._alike: dict[Resources, int] = {}
        for timed in queue:
            resources = timed.item.job.spec.resources
            self._alike[resources] = self._alike.get(resources, 0) + timed.item.count
        self.machines: dict[MachineKind, int] = {}

    def add(self, timed: TimedTasks, max_tasks: int) -> int:
        """Assign at most so many tasks of an item; return how many more may be assigned."""
        item, spec = timed.item, timed.item.job.spec
        candidates = StartCandidates(item.job, self._schedule, timed.excluded_types)
        chooser = _MachineChooser(timed, self._choices, self._partition, self._boot_factor)
        option: MachineOption | None = None
        alike = self._alike[spec.resources]
        self._alike[spec.resources] = alike - item.count
        for position in range(item.count):
            if max_tasks <= 0:
                break
            max_tasks -= 1
            run_at, created = candidates.next_run(), False
            if run_at > chooser.target.slack:
                # Of a gang the last task counts: machines are created for all of it.
                if position == 0 or option is not None or spec.gang:
                    option = chooser.choose(alike)
                if option is not None:
                    created = self._create_if_sooner(option, timed, candidates, run_at)
            alike -= 1
            if run_at == NEVER and not created:
                # Nothing can be had for it, nor for those beside it.
                break
            candidates.assign(timed.run)
        return max_tasks

    def _create_if_sooner(
        self,
        option: MachineOption,
        timed: TimedTasks,
        candidates: StartCandidates,
        run_at: float,
    ) -> bool:
        """Create a machine if a task would run on it sooner than at `run_at`."""
        name = f"new-{len(self._schedule.timelines)}"
        capacity = new_machine(name, option, self._partition)
        capacity.ready_in *= self._boot_factor
        fetch = capacity.image_fetch_seconds(timed.item.job.spec.image, timed.image_gb)
        if capacity.ready_in + fetch >= run_at - MIN_GAIN_SECONDS:
            return False
        candidates.add(MachineTimeline(capacity))
        kind = option.kind
        self.machines[kind] = self.machines.get(kind, 0) + 1
        return True


class _MachineChooser:
    """Chooses the machine to create for tasks that would start too late on what there is."""

    def __init__(
        self,
        timed: TimedTasks,
        choices: list[MachineOption],
        partition: str,
        boot_factor: float,
    ) -> None:
        self._timed, self._partition, self._boot_factor = timed, partition, boot_factor
        self._choices = choices
        self.target = self._find_target()
        # How many tasks are alike makes a difference only where a machine takes more.
        resources = timed.item.job.spec.resources
        self._max_alike = max(
            (new_machine("", option, partition).count(resources) for option in choices), default=0
        )
        self._chosen: dict[int, MachineOption | None] = {}

    def choose(self, alike: int) -> MachineOption | None:
        """Return the best machine where so many tasks that need the same still wait."""
        alike = min(alike, self._max_alike)
        if alike not in self._chosen:
            self._chosen[alike] = self._find(alike)
        return self._chosen[alike]

    def _find_target(self) -> Target:
        """Find the next deadline that a new machine could still meet.

        What has missed a deadline no longer hurries for it: expensive machines that are created
        then would be early for nothing.
        """
        timed = self._timed
        if timed.min_cost is not None:
            costs = self._costs(self._choices, timed.item.count)
            if min(costs, default=0.0) <= timed.min_cost * MAX_COST_RATIO_TO_HURRY_LATE:
                return Target(timed.slack, True)
        soonest = min((self._ready_after(option) for option in self._choices), default=0.0)
        for slack in (timed.slack, *timed.later_slacks):
            if soonest <= slack:
                return Target(slack, True)
        return Target(timed.slack, not timed.later_slacks)

    def _find(self, alike: int) -> MachineOption | None:
        timed = self._timed
        usable = [
            option
            for option in self._choices
            if option.machine_type.name not in timed.excluded_types
        ]
        if not self.target.in_reach and timed.min_cost is not None:
            # Too late for every objective: it takes what is cheap, and else the next place that
            # comes free; being the oldest, it is the first to get one.
            usable = self._within(usable, timed.min_cost * MAX_COST_RATIO_IF_LATE, alike)
        # Those that would be in time, if any; a slow boot or fetch may cost more than it saves.
        in_time = [option for option in usable if self._ready_after(option) <= self.target.slack]
        if not in_time and usable:
            # Late anyway: the sooner the better, within reason.
            least = min(self._costs(usable, alike), default=0.0)
            fair = self._within(usable, least * MAX_COST_RATIO_IF_LATE, alike)
            in_time = sorted(fair, key=self._ready_after)[:1]
        return cheapest(timed.item, in_time or usable, self._partition, alike)

    def _ready_after(self, option: MachineOption) -> float:
        return ready_after(option, self._timed.image_gb, self._boot_factor)

    def _costs(self, choices: list[MachineOption], alike: int) -> list[float]:
        """Return the costs of those options on which the job can run."""
        item, partition = self._timed.item, self._partition
        return [
            price
            for option in choices
            if (price := cost(item, option, partition, alike)) is not None
        ]

    def _within(
        self, choices: list[MachineOption], max_cost: float, alike: int
    ) -> list[MachineOption]:
        """Return the options that cost no more than so much."""
        found = []
        for option in choices:
            price = cost(self._timed.item, option, self._partition, alike)
            if price is not None and price <= max_cost:
                found.append(option)
        return found
