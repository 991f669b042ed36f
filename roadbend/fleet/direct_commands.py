"""Direct commands: orders sent to machines at once, in addition to those in heartbeat responses.

A stop that arrives late is harmless. A start that arrives late is not: see `_start_directly`.
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
from roadbend.fleet.token_raise import MAX_DIRECT_INCARNATION
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError
from roadbend.log import Log

log = Log("fleet")
# Commands in progress at once.
MAX_COMMANDS = 48
COMMAND_TIMEOUT = timedelta(seconds=2)
# How long a direct start may go without a response.
START_TIMEOUT = timedelta(seconds=1.5)
# Attempts to send the token that fences an unanswered start, and the time that each may take.
TOKEN_RAISE_ATTEMPTS = 3
TOKEN_RAISE_TIMEOUT = timedelta(milliseconds=500)
# A machine is sent direct starts if a response reached it within this many heartbeat intervals.
SILENT_INTERVALS = 2.2
# How often due stops are collected, and after how long a stop without effect is sent again.
STOP_POLL_INTERVAL = timedelta(milliseconds=200)
STOP_RETRY_INTERVAL = timedelta(seconds=3)
# Statuses of a worker's response: executed; refused as malformed, or for its token or epoch.
EXECUTED = 200
REFUSED = (400, 409)


class _DueStop(NamedTuple):
    """A stop to be sent now."""

    key: TaskKey
    stop: StopOrder


class _StartOutcome(NamedTuple):
    """The outcome of a direct start; unknown if neither refused nor with a heartbeat."""

    refused: bool
    # The machine's response, if it executed the start.
    heartbeat: WorkerHeartbeat | None


class DirectCommands:
    """Sends direct commands for all partitions that this controller leads."""

    def __init__(self, controller: Controller, net: Net, leaders: Mapping[str, Leader]) -> None:
        self._controller, self._net, self._leaders = controller, net, leaders
        self._connections = trio.CapacityLimiter(MAX_COMMANDS)
        self._nursery: trio.Nursery | None = None
        # Machines with stops in transit, at most one command each. A machine that hangs delays only
        # its own stops, and the number of waiting commands is bounded by the number of machines.
        self._stopping: set[str] = set()

    async def command(
        self, leader: Leader, machine: str, orders: list[WorkerOrder]
    ) -> HeartbeatPosition | None:
        """Send orders to a machine once; return its position after it has executed them.

        Return None if it refused them, or if the outcome is unknown.
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
        """Send starts in the background, without waiting for the machine's next heartbeat."""
        if self._nursery is not None:
            self._nursery.start_soon(self._order_now, leader, machine, starts)

    async def _order_now(self, leader: Leader, machine_id: str, starts: Starts) -> None:
        try:
            await self._start_directly(leader, machine_id, starts)
        except Exception:
            # The response to the next heartbeat carries the starts; the controller must go on.
            log.crash("direct-start-failed", machine=machine_id)

    async def _start_directly(self, leader: Leader, machine_id: str, starts: Starts) -> None:
        """Send starts without waiting for the machine's next heartbeat.

        Each start is sent once. If its outcome stays unknown, the machine's token is raised, so
        that the start is refused should it arrive later (`machines.DirectStart`).
        """
        machine = leader.machines.get(machine_id)
        if machine is None or machine.token.incarnation >= MAX_DIRECT_INCARNATION:
            return
        async with self._connections:
            now = clock.now()
            starts = direct_starts.still_wanted(leader, machine_id, starts, now)
            if not starts or not self._may_start_on(leader, machine, now):
                return
            epoch = direct_starts.record_starts(leader, machine, starts, now)
            orders = [StartTask(*key, attempt.number) for key, attempt in starts]
            body = messages.direct_command(leader.heartbeats.token(machine), epoch, orders)
            self._log_starts(leader, machine, starts, now)
            answer = await self._send_starts(machine, body)
            if answer.refused:
                direct_starts.remove_starts(machine, starts)
                return
        if answer.heartbeat is not None and answer.heartbeat.machine == machine_id:
            direct_starts.acknowledge_starts(machine, starts, answer.heartbeat)
            return
        log.info("direct-start-unanswered", partition=leader.partition, machine=machine_id)
        if leader.machines.get(machine_id) is machine:
            machine.raise_token()
            await self._raise_token(leader, machine)

    def _log_starts(self, leader: Leader, machine: Machine, starts: Starts, now: datetime) -> None:
        """Log direct starts, and what permits them: token, epoch and the age of the records."""
        read_at = self._controller.election.records_read_at
        for key, attempt in starts:
            log.info(
                "direct-start-sent",
                partition=leader.partition,
                machine=machine.id,
                task=f"{key.job}/{key.task_index}",
                attempt=attempt.number,
                token=leader.heartbeats.token(machine),
                epoch=machine.contact.position.epoch,
                records_age_s=None if read_at is None else f"{(now - read_at).total_seconds():.2f}",
            )

    def _may_start_on(self, leader: Leader, machine: Machine, now: datetime) -> bool:
        """Return whether a machine may still be sent starts after the wait for a connection."""
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

    async def _send_starts(self, machine: Machine, body: messages.Body) -> _StartOutcome:
        client = Client(self._net, machine.address, max_connections=1, max_idle=0)
        heartbeat = None
        try:
            status, answer = await client.request("POST", "/commands", body, within=START_TIMEOUT)
            if status == EXECUTED:
                heartbeat = messages.parse_heartbeat(answer)
            elif status in REFUSED:
                # Nothing was executed or ever will be.
                return _StartOutcome(refused=True, heartbeat=None)
        except (NoAnswerError, MalformedError) as error:
            log.debug("direct-command-lost", machine=machine.id, error=error)
        return _StartOutcome(refused=False, heartbeat=heartbeat)

    async def _raise_token(self, leader: Leader, machine: Machine) -> None:
        """Send the machine its raised token at once, by a command without orders.

        Until the response to its next heartbeat brings the token, the machine would still execute a
        delayed start, perhaps after a user received the confirmation that the job is cancelled.
        """
        for _ in range(TOKEN_RAISE_ATTEMPTS):
            if leader.machines.get(machine.id) is not machine or machine.token.confirmed:
                return
            token, epoch = leader.heartbeats.token(machine), machine.contact.position.epoch
            body = messages.direct_command(token, epoch)
            client = Client(self._net, machine.address, max_connections=1, max_idle=0)
            try:
                async with self._connections:
                    await client.request("POST", "/commands", body, within=TOKEN_RAISE_TIMEOUT)
            except NoAnswerError as error:
                log.debug("token-raise-unanswered", machine=machine.id, error=error)
            else:
                return

    # Stops.

    async def send_stops(self, nursery: trio.Nursery) -> None:
        """Send stops as direct commands, in addition to those in heartbeat responses."""
        self._nursery = nursery
        while True:
            await clock.pause(STOP_POLL_INTERVAL)
            now = clock.now()
            for leader in list(self._leaders.values()):
                for machine, stops in self._due_stops(leader, self._stopping, now).items():
                    nursery.start_soon(self._send_stops_to, leader, machine, stops)

    def _due_stops(
        self, leader: Leader, stopping: Container[str], now: datetime
    ) -> dict[str, list[_DueStop]]:
        """Return the stops to be sent now, by machine, and mark them as sent.

        `stopping`: the machines with stops in transit.
        """
        due: dict[str, list[_DueStop]] = {}
        with leader.lock:
            leader.stops.order_all_cancelled(now)
            for key, stop in leader.stops.items():
                sent_at = stop.sent_directly_at
                if key in leader.terminations or (
                    sent_at is not None and now - sent_at < STOP_RETRY_INTERVAL
                ):
                    continue
                may_wait = leader.recovery.should_delay_stop(key, stop, now)
                if may_wait or stop.machine in stopping:
                    continue
                if stop.machine in leader.machines:
                    stop.sent_directly_at = now
                    due.setdefault(stop.machine, []).append(_DueStop(key, stop))
        return due

    async def _send_stops_to(self, leader: Leader, machine_id: str, stops: list[_DueStop]) -> None:
        """Send stops to a machine; if it executes them, record that as their receipt."""
        machine = leader.machines.get(machine_id)
        if machine is None:
            return
        incarnation = machine.token.incarnation
        orders: list[WorkerOrder] = [
            StopTask(*key, stop.attempt, stop.grace) for key, stop in stops
        ]
        self._stopping.add(machine_id)
        try:
            position = await self.command(leader, machine_id, orders)
        finally:
            self._stopping.discard(machine_id)
        if position is not None:
            for _, stop in stops:
                stop.receipt = StopReceipt(incarnation, position)
