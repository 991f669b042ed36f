"""What a team's limit leaves a partition, and what is reserved of it in the team's record."""

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
# How long what waits for a machine keeps its team's limit from lesser work, and what is reserved
# from other partitions.
QUOTA_HOLD_TIME = timedelta(seconds=20)
# For how long a job leaves its team's room to one of another partition that has begun nothing.
QUOTA_YIELD_TIME = timedelta(seconds=30)
# How often a partition looks whether it has set too much aside for a team.
RESERVE_EVERY = timedelta(seconds=1)
# From which share of a team's quota on others may want what one partition reserves.
PRESSED_SHARE = 0.75


class Quotas:
    """What teams' quotas leave one partition, and what it reserves of them."""

    def __init__(self, state: PartitionState) -> None:
        self._aging = state.aging
        self._context = state.records.context
        # When what is reserved of each team's quota was last given back.
        self._reserved_at: dict[str, datetime] = {}
        self._partition = state.records.partition

    def remaining_quota(self, transaction: TransactionBuilder, team: str) -> QuotaAmount | None:
        """Return what a team's quota leaves this partition; None for an unknown team.

        What the transaction in the making starts and ends counts.
        """
        most = self._context.fair_share.quota_for(team, self._partition)
        if most is None:
            return None
        used = transaction.used(team)
        return QuotaAmount(most[0] - used[0], most[1] - used[1])

    def yields_quota(self, item: PendingTasks, overdue: dict[str, dict[str, int]]) -> bool:
        """Whether an item leaves its team's quota to a starved job that another partition holds.

        A partition's own steady stream must not starve it.
        """
        jobs = overdue.get(item.job.spec.team)
        if not jobs or item.starved:
            return False
        view, here = self._context.view, item.job.spec
        scarce = self._context.fair_share.startable_tasks(here, self._partition) < 2 * item.count
        # Only for so long: one that has not begun by then waits for something else than the team's
        # room.
        since = clock.wall() - self._context.operator.begin_within - QUOTA_YIELD_TIME
        return scarce and any(
            priority >= here.priority and self._partition not in view.jobs[name].allocation
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
        """Reserve quota for so many tasks, in the same transaction; False if there is no room.

        Some more than is needed is reserved while there is plenty, so that partitions seldom meet
        there.
        """
        limits, team_key = self._context.fair_share.quota(team), keys.team_key(team)
        assert limits is not None, "no tasks of a team without a quota are placed"
        used = transaction.used(team)
        used = (used[0] + tasks * resources.cpus, used[1] + tasks * resources.gpus)
        use = transaction.team(team)
        have = use.partitions.get(self._partition, (0.0, 0.0))
        bound = [most < float("inf") for most in limits]
        short = any(
            b and u > h + RESOURCE_TOLERANCE for b, u, h in zip(bound, used, have, strict=True)
        )
        if not transaction.room_for(*record_keys, *([team_key] if short else [])):
            return False
        if short:
            others = (use.cpus - have[0], use.gpus - have[1])
            share = 2 * max(1, self._context.settings.controller_count)
            fresh = [
                max(u, u + (most - other - u) / share) if b else 0.0
                for b, u, most, other in zip(bound, used, limits, others, strict=True)
            ]
            transaction.set_team(use.with_partition(self._partition, *fresh))
        return True

    def release_unneeded(
        self, pending: Iterable[PendingTasks], transaction: TransactionBuilder, now: datetime
    ) -> None:
        """Give back what is reserved and not needed here, once others may want it."""
        waiting = self._waiting(pending, now)
        for team, record in self._context.view.quotas.items():
            reserved = record.partitions.get(self._partition)
            quota = self._context.fair_share.quota(team)
            if reserved is None or quota is None or keys.team_key(team) in transaction.changes:
                continue
            if now - self._reserved_at.get(team, clock.ORIGIN) < RESERVE_EVERY:
                continue
            used = transaction.used(team)
            pressed = any(
                limit < float("inf") and total > PRESSED_SHARE * limit
                for total, limit in zip((record.cpus, record.gpus), quota, strict=True)
            )
            if not pressed and (any(u > RESOURCE_TOLERANCE for u in used) or team in waiting):
                continue
            wanted = waiting.get(team, (0.0, 0.0))
            kept = [min(h, u + w) for h, u, w in zip(reserved, used, wanted, strict=True)]
            if all(
                h - k <= RESOURCE_TOLERANCE for h, k in zip(reserved, kept, strict=True)
            ) or not transaction.room_for(keys.team_key(team)):
                continue
            self._reserved_at[team] = now
            cpus, gpus = (max(k, u) for k, u in zip(kept, used, strict=True))
            transaction.set_team(record.with_partition(self._partition, cpus, gpus))

    def _waiting(
        self, pending: Iterable[PendingTasks], now: datetime
    ) -> dict[str, tuple[float, float]]:
        """Return the CPUs and GPUs that what waits asks for, by team.

        What has waited here for longer may wait for a machine that can't be had; other partitions
        may have room.
        """
        waiting: dict[str, tuple[float, float]] = {}
        starved = self._context.starvation.starved_jobs(now)
        for item in pending:
            if self._aging.waited(item.job.id, now) < QUOTA_HOLD_TIME and not self.yields_quota(
                item, starved
            ):
                spec = item.job.spec
                cpus, gpus = waiting.get(spec.team, (0.0, 0.0))
                waiting[spec.team] = (
                    cpus + item.count * spec.resources.cpus,
                    gpus + item.count * spec.resources.gpus,
                )
        return waiting


def limit_to_quota(limits: QuotaAllowance, items: Iterable[PendingTasks]) -> list[PendingTasks]:
    """Return as much of the items, in their order, as the teams' quotas permit all together.

    No room is made, and no machine created, for what could not use it.
    """
    permitted = []
    for item in items:
        part = limits.permitted_part(item)
        if part is not None:
            limits.take(part.job.spec, part.count)
            permitted.append(part)
    return permitted
