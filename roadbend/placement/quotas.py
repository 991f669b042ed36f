"""How much of a team's quota a partition may use, and what it reserves in the quota record."""

from collections.abc import Iterable
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.log import Log
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.quota_allowance import QuotaAllowance, QuotaAmount
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys
from roadbend.store.records import Resources

log = Log("placement")
# How long work that waits for a machine withholds its team's quota from lower-priority work, and
# reserved quota from other partitions.
QUOTA_HOLD_TIME = timedelta(seconds=20)
# How long a job leaves its team's quota to one of another partition that has started no task.
QUOTA_YIELD_TIME = timedelta(seconds=30)
# How often a partition checks whether it has reserved too much of a team's quota.
RELEASE_INTERVAL = timedelta(seconds=1)
# Quota is scarce once more than this share of it is reserved: other partitions may need what one
# has reserved.
SCARCE_SHARE = 0.75


class Quotas:
    """How much of teams' quotas one partition may use, and what it reserves of them."""

    def __init__(self, state: PartitionState) -> None:
        self._aging = state.aging
        self._context = state.records.context
        # When reserved quota of each team was last released.
        self._released_at: dict[str, datetime] = {}
        self._partition = state.records.partition

    def remaining_quota(self, transaction: TransactionBuilder, team: str) -> QuotaAmount | None:
        """Return how much more this partition may use for a team; None for an unknown team.

        What the transaction being built starts and ends counts.
        """
        limit = self._context.fair_share.quota_for(team, self._partition)
        if limit is None:
            return None
        used = transaction.used(team)
        return QuotaAmount(limit[0] - used[0], limit[1] - used[1])

    def yields_quota(self, item: PendingTasks, starved: dict[str, dict[str, int]]) -> bool:
        """Return whether an item leaves its team's quota to a starved job of another partition.

        That job must not starve because of a steady stream of jobs in this partition.
        """
        jobs = starved.get(item.job.spec.team)
        if not jobs or item.starved:
            return False
        view, spec = self._context.view, item.job.spec
        scarce = self._context.fair_share.startable_tasks(spec, self._partition) < 2 * item.count
        # Only for a limited time: a job that has not started by then waits for something else than
        # its team's quota.
        since = clock.wall() - self._context.operator.begin_within - QUOTA_YIELD_TIME
        return scarce and any(
            priority >= spec.priority and self._partition not in view.jobs[name].allocation
            for name, priority in jobs.items()
            if name in view.jobs and view.jobs[name].submitted_at > since
        )

    def reserve_quota(
        self,
        transaction: TransactionBuilder,
        team: str,
        resources: Resources,
        tasks: int,
        record_keys: list[str],
    ) -> bool:
        """Reserve quota for a number of tasks in the transaction; return False if it has no space.

        While there is plenty, more than is needed is reserved, so that partitions seldom conflict
        on the quota record.
        """
        limits, team_key = self._context.fair_share.quota(team), keys.team_key(team)
        assert limits is not None, "no tasks of a team without a quota are placed"
        used = transaction.used(team)
        used = (used[0] + tasks * resources.cpus, used[1] + tasks * resources.gpus)
        record = transaction.quota(team)
        reserved = record.partitions.get(self._partition, (0.0, 0.0))
        is_limited = [limit < float("inf") for limit in limits]
        needs_more = any(
            limited and u > h + RESOURCE_TOLERANCE
            for limited, u, h in zip(is_limited, used, reserved, strict=True)
        )
        if not transaction.has_space_for(*record_keys, *([team_key] if needs_more else [])):
            return False
        if needs_more:
            others = (record.cpus - reserved[0], record.gpus - reserved[1])
            share = 2 * max(1, self._context.settings.controller_count)
            amounts = [
                max(u, u + (limit - other - u) / share) if limited else 0.0
                for limited, u, limit, other in zip(is_limited, used, limits, others, strict=True)
            ]
            transaction.set_quota(record.with_partition(self._partition, *amounts))
        return True

    def release_unneeded(
        self, pending: Iterable[PendingTasks], transaction: TransactionBuilder, now: datetime
    ) -> None:
        """Release reserved quota that is not needed here, once other partitions may need it."""
        demand = self._pending_demand(pending, now)
        for team, record in self._context.view.quotas.items():
            reserved = record.partitions.get(self._partition)
            quota = self._context.fair_share.quota(team)
            if reserved is None or quota is None or keys.team_key(team) in transaction.changes:
                continue
            if now - self._released_at.get(team, clock.ORIGIN) < RELEASE_INTERVAL:
                continue
            used = transaction.used(team)
            is_scarce = any(
                limit < float("inf") and total > SCARCE_SHARE * limit
                for total, limit in zip((record.cpus, record.gpus), quota, strict=True)
            )
            if not is_scarce and (any(u > RESOURCE_TOLERANCE for u in used) or team in demand):
                continue
            wanted = demand.get(team, (0.0, 0.0))
            kept = [min(h, u + w) for h, u, w in zip(reserved, used, wanted, strict=True)]
            if all(
                h - k <= RESOURCE_TOLERANCE for h, k in zip(reserved, kept, strict=True)
            ) or not transaction.has_space_for(keys.team_key(team)):
                continue
            self._released_at[team] = now
            cpus, gpus = (max(k, u) for k, u in zip(kept, used, strict=True))
            transaction.set_quota(record.with_partition(self._partition, cpus, gpus))

    def _pending_demand(
        self, pending: Iterable[PendingTasks], now: datetime
    ) -> dict[str, tuple[float, float]]:
        """Return the CPUs and GPUs that pending tasks need, by team.

        Those that have waited longer than QUOTA_HOLD_TIME don't count: they may wait for a machine
        that can't be had, while other partitions may have free capacity.
        """
        demand: dict[str, tuple[float, float]] = {}
        starved = self._context.starvation.starved_jobs(now)
        for item in pending:
            if self._aging.waited(item.job.id, now) < QUOTA_HOLD_TIME and not self.yields_quota(
                item, starved
            ):
                spec = item.job.spec
                cpus, gpus = demand.get(spec.team, (0.0, 0.0))
                demand[spec.team] = (
                    cpus + item.count * spec.resources.cpus,
                    gpus + item.count * spec.resources.gpus,
                )
        return demand


def limit_to_quota(limits: QuotaAllowance, items: Iterable[PendingTasks]) -> list[PendingTasks]:
    """Return as much of the items, in their order, as the teams' quotas permit in total.

    For the rest, no work is preempted and no machine created, as it could not use these.
    """
    permitted = []
    for item in items:
        part = limits.permitted_part(item)
        if part is not None:
            limits.take(part.job.spec, part.count)
            permitted.append(part)
    return permitted
