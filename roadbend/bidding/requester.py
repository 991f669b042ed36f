"""The requester's side of CASA for new jobs: collect bids, draw, record (algorithms 1 and 3)."""

import random
from datetime import datetime, timedelta
from typing import NamedTuple

import trio

from roadbend import clock
from roadbend.bidding import allocation, casa
from roadbend.bidding.allocation import AllocationChange, AllocationRecorder
from roadbend.bidding.bid_collector import BidCollector
from roadbend.bidding.casa import Bid
from roadbend.bidding.messages import BidRequest
from roadbend.log import Log
from roadbend.partitions.policy import rendezvous
from roadbend.peers.links import Peers
from roadbend.placement.context import ControllerContext
from roadbend.retry import jittered
from roadbend.store import ranges
from roadbend.store.client import LeaseEndedError, UnavailableError
from roadbend.store.records import Job

log = Log("bidding")

# How many jobs are queued for allocation at most.
MAX_QUEUED = 2048
# How often an allocation is tried if the job's record changes concurrently.
MAX_TRIES = 3
# In rebid intervals: after how long any controller allocates a job that has unassigned tasks, and
# the longest wait between two tries.
REBID_ROUNDS = 4
# The wait between two tries as a share of the time for which the job has had unassigned tasks.
REBID_BACKOFF = 0.4


class _UnassignedJob(NamedTuple):
    """Since when a job has had unassigned tasks, and its next try: monotonic instants."""

    since: datetime
    next_try: datetime


class Requester:
    """Allocates the unassigned tasks of jobs to partitions."""

    def __init__(
        self,
        context: ControllerContext,
        peers: Peers,
        collector: BidCollector,
        recorder: AllocationRecorder,
        rng: random.Random,
    ) -> None:
        self._context, self._peers, self._rng = context, peers, rng
        self._collector, self._recorder = collector, recorder
        self._send_channel, self._receive_channel = trio.open_memory_channel[str](MAX_QUEUED)
        # The ids of jobs that are queued or being allocated.
        self._in_progress: set[str] = set()

    def submit(self, job_id: str) -> None:
        """Queue a job for allocation; if the queue is full, `run_rebid` queues it later."""
        if job_id in self._in_progress:
            return
        try:
            self._send_channel.send_nowait(job_id)
            self._in_progress.add(job_id)
        except trio.WouldBlock:
            pass

    async def run_worker(self) -> None:
        """Allocate queued jobs, one at a time, for ever."""
        async for job_id in self._receive_channel:
            try:
                await self._allocate(job_id)
            except (UnavailableError, LeaseEndedError):
                pass
            except Exception:  # a failure with one job must not stop the allocation of others
                log.crash("bidding-failed", job=job_id)
            finally:
                self._in_progress.discard(job_id)

    async def run_rebid(self) -> None:
        """Queue recorded jobs that have unassigned tasks, for ever.

        Any live controller may allocate them; rendezvous hashing of the job id selects the one that
        tries first.
        """
        operator = self._context.operator
        unassigned: dict[str, _UnassignedJob] = {}
        while True:
            await clock.pause(operator.rebid_every)
            now = clock.now()
            controllers = [self._context.settings.name, *self._peers.alive(now)]
            unassigned = {
                job.id: unassigned.get(job.id) or _UnassignedJob(now, now)
                for job in self._context.view.jobs.values()
                if job.unassigned
            }
            for job_id, job in unassigned.items():
                if now >= job.next_try and self._is_our_turn(job_id, now - job.since, controllers):
                    unassigned[job_id] = self._next_try(job, now)
                    self.submit(job_id)

    def _is_our_turn(self, job_id: str, waited: timedelta, controllers: list[str]) -> bool:
        """Return whether this controller allocates a job now, or leaves it to another one."""
        if rendezvous(job_id, controllers) == self._context.settings.name:
            return True
        return waited > self._context.operator.rebid_every * REBID_ROUNDS

    def _next_try(self, job: _UnassignedJob, now: datetime) -> _UnassignedJob:
        """Return the job with the time of its next try, if it is tried now.

        The wait grows with the time that the job has had unassigned tasks, so that requests for
        bids don't use up the controllers' time in a burst of submissions.
        """
        longest = self._context.operator.rebid_every * REBID_ROUNDS
        wait = min((now - job.since) * REBID_BACKOFF, longest)
        return job._replace(next_try=now + jittered(wait, self._rng))

    async def _allocate(self, job_id: str) -> None:
        """Allocate as many of a job's unassigned tasks as the bids allow."""
        view = self._context.view
        for _ in range(MAX_TRIES):
            job = view.jobs.get(job_id)
            if job is None or not self._may_allocate(job):
                return
            bids = await self._collector.collect(self._request(job))
            job = view.jobs.get(job_id)
            if job is None:
                return
            change = self._draw(job, bids)
            if change is None or await self._recorder.record(change):
                return

    def _may_allocate(self, job: Job) -> bool:
        if not job.unassigned or job.id in self._context.cancellations.jobs:
            return False
        return not self._context.recovery.defers_allocation(job.id)

    def _request(self, job: Job) -> BidRequest:
        return BidRequest(
            job=job.id,
            requests=self._collector.controller_count,
            tasks=ranges.size(job.unassigned),
            spec=job.spec,
            waited=max(clock.ZERO, clock.wall() - job.submitted_at),
        )

    def _draw(self, job: Job, bids: list[Bid]) -> AllocationChange | None:
        """Draw the partitions that get the tasks.

        Returns None if none does, or if the allocation would not fit the job's record.
        """
        shares = casa.allocate(
            job,
            bids,
            self._context.operator.omega,
            self._rng,
            time_left=allocation.time_left(job),
        )
        if not shares:
            log.debug("no-bids-received", job=job.id, bids=len(bids))
            return None
        changed = allocation.add_shares(job, shares)
        if not allocation.fits_record(changed, self._context.settings):
            return None
        return AllocationChange(job, changed, bids, set(shares))
