"""How versions up to 0.9.0 make sure that users may be told of a cancellation.

They wait until the leaders of all partitions have heard of it, or can start nothing on records as
old as that, whatever starts they have sent before.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from roadbend import clock
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.peers.links import HeartbeatExchange, Link, Peers
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

# On records that are older than this no leader starts anything.
START_FRESHNESS = timedelta(seconds=2)
# How soon a peer that did not answer is told again.
RETRY_INTERVAL = timedelta(milliseconds=200)
# How often it is looked at whether all leaders have heard.
CHECK_INTERVAL = timedelta(milliseconds=10)


def confirm_once_told(
    cancellations: ConfirmedCancellations, propagation: "CancellationPropagation"
) -> Callable[[str, timedelta], Awaitable[bool]]:
    """Return what confirms a cancellation as those versions do."""

    async def confirm(job: str, patience: timedelta) -> bool:
        cancellations.add(job)
        if patience > clock.ZERO:
            # A query, or a repeated submission, was answered without it.
            await propagation.propagate()
        return True

    return confirm


class CancellationPropagation:
    """Tells the leaders of partitions at once of cancellations that are to be confirmed."""

    def __init__(
        self,
        controller: str,
        peers: Peers,
        exchange: HeartbeatExchange,
        view: RecordView,
        reader: RecordReader,
    ) -> None:
        self._controller = controller
        self._peers = peers
        self._exchange = exchange
        self._view = view
        self._reader = reader

    async def propagate(self) -> None:
        """Wait until no leader can start tasks of cancelled jobs any more.

        Every controller that leads a partition has then heard all cancellations that we confirm to
        users, or can start nothing without having read them in the records.
        """
        round_ = _PropagationRound(self._controller, self._peers, self._view)
        timeout = START_FRESHNESS * (1 + 2 * clock.DRIFT)
        with trio.move_on_after(timeout.total_seconds()):
            async with trio.open_nursery() as nursery:
                for link in self._peers.links.values():
                    nursery.start_soon(self._tell, link, round_)
                nursery.start_soon(self._read, round_)
                while not round_.is_complete():
                    await clock.pause(CHECK_INTERVAL)
                nursery.cancel_scope.cancel()

    async def _tell(self, link: Link, round_: "_PropagationRound") -> None:
        while not await link.exchange_heartbeats(self._exchange):
            await clock.pause(RETRY_INTERVAL)
        round_.informed.add(link.peer.name)

    async def _read(self, round_: "_PropagationRound") -> None:
        await self._reader.read_barrier()
        round_.leaders_are_known = True


class _PropagationRound:
    """Who has heard, and who must."""

    def __init__(self, controller: str, peers: Peers, view: RecordView) -> None:
        self.informed = {controller}
        self.leaders_are_known = False
        self._peers = peers
        self._view = view

    def is_complete(self) -> bool:
        """Tell whether all who may lead a partition have heard.

        Until the records have been read that may be any controller.
        """
        if not self.leaders_are_known:
            return self._peers.links.keys() <= self.informed
        return all(
            leader.controller in self.informed for leader in self._view.partition_leaders.values()
        )
