"""A worker's fake, by the protocol: its heartbeats, its lease, its token and its HTTP side."""

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

# An answer that comes later is dropped; in seconds.
ANSWER_WITHIN_S = 4
# Heartbeats do not follow each other faster, whatever changes; in seconds.
SHORTEST_PAUSE_S = 0.5
# Pauses before a heartbeat goes to the controller that was named, or to the next one; in seconds.
REDIRECT_PAUSE_S, RETRY_PAUSE_S = 0.2, 1
# How often the lease is looked at, in seconds.
LEASE_CHECK_S = 0.25
# For so long an answer that is lost is not given, in seconds.
NEVER_S = 3600


@dataclass
class Lease:
    """A worker's lease: the epoch that it is in, and when it was last renewed, in seconds."""

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
        # In how many seconds the cloud takes the machine back.
        self.reclaim_in_s: float | None = None
        self._changed = trio.Event()
        self._controller = min(controllers) if controllers else ""
        # Set while the machine runs; while it hangs it does nothing at all, and goes on where it
        # stood.
        self._awake = trio.Event()
        self._awake.set()
        self._work = WorkerTasks(
            board,
            self.place,
            self.settings,
            wait_while_hung=self._wait_while_hung,
            hung=lambda: self.hung,
            changed=self._note_change,
        )
        # Called with every heartbeat that was sent, by those who copy some.
        self.heartbeat_listeners: list[Callable[[FakeWorker, dict[str, Any]], None]] = []
        # Asked about every direct command: by how many seconds it is held up, None: not at all.
        self.command_delay: Callable[[], float | None] = lambda: None
        # Results of held commands as they arrived: executed or refused.
        self.late_command_results: list[bool] = []

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
        """Return how many leases the worker has had, the present one included."""
        return self.lease.epoch

    @property
    def sequence(self) -> int:
        """Return how many heartbeats the worker has sent, or counted, in this incarnation."""
        return self.lease.sequence

    @property
    def token(self) -> int:
        """Return the highest fencing token that the worker has seen."""
        return self.lease.token

    @property
    def tasks(self) -> dict[tuple[str, int], WorkerTask]:
        """Return the tasks that the worker knows, by name and attempt."""
        return self._work.tasks

    @property
    def orders(self) -> list[dict[str, Any]]:
        """Return all orders that reached the worker."""
        return self._work.orders

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Carry out orders."""
        self._work.execute(orders)

    def end(self, task: WorkerTask, cause: str) -> None:
        """End a task that has not ended yet."""
        self._work.end(task, cause)

    @property
    def hung(self) -> bool:
        """Whether the machine stands still."""
        return not self._awake.is_set()

    async def hang(self, length: float) -> None:
        """Let the machine stand still for some seconds, unless it does already."""
        if self.hung:
            return
        self._awake = trio.Event()
        await trio.sleep(length)
        self._awake.set()

    def _note_change(self) -> None:
        """Let the next heartbeat go out soon."""
        self._changed.set()

    async def _wait_while_hung(self) -> None:
        """Go on when the machine does; the first thing that it does then is look at its lease."""
        if self.hung:
            await self._awake.wait()
            self._check_lease()

    def heartbeat(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.lease.sequence += 1
        rows = []
        for task in self.tasks.values():
            row: dict[str, Any] = {"leg": task.name, "try": task.attempt, "status": task.state}
            if task.cause:
                row["cause"] = task.cause
            if task.saved:
                row["saved"] = True
            rows.append(row)
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
            "legs": rows,
        }

    def handle_answer(self, answer: dict[str, Any], sent: float, epoch: int) -> bool:
        """Take a heartbeat's answer; False if its token or epoch do not count any more.

        `sent`, `epoch`: when the heartbeat was sent, in seconds, and in which epoch.
        """
        if (
            epoch != self.lease.epoch
            or answer.get("baton", -1) < self.lease.token
            or trio.current_time() - sent > ANSWER_WITHIN_S
        ):
            return False
        if answer["baton"] > self.lease.token:
            self.lease.token = answer["baton"]
            self._changed.set()
        self.lease.renewed_at = sent
        self.execute(answer.get("orders", []))
        return True

    async def handle(self, request: Request) -> Response:
        """Answer a question for the worker's state, or a direct command."""
        await self._wait_while_hung()
        if request.path == "/inspect":
            return Response(200, self.heartbeat())
        body = decode(request.body)
        delay = self.command_delay()
        if delay is not None:
            assert self._work.nursery is not None
            self._work.nursery.start_soon(self._command_late, body, delay)
            # The sender never hears of it.
            await trio.sleep(NEVER_S)
        if not self._command(body):
            return Response(409, self.heartbeat())
        return Response(200, self.heartbeat())

    async def _command_late(self, body: dict[str, Any], delay: float) -> None:
        """Take a direct command that was held up; it counts if token and epoch still match."""
        await trio.sleep(delay)
        await self._wait_while_hung()
        self.late_command_results.append(self._command(body))

    def _command(self, body: dict[str, Any]) -> bool:
        """Carry out a direct command; False where token or epoch refuse it."""
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
                clients = {name: Client(self._net, at) for name, at in self._controllers.items()}
                while True:
                    await self._send_heartbeat(clients)
        finally:
            self._work.leave_board()

    async def _watch_lease(self) -> None:
        while True:
            # Also while it hangs: it may go on within its lease only, and finds the rest gone when
            # it does.
            await trio.sleep(LEASE_CHECK_S)
            self._check_lease()

    def _check_lease(self) -> None:
        """Begin a new epoch without tasks once the lease has expired."""
        if trio.current_time() - self.lease.renewed_at > self.settings.lease_s:
            self._work.wipe()
            self.lease.epoch += 1
            self.lease.renewed_at = trio.current_time()
            self._changed.set()

    async def _send_heartbeat(self, clients: dict[str, Client]) -> None:
        """Send a heartbeat, take its answer, and wait until the next one is due."""
        await self._wait_while_hung()
        self._changed = trio.Event()
        sent, epoch, body = trio.current_time(), self.lease.epoch, self.heartbeat()
        for see in self.heartbeat_listeners:
            see(self, body)
        try:
            status, answer = await clients[self._controller].request(
                "POST", "/hello", body, within=timedelta(seconds=ANSWER_WITHIN_S)
            )
        except NoAnswerError:
            status, answer = 0, None
        await self._wait_while_hung()
        if status == HTTPStatus.OK and isinstance(answer, dict):
            self.handle_answer(answer, sent, epoch)
            await trio.sleep(SHORTEST_PAUSE_S)
            with trio.move_on_after(self.settings.heartbeat_s - SHORTEST_PAUSE_S):
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
