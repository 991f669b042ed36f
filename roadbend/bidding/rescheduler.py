"""Reschedules jobs that wait too long in a partition (sections 4.4 and 4.5, algorithm 4)."""

import enum
import random
from collections.abc import Mapping, Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.bidding import allocation, casa
from roadbend.bidding.allocation import AllocationChange, AllocationRecorder
from roadbend.bidding.bid_collector import BidCollector
from roadbend.bidding.bid_service import BidService
from roadbend.bidding.casa import Bid
from roadbend.bidding.gang_release import GangReleaser
from roadbend.bidding.messages import BidRequest
from roadbend.bidding.responder import Responder
from roadbend.log import Log
from roadbend.placement import apart_gangs
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.store import keys, ranges
from roadbend.store.client import LeaseEndedError, UnavailableError
from roadbend.store.ranges import Ranges
from roadbend.store.records import Job

log = Log("bidding")

# How many of a partition's jobs are considered in a round at most, and after how many in a row
# without a bid the round ends.
MAX_RESCHEDULED = 12
MAX_WITHOUT_BIDS = 3
# For how long a job that got no bids is considered after the others.
NO_BIDS_RETENTION = timedelta(seconds=60)
# From how many shards of one job tasks move at once; each is a condition of the transaction.
MAX_SHARDS = 16


class RescheduleOutcome(enum.StrEnum):
    """The outcome of a try to reschedule a job."""

    # The tasks can't move: they have started meanwhile, or the job can only move as a whole and not
    # all of its tasks are pending.
    NOT_MOVABLE = "not movable"
    NO_BIDS = "no bids"
    # There were bids, but the tasks stay: they start sooner here, or the records have changed.
    STAYS = "stays"
    MOVED = "moved"


class _PlannedMove(NamedTuple):
    """The tasks that leave a partition, and the change of the job's allocation."""

    tasks: Ranges
    change: AllocationChange


class Rescheduler:
    """Offers pending tasks of the partitions led by this controller to all other partitions."""

    def __init__(
        self,
        context: ControllerContext,
        leaders: Mapping[str, PartitionLeader],
        bid_service: BidService,
        collector: BidCollector,
        recorder: AllocationRecorder,
        gang_releaser: GangReleaser,
        rng: random.Random,
    ) -> None:
        self._context, self._leaders, self._rng = context, leaders, rng
        self._bid_service, self._collector, self._recorder = bid_service, collector, recorder
        self._gang_releaser = gang_releaser
        # When no partition bid for a job, by job id: monotonic instants.
        self._no_bids_at: dict[str, datetime] = {}

    async def run(self) -> None:
        """Reschedule the due jobs of every partition led by this controller, for ever."""
        while True:
            await clock.pause(self._context.operator.reoffer_every)
            for leader in list(self._leaders.values()):
                try:
                    await self._reschedule_partition(leader)
                except (UnavailableError, LeaseEndedError):
                    pass
                except Exception:  # a failure in one partition must not stop the others
                    log.crash("rescheduling-failed", partition=leader.partition)

    async def _reschedule_partition(self, leader: PartitionLeader) -> None:
        now, partition = clock.now(), leader.partition
        if not self._context.election.may_start(now) or partition not in self._leaders:
            return
        responder = self._bid_service.responder(partition)
        await self._gang_releaser.release_due(leader, now)
        average = responder.average_queuing(now)
        without_bids = 0
        for job_id in self._due_jobs(leader, average, now)[:MAX_RESCHEDULED]:
            job = self._context.view.jobs.get(job_id)
            if job is None or not self._may_reschedule(leader, job):
                continue
            outcome = await self._reschedule(leader, responder, job, average)
            if outcome is not RescheduleOutcome.NO_BIDS:
                without_bids = 0
                continue
            without_bids += 1
            self._no_bids_at[job_id] = clock.now()
            # If no partition bids for the jobs that wait longest, all are full: bids for the
            # remaining jobs are not requested in this round.
            if without_bids >= MAX_WITHOUT_BIDS:
                break

    def _due_jobs(self, leader: PartitionLeader, average: timedelta, now: datetime) -> list[str]:
        """Return the ids of the jobs that have waited for long enough, the longest first.

        Definition 5 decides what is long enough. Jobs for which no partition bid recently come
        last, as the job that waits longest may fit nowhere while others do.
        """
        operator = self._context.operator
        waits: dict[str, timedelta] = {}
        for item in leader.queue.pending():
            since = leader.aging.queued_since(item.job.id)
            # A job that has just arrived stays for a cool-down period, whatever the average, so
            # that it doesn't move back and forth.
            if since is not None and now - since >= operator.cool_down:
                waits[item.job.id] = now - since
        due = [
            job_id
            for job_id, wait in waits.items()
            if casa.relative_delay(wait, average) >= operator.mu
        ]
        self._no_bids_at = {
            job_id: at for job_id, at in self._no_bids_at.items() if now - at < NO_BIDS_RETENTION
        }
        due.sort(key=lambda job_id: (self._no_bids_at.get(job_id, clock.ORIGIN), -waits[job_id]))
        return due

    def _may_reschedule(self, leader: PartitionLeader, job: Job) -> bool:
        if job.spec.zone is not None or self._leaders.get(leader.partition) is not leader:
            return False
        # A gang with anti-affinity is released as a whole instead.
        return not apart_gangs.is_apart(job)

    async def _reschedule(
        self, leader: PartitionLeader, responder: Responder, job: Job, average: timedelta
    ) -> RescheduleOutcome:
        """Request bids on a job's pending tasks, and move those that would start sooner elsewhere.

        `average` is the partition's average queuing time.
        """
        partition = leader.partition
        unplaced = leader.queue.unplaced(job)
        indivisible = job.spec.together or job.spec.gang
        if not unplaced or (indivisible and unplaced != job.allocation.get(partition)):
            return RescheduleOutcome.NOT_MOVABLE
        request = BidRequest(
            job=job.id,
            requests=self._collector.controller_count,
            tasks=ranges.size(unplaced),
            spec=job.spec,
            from_partition=partition,
            requester_response=responder.estimate_response_time(job),
            requester_average=average,
            waited=max(clock.ZERO, clock.wall() - job.submitted_at),
        )
        bids = await self._collector.collect(request)
        if not bids:
            return RescheduleOutcome.NO_BIDS
        current = self._context.view.jobs.get(job.id)
        if current is None or self._leaders.get(partition) is not leader:
            return RescheduleOutcome.NOT_MOVABLE
        move = self._plan_move(leader, responder, current, bids)
        if move is None or not await self._recorder.record(move.change):
            return RescheduleOutcome.STAYS
        log.info(
            "tasks-rescheduled",
            job=job.id,
            tasks=ranges.size(move.tasks),
            from_partition=partition,
            to_partitions=",".join(sorted(move.change.winners)),
        )
        return RescheduleOutcome.MOVED

    def _plan_move(
        self, leader: PartitionLeader, responder: Responder, job: Job, bids: Sequence[Bid]
    ) -> _PlannedMove | None:
        """Draw the partitions to which pending tasks move; None if all tasks stay.

        Only tasks not yet placed move. The shards' mod revisions are conditions of the move, and a
        start that this partition records concurrently would change them: no task can both start
        here and move.
        """
        partition, settings = leader.partition, self._context.settings
        movable = self._movable_tasks(leader, responder, job, bids)
        shards = self._shards_to_move(job, movable)
        movable = _tasks_in_shards(movable, shards, settings.shard_width)
        if not movable or (job.spec.gang and ranges.size(movable) < job.spec.task_count):
            return None
        held = job.allocation.get(partition, ())
        shares = casa.allocate(
            job.with_partition(partition, ranges.minus(held, movable)),
            bids,
            self._context.operator.omega,
            self._rng,
            time_left=allocation.time_left(job),
        )
        shares.pop(partition, None)
        if not shares:
            return None
        leaving = ranges.normalize(pair for tasks in shares.values() for pair in tasks)
        remaining = job.with_partition(partition, ranges.minus(held, leaving))
        changed = allocation.add_shares(remaining, shares)
        if not allocation.fits_record(changed, settings):
            return None
        conditions = self._conditions(leader, job, shards)
        return _PlannedMove(leaving, AllocationChange(job, changed, bids, set(shares), conditions))

    def _movable_tasks(
        self, leader: PartitionLeader, responder: Responder, job: Job, bids: Sequence[Bid]
    ) -> Ranges:
        """Return the pending tasks except those that start here before the best bidder's start.

        A gang starts with its last task and moves as a whole.
        """
        unplaced = leader.queue.unplaced(job)
        omega = self._context.operator.omega
        best = min(casa.response_time(bid, omega) for bid in bids)
        soonest = (best - job.spec.expected_duration).total_seconds()
        staying = sum(1 for start in responder.start_times(job) if start <= soonest)
        if job.spec.gang and staying != ranges.size(unplaced):
            staying = 0
        return ranges.minus(unplaced, ranges.first(unplaced, staying))

    def _shards_to_move(self, job: Job, tasks: Ranges) -> list[int]:
        """Return the shards from which tasks move now; tasks in others are offered next time."""
        settings = self._context.settings
        width = settings.shard_width
        shards = {
            index // width for low, high in tasks for index in (*range(low, high, width), high - 1)
        }
        # Each shard is a condition, besides those on the job's record and on the term.
        limit = allocation.max_conditions(settings) - 1
        if not job.spec.gang:
            limit = min(limit, MAX_SHARDS)
        return sorted(shards)[:limit]

    def _conditions(
        self, leader: PartitionLeader, job: Job, shards: Sequence[int]
    ) -> dict[str, int]:
        """Return the conditions of a move: this leader's term and the shards are unchanged."""
        conditions = {keys.term_key(leader.partition): leader.leadership.mod_revision}
        for shard in shards:
            key = keys.slice_key(leader.partition, job.id, shard)
            conditions[key] = self._context.view.mod_revision(key)
        return conditions


def _tasks_in_shards(tasks: Ranges, shards: Sequence[int], width: int) -> Ranges:
    """Return the tasks that are in `shards`, of `width` tasks each."""
    return ranges.normalize(
        (max(low, shard * width), min(high, (shard + 1) * width))
        for shard in shards
        for low, high in tasks
        if low < (shard + 1) * width and high > shard * width
    )
