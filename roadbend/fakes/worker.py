"""Fake of a worker, by the protocol: heartbeats, lease, fencing token, and HTTP server."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import trio

from roadbend.checkers.observed_jobs import Place
from roadbend.fakes.board import Board, WorkerTask
from roadbend.fakes.worker_tasks import WorkerSettings, WorkerTasks
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.server import Request, Response, Server, decode

# A later answer to a heartbeat is dropped; in seconds.
ANSWER_TIMEOUT_S = 4
# Minimum time between heartbeats, also when tasks change; in seconds.
MIN_HEARTBEAT_PAUSE_S = 0.5
# Pauses before a heartbeat is sent to the controller that the answer named, or to the next one; in
# seconds.
REDIRECT_PAUSE_S, RETRY_PAUSE_S = 0.2, 1
# How often the lease is checked, in seconds.
LEASE_CHECK_INTERVAL_S = 0.25
# Delay of an answer that counts as lost, in seconds.
NEVER_S = 3600


@dataclass
class Lease:
    """A worker's lease: its epoch, and when it was last renewed, in seconds."""

    epoch: int = 1
    sequence: int = 0
    token: int = 0
    renewed_at: float = 0.0


class FakeWorker:
    """The worker of one machine, by the protocol."""

    def __init__(
        self,
        net: Any,
        board: Board,
        controllers: Mapping[str, str],
        *,
        place: Place,
        address: str,
        settings: WorkerSettings | None = None,
    ) -> None:
        self._net, self._board, self._controllers = net, board, controllers
        self.place, self.address = place, address
        self.settings = settings or WorkerSettings()
        self.lease = Lease()
        # In how many seconds the cloud reclaims the machine; None: no notice.
        self.reclaim_in_s: float | None = None
        self._changed = trio.Event()
        self._controller = min(controllers) if controllers else ""
        # Set unless the machine hangs. A hung machine does nothing, and continues where it was.
        self._running = trio.Event()
        self._running.set()
        self._work = WorkerTasks(
            board,
            self.place,
            self.settings,
            wait_while_hung=self._wait_while_hung,
            is_hung=lambda: self.hung,
            on_change=self._request_heartbeat,
        )
        # Called with every heartbeat that is sent.
        self.heartbeat_listeners: list[Callable[[FakeWorker, dict[str, Any]], None]] = []
        # Called for every direct command: its delay in seconds; None: it is not delayed.
        self.command_delay: Callable[[], float | None] = lambda: None
        # Whether each delayed command was executed, in the order of their arrival.
        self.late_command_results: list[bool] = []
        # Called with the body of every direct command that was executed and is being answered.
        self.command_listeners: list[Callable[[dict[str, Any]], None]] = []

    @property
    def machine(self) -> str:
        """Return the id of the worker's machine."""
        return self.place.machine

    @property
    def zone(self) -> str:
        """Return the zone that the worker's machine is in."""
        return self.place.zone

    @property
    def epoch(self) -> int:
        """Return how many leases the worker has had, including the current one."""
        return self.lease.epoch

    @property
    def sequence(self) -> int:
        """Return how many heartbeats the worker has made in this incarnation."""
        return self.lease.sequence

    @property
    def token(self) -> int:
        """Return the highest fencing token that the worker has seen."""
        return self.lease.token

    @property
    def tasks(self) -> dict[tuple[str, int], WorkerTask]:
        """Return the worker's tasks, by name and attempt."""
        return self._work.tasks

    @property
    def orders(self) -> list[dict[str, Any]]:
        """Return all orders that the worker received."""
        return self._work.orders

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Carry out orders."""
        self._work.execute(orders)

    def end(self, task: WorkerTask, cause: str) -> None:
        """End a task that has not ended yet."""
        self._work.end(task, cause)

    @property
    def hung(self) -> bool:
        """Whether the machine hangs."""
        return not self._running.is_set()

    async def hang(self, length: float) -> None:
        """Hang the machine for some seconds, unless it hangs already."""
        if self.hung:
            return
        self._running = trio.Event()
        await trio.sleep(length)
        self._running.set()

    def _request_heartbeat(self) -> None:
        """Let the next heartbeat be sent soon."""
        self._changed.set()

    async def _wait_while_hung(self) -> None:
        """Wait until the machine no longer hangs; then check the lease before anything else."""
        if self.hung:
            await self._running.wait()
            self._check_lease()

    def heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.lease.sequence += 1
        tasks = []
        for task in self.tasks.values():
            entry: dict[str, Any] = {"leg": task.name, "try": task.attempt, "status": task.state}
            if task.cause:
                entry["cause"] = task.cause
            if task.saved:
                entry["saved"] = True
            tasks.append(entry)
        return {
            "hitch": self.machine,
            "address": self.address,
            "rig": self.place.machine_type,
            "yard": self.place.zone,
            "loaners": self.place.spot,
            "stint": self.lease.epoch,
            "tick": self.lease.sequence,
            "baton": self.lease.token,
            "recallS": self.reclaim_in_s,
            "legs": tasks,
        }

    def handle_answer(self, answer: dict[str, Any], sent: float, epoch: int) -> bool:
        """Handle the answer to a heartbeat; return False if it is late or its token or epoch stale.

        `sent`, `epoch`: when the heartbeat was sent, in seconds, and in which epoch.
        """
        if (
            epoch != self.lease.epoch
            or answer.get("baton", -1) < self.lease.token
            or trio.current_time() - sent > ANSWER_TIMEOUT_S
        ):
            return False
        if answer["baton"] > self.lease.token:
            self.lease.token = answer["baton"]
            self._changed.set()
        self.lease.renewed_at = sent
        self.execute(answer.get("orders", []))
        return True

    async def handle(self, request: Request) -> Response:
        """Answer a query for the worker's state, or a direct command."""
        await self._wait_while_hung()
        if request.path == "/inspect":
            return Response(200, self.heartbeat())
        body = decode(request.body)
        delay = self.command_delay()
        if delay is not None:
            assert self._work.nursery is not None
            self._work.nursery.start_soon(self._handle_late_command, body, delay)
            # The sender gets no answer.
            await trio.sleep(NEVER_S)
        if not self._handle_command(body):
            return Response(409, self.heartbeat())
        for listener in self.command_listeners:
            listener(body)
        return Response(200, self.heartbeat())

    async def receive_copy(self, body: dict[str, Any]) -> bool:
        """Handle a copy of a direct command, which arrives on a connection of its own.

        Nobody waits for the answer. Return whether the copy was executed.
        """
        await self._wait_while_hung()
        return self._handle_command(body)

    async def _handle_late_command(self, body: dict[str, Any], delay: float) -> None:
        """Handle a delayed command; it is executed if its token and epoch are still valid."""
        await trio.sleep(delay)
        await self._wait_while_hung()
        self.late_command_results.append(self._handle_command(body))

    def _handle_command(self, body: dict[str, Any]) -> bool:
        """Execute a direct command; return False if its token or epoch is stale."""
        if body["baton"] < self.lease.token or body["stint"] != self.lease.epoch:
            return False
        self.lease.token = max(self.lease.token, body["baton"])
        self.execute(body["orders"])
        return True

    async def run(self) -> None:
        """Serve commands and send heartbeats until the machine ends."""
        self.lease.renewed_at = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                self._work.nursery = nursery
                server = Server(self.handle, max_connections=32)
                await nursery.start(self._net.listen, self.address, server.serve)
                nursery.start_soon(self._watch_lease)
                clients = {
                    name: Client(self._net, address) for name, address in self._controllers.items()
                }
                while True:
                    await self._send_heartbeat(clients)
        finally:
            self._work.record_machine_end()

    async def _watch_lease(self) -> None:
        while True:
            # A hung machine's lease is checked as well: if it expires, the tasks are gone when the
            # machine continues.
            await trio.sleep(LEASE_CHECK_INTERVAL_S)
            self._check_lease()

    def _check_lease(self) -> None:
        """Begin a new epoch without tasks if the lease has expired."""
        if trio.current_time() - self.lease.renewed_at > self.settings.lease_s:
            self._work.wipe()
            self.lease.epoch += 1
            self.lease.renewed_at = trio.current_time()
            self._changed.set()

    async def _send_heartbeat(self, clients: dict[str, Client]) -> None:
        """Send a heartbeat, handle its answer, and wait until the next one is due."""
        await self._wait_while_hung()
        self._changed = trio.Event()
        sent, epoch, body = trio.current_time(), self.lease.epoch, self.heartbeat()
        for listener in self.heartbeat_listeners:
            listener(self, body)
        try:
            status, answer = await clients[self._controller].request(
                "POST", "/hello", body, within=timedelta(seconds=ANSWER_TIMEOUT_S)
            )
        except NoAnswerError:
            status, answer = 0, None
        await self._wait_while_hung()
        if status == HTTPStatus.OK and isinstance(answer, dict):
            self.handle_answer(answer, sent, epoch)
            await trio.sleep(MIN_HEARTBEAT_PAUSE_S)
            with trio.move_on_after(self.settings.heartbeat_s - MIN_HEARTBEAT_PAUSE_S):
                await self._changed.wait()
            return
        named = (
            answer.get("dispatcher")
            if status == HTTPStatus.MISDIRECTED_REQUEST and isinstance(answer, dict)
            else None
        )
        if named in clients and named != self._controller:
            self._controller = named
            await trio.sleep(REDIRECT_PAUSE_S)
        else:
            names = sorted(clients)
            self._controller = names[(names.index(self._controller) + 1) % len(names)]
            await trio.sleep(RETRY_PAUSE_S)
