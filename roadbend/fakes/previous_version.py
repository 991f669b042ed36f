"""Controllers that behave like older versions, for scenarios of upgrades.

The oldest is the version in production. Its frames and records are those of that version
(test_upgrade.py has its bytes) and within the current limits of the settings. It does not support
gangs, and sends starts only in answers to heartbeats.
"""

import random
from dataclasses import replace
from typing import Any

from roadbend.controller import Controller
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.peer_start_reports import PeerStartReports
from roadbend.fakes.previous_cancellations import CancellationPropagation, confirm_after_propagation
from roadbend.http.net import Net
from roadbend.http.server import MalformedError, Request, Response, decode
from roadbend.intake.job_states import ConfirmCancellation
from roadbend.peers import frames
from roadbend.peers.links import Link
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store import records

# The limits of production's current settings; the scenarios' settings are the planned ones.
VALUE_BYTES, TXN_OPS = 4096, 8


class _NoReports(PeerStartReports):
    """Requests no reports: versions up to 0.10.0 do not know reports of settled starts."""

    async def run(self, link: Link) -> None:
        return


class Version0100Controller(Controller):
    """A controller like 0.10.0: it reports no settled starts and relies on no token of a peer."""

    EXTENSIONS = frames.STARTS_EXTENSION

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        del self.peers.handlers[frames.FrameKind.SETTLED_STARTS]
        self._peer_start_reports = _NoReports(ConfirmedCancellations(self.settings.cancel_within))


class Version090Controller(Version0100Controller):
    """A controller like 0.9.0: it confirms cancellations as that version does.

    It answers no queries about its starts in doubt.
    """

    EXTENSIONS = frames.GANGS_EXTENSION

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        del self.peers.handlers[frames.FrameKind.STARTS_IN_DOUBT]

    def _make_confirmation(self, cancellations: ConfirmedCancellations) -> ConfirmCancellation:
        propagation = CancellationPropagation(
            self.settings.name, self.peers, self._exchange, self.view, self.reader
        )
        return confirm_after_propagation(cancellations, propagation)


class PreviousVersionController(Version090Controller):
    """A controller with only the records, frames and features of the version in production."""

    EXTENSIONS = ""

    def __init__(
        self,
        settings: PlatformSettings,
        operator: OperatorSettings,
        net: Net,
        rng: random.Random,
        incarnation: str | None = None,
    ) -> None:
        old_settings = replace(
            settings, value_bytes=VALUE_BYTES, txn_ops=TXN_OPS, state_write_rps_next=None
        )
        super().__init__(old_settings, operator, net, rng, incarnation)
        for kind in (frames.FrameKind.GANG_REQUEST, frames.FrameKind.GANG_INFORM):
            del self.peers.handlers[kind]
        # That version sends no start directly.
        self.fleet.commands.order_now = None  # type: ignore[method-assign, assignment]
        # That version reads and rewrites a job's record without unknown fields, which drops gangs.
        store = self.view._store

        def store_without_gangs(key: str, value: Any, mod_revision: int) -> None:
            if key.startswith("r/gang/"):
                return
            if key.startswith("r/job/") and isinstance(value, dict):
                value = {k: v for k, v in value.items() if k != "g"}
            store(key, value, mod_revision)

        # The view of this one controller alone differs, so its methods are replaced.
        self.view._store = store_without_gangs  # type: ignore[method-assign]

    async def handle(self, request: Request) -> Response:
        """Answer a request of a user or worker; gangs are refused as malformed."""
        if request.path == "/v1/jobs" and request.method == "POST":
            try:
                data = decode(request.body)
            except MalformedError:
                data = None
            if isinstance(data, dict) and data.get("shape") == "group":
                return Response(400, {"error": "shape: expected batch or daemon"})
        return await super().handle(request)


def width() -> int:
    """Return how many tasks one shard holds in the version in production."""
    return records.shard_width(VALUE_BYTES)
