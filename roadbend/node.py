"""A controller: the slices put together."""

import random
import secrets
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.bidding.exchange import Exchange
from roadbend.fleet.service import Fleet
from roadbend.http.client import Client
from roadbend.http.net import BACKLOG, Net
from roadbend.http.server import Request, Response, Server
from roadbend.intake.limit import Limit
from roadbend.intake.users import Users
from roadbend.log import Log
from roadbend.parts.ownership import START_FRESH, Ownership
from roadbend.peers import frames
from roadbend.peers.heartbeat import Heartbeat
from roadbend.peers.links import Link, Peers
from roadbend.placement.runtime import PartRuntime
from roadbend.placement.shared import Shared
from roadbend.rental.cloud import Cloud
from roadbend.rental.service import Rental
from roadbend.settings import Operator, Settings
from roadbend.store.budget import Budget
from roadbend.store.client import StateClient
from roadbend.store.reader import Reader
from roadbend.store.view import View

log = Log("node")
# Cancellations that a heartbeat names; with more its list reaches back less far, and says so.
MAX_TOLD = 1024
# Sockets kept for what we open ourselves (the state service 16, the cloud 6, machines asked and
# told 144, peers), for peers' connections to us, and for connections that are just being closed.
OWN_SOCKETS = 240
# The share of all other sockets that is kept free for clients to come, see `Server`.
SPARE_SOCKETS = 0.1


class Node:
    """A controller: its slices, wired together."""

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        net: Net,
        rng: random.Random,
        boot: str | None = None,
    ):
        self.settings, self.operator, self.net = settings, operator, net
        # The id of this life of the process ends with what it understands beyond version 2 of the
        # frames.
        self.boot = (boot or secrets.token_hex(6)) + frames.GANGS
        self.began = clock.now()
        self.budget = Budget(
            settings.state_rps,
            settings.state_write_rps,
            settings.controllers,
            settings.state_write_rps_next,
        )
        self.state = StateClient(Client(net, settings.state, most=16, keep=8), self.budget, rng=rng)
        self.cloud = Cloud(
            Client(net, settings.cloud, most=6, keep=2), settings.cloud_rps, settings.controllers
        )
        self.view = View()
        self.reader = Reader(self.view, self.state, operator)
        self.peers = Peers(net, settings.name, settings.peers, rng)
        self.ownership = Ownership(
            settings, operator, self.boot, self.state, self.view, self.reader, self.peers
        )
        self.shared = Shared(settings, operator, self.state, self.view, self.reader, self.ownership)
        self.runtimes: dict[str, PartRuntime] = {}
        self.fleet = Fleet(self.shared, net, self.cloud, self.peers, self.runtimes)
        self.rental = Rental(self.shared, self.cloud, self.fleet, self.runtimes, rng)
        self.exchange = Exchange(self.shared, self.peers, self.runtimes, self.rental.closed, rng)
        self.users = Users(
            self.shared,
            self.exchange.submit,
            self._tell,
            self.spread,
            self.state_refuses_only_us,
            Limit(ceiling=operator.users_at_once),
        )
        self.told: OrderedDict[str, datetime] = OrderedDict()
        # Workers' connections are kept from storms of users, until a living worker would have
        # reported twice.
        stale = 2.5 * settings.report_every + timedelta(seconds=4)
        served = max(64, settings.sockets - OWN_SOCKETS - BACKLOG)
        self.server = Server(
            self.handle,
            served,
            self._from_worker,
            stale.total_seconds(),
            round(served * SPARE_SOCKETS),
        )
        self.peers.handlers[frames.PING] = self._on_ping
        self.view.watchers.append(self._on_record)
        self.ownership.changed.append(self._on_ownership)
        # What else runs as long as the controller does, such as recovery where it is switched on.
        self.background: list[Callable[[], Awaitable[None]]] = []
        self._nursery: trio.Nursery | None = None

    # Routes.

    @staticmethod
    def _from_worker(request: Request) -> bool:
        return request.path == "/hello"

    async def handle(self, request: Request) -> Response:
        path = request.path
        if path == "/hello":
            if request.method != "POST":
                return Response(405, {"error": "POST"}, (("allow", "POST"),))
            return await self.fleet.handle_report(request)
        if path == "/up":
            if request.method != "GET":
                return Response(405, {"error": "GET"}, (("allow", "GET"),))
            ok = self.up(clock.now())
            return Response(200 if ok else 503, {"up": ok})
        if path == "/v1/jobs" or path.startswith("/v1/jobs/"):
            return await self.users.handle(request)
        return Response(404, {"error": "no such path"})

    def up(self, now: datetime) -> bool:
        """Not up while the state service refuses us and serves a peer; in a common outage all stay
        up and answer 503 quickly."""
        if self.reader.contact is None or not self.shared.machine_types:
            return False
        return not self.state_refuses_only_us(now)

    def state_refuses_only_us(self, now: datetime) -> bool:
        """Whether the state service does without us alone."""
        contact = self.reader.contact
        if contact is not None and now - contact < timedelta(seconds=2):
            return False
        for link in self.peers.links.values():
            heartbeat, at = link.known.heartbeat, link.known.heard_at
            if heartbeat is None or at is None or now - at > timedelta(seconds=3):
                continue
            if heartbeat.contact_age is not None and heartbeat.contact_age < timedelta(seconds=1.5):
                return True
        return False

    # Pulses.

    def heartbeat(self) -> Heartbeat:
        now = clock.now()
        contact = self.reader.contact
        span = self.settings.cancel_within * 3
        while self.told and now - next(iter(self.told.values())) > span:
            self.told.popitem(last=False)
        told = list(self.told.items())[-MAX_TOLD:]
        if len(told) < len(self.told):
            span = now - told[0][1]
        return Heartbeat(
            self.boot,
            now - self.began,
            None if contact is None else now - contact,
            (*self.budget.used, self.cloud.used),
            {part: tenure.term for part, tenure in self.ownership.tenures.items()},
            self.fleet.heard(now),
            span,
            tuple(job for job, _ in told),
        )

    def _on_ping(self, sender: str, payload: bytes) -> bytes:
        self._learn(Heartbeat.unpack(payload))
        return self.heartbeat().pack()

    def _took(self, link: Link, heartbeat: Heartbeat, asked: datetime) -> None:
        link.known.take(heartbeat, asked, clock.now(), self.reader.contact)
        self._learn(heartbeat)

    def _learn(self, heartbeat: Heartbeat) -> None:
        for part, term in heartbeat.owned.items():
            self.ownership.superseded(part, term)
        if self.shared.cancel(heartbeat.told):
            # A calm report is answered at a look: what is to be stopped must be marked before the
            # next one comes.
            for runtime in self.runtimes.values():
                runtime.stop_dead(clock.now())

    def _tell(self, job: str) -> None:
        """A user learns from us that its job is cancelled; peers hear of it without the records."""
        if job not in self.told:
            self.told[job] = clock.now()
            while len(self.told) > 4 * MAX_TOLD:
                self.told.popitem(last=False)

    async def spread(self) -> None:
        """Returns when every controller that owns a part has heard all that we tell users is
        cancelled, or can start nothing any more without having read it in the records."""
        me, heard, read = self.settings.name, set(), []
        most = START_FRESH * (1 + 2 * clock.DRIFT)

        async def tell(link: Link) -> None:
            while not await link.beat(self.heartbeat, self._took):
                await clock.pause(timedelta(milliseconds=200))
            heard.add(link.peer.name)

        async def look() -> None:
            await self.reader.sync()
            read.append(True)

        with trio.move_on_after(most.total_seconds()):
            async with trio.open_nursery() as nursery:
                for link in self.peers.links.values():
                    nursery.start_soon(tell, link)
                nursery.start_soon(look)
                while True:
                    # Until the records say who owns what, it may be any of them.
                    owners = (
                        {own.node for own in self.view.owns.values()}
                        if read
                        else set(self.peers.links)
                    )
                    if owners <= heard | {me}:
                        break
                    await clock.pause(timedelta(milliseconds=10))
                nursery.cancel_scope.cancel()

    # Changes.

    def _on_record(self, key: str) -> None:
        if key.startswith("r/term/"):
            self.ownership.on_record(key)
        elif key.startswith("r/job/"):
            name = key.removeprefix("r/job/")
            for part, runtime in self.runtimes.items():
                if name in self.view.held.get(part, ()) or name in runtime.works():
                    runtime.wake_up.set()
        elif key.startswith("r/team/"):
            for runtime in self.runtimes.values():
                if runtime.left:
                    runtime.wake_up.set()

    def _on_ownership(self, part: str) -> None:
        tenure = self.ownership.tenure(part)
        if tenure is None:
            self.runtimes.pop(part, None)
            return
        runtime = PartRuntime(self.shared, tenure)
        runtime.order_now = self.fleet.commands.order_now
        runtime.recovery = self.shared.recovery.for_part(runtime)
        self.runtimes[part] = runtime
        if self._nursery is not None:
            self._nursery.start_soon(runtime.run)
            self._nursery.start_soon(self.rental.run, runtime)

    # Deaf owners.

    async def _listen_for_deafness(self) -> None:
        """Our part's workers reach a peer but not us: the part is handed over."""
        silent_since: dict[str, datetime] = {}
        while True:
            await clock.pause(timedelta(seconds=1))
            now = clock.now()
            for part, runtime in list(self.runtimes.items()):
                last = max(
                    (m.reported for m in runtime.machines.values() if m.reported),
                    default=runtime.tenure.since,
                )
                heard = any(
                    link.alive(now)
                    and link.known.heartbeat
                    and link.known.heartbeat.heard.get(part)
                    for link in self.peers.links.values()
                )
                quiet = now - max(last, runtime.tenure.since) > self.settings.report_every * 2.5
                if quiet and heard:
                    since = silent_since.setdefault(part, now)
                    if now - since > self.settings.report_every:
                        silent_since.pop(part, None)
                        try:
                            await self.ownership.hand_over_deaf(part)
                        except Exception:
                            log.crash("hand-over-failed", part=part)
                else:
                    silent_since.pop(part, None)

    async def _share_budget(self) -> None:
        while True:
            await clock.pause(timedelta(seconds=1))
            now = clock.now()
            others = [
                link.known.heartbeat.used
                for link in self.peers.links.values()
                if link.alive(now) and link.known.heartbeat
            ]
            self.budget.share([used[:2] for used in others])
            self.cloud.share([used[2] for used in others])

    # All of it.

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        log.info("start", node=self.settings.name, zone=self.settings.zone, boot=self.boot)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.net.listen, self.settings.listen, self.server.serve)
            await nursery.start(self.net.listen, self.settings.back, self.peers.serve)
            for link in self.peers.links.values():
                nursery.start_soon(link.run, self.heartbeat, self._took)
            nursery.start_soon(self.server.sweep)
            nursery.start_soon(self.reader.run)
            nursery.start_soon(self.ownership.run)
            nursery.start_soon(self.rental.catalog_loop)
            nursery.start_soon(self.rental.list_loop)
            nursery.start_soon(self.fleet.commands.send_stops, nursery)
            nursery.start_soon(self.fleet.silence.watch, nursery)
            nursery.start_soon(self._listen_for_deafness)
            nursery.start_soon(self._share_budget)
            nursery.start_soon(self.exchange.run_rebid)
            nursery.start_soon(self.exchange.run_reoffer)
            for _ in range(4):
                nursery.start_soon(self.exchange.run_worker)
            for run in self.background:
                nursery.start_soon(run)
            task_status.started()
