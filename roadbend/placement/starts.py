"""Decides which pending tasks start now, and where, within the teams' quotas."""

from datetime import datetime
from functools import partial
from typing import NamedTuple

from roadbend.placement import apart_gangs, bin_packing, free_capacity, quotas
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.gang_reservations import GangReservations
from roadbend.placement.gangs import Gangs
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.pending_queue import PendingQueue
from roadbend.placement.preemption import Preemption
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.quota_allowance import QuotaAllowance
from roadbend.placement.quotas import Quotas
from roadbend.placement.restrictions import Restrictions
from roadbend.placement.start_recorder import StartRecorder
from roadbend.placement.transaction import TransactionBuilder
from roadbend.placement.usable_machines import UsableMachines


class _Candidates(NamedTuple):
    """The pending queue, by whether its items may start now."""

    ready: list[PendingTasks]
    # Shares of gangs that must wait for other partitions.
    blocked: list[PendingTasks]


class _Capacities(NamedTuple):
    """The machines that a step examines."""

    capacities: list[FreeCapacity]
    # Whether machines on which no pending task fits are left out.
    is_partial: bool


class StartScheduler:
    """Starts pending tasks of one partition, in each scheduling step."""

    def __init__(
        self,
        state: PartitionState,
        *,
        queue: PendingQueue,
        usable_machines: UsableMachines,
        gangs: Gangs,
        quotas: Quotas,
        gang_reservations: GangReservations,
        preemption: Preemption,
        recorder: StartRecorder,
    ) -> None:
        self._context, self._aging = state.records.context, state.aging
        self._queue, self._usable_machines, self._gangs = queue, usable_machines, gangs
        self._quotas, self._gang_reservations = quotas, gang_reservations
        self._restrictions = Restrictions(state, gang_reservations)
        self._preemption, self._recorder = preemption, recorder

    def start(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Put starts into the transaction; return whether some are left for the next one.

        For items that can't be placed, machines are reserved or lower-priority tasks stopped.
        """
        queue = self._queue.pending()
        self._aging.update_queue((item.job.id for item in queue), now)
        if not queue:
            self._queue.update_not_placed([])
            return False
        found = self._find_capacities(queue, transaction)
        self._restrictions.exclude_expensive_types(queue)
        self._restrictions.prefer_cached_images(queue, found.capacities)
        result = self._place(queue, found.capacities, transaction, now)
        has_more = result.stopped_early
        has_more = self._recorder.record(result.placed, transaction, now) or has_more
        self._gang_reservations.reserve_for_gangs(self._queue.not_placed, now)
        if self._queue.not_placed and not has_more:
            self._preemption.preempt(
                self._queue.not_placed,
                transaction,
                found.capacities,
                not found.is_partial,
                now,
            )
        return has_more

    def _find_capacities(
        self, queue: list[PendingTasks], transaction: TransactionBuilder
    ) -> _Capacities:
        """Return the usable machines that the step must examine.

        Most machines are full. Those matter only for services and gangs that must start soon, for
        which tasks there could be preempted.
        """
        start_within = self._context.objectives.start_within
        if any(start_within(item.job.spec) is not None for item in queue):
            return _Capacities(
                self._usable_machines.capacities(transaction.ended_attempts, None), False
            )
        smallest = free_capacity.min_resources(item.job.spec.resources for item in queue)
        return _Capacities(
            self._usable_machines.capacities(transaction.ended_attempts, smallest), True
        )

    def _place(
        self,
        queue: list[PendingTasks],
        capacities: list[FreeCapacity],
        transaction: TransactionBuilder,
        now: datetime,
    ) -> bin_packing.PlacementResult:
        """Place the items that may start, and record those that could not be placed."""
        starved = self._context.starvation.starved_jobs(now)
        quota = QuotaAllowance(
            partial(self._quotas.remaining_quota, transaction),
            lambda job: self._aging.waited(job, now) < quotas.QUOTA_HOLD_TIME,
        )
        ready, blocked = self._split_by_readiness(queue)
        yielding = {item.job.id for item in ready if self._quotas.yields_quota(item, starved)}
        self._restrictions.update_passed_over(ready, yielding, capacities, now)
        candidates = [
            item
            for item in ready
            if item.job.id not in yielding or self._aging.is_starving(item.job.id, now)
        ]
        result = bin_packing.place(
            self._gangs.partly_recorded_first(candidates),
            capacities,
            transaction.remaining_changes,
            self._restrictions.exclusions_function(),
            quota,
        )
        still_reserving = [
            item
            for item in blocked
            if self._aging.waited(item.job.id, now) < apart_gangs.MAX_BLOCKED_RESERVATION
        ]
        self._queue.update_not_placed(
            quotas.limit_to_quota(quota, result.unplaced + still_reserving)
        )
        return result

    def _split_by_readiness(self, queue: list[PendingTasks]) -> _Candidates:
        """Split the queue by whether items have to wait for other partitions."""
        candidates = _Candidates([], [])
        for item in queue:
            may_start = self._gangs.may_start(item.job)
            (candidates.ready if may_start else candidates.blocked).append(item)
        return candidates
