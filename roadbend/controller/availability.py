"""Determine whether this controller can serve users."""

from datetime import datetime, timedelta

from roadbend.peers.heartbeat import PeerState
from roadbend.peers.links import Peers
from roadbend.placement.context import ControllerContext

# The state store serves us if it has answered a read that began within this time.
READ_FRESHNESS = timedelta(seconds=2)
# The same for a peer, by its own report, and the maximum age of that report.
PEER_READ_FRESHNESS = timedelta(seconds=1.5)
PEER_HEARTBEAT_FRESHNESS = timedelta(seconds=3)


class Availability:
    """Compares the state store's service to this controller with that to its peers."""

    def __init__(self, context: ControllerContext, peers: Peers) -> None:
        self._context = context
        self._peers = peers

    def up(self, now: datetime) -> bool:
        """Return whether users should be directed to this controller.

        Not while the state store refuses us but serves a peer. In an outage for all controllers,
        all stay up and answer 503 quickly.
        """
        if self._context.reader.last_read_at is None or not self._context.machine_types:
            return False
        return not self.state_refuses_only_us(now)

    def state_refuses_only_us(self, now: datetime) -> bool:
        """Return whether the state store refuses this controller but serves a peer."""
        last_read_at = self._context.reader.last_read_at
        if last_read_at is not None and now - last_read_at < READ_FRESHNESS:
            return False
        return any(_is_served(link.peer_state, now) for link in self._peers.links.values())


def _is_served(peer: PeerState, now: datetime) -> bool:
    heartbeat, received_at = peer.heartbeat, peer.received_at
    if heartbeat is None or received_at is None or now - received_at > PEER_HEARTBEAT_FRESHNESS:
        return False
    return heartbeat.last_read_age is not None and heartbeat.last_read_age < PEER_READ_FRESHNESS
