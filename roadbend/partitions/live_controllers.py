"""Track which controllers are alive, since when, and what they last reported."""

from collections.abc import Collection
from datetime import datetime

from roadbend import clock
from roadbend.partitions.election_state import ControllersState
from roadbend.peers.frames import GANGS_EXTENSION, supports
from roadbend.peers.links import Peers
from roadbend.settings import PlatformSettings
from roadbend.store.record_view import RecordView


class LiveControllers:
    """This controller, and all others whose leases are valid according to the records."""

    def __init__(
        self, settings: PlatformSettings, incarnation: str, view: RecordView, peers: Peers
    ) -> None:
        # The zone of each controller, alive or not.
        self.zones = {settings.name: settings.zone, **{p.name: p.zone for p in settings.peers}}
        self._name = settings.name
        self._incarnation = incarnation
        self._view = view
        self._peers = peers
        self._alive_since: dict[str, datetime] = {}
        self._began_at = clock.now()

    def observe(self, led: Collection[str], now: datetime) -> ControllersState:
        """Read the records, and return what is known about all controllers.

        `led`: a live view of the partitions that this controller leads.
        """
        live = set(self._view.controllers) | {self._name}
        for name in live:
            self._alive_since.setdefault(name, now)
        for name in set(self._alive_since) - live:
            del self._alive_since[name]
        return ControllersState(
            name=self._name,
            incarnation=self._incarnation,
            zones=self.zones,
            alive_since=self._alive_since,
            peers={name: link.peer_state for name, link in self._peers.links.items()},
            began_at=self._began_at,
            led=led,
            without_gangs=self._without_gangs(),
        )

    def _without_gangs(self) -> frozenset[str]:
        """Return the other live controllers whose version does not support gangs."""
        return frozenset(
            name
            for name, record in self._view.controllers.items()
            if name != self._name and not supports(record.incarnation, GANGS_EXTENSION)
        )
