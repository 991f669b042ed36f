"""Requests bids on a job from all controllers: the sending halves of algorithms 1 and 4."""

import trio

from roadbend.bidding import messages
from roadbend.bidding.bid_service import BidService
from roadbend.bidding.casa import Bid
from roadbend.bidding.messages import BidRequest
from roadbend.log import Log
from roadbend.peers.frames import GANGS_EXTENSION, FrameError, FrameKind
from roadbend.peers.links import Link, NoReplyError, Peers
from roadbend.placement.context import ControllerContext

log = Log("bidding")


class BidCollector:
    """Collects the bids of this controller and of its peers."""

    def __init__(self, context: ControllerContext, peers: Peers, bid_service: BidService) -> None:
        self._context, self._peers, self._bid_service = context, peers, bid_service

    @property
    def controller_count(self) -> int:
        """The number of controllers that a request is sent to, this one included."""
        return len(self._peers.links) + 1

    async def collect(self, request: BidRequest) -> list[Bid]:
        """Return the bids that were received in time, at most one for each partition.

        Requests for a gang are not sent to peers of versions without support for gangs.
        """
        if request.requester_response is None:
            bids, kind = self._bid_service.bids(request), FrameKind.REQUEST
            gang_kind = FrameKind.GANG_REQUEST
        else:
            bids, kind = self._bid_service.reschedule_bids(request), FrameKind.INFORM
            gang_kind = FrameKind.GANG_INFORM
        gang, payload = request.spec.gang, request.pack()
        async with trio.open_nursery() as nursery:
            for link in self._peers.links.values():
                if not gang:
                    nursery.start_soon(self._request_bids, link, kind, payload, bids)
                elif link.peer_state.supports(GANGS_EXTENSION):
                    nursery.start_soon(self._request_bids, link, gang_kind, payload, bids)
        # While a partition's leadership changes, two controllers may bid for it.
        return list({bid.partition: bid for bid in bids}.values())

    async def _request_bids(
        self, link: Link, kind: FrameKind, payload: bytes, bids: list[Bid]
    ) -> None:
        """Request a peer's bids and add them to `bids`; add none if it doesn't reply in time."""
        try:
            reply = await link.call(kind, payload, self._context.operator.bid_wait)
            bids += messages.unpack_bids(reply)
        except NoReplyError:
            pass
        except FrameError as error:
            log.error("bid-malformed", peer=link.peer.name, error=str(error))
