"""Assembles the bidding components of one controller."""

import random
from collections.abc import Mapping

import trio

from roadbend.bidding.allocation import AllocationRecorder
from roadbend.bidding.bid_collector import BidCollector
from roadbend.bidding.bid_service import BidService, UnavailableKindsAt
from roadbend.bidding.gang_release import GangReleaser
from roadbend.bidding.requester import Requester
from roadbend.bidding.rescheduler import Rescheduler
from roadbend.peers.links import Peers
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader

# How many jobs are allocated concurrently.
ALLOCATION_WORKERS = 4


class Bidding:
    """CASA in one controller: requester, responder and the rescheduling of pending tasks."""

    def __init__(
        self,
        context: ControllerContext,
        peers: Peers,
        leaders: Mapping[str, PartitionLeader],
        unavailable_kinds: UnavailableKindsAt,
        rng: random.Random,
    ) -> None:
        bid_service = BidService(context, leaders, unavailable_kinds)
        bid_service.register(peers)
        collector = BidCollector(context, peers, bid_service)
        recorder = AllocationRecorder(context, peers, leaders, bid_service)
        self.requester = Requester(context, peers, collector, recorder, rng)
        self.rescheduler = Rescheduler(
            context=context,
            leaders=leaders,
            bid_service=bid_service,
            collector=collector,
            recorder=recorder,
            gang_releaser=GangReleaser(context, recorder, self.requester),
            rng=rng,
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Start the loops, which run until the nursery is cancelled."""
        nursery.start_soon(self.requester.run_rebid)
        nursery.start_soon(self.rescheduler.run)
        for _ in range(ALLOCATION_WORKERS):
            nursery.start_soon(self.requester.run_worker)
