"""Make known to the other controllers which jobs users were told are cancelled.

A user may learn of a cancellation before every leader has read it in the records. Each peer
heartbeat lists what its sender told users lately, so that leaders stop these jobs' tasks in time.
docs/meetings.md has the argument.
"""

from collections import OrderedDict
from datetime import datetime, timedelta
from typing import NamedTuple

import trio

from roadbend import clock
from roadbend.partitions.election import START_FRESHNESS
from roadbend.peers.links import HeartbeatExchange, Link, Peers
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

# Cancellations that a heartbeat names; with more its list reaches back less far, and says so.
MAX_CANCELLATIONS = 1024
# Cancellations remembered, as a multiple of those that a heartbeat names.
REMEMBERED_HEARTBEATS = 4
# How far the list reaches back, as a multiple of the time within which a cancelled task must end.
SPAN_FACTOR = 3
# How soon a peer that did not answer is told again.
RETRY_INTERVAL = timedelta(milliseconds=200)
# How often it is looked at whether all leaders have heard.
CHECK_INTERVAL = timedelta(milliseconds=10)


class RecentCancellations(NamedTuple):
    """All jobs that users were told are cancelled within the last `span`."""

    span: timedelta
    jobs: tuple[str, ...]


class ConfirmedCancellations:
    """The cancellations that this controller confirmed to users lately."""

    def __init__(self, cancel_within: timedelta) -> None:
        self._span = cancel_within * SPAN_FACTOR
        self._confirmed_at: OrderedDict[str, datetime] = OrderedDict()

    def add(self, job: str) -> None:
        """Note that a user learns from this controller that its job is cancelled."""
        if job in self._confirmed_at:
            return
        self._confirmed_at[job] = clock.now()
        while len(self._confirmed_at) > REMEMBERED_HEARTBEATS * MAX_CANCELLATIONS:
            self._confirmed_at.popitem(last=False)

    def recent(self, now: datetime) -> RecentCancellations:
        """List what a heartbeat names; forget what is older."""
        confirmed_at, span = self._confirmed_at, self._span
        while confirmed_at and now - next(iter(confirmed_at.values())) > span:
            confirmed_at.popitem(last=False)
        latest = list(confirmed_at.items())[-MAX_CANCELLATIONS:]
        if len(latest) < len(confirmed_at):
            _, oldest = latest[0]
            span = now - oldest
        return RecentCancellations(span, tuple(job for job, _ in latest))


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
