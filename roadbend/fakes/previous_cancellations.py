"""Confirmation of cancellations as in versions up to 0.9.0.

These versions wait until the leaders of all partitions have received the cancellation, or their
records are too old to start tasks. They ignore starts that were sent before and are still in doubt.
"""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio

from roadbend import clock
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.peers.links import HeartbeatExchange, Link, Peers
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

# A leader starts nothing if its records are older than this.
MAX_RECORD_AGE_FOR_STARTS = timedelta(seconds=2)
# Delay before a cancellation is sent again to a peer that did not answer.
RETRY_INTERVAL = timedelta(milliseconds=200)
# Interval of the checks whether all leaders have received the cancellation.
POLL_INTERVAL = timedelta(milliseconds=10)


def confirm_after_propagation(
    cancellations: ConfirmedCancellations, propagation: "CancellationPropagation"
) -> Callable[[str, timedelta], Awaitable[bool]]:
    """Return a function that confirms a cancellation as those versions do."""

    async def confirm(job: str, timeout: timedelta) -> bool:
        cancellations.add(job)
        if timeout > clock.ZERO:
            # Without a timeout, the request is a query or a repeated submission, which those
            # versions answered without propagation.
            await propagation.propagate()
        return True

    return confirm


class CancellationPropagation:
    """Sends cancellations that are to be confirmed to the leaders of partitions at once."""

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

        Every controller that leads a partition has then received all cancellations that we confirm
        to users, or can start nothing before it has read them in the records.
        """
        round_ = _PropagationRound(self._controller, self._peers, self._view)
        max_wait = MAX_RECORD_AGE_FOR_STARTS * (1 + 2 * clock.DRIFT)
        with trio.move_on_after(max_wait.total_seconds()):
            async with trio.open_nursery() as nursery:
                for link in self._peers.links.values():
                    nursery.start_soon(self._send, link, round_)
                nursery.start_soon(self._read, round_)
                while not round_.is_complete():
                    await clock.pause(POLL_INTERVAL)
                nursery.cancel_scope.cancel()

    async def _send(self, link: Link, round_: "_PropagationRound") -> None:
        while not await link.exchange_heartbeats(self._exchange):
            await clock.pause(RETRY_INTERVAL)
        round_.informed.add(link.peer.name)

    async def _read(self, round_: "_PropagationRound") -> None:
        await self._reader.read_barrier()
        round_.leaders_are_known = True


class _PropagationRound:
    """Which controllers have received the cancellations, and which must."""

    def __init__(self, controller: str, peers: Peers, view: RecordView) -> None:
        self.informed = {controller}
        self.leaders_are_known = False
        self._peers = peers
        self._view = view

    def is_complete(self) -> bool:
        """Return whether all potential leaders of partitions have received the cancellations.

        Before the records have been read, every controller is a potential leader.
        """
        if not self.leaders_are_known:
            return self._peers.links.keys() <= self.informed
        return all(
            leader.controller in self.informed for leader in self._view.partition_leaders.values()
        )
