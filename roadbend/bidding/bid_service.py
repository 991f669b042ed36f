"""The responder's side of CASA: bids for all partitions that this controller leads.

Answers the frames in which other controllers ask for bids, and those that tell what became of a
bid.
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

# A job that has waited for so long goes to any partition that could start it now.
LONG_WAIT = timedelta(seconds=30)

# The kinds of machines that the cloud refuses in a partition at an instant.
UnavailableKindsAt = Callable[[str, datetime], set[MachineKind]]


class BidService:
    """Bids for the partitions that this controller leads, and keeps account of its promises."""

    def __init__(
        self,
        context: ControllerContext,
        leaders: Mapping[str, PartitionLeader],
        unavailable_kinds: UnavailableKindsAt,
    ) -> None:
        self._context, self._leaders, self._unavailable_kinds = context, leaders, unavailable_kinds
        # By partition.
        self._shadows: dict[str, Promises] = {}

    def register(self, peers: Peers) -> None:
        """Have the frames of the bidding handled here."""
        peers.handlers[FrameKind.REQUEST] = self._on_request
        peers.handlers[FrameKind.ASSIGN] = self._on_assign
        peers.handlers[FrameKind.REVOKE] = self._on_revoke
        peers.handlers[FrameKind.INFORM] = self._on_inform
        peers.handlers[FrameKind.GANG_REQUEST] = self._on_gang_request
        peers.handlers[FrameKind.GANG_INFORM] = self._on_gang_inform

    def responder(self, partition: str) -> Responder:
        """Return the responder of a partition that this controller leads."""
        shadow = self._shadows.setdefault(partition, Promises(self._context.operator.promise_life))
        return Responder(
            self._leaders[partition],
            self._context.settings.name,
            lambda: self._unavailable_kinds(partition, clock.now()),
            shadow,
        )

    def bids(self, request: BidRequest) -> list[Bid]:
        """Return a bid for each partition led here that can run a job (algorithm 2).

        The partition in which the job waits does not bid, and none does while this controller may
        not start tasks.
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
        """Return bids for a job that waits elsewhere: only those better than that (algorithm 5)."""
        now, bids = clock.now(), []
        for bid in self.bids(request):
            if self._is_better(bid, request, now):
                bids.append(bid)
            else:
                self._shadows[bid.partition].revoke(request.job)
        return bids

    def _is_better(self, bid: Bid, request: BidRequest, now: datetime) -> bool:
        """Tell whether a job does better with a bid than where it waits."""
        operator = self._context.operator
        average = self.responder(bid.partition).average_queuing(now)
        if request.requester_response is None:
            return False
        # A partition that can start it now takes what has waited for long, whatever waits here for
        # other machines: by the averages alone a job can wait for ever beside free capacity that
        # it fits.
        if bid.startable_now > 0 and request.waited >= LONG_WAIT:
            return True
        return casa.accepts_reschedule(
            response=casa.response_time(bid, operator.omega),
            requester_response=request.requester_response,
            average=average,
            requester_average=request.requester_average,
            varpi=operator.varpi,
        )

    def revoke(self, job: str) -> None:
        """Cease to count the promises for a job, in all partitions."""
        for shadow in self._shadows.values():
            shadow.revoke(job)

    def _on_request(self, _sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.bids(BidRequest.unpack(payload)))

    def _on_inform(self, _sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.reschedule_bids(BidRequest.unpack(payload)))

    def _on_gang_request(self, _sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.bids(BidRequest.unpack(payload).as_gang()))

    def _on_gang_inform(self, _sender: str, payload: bytes) -> bytes:
        return messages.pack_bids(self.reschedule_bids(BidRequest.unpack(payload).as_gang()))

    def _on_assign(self, _sender: str, payload: bytes) -> bytes:
        """Take in an assignment. The record decides; the message only brings it sooner."""
        assignment = Assignment.unpack(payload)
        self.revoke(assignment.job)
        view = self._context.view
        if assignment.value and assignment.mod_revision > view.revision:
            key = keys.job_key(assignment.job)
            try:
                view.put(key, cbor2.loads(assignment.value), assignment.mod_revision)
            except Exception as error:  # cbor2 raises many kinds on hostile input
                raise FrameError("assign") from error
        for leader in self._leaders.values():
            leader.steps.request()
        return b""

    def _on_revoke(self, _sender: str, payload: bytes) -> None:
        self.revoke(Revocation.unpack(payload).job)
