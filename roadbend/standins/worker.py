"""A worker's stand-in: reports, leases, tokens, tasks. It also keeps a board of what runs where, and
says so when a task is on two machines at once."""

from dataclasses import dataclass, field
from datetime import timedelta

import trio

from roadbend.http.client import Client, NoAnswer
from roadbend.http.server import Request, Response, Server, decode
from roadbend.standins.rules import Place, Rules


@dataclass
class Board:
    """What all workers together show, and the judge who sees it."""

    rules: Rules | None = None
    # How long a job's tasks run, or one task.
    lengths: dict[str, float | None] = field(default_factory=dict)
    where: dict[str, set[str]] = field(default_factory=dict)
    starts: list[tuple[float, str, str]] = field(default_factory=list)
    # Called with every task that has completed.
    ends: list = field(default_factory=list)

    def enter(self, task: str, place: Place) -> None:
        self.where.setdefault(task, set()).add(place.machine)
        self.starts.append((trio.current_time(), task, place.machine))
        if self.rules is not None:
            self.rules.entered(task, place)

    def leave(self, task: str, machine: str) -> None:
        self.where.get(task, set()).discard(machine)
        if self.rules is not None:
            self.rules.left(task, machine)

    def order(self, task: str, machine: str) -> None:
        if self.rules is not None:
            self.rules.ordered(task, machine)

    def complete(self, task: str) -> None:
        if self.rules is not None:
            self.rules.completed(task)
        for see in self.ends:
            see(task)

    def running(self, job: str) -> list[str]:
        return [t for t, homes in self.where.items() if homes and t.startswith(job + "/")]


@dataclass
class _Task:
    leg: str
    attempt: int
    state: str = "fetching"
    cause: str | None = None
    began: float | None = None
    scope: trio.CancelScope | None = None


class WorkerStandIn:
    def __init__(
        self,
        net,
        board: Board,
        nodes: dict[str, str],
        *,
        machine: str,
        address: str,
        rig: str,
        zone: str,
        spot: bool = False,
        report_s: float = 2.5,
        lease_s: float = 18.0,
        fetch_s: float = 1.0,
        broken: bool = False,
    ):
        self._net, self._board, self._nodes = net, board, nodes
        self.machine, self.address, self.rig, self.zone, self.spot = machine, address, rig, zone, spot
        self._report_s, self._lease_s, self._fetch_s, self._broken = report_s, lease_s, fetch_s, broken
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], _Task] = {}
        self.recall: float | None = None
        self._answered = 0.0
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._at = sorted(nodes)[0] if nodes else ""
        self.orders: list[dict] = []
        self.place = Place(machine, rig, zone, spot)
        # Set while the machine runs; while it hangs it does nothing at all, and goes on where it stood.
        self._awake = trio.Event()
        self._awake.set()
        # Called with every report that was sent, by those who copy some.
        self.sent: list = []

    @property
    def hung(self) -> bool:
        return not self._awake.is_set()

    async def hang(self, length: float) -> None:
        if self.hung:
            return
        self._awake = trio.Event()
        await trio.sleep(length)
        self._awake.set()

    async def _up(self) -> None:
        """Goes on when the machine does; the first thing that it does then is to look at its lease."""
        if self.hung:
            await self._awake.wait()
            self._check_lease()

    def report(self) -> dict:
        self.seq += 1
        rows = []
        for task in self.tasks.values():
            row = {"leg": task.leg, "try": task.attempt, "status": task.state}
            if task.cause:
                row["cause"] = task.cause
            rows.append(row)
        return {
            "hitch": self.machine, "address": self.address, "rig": self.rig, "yard": self.zone,
            "loaners": self.spot, "stint": self.session, "tick": self.seq, "baton": self.token,
            "recallS": self.recall, "legs": rows,
        }  # fmt: skip

    def _end(self, task: _Task, cause: str) -> None:
        if task.state == "ended":
            return
        if task.scope is not None:
            task.scope.cancel()
        if task.began is not None:
            self._board.leave(task.leg, self.machine)
        if cause == "done":
            self._board.complete(task.leg)
        task.state, task.cause = "ended", cause
        self._changed.set()

    def _wipe(self) -> None:
        for task in self.tasks.values():
            self._end(task, "stopped")
        self.tasks.clear()

    async def _live(self, task: _Task) -> None:
        with trio.CancelScope() as task.scope:
            await trio.sleep(self._fetch_s)
            await self._up()
            task.state, task.began = "running", trio.current_time()
            self._board.enter(task.leg, self.place)
            self._changed.set()
            if self._broken:
                await trio.sleep(0.5)
                self._end(task, "error")
                return
            lengths = self._board.lengths
            length = lengths.get(task.leg, lengths.get(task.leg.rpartition("/")[0]))
            await trio.sleep(float("inf") if length is None else length)
            await self._up()
            self._end(task, "done")

    def execute(self, orders: list[dict]) -> None:
        for order in orders:
            self.orders.append(order)
            key = (order["leg"], order["try"])
            task = self.tasks.get(key)
            if order["verb"] == "run" and task is None:
                self._board.order(order["leg"], self.machine)
                task = self.tasks[key] = _Task(*key)
                self._nursery.start_soon(self._live, task)
                self._changed.set()
            elif order["verb"] == "kill" and task is not None:
                self._end(task, "stopped")
            elif order["verb"] == "forget" and task is not None and task.state == "ended":
                del self.tasks[key]
                self._changed.set()

    def take(self, answer: dict, sent: float, session: int) -> bool:
        """A 200: its token and session decide whether it counts."""
        if session != self.session or answer.get("baton", -1) < self.token or trio.current_time() - sent > 4:
            return False
        if answer["baton"] > self.token:
            self.token = answer["baton"]
            self._changed.set()
        self._answered = sent
        self.execute(answer.get("orders", []))
        return True

    async def handle(self, request: Request) -> Response:
        await self._up()
        if request.path == "/inspect":
            return Response(200, self.report())
        body = decode(request.body)
        if body["baton"] < self.token or body["stint"] != self.session:
            return Response(409, self.report())
        self.token = max(self.token, body["baton"])
        self.execute(body["orders"])
        return Response(200, self.report())

    async def run(self) -> None:
        self._answered = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                server = Server(self.handle, most=32)
                await nursery.start(self._net.listen, self.address, server.serve)
                nursery.start_soon(self._lease)
                clients = {name: Client(self._net, at) for name, at in self._nodes.items()}
                while True:
                    await self._round(clients)
        finally:
            for task in self.tasks.values():
                if task.began is not None:
                    self._board.leave(task.leg, self.machine)

    async def _lease(self) -> None:
        while True:
            # Also while it hangs: it may go on within its lease only, and finds the rest gone when it does.
            await trio.sleep(0.25)
            self._check_lease()

    def _check_lease(self) -> None:
        if trio.current_time() - self._answered > self._lease_s:
            self._wipe()
            self.session += 1
            self._answered = trio.current_time()
            self._changed.set()

    async def _round(self, clients: dict[str, Client]) -> None:
        await self._up()
        self._changed = trio.Event()
        sent, session, body = trio.current_time(), self.session, self.report()
        for see in self.sent:
            see(self, body)
        try:
            status, answer = await clients[self._at].request("POST", "/hello", body, within=timedelta(seconds=4))
        except NoAnswer:
            status, answer = 0, None
        await self._up()
        if status == 200 and isinstance(answer, dict):
            self.take(answer, sent, session)
            await trio.sleep(0.5)
            with trio.move_on_after(self._report_s - 0.5):
                await self._changed.wait()
            return
        named = answer.get("dispatcher") if status == 421 and isinstance(answer, dict) else None
        if named in clients and named != self._at:
            self._at = named
            await trio.sleep(0.2)
        else:
            names = sorted(clients)
            self._at = names[(names.index(self._at) + 1) % len(names)]
            await trio.sleep(1)
