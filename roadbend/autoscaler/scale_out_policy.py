"""How many machines to create for the pending queue, just in time.

Pending tasks are assigned in queue order to the machines as these become free. For a task that
would start too late, a machine is created if the task would start sooner on it; later tasks may
share that machine. Pure functions; times are in seconds from now.
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

# For a task that would be late on any machine, a new machine may cost at most this multiple of the
# minimum cost.
MAX_COST_RATIO_IF_LATE = 1.6
# Up to this multiple of the minimum cost, tasks that have missed a deadline still aim at it: late
# tasks delay those behind them in the queue.
MAX_COST_RATIO_TO_EXPEDITE_LATE = 3.0
# A new machine must start a task sooner than existing ones by at least this much.
MIN_GAIN_SECONDS = 1.0


@dataclass(frozen=True)
class TimedTasks:
    """Pending tasks of one job, and when they must start."""

    item: PendingTasks
    run_seconds: float
    # The latest start, from now, with which they meet the first deadline that counts.
    slack: float
    image_gb: float = 0.0
    excluded_types: frozenset[str] = frozenset()
    # The slacks of the later deadlines in the job's objectives, and the minimum cost of a task, in
    # any zone, whether such a machine is available or not.
    later_slacks: tuple[float, ...] = ()
    min_cost: float | None = None


class Target(NamedTuple):
    """The latest start that new machines are to meet."""

    slack: float
    # Whether a new machine could still meet it.
    is_attainable: bool


def machines_to_create(
    queue: list[TimedTasks],
    timelines: list[MachineTimeline],
    choices: list[MachineOption],
    partition: str,
    boot_factor: float,
    max_tasks: int = UNLIMITED_TASKS,
) -> dict[MachineKind, int]:
    """Return how many machines of each kind to create for the first `max_tasks` tasks.

    Changes the timelines. Machines take `boot_factor` times as long to boot as their type states.
    """
    plan = _CreationPlan(queue, timelines, choices, partition, boot_factor)
    for timed in queue:
        max_tasks = plan.add(timed, max_tasks)
        if max_tasks <= 0:
            break
    return plan.machines


class _CreationPlan:
    """The assignment of the queue to machines, and the machines to create for it."""

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
        # How many tasks that need the same resources are not assigned yet.
        self._similar_counts: dict[Resources, int] = {}
        for timed in queue:
            resources = timed.item.job.spec.resources
            self._similar_counts[resources] = (
                self._similar_counts.get(resources, 0) + timed.item.count
            )
        self.machines: dict[MachineKind, int] = {}

    def add(self, timed: TimedTasks, max_tasks: int) -> int:
        """Assign at most `max_tasks` tasks of an item; return how many more may be assigned."""
        item, spec = timed.item, timed.item.job.spec
        candidates = StartCandidates(item.job, self._schedule, timed.excluded_types)
        chooser = _MachineChooser(timed, self._choices, self._partition, self._boot_factor)
        option: MachineOption | None = None
        similar_count = self._similar_counts[spec.resources]
        self._similar_counts[spec.resources] = similar_count - item.count
        for position in range(item.count):
            if max_tasks <= 0:
                break
            max_tasks -= 1
            run_at, created = candidates.next_run(), False
            if run_at > chooser.target.slack:
                # A gang starts with its last task: machines are created for all of its tasks.
                if position == 0 or option is not None or spec.gang:
                    option = chooser.choose(similar_count)
                if option is not None:
                    created = self._create_if_sooner(option, timed, candidates, run_at)
            similar_count -= 1
            if run_at == NEVER and not created:
                # No machine can run it, nor the item's other tasks.
                break
            candidates.assign(timed.run_seconds)
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
    """Chooses the machine to create for tasks that would start too late on existing ones."""

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
        # The number of similar tasks matters only up to the number that fits on a machine.
        resources = timed.item.job.spec.resources
        self._max_similar_count = max(
            (new_machine("", option, partition).count(resources) for option in choices), default=0
        )
        self._chosen: dict[int, MachineOption | None] = {}

    def choose(self, similar_count: int) -> MachineOption | None:
        """Return the best machine if `similar_count` tasks with the same needs are unassigned."""
        similar_count = min(similar_count, self._max_similar_count)
        if similar_count not in self._chosen:
            self._chosen[similar_count] = self._find_option(similar_count)
        return self._chosen[similar_count]

    def _find_target(self) -> Target:
        """Return the first deadline that a new machine could still meet.

        Tasks that have missed a deadline aim at the next one: an expensive machine for the missed
        one would gain nothing.
        """
        timed = self._timed
        if timed.min_cost is not None:
            costs = self._costs(self._choices, timed.item.count)
            if min(costs, default=0.0) <= timed.min_cost * MAX_COST_RATIO_TO_EXPEDITE_LATE:
                return Target(timed.slack, True)
        soonest = min((self._ready_after(option) for option in self._choices), default=0.0)
        for slack in (timed.slack, *timed.later_slacks):
            if soonest <= slack:
                return Target(slack, True)
        return Target(timed.slack, not timed.later_slacks)

    def _find_option(self, similar_count: int) -> MachineOption | None:
        timed = self._timed
        usable = [
            option
            for option in self._choices
            if option.machine_type.name not in timed.excluded_types
        ]
        if not self.target.is_attainable and timed.min_cost is not None:
            # Too late for every objective: only a cheap machine is created. Without one the task
            # waits for free capacity, and as the oldest task gets it first.
            usable = self._options_up_to(
                usable, timed.min_cost * MAX_COST_RATIO_IF_LATE, similar_count
            )
        # Prefers options that would be in time: the delay by a slow boot or fetch may cost more
        # than a cheaper machine saves.
        in_time = [option for option in usable if self._ready_after(option) <= self.target.slack]
        if not in_time and usable:
            # Late on any machine: the fastest one up to a cost limit.
            lowest_cost = min(self._costs(usable, similar_count), default=0.0)
            affordable = self._options_up_to(
                usable, lowest_cost * MAX_COST_RATIO_IF_LATE, similar_count
            )
            in_time = sorted(affordable, key=self._ready_after)[:1]
        return cheapest(timed.item, in_time or usable, self._partition, similar_count)

    def _ready_after(self, option: MachineOption) -> float:
        return ready_after(option, self._timed.image_gb, self._boot_factor)

    def _costs(self, choices: list[MachineOption], similar_count: int) -> list[float]:
        """Return the costs of the options on which the job can run."""
        item, partition = self._timed.item, self._partition
        return [
            price
            for option in choices
            if (price := cost(item, option, partition, similar_count)) is not None
        ]

    def _options_up_to(
        self, choices: list[MachineOption], max_cost: float, similar_count: int
    ) -> list[MachineOption]:
        """Return the options that cost at most `max_cost`."""
        found = []
        for option in choices:
            price = cost(self._timed.item, option, self._partition, similar_count)
            if price is not None and price <= max_cost:
                found.append(option)
        return found
