"""Build a controller from its components."""

import random
import secrets
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

import trio

from roadbend.autoscaler.service import Autoscaler
from roadbend.bidding.service import Bidding
from roadbend.cloud.client import Cloud
from roadbend.controller.attempts_on_machines import AttemptsOnMachines
from roadbend.controller.availability import Availability
from roadbend.controller.cancellation_confirmation import CancellationConfirmation
from roadbend.controller.cancellations import ConfirmedCancellations
from roadbend.controller.heartbeats import PeerExchange
from roadbend.controller.leaders import PartitionLeaders
from roadbend.controller.peer_start_reports import PeerStartReports
from roadbend.controller.rate_sharing import share_rates
from roadbend.controller.reachability import WorkerReachability
from roadbend.controller.routes import Router, is_from_worker
from roadbend.controller.settled_starts_service import SettledStartsService
from roadbend.controller.starts_in_doubt_service import StartsInDoubtService
from roadbend.fleet.machine_reach import MachineReach
from roadbend.fleet.service import Fleet
from roadbend.http.client import Client
from roadbend.http.net import BACKLOG, Net
from roadbend.http.server import Request, Response, Server
from roadbend.intake.job_states import ConfirmCancellation
from roadbend.intake.limit import AdaptiveLimit
from roadbend.intake.users import JobApi
from roadbend.listen_address import listen_address
from roadbend.log import Log
from roadbend.partitions.election import LeaderElection
from roadbend.peers import frames
from roadbend.peers.links import Peers
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.client import StateStoreClient
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView
from roadbend.store.request_budget import RequestBudget

log = Log("controller")

# Sockets reserved for connections that we open (state store 16, cloud 6, queries and commands to
# machines 160, peers), for connections from peers, and for connections that are being closed.
RESERVED_SOCKETS = 240
MIN_SERVED_SOCKETS = 64
# The share of the other sockets that is kept free for new connections, see `Server`.
SPARE_SOCKETS = 0.1
# During a surge of users, workers' connections stay open until a live worker would have sent two
# heartbeats.
STALE_INTERVALS = 2.5
STALE_MARGIN = timedelta(seconds=4)


class Controller:
    """One process of the scheduler."""

    # The protocol extensions that it supports beyond frame version 2; a suffix of its incarnation.
    EXTENSIONS = frames.SETTLED_EXTENSION

    def __init__(
        self,
        settings: PlatformSettings,
        operator: OperatorSettings,
        net: Net,
        rng: random.Random,
        incarnation: str | None = None,
    ) -> None:
        self.incarnation = (incarnation or secrets.token_hex(6)) + self.EXTENSIONS
        self._net = net
        self._budget = RequestBudget(
            settings.state_rps,
            settings.state_write_rps,
            settings.controller_count,
            settings.state_write_rps_next,
        )
        self.cloud = Cloud(
            Client(net, settings.cloud, max_connections=6, max_idle=2),
            settings.cloud_rps,
            settings.controller_count,
        )
        self.peers = Peers(net, settings.name, settings.peers, rng)
        self.context = self._make_context(settings, operator, rng)
        leaders: dict[str, PartitionLeader] = {}
        self.fleet = Fleet(self.context, net, self.cloud, self.peers, leaders)
        self.autoscaler = Autoscaler(self.context, self.cloud, self.fleet, leaders, rng)
        self.bidding = Bidding(
            self.context, self.peers, leaders, self.autoscaler.unavailable_kinds, rng
        )
        self.partition_leaders = PartitionLeaders(
            self.context, self.fleet, self.autoscaler, leaders
        )
        cancellations = ConfirmedCancellations(settings.cancel_within)
        self._peer_start_reports = PeerStartReports(cancellations)
        self.partition_leaders.predecessor_report = self._peer_start_reports.inherit_report
        self._exchange = self._make_exchange(cancellations)
        self._availability = Availability(self.context, self.peers)
        self._starts_in_doubt = StartsInDoubtService(self.view, self.partition_leaders)
        self._settled_starts = SettledStartsService(
            self.incarnation, self.context, self.partition_leaders
        )
        self._router = self._make_router(cancellations)
        self._server = self._make_server(settings)
        self.peers.handlers[frames.FrameKind.HEARTBEAT] = self._exchange.on_call
        self.peers.handlers[frames.FrameKind.STARTS_IN_DOUBT] = self._starts_in_doubt.on_call
        self.peers.handlers[frames.FrameKind.SETTLED_STARTS] = self._settled_starts.on_call
        self.view.watchers.append(self.partition_leaders.on_record)
        self.view.attempt_listeners.append(self.partition_leaders.on_attempt)
        self.election.observer.count_unserved = self.fleet.count_unserved
        self.election.reaches_machines = MachineReach(
            net, self.fleet.inventory, self.view
        ).is_reachable
        self.election.leadership_listeners.append(self.partition_leaders.on_leadership)
        # Further tasks that run as long as the controller does, such as recovery if it is enabled.
        self.background: list[Callable[[], Awaitable[None]]] = []

    def _make_context(
        self, settings: PlatformSettings, operator: OperatorSettings, rng: random.Random
    ) -> ControllerContext:
        client = Client(self._net, settings.state, max_connections=16, max_idle=8)
        state = StateStoreClient(client, self._budget, rng=rng)
        view = RecordView()
        reader = RecordReader(view, state, operator)
        election = LeaderElection(
            settings=settings,
            operator=operator,
            incarnation=self.incarnation,
            state=state,
            view=view,
            reader=reader,
            peers=self.peers,
        )
        return ControllerContext(
            settings=settings,
            operator=operator,
            state=state,
            view=view,
            reader=reader,
            election=election,
        )

    def _make_exchange(self, cancellations: ConfirmedCancellations) -> PeerExchange:
        return PeerExchange(
            incarnation=self.incarnation,
            context=self.context,
            leaders=self.partition_leaders,
            fleet=self.fleet,
            cancellations=cancellations,
            budget=self._budget,
            cloud=self.cloud,
        )

    def _make_router(self, cancellations: ConfirmedCancellations) -> Router:
        users = JobApi(
            context=self.context,
            submit=self.bidding.requester.submit,
            confirm_cancellation=self._make_confirmation(cancellations),
            state_refuses_only_us=self._availability.state_refuses_only_us,
            limit=AdaptiveLimit(ceiling=self.operator.users_at_once),
        )
        return Router(self.fleet, users, self._availability.up)

    def _make_confirmation(self, cancellations: ConfirmedCancellations) -> ConfirmCancellation:
        confirmation = CancellationConfirmation(
            self.context,
            self.peers,
            self._exchange,
            self._starts_in_doubt,
            AttemptsOnMachines(self._net, self.fleet.inventory),
            cancellations,
            self._peer_start_reports,
        )
        return confirmation.confirm

    def _make_server(self, settings: PlatformSettings) -> Server:
        stale = STALE_INTERVALS * settings.heartbeat_interval + STALE_MARGIN
        served = max(MIN_SERVED_SOCKETS, settings.sockets - RESERVED_SOCKETS - BACKLOG)
        return Server(
            self.handle,
            served,
            is_from_worker,
            stale.total_seconds(),
            round(served * SPARE_SOCKETS),
        )

    @property
    def settings(self) -> PlatformSettings:
        """The platform's settings."""
        return self.context.settings

    @property
    def operator(self) -> OperatorSettings:
        """The operators' settings."""
        return self.context.operator

    @property
    def view(self) -> RecordView:
        """This controller's copy of the live records."""
        return self.context.view

    @property
    def reader(self) -> RecordReader:
        """The reader that keeps the record view up to date."""
        return self.context.reader

    @property
    def election(self) -> LeaderElection:
        """The election that decides which partitions this controller leads."""
        return self.context.election

    @property
    def leaders(self) -> dict[str, PartitionLeader]:
        """The partitions that this controller leads, each with the object that manages it."""
        return self.partition_leaders.leaders

    @property
    def began(self) -> datetime:
        """When this incarnation started."""
        return self._exchange.began_at

    def handle(self, request: Request) -> Awaitable[Response]:
        """Answer an HTTP request."""
        return self._router.handle(request)

    def up(self, now: datetime) -> bool:
        """Return whether users should be directed to this controller."""
        return self._availability.up(now)

    async def run(self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve requests and run all background work until cancelled."""
        log.info(
            "controller-started",
            controller=self.settings.name,
            zone=self.settings.zone,
            incarnation=self.incarnation,
        )
        async with trio.open_nursery() as nursery:
            self.partition_leaders.start_in(nursery)
            with listen_address("client_listen"):
                await nursery.start(self._net.listen, self.settings.listen, self._server.serve)
            with listen_address("back"):
                await nursery.start(self._net.listen, self.settings.back, self.peers.serve)
            for link in self.peers.links.values():
                nursery.start_soon(link.run, self._exchange)
                nursery.start_soon(self._peer_start_reports.run, link)
            self._start_work(nursery)
            for run in self.background:
                nursery.start_soon(run)
            task_status.started()

    def _start_work(self, nursery: trio.Nursery) -> None:
        reachability = WorkerReachability(self.context, self.peers, self.leaders)
        nursery.start_soon(self._server.sweep)
        nursery.start_soon(self.reader.run)
        nursery.start_soon(self.election.run)
        nursery.start_soon(self.autoscaler.catalog.run)
        nursery.start_soon(self.autoscaler.inventory.run)
        nursery.start_soon(self.fleet.commands.send_stops, nursery)
        nursery.start_soon(self.fleet.failure_detector.watch, nursery)
        nursery.start_soon(self.fleet.silent_leaders.watch)
        nursery.start_soon(reachability.watch)
        nursery.start_soon(share_rates, self.peers, self._budget, self.cloud)
        self.bidding.start(nursery)
