"""Direct commands: orders that go straight to machines, beside those in heartbeat answers.

A stop that arrives late does no harm. A start that arrives late would: see `_start_directly`.
"""

from collections.abc import Container, Mapping
from datetime import datetime, timedelta
from typing import NamedTuple

import trio

from roadbend import clock
from roadbend.fleet import direct_starts, messages
from roadbend.fleet.direct_starts import Starts
from roadbend.fleet.leader import Controller, Leader
from roadbend.fleet.machines import Machine, StopOrder, StopReceipt
from roadbend.fleet.messages import (
    HeartbeatPosition,
    StartTask,
    StopTask,
    WorkerHeartbeat,
    WorkerOrder,
)
from roadbend.fleet.terminations import TaskKey
from roadbend.fleet.token_raise import MAX_INCARNATIONS
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError
from roadbend.log import Log

log = Log("fleet")
# Commands in progress at once.
MAX_COMMANDS = 48
COMMAND_TIMEOUT = timedelta(seconds=2)
# How long a direct start may go without an answer.
START_TIMEOUT = timedelta(seconds=1.5)
# The token that fences an unanswered start is shown so many times, each for so long.
FENCE_TRIES = 3
FENCE_TIMEOUT = timedelta(milliseconds=500)
# A machine is given direct starts if it received an answer of ours within so many intervals.
SILENT_INTERVALS = 2.2
# How often stops are looked for, and how often one that brought no end is sent again.
STOP_INTERVAL = timedelta(milliseconds=200)
STOP_AGAIN_AFTER = timedelta(seconds=3)
# Statuses of a worker's answer: executed, malformed, and refused for its token or epoch.
EXECUTED = 200
REFUSED = (400, 409)


class _DueStop(NamedTuple):
    """A stop that is to be sent now."""

    key: TaskKey
    stop: StopOrder


class _StartAnswer(NamedTuple):
    """What became of a direct start; neither: nobody knows."""

    refused: bool
    # The machine's answer, where it carried the start out.
    heartbeat: WorkerHeartbeat | None


class DirectCommands:
    """Sends direct commands for all partitions that this controller leads."""

    def __init__(self, controller: Controller, net: Net, leaders: Mapping[str, Leader]) -> None:
        self._controller, self._net, self._leaders = controller, net, leaders
        self._connections = trio.CapacityLimiter(MAX_COMMANDS)
        self._nursery: trio.Nursery | None = None
        # Machines to which stops are on their way: one that hangs holds up its own stops only, and
        # however many hang, what waits here is bounded by the machines.
        self._stopping: set[str] = set()

    async def command(
        self, leader: Leader, machine: str, orders: list[WorkerOrder]
    ) -> HeartbeatPosition | None:
        """Send orders to a machine once; return its position after it has carried them out.

        None: nobody knows whether it has, or it refused them.
        """
        target = leader.machines.get(machine)
        if target is None:
            return None
        token, epoch = leader.heartbeats.token(target), target.contact.position.epoch
        body = messages.direct_command(token, epoch, orders)
        client = Client(self._net, target.address, max_connections=1, max_idle=0)
        try:
            async with self._connections:
                status, answer = await client.request(
                    "POST", "/commands", body, within=COMMAND_TIMEOUT
                )
            if status != EXECUTED:
                return None
            heartbeat = messages.parse_heartbeat(answer)
        except (NoAnswerError, MalformedError) as error:
            log.debug("direct-command-lost", machine=machine, error=error)
            return None
        return heartbeat.position if heartbeat.machine == machine else None

    # Starts.

    def order_now(self, leader: Leader, machine: str, starts: Starts) -> None:
        """Begin to send starts that must not wait for the machine's next heartbeat."""
        if self._nursery is not None:
            self._nursery.start_soon(self._order_now, leader, machine, starts)

    async def _order_now(self, leader: Leader, name: str, starts: Starts) -> None:
        try:
            await self._start_directly(leader, name, starts)
        except Exception:
            # The next heartbeat's answer carries the starts; the controller must go on.
            log.crash("direct-start-failed", machine=name)

    async def _start_directly(self, leader: Leader, name: str, starts: Starts) -> None:
        """Send starts that must not wait for the machine's next heartbeat.

        Once each; where no answer says what became of it, the machine's token is raised, so that
        the start is refused should it arrive later (`machines.DirectStart`).
        """
        machine = leader.machines.get(name)
        if machine is None or machine.token.incarnation >= MAX_INCARNATIONS:
            return
        async with self._connections:
            now = clock.now()
            starts = direct_starts.still_wanted(leader, name, starts, now)
            if not starts or not self._may_start_on(leader, machine, now):
                return
            epoch = direct_starts.note_starts(leader, machine, starts, now)
            orders = [StartTask(*key, attempt.number) for key, attempt in starts]
            body = messages.direct_command(leader.heartbeats.token(machine), epoch, orders)
            for key, attempt in starts:
                log.debug(
                    "direct-start-sent",
                    partition=leader.partition,
                    machine=name,
                    task=f"{key.job}/{key.task_index}",
                    attempt=attempt.number,
                    token=leader.heartbeats.token(machine),
                )
            answer = await self._send_starts(machine, body)
            if answer.refused:
                direct_starts.forget_starts(machine, starts)
                return
        if answer.heartbeat is not None and answer.heartbeat.machine == name:
            direct_starts.acknowledge_starts(machine, starts, answer.heartbeat)
            return
        log.info("direct-start-unanswered", partition=leader.partition, machine=name)
        if leader.machines.get(name) is machine:
            machine.raise_token()
            await self._raise_token(leader, machine)

    def _may_start_on(self, leader: Leader, machine: Machine, now: datetime) -> bool:
        """Whether a machine may be given direct starts after the wait for a connection."""
        election, settings = self._controller.election, self._controller.settings
        return (
            leader.machines.get(machine.id) is machine
            and machine.token.confirmed
            and leader.usable_machines.is_usable(
                machine, now, settings.heartbeat_interval * SILENT_INTERVALS
            )
            and election.leadership(leader.partition) == leader.leadership
            and election.may_start(now)
        )

    async def _send_starts(self, machine: Machine, body: messages.Body) -> _StartAnswer:
        client = Client(self._net, machine.address, max_connections=1, max_idle=0)
        heartbeat = None
        try:
            status, answer = await client.request("POST", "/commands", body, within=START_TIMEOUT)
            if status == EXECUTED:
                heartbeat = messages.parse_heartbeat(answer)
            elif status in REFUSED:
                # Nothing was executed, nor will be.
                return _StartAnswer(refused=True, heartbeat=None)
        except (NoAnswerError, MalformedError) as error:
            log.debug("direct-command-lost", machine=machine.id, error=error)
        return _StartAnswer(refused=False, heartbeat=heartbeat)

    async def _raise_token(self, leader: Leader, machine: Machine) -> None:
        """Show the machine its raised token at once, by a command without orders.

        Until its next heartbeat's answer brings the token, a start that was held back would still
        be carried out, perhaps after a user was told that the job is cancelled.
        """
        for _ in range(FENCE_TRIES):
            if leader.machines.get(machine.id) is not machine or machine.token.confirmed:
                return
            token, epoch = leader.heartbeats.token(machine), machine.contact.position.epoch
            body = messages.direct_command(token, epoch)
            client = Client(self._net, machine.address, max_connections=1, max_idle=0)
            try:
                async with self._connections:
                    await client.request("POST", "/commands", body, within=FENCE_TIMEOUT)
            except NoAnswerError as error:
                log.debug("token-raise-unanswered", machine=machine.id, error=error)
            else:
                return

    # Stops.

    async def send_stops(self, nursery: trio.Nursery) -> None:
        """Send stops directly as well as with heartbeat answers."""
        self._nursery = nursery
        while True:
            await clock.pause(STOP_INTERVAL)
            now = clock.now()
            for leader in list(self._leaders.values()):
                for machine, stops in self._due_stops(leader, self._stopping, now).items():
                    nursery.start_soon(self._send_stops_to, leader, machine, stops)

    def _due_stops(
        self, leader: Leader, stopping: Container[str], now: datetime
    ) -> dict[str, list[_DueStop]]:
        """Return the stops that are to go out now, by machine, and note them as sent.

        `stopping`: the machines to which stops are on their way.
        """
        due: dict[str, list[_DueStop]] = {}
        with leader.lock:
            leader.stops.order_all_cancelled(now)
            for key, stop in leader.stops.items():
                sent_at = stop.sent_directly_at
                if key in leader.terminations or (
                    sent_at is not None and now - sent_at < STOP_AGAIN_AFTER
                ):
                    continue
                spaced_out = leader.recovery.should_delay_stop(key, stop, now)
                if spaced_out or stop.machine in stopping:
                    continue
                if stop.machine in leader.machines:
                    stop.sent_directly_at = now
                    due.setdefault(stop.machine, []).append(_DueStop(key, stop))
        return due

    async def _send_stops_to(self, leader: Leader, name: str, stops: list[_DueStop]) -> None:
        """Send stops to a machine, and note its answer: it has carried them out."""
        machine = leader.machines.get(name)
        if machine is None:
            return
        incarnation = machine.token.incarnation
        orders: list[WorkerOrder] = [
            StopTask(*key, stop.attempt, stop.grace) for key, stop in stops
        ]
        self._stopping.add(name)
        try:
            position = await self.command(leader, name, orders)
        finally:
            self._stopping.discard(name)
        if position is not None:
            for _, stop in stops:
                stop.receipt = StopReceipt(incarnation, position)
