"""Build the heartbeats sent to peers, and process theirs."""

from datetime import datetime

from roadbend import clock
from roadbend.cloud.client import Cloud
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.leaders import PartitionLeaders
from roadbend.fleet.service import Fleet
from roadbend.peers.heartbeat import PeerHeartbeat, RequestRates
from roadbend.peers.links import Link
from roadbend.placement.context import ControllerContext
from roadbend.store.request_budget import RequestBudget


class PeerExchange:
    """Reports this controller's state to its peers, and processes their reports."""

    def __init__(
        self,
        *,
        incarnation: str,
        context: ControllerContext,
        leaders: PartitionLeaders,
        fleet: Fleet,
        cancellations: ConfirmedCancellations,
        budget: RequestBudget,
        cloud: Cloud,
    ) -> None:
        self.began_at = clock.now()
        self._incarnation = incarnation
        self._context = context
        self._leaders = leaders
        self._fleet = fleet
        self._cancellations = cancellations
        self._budget = budget
        self._cloud = cloud

    def build(self) -> PeerHeartbeat:
        """Build a heartbeat from the current state."""
        now = clock.now()
        last_read_at = self._context.reader.last_read_at
        cancellations = self._cancellations.recent(now)
        return PeerHeartbeat(
            incarnation=self._incarnation,
            uptime=now - self.began_at,
            last_read_age=None if last_read_at is None else now - last_read_at,
            request_rates=RequestRates(*self._budget.used, self._cloud.used),
            led_partitions={
                partition: leadership.term
                for partition, leadership in self._context.election.leaderships.items()
            },
            reporting_machines=self._fleet.foreign_machines(now),
            cancellations_span=cancellations.span,
            cancellations=cancellations.jobs,
        )

    def on_call(self, _sender: str, payload: bytes) -> bytes:
        """Process a peer's heartbeat and return ours; raise `FrameError` if it is malformed."""
        self._apply(PeerHeartbeat.unpack(payload))
        return self.build().pack()

    def on_reply(self, link: Link, heartbeat: PeerHeartbeat, requested_at: datetime) -> None:
        """Process a peer's reply to a heartbeat that was sent at `requested_at`.

        It may advance the cancellation watermark of the peer.
        """
        link.peer_state.update(
            heartbeat, requested_at, clock.now(), self._context.reader.last_read_at
        )
        self._apply(heartbeat)

    def _apply(self, heartbeat: PeerHeartbeat) -> None:
        for partition, term in heartbeat.led_partitions.items():
            self._context.election.depose(partition, term)
        self._leaders.mark_cancelled(heartbeat.cancellations)
