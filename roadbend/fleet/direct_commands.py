"""Orders that go straight to machines, beside those in the answers to their reports.

A kill that arrives late does no harm. A start that arrives late would: see `_start_directly`."""

from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet import messages
from roadbend.fleet.machines import DirectStart, Machine
from roadbend.fleet.messages import StartTask, StopTask, WorkerOrder
from roadbend.fleet.terminations import TaskKey
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.store import records
from roadbend.store.records import Attempt

log = Log("fleet")
# Commands in progress at once.
MAX_COMMANDS = 48
# How long a direct order to start may go without an answer.
DIRECT_WITHIN = timedelta(seconds=1.5)
# The token that fences an unanswered order is shown so many times, each for so long.
FENCE_TRIES = 3
FENCE_TIMEOUT = timedelta(milliseconds=500)
# How many incarnations of a machine a token can number.
MAX_INCARNATIONS = (1 << records.INCARNATION_BITS) - 2
# How often a kill that brought no end is sent again, and how many are remembered before those
# that are older than `SENT_FOR` are forgotten.
KILL_EVERY = timedelta(seconds=3)
MAX_SENT = 20_000
SENT_FOR = timedelta(seconds=20)


class DirectCommands:
    """Sends direct commands for all partitions that this controller owns."""

    def __init__(self, context: ControllerContext, net: Net, leaders: dict[str, PartitionLeader]):
        self._context, self._net, self._leaders = context, net, leaders
        self._direct = trio.CapacityLimiter(MAX_COMMANDS)
        self._nursery: trio.Nursery | None = None
        # Machines to which kills are on their way: one that hangs holds up its own kills only, and
        # however many hang, what waits here is bounded by the machines.
        self._stopping: set[str] = set()

    async def _send_kills(
        self, leader: PartitionLeader, machine: str, orders: list[WorkerOrder]
    ) -> None:
        self._stopping.add(machine)
        try:
            await self.command(leader, machine, orders)
        finally:
            self._stopping.discard(machine)

    async def command(
        self, leader: PartitionLeader, machine: str, orders: list[WorkerOrder]
    ) -> None:
        target = leader.machines.get(machine)
        if target is None:
            return
        body = messages.direct_command(
            leader.heartbeats.token(target), target.contact.position.epoch, orders
        )
        client = Client(self._net, target.address, most=1, keep=0)
        try:
            async with self._direct:
                await client.request("POST", "/commands", body, within=timedelta(seconds=2))
        except NoAnswerError as error:
            log.debug("direct-command-lost", machine=machine, error=error)

    def order_now(
        self, leader: PartitionLeader, machine: str, rows: list[tuple[TaskKey, Attempt]]
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._order_now, leader, machine, rows)

    async def _order_now(
        self, leader: PartitionLeader, name: str, rows: list[tuple[TaskKey, Attempt]]
    ) -> None:
        try:
            await self._start_directly(leader, name, rows)
        except Exception:
            log.crash("direct-start-failed", machine=name)

    async def _start_directly(
        self, leader: PartitionLeader, name: str, rows: list[tuple[TaskKey, Attempt]]
    ) -> None:
        """Starts that must not wait for the machine's next report. Once each; where no answer says
        what became of it, the machine's token is raised, so that the order is refused should it
        arrive later (`machines.Direct`)."""
        machine = leader.machines.get(name)
        if machine is None or machine.token.incarnation >= MAX_INCARNATIONS:
            return
        async with self._direct:
            now, recorded = clock.now(), leader.by_machine().get(name, {})
            election = self._context.election
            rows = [
                (key, attempt)
                for key, attempt in rows
                if key in recorded
                and recorded[key][1] == attempt
                and key not in leader.stops
                and key not in leader.ended
                and leader.live(key[0])
            ]
            if (
                not rows
                or leader.machines.get(name) is not machine
                or not machine.token.confirmed
                or not leader.usable(machine, now, self._context.settings.heartbeat_interval * 2.2)
                or election.leadership(leader.partition) != leader.leadership
                or not election.may_start(now)
            ):
                return
            epoch = machine.contact.position.epoch
            for key, attempt in rows:
                machine.token.direct_starts[key] = DirectStart(attempt.number, epoch)
            machine.last_evaluation.invalidate()
            machine.contact.lease_started_at = now
            orders = [StartTask(*key, attempt.number) for key, attempt in rows]
            body = messages.direct_command(leader.heartbeats.token(machine), epoch, orders)
            client, heartbeat = Client(self._net, machine.address, most=1, keep=0), None
            try:
                status, answer = await client.request(
                    "POST", "/commands", body, within=DIRECT_WITHIN
                )
                if status == 200:
                    heartbeat = messages.parse_heartbeat(answer)
                elif status in (400, 409):
                    # Nothing was executed, nor will be.
                    for key, attempt in rows:
                        if (
                            key in machine.token.direct_starts
                            and machine.token.direct_starts[key].attempt == attempt.number
                        ):
                            del machine.token.direct_starts[key]
                    return
            except (NoAnswerError, MalformedError) as error:
                log.debug("direct-command-lost", machine=name, error=error)
        if heartbeat is not None and heartbeat.machine == name:
            for key, attempt in rows:
                row = machine.token.direct_starts.get(key)
                if row is not None and row.attempt == attempt.number:
                    row.acknowledged_position = heartbeat.position
            return
        log.info("direct-start-unanswered", partition=leader.partition, machine=name)
        if leader.machines.get(name) is machine:
            machine.fence()
            await self._raise_token(leader, machine)

    async def _raise_token(self, leader: PartitionLeader, machine: Machine) -> None:
        """Shows the machine its raised token at once, by a command without orders: until its next
        report's answer brings the token, a held order to start would still be carried out, perhaps
        after a user was told that the job is cancelled."""
        for _ in range(FENCE_TRIES):
            if leader.machines.get(machine.id) is not machine or machine.token.confirmed:
                return
            body = messages.direct_command(
                leader.heartbeats.token(machine), machine.contact.position.epoch
            )
            client = Client(self._net, machine.address, most=1, keep=0)
            try:
                async with self._direct:
                    await client.request("POST", "/commands", body, within=FENCE_TIMEOUT)
                return
            except NoAnswerError as error:
                log.debug("token-raise-unanswered", machine=machine.id, error=error)

    async def send_stops(self, nursery: trio.Nursery) -> None:
        """Kills go out directly as well as with reports."""
        self._nursery = nursery
        sent: dict[tuple, datetime] = {}
        while True:
            await clock.pause(timedelta(milliseconds=200))
            now = clock.now()
            if len(sent) > MAX_SENT:
                sent = {k: at for k, at in sent.items() if now - at < SENT_FOR}
            for leader in list(self._leaders.values()):
                orders: dict[str, list[WorkerOrder]] = {}
                with leader.lock:
                    leader.stop_dead(now)
                    for key, stop in leader.stops.items():
                        mark = (leader.leadership.term, key, stop.attempt, stop.grace)
                        if now - sent.get(mark, clock.ORIGIN) < KILL_EVERY:
                            continue
                        spaced_out = leader.recovery.spaces_out(key, stop, now)
                        if spaced_out or stop.machine in self._stopping:
                            continue
                        if stop.machine in leader.machines:
                            sent[mark] = now
                            orders.setdefault(stop.machine, []).append(
                                StopTask(*key, stop.attempt, stop.grace)
                            )
                for machine, rows in orders.items():
                    nursery.start_soon(self._send_kills, leader, machine, rows)
