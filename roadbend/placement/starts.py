"""Which of what waits starts now, and where, within teams' quotas."""

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
    # Shares of gangs that wait for other partitions.
    early: list[PendingTasks]


class _Capacities(NamedTuple):
    """The machines that a step looks at."""

    capacities: list[FreeCapacity]
    # Whether machines are left out on which nothing that waits fits.
    only_with_room: bool


class StartScheduler:
    """Starts what waits in one partition, in each step."""

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

        What finds no place gets machines reserved, or lesser work stopped for it.
        """
        queue = self._queue.pending()
        self._aging.update_queue((item.job.id for item in queue), now)
        if not queue:
            self._queue.update_not_placed([])
            return False
        seen = self._find_capacities(queue, transaction)
        self._restrictions.withhold_expensive_types(queue)
        self._restrictions.prefer_cached_images(queue, seen.capacities)
        result = self._place(queue, seen.capacities, transaction, now)
        more = result.stopped_early
        more = self._recorder.record(result.placed, transaction, now) or more
        self._gang_reservations.keep_for_gangs(self._queue.not_placed, now)
        if self._queue.not_placed and not more:
            self._preemption.preempt(
                self._queue.not_placed,
                transaction,
                seen.capacities,
                not seen.only_with_room,
                now,
            )
        return more

    def _find_capacities(
        self, queue: list[PendingTasks], transaction: TransactionBuilder
    ) -> _Capacities:
        """Return the usable machines.

        Most are full, and only services that must start soon look at those, for what could be
        cleared there.
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
        """Find a place for what may start, and note what found none."""
        starved = self._context.starvation.starved_jobs(now)
        quota = QuotaAllowance(
            partial(self._quotas.remaining_quota, transaction),
            lambda job: self._aging.waited(job, now) < quotas.QUOTA_HOLD_TIME,
        )
        ready, early = self._split(queue)
        yielding = {item.job.id for item in ready if self._quotas.yields_quota(item, starved)}
        self._restrictions.update_passed_over(ready, yielding, capacities, now)
        candidates = [
            item
            for item in ready
            if item.job.id not in yielding or self._aging.is_starving(item.job.id, now)
        ]
        result = bin_packing.place(
            self._gangs.filling_first(candidates),
            capacities,
            transaction.remaining_changes,
            self._restrictions.exclusions_of(),
            quota,
        )
        kept = [
            item for item in early if self._aging.waited(item.job.id, now) < apart_gangs.KEEP_ROOM
        ]
        self._queue.update_not_placed(quotas.limit_to_quota(quota, result.unplaced + kept))
        return result

    def _split(self, queue: list[PendingTasks]) -> _Candidates:
        """Split the queue by whether other partitions let its items start."""
        candidates = _Candidates([], [])
        for item in queue:
            may_start = self._gangs.may_start(item.job)
            (candidates.ready if may_start else candidates.early).append(item)
        return candidates
