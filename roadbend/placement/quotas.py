"""What a team's limit leaves a partition, and what is set aside of it in the team's record."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.log import Log
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.quota_allowance import QuotaAllowance, QuotaAmount
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys
from roadbend.store.records import Resources

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("placement")
# How long what waits for a machine keeps its team's limit from lesser work, and what is set aside
# from other partitions.
HOLD = timedelta(seconds=20)
# For how long a job leaves its team's room to one of another partition that has begun nothing.
YIELD = timedelta(seconds=30)
# How often a partition looks whether it has set too much aside for a team.
RESERVE_EVERY = timedelta(seconds=1)


def team_left(
    leader: PartitionLeader, transaction: TransactionBuilder, team: str
) -> QuotaAmount | None:
    """What a team's limit leaves this partition, after what the transaction in the making starts
    and ends."""
    most = leader.context.fair_share.quota_for(team, leader.partition)
    if most is None:
        return None
    used = transaction.used(team)
    return QuotaAmount(most[0] - used[0], most[1] - used[1])


def within(limits: QuotaAllowance, items: Iterable[PendingTasks]) -> list[PendingTasks]:
    """As much of the items, in their order, as the teams' limits permit all together: no room is
    made, and no machine hired, for what could not use it."""
    out = []
    for item in items:
        item = limits.cut(item)
        if item is not None:
            limits.take(item.job.spec, item.count)
            out.append(item)
    return out


def yields(leader: PartitionLeader, item: PendingTasks, overdue: dict[str, dict[str, int]]) -> bool:
    """Whether an item leaves its team's room to a job that another partition holds and that has
    begun nothing for too long: a partition's own steady stream must not starve it."""
    jobs = overdue.get(item.job.spec.team)
    if not jobs or item.starved:
        return False
    view, here = leader.context.view, item.job.spec
    scarce = leader.context.fair_share.startable_tasks(here, leader.partition) < 2 * item.count
    # Only for so long: one that has not begun by then waits for something else than the team's
    # room.
    since = clock.wall() - leader.context.operator.begin_within - YIELD
    return scarce and any(
        priority >= here.priority and leader.partition not in view.jobs[name].allocation
        for name, priority in jobs.items()
        if name in view.jobs and view.jobs[name].submitted_at > since
    )


def reserve_quota(
    leader: PartitionLeader,
    transaction: TransactionBuilder,
    team: str,
    resources: Resources,
    tasks: int,
    record_keys: list[str],
) -> bool:
    """Sees to it that the team's record sets enough aside for this partition, in the same
    transaction. Some more than is needed is taken while there is plenty, so that partitions seldom
    meet there."""
    limits, team_key = leader.context.fair_share.quota(team), keys.team_key(team)
    used = transaction.used(team)
    used = (used[0] + tasks * resources.cpus, used[1] + tasks * resources.gpus)
    use = transaction.team(team)
    have = use.partitions.get(leader.partition, (0.0, 0.0))
    bound = [most < float("inf") for most in limits]
    short = any(b and u > h + RESOURCE_TOLERANCE for b, u, h in zip(bound, used, have, strict=True))
    if not transaction.room_for(*record_keys, *([team_key] if short else [])):
        return False
    if short:
        others = (use.cpus - have[0], use.gpus - have[1])
        share = 2 * max(1, leader.context.settings.controller_count)
        fresh = [
            max(u, u + (most - other - u) / share) if b else 0.0
            for b, u, most, other in zip(bound, used, limits, others, strict=True)
        ]
        transaction.set_team(use.with_partition(leader.partition, *fresh))
    return True


def reserve(leader: PartitionLeader, transaction: TransactionBuilder, now: datetime) -> None:
    """Gives back what is set aside and not needed here, once others may want it."""
    view = leader.context.view
    waiting: dict[str, tuple[float, float]] = {}
    overdue = leader.context.starvation.starved_jobs(now)
    for item in leader.queue.pending():
        # What has waited here for longer may wait for a machine that can't be had; other partitions
        # may have room.
        if now - leader.queued.get(item.job.id, now) < HOLD and not yields(leader, item, overdue):
            spec = item.job.spec
            cpus, gpus = waiting.get(spec.team, (0.0, 0.0))
            waiting[spec.team] = (
                cpus + item.count * spec.resources.cpus,
                gpus + item.count * spec.resources.gpus,
            )
    for name, use in view.quotas.items():
        have = use.partitions.get(leader.partition)
        key, limits = keys.team_key(name), leader.context.fair_share.quota(name)
        if have is None or limits is None or key in transaction.changes:
            continue
        if now - leader.reserved_at.get(name, clock.ORIGIN) < RESERVE_EVERY:
            continue
        used, wants = transaction.used(name), waiting.get(name, (0.0, 0.0))
        pressed = any(
            most < float("inf") and total > 0.75 * most
            for total, most in zip((use.cpus, use.gpus), limits, strict=True)
        )
        if not pressed and (any(u > RESOURCE_TOLERANCE for u in used) or name in waiting):
            continue
        fresh = [min(h, u + w) for h, u, w in zip(have, used, wants, strict=True)]
        if all(
            h - f <= RESOURCE_TOLERANCE for h, f in zip(have, fresh, strict=True)
        ) or not transaction.room_for(key):
            continue
        leader.reserved_at[name] = now
        transaction.set_team(
            use.with_partition(
                leader.partition, *(max(f, u) for f, u in zip(fresh, used, strict=True))
            )
        )
