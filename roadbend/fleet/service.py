"""Answering workers' reports, and what this controller does for machines beside that."""

from collections import OrderedDict
from datetime import datetime, timedelta
from itertools import accumulate

from roadbend import clock
from roadbend.fleet import messages
from roadbend.fleet.commands import Commands
from roadbend.fleet.cuts import ZoneCuts
from roadbend.fleet.listing import MachineList
from roadbend.fleet.silence import SilenceWatch
from roadbend.http.net import Net
from roadbend.http.server import MalformedError, Request, Response, decode
from roadbend.peers.links import Peers
from roadbend.placement.runtime import PartRuntime
from roadbend.placement.shared import Shared
from roadbend.rental.cloud import Cloud

# Bytes of names of machines that we tell their owner we hear, a part and all together (a heartbeat
# is one frame), and reports of other owners' machines that we remember.
MAX_HEARD = 64 * 1024
MAX_HEARD_IN_ALL = 3 * MAX_HEARD
MAX_FOREIGN_REPORTS = 16_384


class Fleet:
    """The workers' interface of a controller."""

    def __init__(
        self, shared: Shared, net: Net, cloud: Cloud, peers: Peers, runtimes: dict[str, PartRuntime]
    ):
        self._peers, self._shared, self._runtimes = peers, shared, runtimes
        # Reports of parts that we don't own, lately: part -> machine -> when, and which it was.
        self._foreign_reports: dict[str, OrderedDict[str, tuple[datetime, tuple[int, int]]]] = {}
        self.listing = MachineList()
        self.cuts = ZoneCuts(shared, self.listing)
        self.commands = Commands(shared, net, runtimes)
        self.silence = SilenceWatch(
            shared, net, cloud, self.listing, self.cuts, self.heard_elsewhere, runtimes
        )

    async def handle_report(self, request: Request) -> Response:
        now = clock.now()
        ownership = self._shared.ownership
        try:
            data = decode(request.body)
            runtime = self._runtimes.get(data.get("yard")) if isinstance(data, dict) else None
            if (
                runtime is not None
                and ownership.tenure(runtime.part) == runtime.tenure
                and ownership.may_renew(now)
            ):
                token = runtime.reports.answer_unchanged(data, now)
                if token is not None:
                    return Response(200, {"baton": token, "orders": []})
            report = messages.read_report(data)
        except (MalformedError, TypeError) as error:
            return Response(400, {"error": str(error)[:200]})
        if runtime is not None and ownership.tenure(report.zone) == runtime.tenure:
            if not ownership.may_renew(now):
                return Response(503, {"error": "no state"})
            answer = await runtime.reports.handle(report)
            if answer is None:
                return Response(503, {"error": "old report"})
            if not ownership.may_renew(clock.now()):
                # It waited for what the report called for; what we may answer is judged when the
                # answer goes out.
                return Response(503, {"error": "no state"})
            return Response(200, {"baton": answer[0], "orders": answer[1]})
        if report.zone not in ownership.parts():
            return Response(503, {"error": "no such part"})
        heard = self._foreign_reports.setdefault(report.zone, OrderedDict())
        last = heard.get(report.machine)
        # A late copy is no sign of life, here or in what the owner is told.
        if last is None or report.order > last[1]:
            heard[report.machine] = (now, report.order)
            heard.move_to_end(report.machine)
        while len(heard) > MAX_FOREIGN_REPORTS:
            heard.popitem(last=False)
        owner = ownership.holder(report.zone)
        if owner is None or owner == self._shared.settings.name:
            return Response(503, {"error": "no owner yet"})
        return Response(421, {"dispatcher": owner})

    def heard(self, now: datetime) -> dict[str, tuple[str, ...]]:
        out = {}
        most = min(MAX_HEARD, MAX_HEARD_IN_ALL // max(1, len(self._foreign_reports)))
        for part, rows in self._foreign_reports.items():
            names = [name for name, (at, _) in rows.items() if now - at < timedelta(seconds=6)]
            if names and part not in self._runtimes:
                # The latest; those beyond are taken for silent a little sooner.
                sizes = accumulate(len(name) + 2 for name in reversed(names))
                out[part] = tuple(names[-sum(1 for size in sizes if size <= most) :])
        return out

    def heard_elsewhere(self, part: str, machine: str, now: datetime) -> bool:
        return any(
            link.alive(now)
            and link.known.heartbeat is not None
            and machine in link.known.heartbeat.heard.get(part, ())
            for link in self._peers.links.values()
        )
