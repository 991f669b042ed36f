"""A controller as the version in production is, for scenarios of an upgrade. It speaks and writes
just what that version does (test_upgrade.py has its bytes): frames and records of the settings'
present limits only, no word of gangs, and starts ordered by reports alone.
"""

import random
from dataclasses import replace
from typing import Any

from roadbend.controller import Controller
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.peer_start_reports import PeerStartReports
from roadbend.fakes.previous_cancellations import CancellationPropagation, confirm_once_told
from roadbend.http.net import Net
from roadbend.http.server import MalformedError, Request, Response, decode
from roadbend.intake.job_states import ConfirmCancellation
from roadbend.peers import frames
from roadbend.peers.links import Link
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store import records

# The values and transactions that production's settings allow, where the scenarios' settings are
# those to come.
VALUE_BYTES, TXN_OPS = 4096, 8


class _NoReports(PeerStartReports):
    """Versions up to 0.10.0 do not ask for reports of settled starts."""

    async def run(self, link: Link) -> None:
        return


class Version0100Controller(Controller):
    """A controller that, as 0.10.0, reports no starts and goes on from no token of a peer."""

    EXTENSIONS = frames.STARTS_EXTENSION

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        del self.peers.handlers[frames.FrameKind.SETTLED_STARTS]
        self._peer_start_reports = _NoReports(ConfirmedCancellations(self.settings.cancel_within))


class Version090Controller(Version0100Controller):
    """A controller that confirms cancellations as 0.9.0 does and does not answer for its starts."""

    EXTENSIONS = frames.GANGS_EXTENSION

    def __init__(self, *arguments: Any):
        super().__init__(*arguments)
        del self.peers.handlers[frames.FrameKind.STARTS_IN_DOUBT]

    def _make_confirmation(self, cancellations: ConfirmedCancellations) -> ConfirmCancellation:
        propagation = CancellationPropagation(
            self.settings.name, self.peers, self._exchange, self.view, self.reader
        )
        return confirm_once_told(cancellations, propagation)


class PreviousVersionController(Version090Controller):
    """A controller that reads, writes and says only what the version in production does."""

    EXTENSIONS = ""

    def __init__(
        self,
        settings: PlatformSettings,
        operator: OperatorSettings,
        net: Net,
        rng: random.Random,
        incarnation: str | None = None,
    ):
        old = replace(settings, value_bytes=VALUE_BYTES, txn_ops=TXN_OPS, state_write_rps_next=None)
        super().__init__(old, operator, net, rng, incarnation)
        for kind in (frames.FrameKind.GANG_REQUEST, frames.FrameKind.GANG_INFORM):
            del self.peers.handlers[kind]
        self.fleet.commands.order_now = None
        # A job's record is read and written again without what this version does not know, and its
        # gangs with it.
        store, put = self.view._store, self.view.put

        def forgetting(key: str, value, mod_revision: int) -> None:
            if key.startswith("r/gang/"):
                return
            if key.startswith("r/job/") and isinstance(value, dict):
                value = {k: v for k, v in value.items() if k != "g"}
            store(key, value, mod_revision)

        self.view._store, self.view.put = forgetting, put

    async def handle(self, request: Request) -> Response:
        if request.path == "/v1/jobs" and request.method == "POST":
            try:
                data = decode(request.body)
            except MalformedError:
                data = None
            if isinstance(data, dict) and data.get("shape") == "group":
                return Response(400, {"error": "shape: expected batch or daemon"})
        return await super().handle(request)


def width() -> int:
    """How many tasks share a record of that version."""
    return records.shard_width(VALUE_BYTES)
