"""The responder's side of CASA: bids for all partitions that this controller leads.

Handles other controllers' requests for bids, and the assignments and revocations that follow.
"""

from collections.abc import Callable, Mapping
from datetime import datetime, timedelta

import cbor2

from roadbend import clock
from roadbend.bidding import casa, messages
from roadbend.bidding.casa import Bid
from roadbend.bidding.messages import Assignment, BidRequest, Revocation
from roadbend.bidding.promises import Promises
from roadbend.bidding.responder import Responder
from roadbend.cloud.messages import MachineKind
from roadbend.peers.frames import FrameError, FrameKind
from roadbend.peers.links import Peers
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.store import keys

# A job that has waited for this long is rescheduled to any partition that could start it now.
LONG_WAIT = timedelta(seconds=30)

# Returns the kinds of machines that can't be created in a partition at an instant.
UnavailableKindsAt = Callable[[str, datetime], set[MachineKind]]


class BidService:
    """Bids for the partitions that this controller leads, and keeps track of their promises."""

    def __init__(
        self,
        context: ControllerContext,
        leaders: Mapping[str, PartitionLeader],
        unavailable_kinds: UnavailableKindsAt,
    ) -> None:
        self._context, self._leaders, self._unavailable_kinds = context, leaders, unavailable_kinds
        self._promises_by_partition: dict[str, Promises] = {}

    def register(self, peers: Peers) -> None:
        """Register the handlers of the bidding frames."""
        peers.handlers[FrameKind.REQUEST] = self._on_request
        peers.handlers[FrameKind.ASSIGN] = self._on_assign
        peers.handlers[FrameKind.REVOKE] = self._on_revoke
        peers.handlers[FrameKind.INFORM] = self._on_inform
        peers.handlers[FrameKind.GANG_REQUEST] = self._on_gang_request
        peers.handlers[FrameKind.GANG_INFORM] = self._on_gang_inform

    def responder(self, partition: str) -> Responder:
        """Return the responder of a partition that this controller leads."""
        promises = self._promises_by_partition.setdefault(
            partition, Promises(self._context.operator.promise_life)
        )
        return Responder(
            self._leaders[partition],
            self._context.settings.name,
            lambda: self._unavailable_kinds(partition, clock.now()),
            promises,
        )

    def bids(self, request: BidRequest) -> list[Bid]:
        """Return a bid for each partition led by this controller that can run a job (algorithm 2).

        The partition in which the job waits does not bid. None bids while this controller may not
        start tasks.
        """
        election, now, bids = self._context.election, clock.now(), []
        for partition, leader in list(self._leaders.items()):
            if election.leadership(partition) != leader.leadership or not election.may_start(now):
                continue
            if partition == request.from_partition:
                continue
            bid = self.responder(partition).bid(request, now)
            if bid is not None:
                bids.append(bid)
        return bids

    def reschedule_bids(self, request: BidRequest) -> list[Bid]:
        """Return the bids that beat the partition in which the job waits (algorithm 5)."""
        now, bids = clock.now(), []
        for bid in self.bids(request):
            if self._is_better(bid, request, now):
                bids.append(bid)
            else:
                self._promises_by_partition[bid.partition].revoke(request.job)
        return bids

    def _is_better(self, bid: Bid, request: BidRequest, now: datetime) -> bool:
        """Return whether a bid is better for a job than the partition in which it waits."""
        operator = self._context.operator
        average = self.responder(bid.partition).average_queuing(now)
        if request.requester_response is None:
            return False
        # A partition that can start a job now takes it after a long wait, even if its own pending
        # queue waits for other machines: if only the averages counted, a job could wait for ever
        # although it fits another partition's free capacity.
        if bid.startable_now > 0 and request.waited >= LONG_WAIT:
            return True
        return casa.accepts_reschedule(
            response=casa.response_time(bid, operator.omega),
            requester_response=request.requester_response,
            average=average,
            requester_average=request.requester_average,
            varpi=operator.varpi,
        )

    def revoke(self, job_id: str) -> None:
        """Remove the promises for a job, in all partitions."""
        for promises in self._promises_by_partition.values():
            promises.revoke(job_id)

    def _on_request(self, _sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.bids(BidRequest.unpack(payload)))

    def _on_inform(self, _sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.reschedule_bids(BidRequest.unpack(payload)))

    def _on_gang_request(self, _sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.bids(BidRequest.unpack(payload).as_gang()))

    def _on_gang_inform(self, _sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.reschedule_bids(BidRequest.unpack(payload).as_gang()))

    def _on_assign(self, _sender: str, payload: bytes) -> bytes:
        """Apply an assigned job's record to the record view before the change log brings it."""
        assignment = Assignment.unpack(payload)
        self.revoke(assignment.job)
        view = self._context.view
        if assignment.value and assignment.mod_revision > view.revision:
            key = keys.job_key(assignment.job)
            try:
                view.put(key, cbor2.loads(assignment.value), assignment.mod_revision)
            except Exception as error:  # cbor2 raises various errors on hostile input
                raise FrameError("malformed job record in an assignment") from error
        for leader in self._leaders.values():
            leader.steps.request()
        return b""

    def _on_revoke(self, _sender: str, payload: bytes) -> None:
        self.revoke(Revocation.unpack(payload).job)
