"""Teams' quotas, and what is guaranteed to teams."""

from collections.abc import Iterable

from roadbend.placement.quota_allowance import QuotaAmount, tasks_within
from roadbend.settings import PlatformSettings, Team
from roadbend.store.record_view import RecordView
from roadbend.store.records import Job, JobSpec

ZERO_QUOTA = QuotaAmount(0.0, 0.0)


class FairShare:
    """Teams' quotas and guarantees, and how much of them the records leave."""

    def __init__(self, settings: PlatformSettings, view: RecordView) -> None:
        self._settings, self._view = settings, view
        # Computed again only when a job is added or removed: the view counts that as
        # `membership_version`.
        self._guaranteed: set[str] = set()
        self._guaranteed_at = -1

    def guaranteed_jobs(self) -> set[str]:
        """Return the ids of the jobs that are within their team's guarantee."""
        if self._guaranteed_at != self._view.membership_version:
            self._guaranteed_at = self._view.membership_version
            self._guaranteed = within_guarantee(self._view.jobs.values(), self._settings)
        return self._guaranteed

    def quota(self, team: str) -> QuotaAmount | None:
        """Return a team's quota, infinite where it has no limit; None for an unknown team."""
        team_settings = self._settings.teams.get(team)
        if team_settings is None:
            return None
        return QuotaAmount(
            team_settings.cpus_max or float("inf"), team_settings.gpus_max or float("inf")
        )

    def quota_for(self, team: str, partition: str) -> QuotaAmount | None:
        """Return how much a partition may use for a team at most; None for an unknown team.

        That is the team's quota less what other partitions have reserved of it.
        """
        quota = self.quota(team)
        if quota is None:
            return None
        record = self._view.quotas.get(team)
        others = (
            [amount for name, amount in record.partitions.items() if name != partition]
            if record
            else []
        )
        return QuotaAmount(
            quota.cpus - sum(cpus for cpus, _ in others),
            quota.gpus - sum(gpus for _, gpus in others),
        )

    def quota_left(self, team: str, partition: str) -> QuotaAmount | None:
        """Return how much more a partition may use for a team; None for an unknown team."""
        quota = self.quota_for(team, partition)
        if quota is None:
            return None
        cpus, gpus = self._view.usage.get(partition, {}).get(team, ZERO_QUOTA)
        return QuotaAmount(quota.cpus - cpus, quota.gpus - gpus)

    def startable_tasks(self, spec: JobSpec, partition: str) -> int:
        """Return how many more of a job's tasks its team's quota lets a partition start."""
        left = self.quota_left(spec.team, partition)
        return 0 if left is None else tasks_within(left, spec.resources)


def within_guarantee(jobs: Iterable[Job], settings: PlatformSettings) -> set[str]:
    """Return the ids of the jobs that fit into their team's guarantee.

    A job fits if it does so together with its team's earlier unfinished jobs (the protocol, "How
    aims are counted").
    """
    totals: dict[str, QuotaAmount] = {}
    guaranteed = set()
    for job in sorted(jobs, key=lambda job: (job.submitted_at, job.id)):
        team = settings.teams.get(job.spec.team)
        if team is None:
            continue
        earlier = totals.get(team.name, ZERO_QUOTA)
        needs = job.spec.resources.times(job.spec.task_count)
        total = QuotaAmount(earlier.cpus + needs.cpus, earlier.gpus + needs.gpus)
        totals[team.name] = total
        if _is_guaranteed(team, total):
            guaranteed.add(job.id)
    return guaranteed


def _is_guaranteed(team: Team, total: QuotaAmount) -> bool:
    """Return whether a team's guarantee covers an amount.

    A resource whose guarantee is 0 is not bounded; if both are 0, the team has no guarantee.
    """
    if team.cpus <= 0 and team.gpus <= 0:
        return False
    return (team.cpus <= 0 or total.cpus <= team.cpus) and (
        team.gpus <= 0 or total.gpus <= team.gpus
    )
