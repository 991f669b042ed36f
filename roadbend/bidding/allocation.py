"""Records which partitions hold a job's tasks and notifies the bidders: the end of algorithm 3."""

from collections.abc import Mapping, Sequence, Set
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import timedelta

import cbor2
import trio

from roadbend import clock
from roadbend.bidding import casa
from roadbend.bidding.bid_service import BidService
from roadbend.bidding.casa import Bid, Shares
from roadbend.bidding.messages import Assignment, Revocation
from roadbend.log import Log
from roadbend.peers.frames import FrameKind
from roadbend.peers.links import Link, NoReplyError, Peers
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.settings import PlatformSettings
from roadbend.store import keys, ranges
from roadbend.store.client import ConflictError, commit, put
from roadbend.store.records import Job

log = Log("bidding")

# How long a transaction is retried, and how long the read barrier after a conflict may take.
COMMIT_TIMEOUT = timedelta(seconds=3)
READ_BARRIER_SECONDS = 1.0
# How many conditions the state store accepts in a transaction for each operation that it accepts.
CONDITIONS_PER_OPERATION = 4
# The shares of the size limit of a value that a job's record may use: when tasks are allocated, and
# when it is written. Ranges beyond the latter are written in a more compact form.
MAX_ALLOCATED_SHARE = 0.8
MAX_WRITTEN_SHARE = 0.95


@dataclass(frozen=True)
class AllocationChange:
    """A change of which partitions hold a job's tasks.

    `job` is the job as it was read, `changed` the job as it is to be recorded.
    """

    job: Job
    changed: Job
    # The bids that were received, and the partitions that get tasks.
    bids: Sequence[Bid] = ()
    winners: Set[str] = frozenset()
    # Mod revisions of further records, by key, which must not have changed since they were read.
    conditions: Mapping[str, int] = field(default_factory=dict)


def add_shares(job: Job, shares: Shares) -> Job:
    """Return the job with the tasks of `shares` added to its partitions' allocation."""
    for partition, tasks in shares.items():
        job = job.with_partition(partition, ranges.union(job.allocation.get(partition, ()), tasks))
    return job


def fits_record(job: Job, settings: PlatformSettings) -> bool:
    """Return whether a job's allocation has few enough ranges for its record.

    If not, allocated tasks must end before more can be allocated.
    """
    return job.size_bound <= settings.value_bytes * MAX_ALLOCATED_SHARE


def max_conditions(settings: PlatformSettings) -> int:
    """Return how many conditions a transaction may have besides that on the job's record."""
    return CONDITIONS_PER_OPERATION * settings.txn_ops - 1


def time_left(job: Job) -> timedelta | None:
    """Return the time until a job is due, negative when it is late; None without a deadline."""
    return None if job.deadline is None else job.deadline - clock.wall()


class AllocationRecorder:
    """Writes allocations to the records.

    The record alone is authoritative; messages only notify the controllers sooner.
    """

    def __init__(
        self,
        context: ControllerContext,
        peers: Peers,
        leaders: Mapping[str, PartitionLeader],
        bid_service: BidService,
    ) -> None:
        self._context, self._peers, self._leaders = context, peers, leaders
        self._bid_service = bid_service

    async def record(self, change: AllocationChange) -> bool:
        """Record a change; return whether it was recorded: not if the records changed meanwhile.

        Raises `UnavailableError` or `LeaseEndedError` if the outcome is unknown.
        """
        context, job, changed = self._context, change.job, change.changed
        key = keys.job_key(job.id)
        value = changed.to_compact_value(int(context.settings.value_bytes * MAX_WRITTEN_SHARE))
        rows = [put(key, value)]
        conditions = {key: job.mod_revision, **change.conditions}
        try:
            revision = await commit(context.state, conditions, rows, within=COMMIT_TIMEOUT)
        except ConflictError:
            with trio.move_on_after(READ_BARRIER_SECONDS):
                await context.reader.read_barrier()
            return False
        context.view.apply_transaction(rows, revision)
        context.observer.job_assigned(changed, sorted(change.winners))
        self._log_allocated(change)
        await self._notify_bidders(change, Assignment(job.id, cbor2.dumps(value), revision))
        for leader in self._leaders.values():
            leader.steps.request()
        return True

    async def _notify_bidders(self, change: AllocationChange, assignment: Assignment) -> None:
        """Send the winners the assignment, and all other peers a revocation."""
        winners = {bid.controller for bid in change.bids if bid.partition in change.winners}
        assign, revoke = assignment.pack(), Revocation(change.job.id).pack()
        self._bid_service.revoke(change.job.id)
        async with trio.open_nursery() as nursery:
            for link in self._peers.links.values():
                if link.peer.name in winners:
                    nursery.start_soon(self._send_assignment, link, assign)
                else:
                    nursery.start_soon(self._send_revocation, link, revoke)

    async def _send_assignment(self, link: Link, payload: bytes) -> None:
        """Send an assignment and wait for its acknowledgement, the paper's receipt."""
        with suppress(NoReplyError):
            await link.call(FrameKind.ASSIGN, payload, self._context.operator.bid_wait)

    async def _send_revocation(self, link: Link, payload: bytes) -> None:
        """Send a revocation, which is not acknowledged and may get lost."""
        with suppress(NoReplyError):
            await link.notify(FrameKind.REVOKE, payload)

    def _log_allocated(self, change: AllocationChange) -> None:
        allocation = change.changed.allocation
        log.debug(
            "job-allocated",
            job=change.job.id,
            to=",".join(
                f"{partition}:{ranges.size(allocation.get(partition, ()))}"
                for partition in sorted(change.winners)
            ),
            bids=" ".join(self._describe(bid) for bid in change.bids),
        )

    def _describe(self, bid: Bid) -> str:
        """Format a bid for the log: partition, response time, startable now, capacity."""
        seconds = casa.response_time(bid, self._context.operator.omega).total_seconds()
        return f"{bid.partition}:{seconds:.1f}/{bid.startable_now}/{bid.capacity}"
