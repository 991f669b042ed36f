"""How much of teams' quotas is left for the tasks that are placed in one step.

Pure functions of their arguments.
"""

from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from roadbend.placement.free_capacity import RESOURCE_TOLERANCE, UNLIMITED_TASKS
from roadbend.placement.queue_order import PendingTasks
from roadbend.store import ranges
from roadbend.store.records import Job, JobSpec, Resources


class QuotaAmount(NamedTuple):
    """An amount of the resources that quotas limit. Infinite where a team has no limit."""

    cpus: float
    gpus: float


class QuotaHold(NamedTuple):
    """An amount that is withheld from lower-priority work, for tasks that could not be placed."""

    priority: int
    cpus: float
    gpus: float


def _holds_nothing(_job: str) -> bool:
    return False


class QuotaAllowance:
    """How much of teams' quotas is left; reduced by what is taken.

    `remaining` returns what a team's quota leaves at first, None for an unknown team. `holds_quota`
    returns whether quota is withheld from lower-priority work for the unplaced tasks of a job (by
    id): for a while, until the machine that was created for them is up, but not forever.
    """

    def __init__(
        self,
        remaining: Callable[[str], QuotaAmount | None],
        holds_quota: Callable[[str], bool] = _holds_nothing,
    ) -> None:
        self._find_remaining, self._holds_quota = remaining, holds_quota
        self._remaining: dict[str, QuotaAmount | None] = {}
        self._holds: dict[str, list[QuotaHold]] = {}

    def max_tasks(self, spec: JobSpec) -> int:
        """Return how many more of a job's tasks its team's quota permits; 0 for unknown teams."""
        if spec.team not in self._remaining:
            self._remaining[spec.team] = self._find_remaining(spec.team)
        remaining = self._remaining[spec.team]
        if remaining is None:
            return 0
        for hold in self._holds.get(spec.team, ()):
            if hold.priority > spec.priority:
                remaining = QuotaAmount(remaining.cpus - hold.cpus, remaining.gpus - hold.gpus)
        return tasks_within(remaining, spec.resources)

    def hold(self, job: Job, tasks: int) -> None:
        """Withhold quota for a number of unplaced tasks of a job, if the job may hold it."""
        if tasks and self._holds_quota(job.id):
            resources = job.spec.resources.times(tasks)
            self._holds.setdefault(job.spec.team, []).append(
                QuotaHold(job.spec.priority, resources.cpus, resources.gpus)
            )

    def take(self, spec: JobSpec, tasks: int) -> None:
        """Subtract a number of a job's tasks from its team's quota.

        `max_tasks` must have been called for the job's team before, and must have known it.
        """
        remaining = self._remaining[spec.team]
        assert remaining is not None, "no tasks of a team without a quota are placed"
        self._remaining[spec.team] = QuotaAmount(
            remaining.cpus - tasks * spec.resources.cpus,
            remaining.gpus - tasks * spec.resources.gpus,
        )

    def permitted_part(self, item: PendingTasks) -> PendingTasks | None:
        """Return as many of an item's tasks as the quota permits; None if it permits none.

        A gang is permitted as a whole or not at all.
        """
        count = min(item.count, self.max_tasks(item.job.spec))
        if count <= 0 or (item.job.spec.gang and count < item.count):
            return None
        return item if count == item.count else replace(item, tasks=ranges.first(item.tasks, count))


def tasks_within(amount: QuotaAmount, resources: Resources) -> int:
    """Return how many tasks' CPUs and GPUs fit into an amount of quota."""
    count = UNLIMITED_TASKS
    for free, needed in ((amount.cpus, resources.cpus), (amount.gpus, resources.gpus)):
        if needed > 0 and free < float("inf"):
            count = min(count, int((free + RESOURCE_TOLERANCE) / needed))
    return max(0, count)
