"""Who should own a partition, and how long an owner may go on without the records. Pure
functions."""

import hashlib
from collections.abc import Iterable
from datetime import datetime, timedelta

from roadbend.clock import DRIFT
from roadbend.peers.heartbeat import PeerState


def rendezvous(key: str, names: Iterable[str]) -> str | None:
    """Highest hash wins: everyone who sees the same controllers names the same one."""
    names = sorted(names)
    if not names:
        return None
    return max(
        names, key=lambda name: hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    )


def preferred(partition: str, zones: dict[str, str], live: Iterable[str]) -> str | None:
    """A live controller of the partition's own zone, else any live one."""
    live = list(live)
    local = [name for name in live if zones.get(name) == partition]
    return rendezvous(partition, local or live)


def renew_until(
    contact: datetime | None,
    peers: Iterable[PeerState],
    cancel_within: timedelta,
    lease: timedelta,
    margin: timedelta,
) -> datetime | None:
    """Until when an owner may renew its workers' leases.

    A cancellation that we don't know of may have been accepted at any moment after the instant up
    to which we know them all: the least, over the peers, of what our own reads or the peer's own
    list covers. A worker's lease ends `lease` after a report that we answered, so the last answer
    must come `cancel_within - lease` after that instant at the latest; drift and margin come
    off."""
    if contact is None:
        return None
    known = min((peer.reach(contact) for peer in peers), default=contact)
    return known + (cancel_within - lease) * (1 - 2 * DRIFT) - margin
