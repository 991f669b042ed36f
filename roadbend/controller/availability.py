"""Tell whether this controller can serve users."""

from datetime import datetime, timedelta

from roadbend.peers.heartbeat import PeerState
from roadbend.peers.links import Peers
from roadbend.placement.context import ControllerContext

# The state store serves us if it has answered a read that began this lately.
CONTACT_FRESHNESS = timedelta(seconds=2)
# The same of a peer, by its own word, which must be this recent.
PEER_CONTACT_FRESHNESS = timedelta(seconds=1.5)
PEER_HEARTBEAT_FRESHNESS = timedelta(seconds=3)


class Availability:
    """Whether the state store serves this controller, and others if not."""

    def __init__(self, context: ControllerContext, peers: Peers) -> None:
        self._context = context
        self._peers = peers

    def up(self, now: datetime) -> bool:
        """Tell whether users are to be sent here.

        Not while the state store refuses us and serves a peer; in an outage for all of us, all
        stay up and answer 503 quickly.
        """
        if self._context.reader.last_read_at is None or not self._context.machine_types:
            return False
        return not self.state_refuses_only_us(now)

    def state_refuses_only_us(self, now: datetime) -> bool:
        """Tell whether the state store refuses this controller and serves a peer."""
        contact = self._context.reader.last_read_at
        if contact is not None and now - contact < CONTACT_FRESHNESS:
            return False
        return any(_is_served(link.peer_state, now) for link in self._peers.links.values())


def _is_served(peer: PeerState, now: datetime) -> bool:
    heartbeat, received_at = peer.heartbeat, peer.received_at
    if heartbeat is None or received_at is None or now - received_at > PEER_HEARTBEAT_FRESHNESS:
        return False
    return heartbeat.contact_age is not None and heartbeat.contact_age < PEER_CONTACT_FRESHNESS
