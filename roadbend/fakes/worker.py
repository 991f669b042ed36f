"""A worker's fake: reports, leases, tokens, tasks. It also keeps a board of what runs where,
and says so when a task is on two machines at once."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import trio

from roadbend.checkers.observed_jobs import Place
from roadbend.checkers.protocol_rules import Rules
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.server import Request, Response, Server, decode


@dataclass
class Gang:
    """The tasks of one attempt at a gang, as they find each other across machines."""

    size: int
    members: dict[str, "_Task"] = field(default_factory=dict)
    began: float | None = None
    # How far the job had come when this attempt began.
    base: float = 0.0
    # When one was first told to stop, and how many have saved.
    stopping: float | None = None
    saved: set[str] = field(default_factory=set)
    over: bool = False


@dataclass(frozen=True)
class ReceivedOrder:
    """An order that reached a worker, and whether it changed anything there."""

    at: float
    machine: str
    verb: str
    task: str
    attempt: int
    effective: bool


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
    # Gangs by job and attempt, and how much of a job is saved: checkpoints lie outside the
    # machines.
    gangs: dict[tuple[str, int], Gang] = field(default_factory=dict)
    progress: dict[str, float] = field(default_factory=dict)
    # Every order that was carried out or found nothing to do, in the order of arrival.
    received: list[ReceivedOrder] = field(default_factory=list)

    def body(self, job: str) -> dict:
        case = self.rules.cases.get(job) if self.rules is not None else None
        return case.body if case is not None else {}

    def gang(self, task: "_Task") -> Gang | None:
        job = task.name.rpartition("/")[0]
        body = self.body(job)
        if body.get("shape") != "group":
            return None
        return self.gangs.setdefault((job, task.attempt), Gang(body["legs"]))

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
    name: str
    attempt: int
    state: str = "fetching"
    cause: str | None = None
    began: float | None = None
    scope: trio.CancelScope | None = None
    saved: bool = False
    grace: float | None = None
    changed: trio.Event = field(default_factory=trio.Event)
    # Whether the machine that the task is on stands still.
    hangs: Callable[[], bool] = lambda: False

    @property
    def lost(self) -> bool:
        """Gone without having saved, or on a machine that hangs, as the rest of a gang sees it."""
        return self.state == "ended" and not self.saved or self.hangs()


class FakeWorker:
    """The worker of one machine, by the protocol."""

    def __init__(
        self,
        net,
        board: Board,
        controllers: dict[str, str],
        *,
        machine: str,
        address: str,
        machine_type: str,
        zone: str,
        spot: bool = False,
        report_s: float = 2.5,
        lease_s: float = 18.0,
        fetch_s: float = 1.0,
        broken: bool = False,
        gang_wait_s: float = 30.0,
        gang_peer_s: float = 5.0,
        caches_images: bool = False,
    ):
        self._gang_wait_s, self._gang_peer_s = gang_wait_s, gang_peer_s
        self._net, self._board, self._controllers = net, board, controllers
        self.machine, self.address, self.machine_type, self.zone, self.spot = (
            machine,
            address,
            machine_type,
            zone,
            spot,
        )
        self._report_s, self._lease_s, self._fetch_s, self._broken = (
            report_s,
            lease_s,
            fetch_s,
            broken,
        )
        self.epoch, self.sequence, self.token = 1, 0, 0
        self.tasks: dict[tuple[str, int], _Task] = {}
        self.recall: float | None = None
        self._answered = 0.0
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self._at = sorted(controllers)[0] if controllers else ""
        # Images fetched already: where they are cached, the next task that needs one begins at
        # once.
        self._caches_images, self._images = caches_images, set[str]()
        self.orders: list[dict] = []
        self.place = Place(machine, machine_type, zone, spot)
        # Set while the machine runs; while it hangs it does nothing at all, and goes on where it
        # stood.
        self._awake = trio.Event()
        self._awake.set()
        # Called with every report that was sent, by those who copy some.
        self.sent: list = []
        # Asked about every direct command: by how many seconds it is held up, None: not at all.
        self.command_delay: Callable[[], float | None] = lambda: None
        # Results of held commands as they arrived: executed or refused.
        self.late_commands: list[bool] = []

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
        """Goes on when the machine does; the first thing that it does then is to look at its
        lease."""
        if self.hung:
            await self._awake.wait()
            self._check_lease()

    def heartbeat(self) -> dict:
        self.sequence += 1
        rows = []
        for task in self.tasks.values():
            row = {"leg": task.name, "try": task.attempt, "status": task.state}
            if task.cause:
                row["cause"] = task.cause
            if task.saved:
                row["saved"] = True
            rows.append(row)
        return {
            "hitch": self.machine,
            "address": self.address,
            "rig": self.machine_type,
            "yard": self.zone,
            "loaners": self.spot,
            "stint": self.epoch,
            "tick": self.sequence,
            "baton": self.token,
            "recallS": self.recall,
            "legs": rows,
        }

    def _end(self, task: _Task, cause: str) -> None:
        if task.state == "ended":
            return
        if task.scope is not None:
            task.scope.cancel()
        if task.began is not None:
            self._board.leave(task.name, self.machine)
        if cause == "done":
            self._board.complete(task.name)
        task.state, task.cause = "ended", cause
        self._changed.set()

    def _wipe(self) -> None:
        for task in self.tasks.values():
            self._end(task, "stopped")
        self.tasks.clear()

    async def _fetch(self, task: _Task) -> None:
        """An image is fetched once; a task that finds it there begins at once."""
        image = self._board.body(task.name.rpartition("/")[0]).get("bundle", "")
        if image not in self._images:
            await trio.sleep(self._fetch_s)
            if self._caches_images:
                self._images.add(image)

    async def _live(self, task: _Task) -> None:
        with trio.CancelScope() as task.scope:
            await self._fetch(task)
            await self._up()
            gang = self._board.gang(task)
            if gang is not None:
                await self._live_in(gang, task)
                return
            task.state, task.began = "running", trio.current_time()
            self._board.enter(task.name, self.place)
            self._changed.set()
            if self._broken:
                await trio.sleep(0.5)
                self._end(task, "error")
                return
            lengths = self._board.lengths
            length = lengths.get(task.name, lengths.get(task.name.rpartition("/")[0]))
            await trio.sleep(float("inf") if length is None else length)
            await self._up()
            self._end(task, "done")

    async def _live_in(self, gang: Gang, task: _Task) -> None:
        """A gang's task, by the page: it waits for the others, runs with them, notices when one is
        gone, saves with them, and completes with them."""
        board, job = self._board, task.name.rpartition("/")[0]
        body, since = board.body(job), trio.current_time()
        task.state, task.began = "gathering", since
        board.enter(task.name, self.place)
        gang.members[task.name] = task
        self._changed.set()
        while gang.began is None:
            if len([m for m in gang.members.values() if m.state == "gathering"]) == gang.size:
                gang.began, gang.base = trio.current_time(), board.progress.get(job, 0.0)
                break
            if trio.current_time() - since > self._gang_wait_s:
                self._end(task, "alone")
                return
            await trio.sleep(0.05)
            await self._up()
        task.state = "running"
        self._changed.set()
        length = board.lengths.get(job)
        missing: float | None = None
        while True:
            await trio.sleep(0.05)
            await self._up()
            now = trio.current_time()
            step = body["milestoneS"]
            if gang.stopping is None and missing is None and not gang.over:
                made = gang.base + now - gang.began
                if step:
                    board.progress[job] = max(board.progress.get(job, 0.0), made // step * step)
                if length is not None and made >= length:
                    gang.over = True
            if gang.over:
                self._end(task, "done")
                return
            if not any(member.lost for member in gang.members.values()):
                # A machine that hung goes on before the others noticed.
                missing = None
            else:
                missing = now if missing is None else missing
                if now - missing > self._gang_peer_s * 0.6:
                    self._end(task, "peers")
                    return
            if task.grace is not None:
                self._save_in(gang, task, body, now)
                if task.state == "ended":
                    return
            elif gang.stopping is not None and now - gang.stopping > self._gang_peer_s:
                self._end(task, "peers")
                return

    def _save_in(self, gang: Gang, task: _Task, body: dict, now: float) -> None:
        """Told to stop with grace: progress stands, the task saves, and waits a little for the
        others."""
        if task.state == "running":
            task.state = "flushing"
            self._changed.set()
        if now - gang.stopping >= body["stowS"]:
            gang.saved.add(task.name)
        if len(gang.saved) == gang.size:
            job = task.name.rpartition("/")[0]
            made = gang.base + gang.stopping - (gang.began or now)
            self._board.progress[job] = max(self._board.progress.get(job, 0.0), made)
            task.saved = True
            self._end(task, "stopped")
        elif now - gang.stopping > self._gang_peer_s + body["stowS"]:
            self._end(task, "peers")

    def _kill(self, task: _Task, grace: float) -> None:
        gang, body = self._board.gang(task), self._board.body(task.name.rpartition("/")[0])
        saves = (
            gang is not None
            and task.state == "running"
            and body["milestoneS"] > 0
            and grace >= body["stowS"]
        )
        if saves:
            gang.stopping = trio.current_time() if gang.stopping is None else gang.stopping
            task.grace = grace
        elif not (gang is not None and task.state == "flushing" and grace > 0):
            self._end(task, "stopped")

    def execute(self, orders: list[dict]) -> None:
        for order in orders:
            self.orders.append(order)
            key = (order["leg"], order["try"])
            task = self.tasks.get(key)
            self._note_received(order, task)
            if order["verb"] == "run" and task is None:
                self._board.order(order["leg"], self.machine)
                task = self.tasks[key] = _Task(*key, hangs=lambda: self.hung)
                self._nursery.start_soon(self._live, task)
                self._changed.set()
            elif order["verb"] == "kill" and task is not None and task.state != "ended":
                self._kill(task, order["windDownS"])
            elif order["verb"] == "forget" and task is not None and task.state == "ended":
                del self.tasks[key]
                self._changed.set()

    def _note_received(self, order: dict, task: _Task | None) -> None:
        effective = {
            "run": task is None,
            "kill": task is not None and task.state != "ended",
            "forget": task is not None and task.state == "ended",
        }[order["verb"]]
        received = ReceivedOrder(
            trio.current_time(),
            self.machine,
            order["verb"],
            order["leg"],
            order["try"],
            effective,
        )
        self._board.received.append(received)

    def take(self, answer: dict, sent: float, epoch: int) -> bool:
        """A 200: its token and session decide whether it counts."""
        if (
            epoch != self.epoch
            or answer.get("baton", -1) < self.token
            or trio.current_time() - sent > 4
        ):
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
            return Response(200, self.heartbeat())
        body = decode(request.body)
        delay = self.command_delay()
        if delay is not None:
            self._nursery.start_soon(self._command_late, body, delay)
            # The sender never hears of it.
            await trio.sleep(3600)
        if not self._command(body):
            return Response(409, self.heartbeat())
        return Response(200, self.heartbeat())

    async def _command_late(self, body: dict, delay: float) -> None:
        """A direct command that was held up: it counts if token and session still match."""
        await trio.sleep(delay)
        await self._up()
        self.late_commands.append(self._command(body))

    def _command(self, body: dict) -> bool:
        """Carries out a direct command; False where token or session refuse it."""
        if body["baton"] < self.token or body["stint"] != self.epoch:
            return False
        self.token = max(self.token, body["baton"])
        self.execute(body["orders"])
        return True

    async def run(self) -> None:
        self._answered = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                server = Server(self.handle, most=32)
                await nursery.start(self._net.listen, self.address, server.serve)
                nursery.start_soon(self._lease)
                clients = {name: Client(self._net, at) for name, at in self._controllers.items()}
                while True:
                    await self._round(clients)
        finally:
            for task in self.tasks.values():
                if task.began is not None:
                    self._board.leave(task.name, self.machine)

    async def _lease(self) -> None:
        while True:
            # Also while it hangs: it may go on within its lease only, and finds the rest gone when
            # it does.
            await trio.sleep(0.25)
            self._check_lease()

    def _check_lease(self) -> None:
        if trio.current_time() - self._answered > self._lease_s:
            self._wipe()
            self.epoch += 1
            self._answered = trio.current_time()
            self._changed.set()

    async def _round(self, clients: dict[str, Client]) -> None:
        await self._up()
        self._changed = trio.Event()
        sent, epoch, body = trio.current_time(), self.epoch, self.heartbeat()
        for see in self.sent:
            see(self, body)
        try:
            status, answer = await clients[self._at].request(
                "POST", "/hello", body, within=timedelta(seconds=4)
            )
        except NoAnswerError:
            status, answer = 0, None
        await self._up()
        if status == 200 and isinstance(answer, dict):
            self.take(answer, sent, epoch)
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
