"""A controller: the slices put together."""

import random
import secrets
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.autoscaler.cloud import Cloud
from roadbend.autoscaler.service import Autoscaler
from roadbend.bidding.requester import Requester
from roadbend.fleet.service import Fleet
from roadbend.http.client import Client
from roadbend.http.net import BACKLOG, Net
from roadbend.http.server import Request, Response, Server
from roadbend.intake.limit import AdaptiveLimit
from roadbend.intake.users import JobApi
from roadbend.log import Log
from roadbend.partitions.election import START_FRESHNESS, LeaderElection
from roadbend.peers import frames
from roadbend.peers.heartbeat import PeerHeartbeat
from roadbend.peers.links import Link, Peers
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.client import StateStoreClient
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView
from roadbend.store.request_budget import RequestBudget

log = Log("controller")
# Cancellations that a heartbeat names; with more its list reaches back less far, and says so.
MAX_CANCELLATIONS = 1024
# Sockets kept for what we open ourselves (the state service 16, the cloud 6, machines asked and
# told 144, peers), for peers' connections to us, and for connections that are just being closed.
OWN_SOCKETS = 240
# The share of all other sockets that is kept free for clients to come, see `Server`.
SPARE_SOCKETS = 0.1


class Controller:
    """A controller: its slices, wired together."""

    # What the controller understands beyond version 2 of the frames; its incarnation ends with it.
    DIALECT = frames.GANGS

    def __init__(
        self,
        settings: PlatformSettings,
        operator: OperatorSettings,
        net: Net,
        rng: random.Random,
        incarnation: str | None = None,
    ):
        self.settings, self.operator, self.net = settings, operator, net
        self.incarnation = (incarnation or secrets.token_hex(6)) + self.DIALECT
        self.began = clock.now()
        self.budget = RequestBudget(
            settings.state_rps,
            settings.state_write_rps,
            settings.controller_count,
            settings.state_write_rps_next,
        )
        self.state = StateStoreClient(
            Client(net, settings.state, most=16, keep=8), self.budget, rng=rng
        )
        self.cloud = Cloud(
            Client(net, settings.cloud, most=6, keep=2),
            settings.cloud_rps,
            settings.controller_count,
        )
        self.view = RecordView()
        self.reader = RecordReader(self.view, self.state, operator)
        self.peers = Peers(net, settings.name, settings.peers, rng)
        self.election = LeaderElection(
            settings, operator, self.incarnation, self.state, self.view, self.reader, self.peers
        )
        self.context = ControllerContext(
            settings, operator, self.state, self.view, self.reader, self.election
        )
        self.leaders: dict[str, PartitionLeader] = {}
        self.fleet = Fleet(self.context, net, self.cloud, self.peers, self.leaders)
        self.autoscaler = Autoscaler(self.context, self.cloud, self.fleet, self.leaders, rng)
        self.requester = Requester(
            self.context, self.peers, self.leaders, self.autoscaler.closed, rng
        )
        self.users = JobApi(
            self.context,
            self.requester.submit,
            self._tell,
            self.propagate_cancellations,
            self.state_refuses_only_us,
            AdaptiveLimit(ceiling=operator.users_at_once),
        )
        self.cancellations: OrderedDict[str, datetime] = OrderedDict()
        # Workers' connections are kept from storms of users, until a living worker would have
        # reported twice.
        stale = 2.5 * settings.heartbeat_interval + timedelta(seconds=4)
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
        self.election.changed.append(self._on_ownership)
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
            return await self.fleet.handle_heartbeat(request)
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
        if self.reader.contact is None or not self.context.machine_types:
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

    def heartbeat(self) -> PeerHeartbeat:
        now = clock.now()
        contact = self.reader.contact
        span = self.settings.cancel_within * 3
        while self.cancellations and now - next(iter(self.cancellations.values())) > span:
            self.cancellations.popitem(last=False)
        cancellations = list(self.cancellations.items())[-MAX_CANCELLATIONS:]
        if len(cancellations) < len(self.cancellations):
            span = now - cancellations[0][1]
        return PeerHeartbeat(
            self.incarnation,
            now - self.began,
            None if contact is None else now - contact,
            (*self.budget.used, self.cloud.used),
            {
                partition: leadership.term
                for partition, leadership in self.election.leaderships.items()
            },
            self.fleet.heard(now),
            span,
            tuple(job for job, _ in cancellations),
        )

    def _on_ping(self, sender: str, payload: bytes) -> bytes:
        self._learn(PeerHeartbeat.unpack(payload))
        return self.heartbeat().pack()

    def _took(self, link: Link, heartbeat: PeerHeartbeat, asked: datetime) -> None:
        link.known.take(heartbeat, asked, clock.now(), self.reader.contact)
        self._learn(heartbeat)

    def _learn(self, heartbeat: PeerHeartbeat) -> None:
        for partition, term in heartbeat.led_partitions.items():
            self.election.depose(partition, term)
        if self.context.cancel(heartbeat.cancellations):
            # A calm report is answered at a look: what is to be stopped must be marked before the
            # next one comes.
            for leader in self.leaders.values():
                leader.stops.order_all_cancelled(clock.now())

    def _tell(self, job: str) -> None:
        """A user learns from us that its job is cancelled; peers hear of it without the records."""
        if job not in self.cancellations:
            self.cancellations[job] = clock.now()
            while len(self.cancellations) > 4 * MAX_CANCELLATIONS:
                self.cancellations.popitem(last=False)

    async def propagate_cancellations(self) -> None:
        """Returns when every controller that owns a partition has heard all that we tell users is
        cancelled, or can start nothing any more without having read it in the records."""
        me, heard, read = self.settings.name, set(), []
        most = START_FRESHNESS * (1 + 2 * clock.DRIFT)

        async def tell(link: Link) -> None:
            while not await link.beat(self.heartbeat, self._took):
                await clock.pause(timedelta(milliseconds=200))
            heard.add(link.peer.name)

        async def look() -> None:
            await self.reader.read_barrier()
            read.append(True)

        with trio.move_on_after(most.total_seconds()):
            async with trio.open_nursery() as nursery:
                for link in self.peers.links.values():
                    nursery.start_soon(tell, link)
                nursery.start_soon(look)
                while True:
                    # Until the records say who owns what, it may be any of them.
                    owners = (
                        {own.controller for own in self.view.partition_leaders.values()}
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
            self.election.on_record(key)
        elif key.startswith("r/job/"):
            name = key.removeprefix("r/job/")
            for partition, leader in self.leaders.items():
                if (
                    name in self.view.assigned_jobs.get(partition, ())
                    or name in leader.records.job_slices()
                ):
                    leader.steps.request()
        elif key.startswith("r/team/"):
            for leader in self.leaders.values():
                if leader.queue.not_placed:
                    leader.steps.request()

    def _on_ownership(self, partition: str) -> None:
        leadership = self.election.leadership(partition)
        if leadership is None:
            self.leaders.pop(partition, None)
            return
        leader = PartitionLeader(self.context, leadership, self.fleet.commands.order_now)
        leader.recovery = self.context.recovery.for_partition(leader)
        self.leaders[partition] = leader
        if self._nursery is not None:
            self._nursery.start_soon(leader.run)
            self._nursery.start_soon(self.autoscaler.run, leader)

    # Deaf owners.

    async def _listen_for_deafness(self) -> None:
        """Our partition's workers reach a peer but not us: the partition is handed over."""
        silent_since: dict[str, datetime] = {}
        while True:
            await clock.pause(timedelta(seconds=1))
            now = clock.now()
            for partition, leader in list(self.leaders.items()):
                last = max(
                    (m.last_heartbeat_at for m in leader.machines.values() if m.last_heartbeat_at),
                    default=leader.leadership.acquired_at,
                )
                heard = any(
                    link.alive(now)
                    and link.known.heartbeat
                    and link.known.heartbeat.heard_machines.get(partition)
                    for link in self.peers.links.values()
                )
                quiet = (
                    now - max(last, leader.leadership.acquired_at)
                    > self.settings.heartbeat_interval * 2.5
                )
                if quiet and heard:
                    since = silent_since.setdefault(partition, now)
                    if now - since > self.settings.heartbeat_interval:
                        silent_since.pop(partition, None)
                        try:
                            await self.election.fail_over(partition)
                        except Exception:
                            log.crash("failover-failed", partition=partition)
                else:
                    silent_since.pop(partition, None)

    async def _share_budget(self) -> None:
        while True:
            await clock.pause(timedelta(seconds=1))
            now = clock.now()
            others = [
                link.known.heartbeat.request_rates
                for link in self.peers.links.values()
                if link.alive(now) and link.known.heartbeat
            ]
            self.budget.share([used[:2] for used in others])
            self.cloud.share([used[2] for used in others])

    # All of it.

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        log.info(
            "controller-started",
            controller=self.settings.name,
            zone=self.settings.zone,
            incarnation=self.incarnation,
        )
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.net.listen, self.settings.listen, self.server.serve)
            await nursery.start(self.net.listen, self.settings.back, self.peers.serve)
            for link in self.peers.links.values():
                nursery.start_soon(link.run, self.heartbeat, self._took)
            nursery.start_soon(self.server.sweep)
            nursery.start_soon(self.reader.run)
            nursery.start_soon(self.election.run)
            nursery.start_soon(self.autoscaler.catalog_loop)
            nursery.start_soon(self.autoscaler.list_loop)
            nursery.start_soon(self.fleet.commands.send_stops, nursery)
            nursery.start_soon(self.fleet.failure_detector.watch, nursery)
            nursery.start_soon(self._listen_for_deafness)
            nursery.start_soon(self._share_budget)
            nursery.start_soon(self.requester.run_rebid)
            nursery.start_soon(self.requester.run_reoffer)
            for _ in range(4):
                nursery.start_soon(self.requester.run_worker)
            for run in self.background:
                nursery.start_soon(run)
            task_status.started()
