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

# The most jobs that wait to be allocated.
MAX_QUEUED = 2048
# How often a job is allocated anew when its record changes meanwhile.
MAX_TRIES = 3
# How many rounds after its first a job that nobody holds is allocated by any controller, and the
# most rounds between two tries.
REBID_ROUNDS = 4
# The wait between two tries as a share of how long the job has found nobody.
REBID_BACKOFF = 0.4


class _UnassignedJob(NamedTuple):
    """Since when a job has tasks that nobody holds, and when it is next allocated: both steady."""

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
        self._send, self._receive = trio.open_memory_channel[str](MAX_QUEUED)
        # Jobs that are in the queue or being allocated.
        self._busy: set[str] = set()

    def submit(self, job: str) -> None:
        """Queue a job to be allocated; when the queue is full, `run_rebid` finds it later."""
        if job in self._busy:
            return
        try:
            self._send.send_nowait(job)
            self._busy.add(job)
        except trio.WouldBlock:
            pass

    async def run_worker(self) -> None:
        """Allocate queued jobs, one at a time, for ever."""
        async for job in self._receive:
            try:
                await self._allocate(job)
            except (UnavailableError, LeaseEndedError):
                pass
            except Exception:  # one job must not keep the others from being allocated
                log.crash("bidding-failed", job=job)
            finally:
                self._busy.discard(job)

    async def run_rebid(self) -> None:
        """Queue recorded jobs that have unassigned tasks, for ever.

        Any live controller may allocate them; a hash of their names says which one tries first.
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
            for name, job in unassigned.items():
                if now >= job.next_try and self._is_our_turn(name, now - job.since, controllers):
                    unassigned[name] = self._next_try(job, now)
                    self.submit(name)

    def _is_our_turn(self, job: str, waited: timedelta, controllers: list[str]) -> bool:
        """Tell whether this controller allocates a job, or leaves it to another one for now."""
        if rendezvous(job, controllers) == self._context.settings.name:
            return True
        return waited > self._context.operator.rebid_every * REBID_ROUNDS

    def _next_try(self, job: _UnassignedJob, now: datetime) -> _UnassignedJob:
        """Return when a job that is tried now is tried again.

        The longer it has found nobody, the less often it is: a burst must not be all bids.
        """
        longest = self._context.operator.rebid_every * REBID_ROUNDS
        wait = min((now - job.since) * REBID_BACKOFF, longest)
        return job._replace(next_try=now + jittered(wait, self._rng))

    async def _allocate(self, name: str) -> None:
        """Allocate a job's unassigned tasks, as far as there are bids for them."""
        view = self._context.view
        for _ in range(MAX_TRIES):
            job = view.jobs.get(name)
            if job is None or not self._may_allocate(job):
                return
            bids = await self._collector.collect(self._request(job))
            job = view.jobs.get(name)
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
        """Draw who gets the tasks; None if nobody does, or the record has no place for it."""
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
