"""Machines that fell silent: asked, doubted, deleted, or given up when their leases are over."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.autoscaler.cloud import Cloud, CloudBusyError, NoCapacityError
from roadbend.fleet import messages
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.deletions import Deletions
from roadbend.fleet.machines import Machine
from roadbend.fleet.zone_reachability import ZoneReachability
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader

log = Log("fleet")
# Machines asked at once; each takes a connection. And machines that are looked into, those that
# wait to be asked or to be looked into again among them; the rest follow as these end.
MAX_PROBES = 96
MAX_SUSPECTS = 1024
# How long looking into a machine may take; more says that we ourselves stood still.
PROBE_WITHIN = timedelta(seconds=3)
# How long a machine that was looked into is left alone.
PROBE_PAUSE = timedelta(seconds=2)
# Whether a peer hears a machine of a partition: partition, machine, now.
HeardElsewhere = Callable[[str, str, datetime], bool]


@dataclass(frozen=True)
class _Probe:
    """What asking a silent machine brought."""

    name: str
    answered: bool
    # The cloud lists it as failed.
    failed: bool
    took: timedelta
    # When it last heard us before it was asked; `last`: that, or when our leadership began.
    heard: datetime | None
    last: datetime

    def failure_detector(self) -> timedelta:
        return clock.now() - self.last


class FailureDetector:
    """Looks after the silent machines of all partitions that this controller owns."""

    def __init__(
        self,
        context: ControllerContext,
        net: Net,
        cloud: Cloud,
        inventory: CloudInventory,
        reachability: ZoneReachability,
        heard_elsewhere: HeardElsewhere,
        leaders: dict[str, PartitionLeader],
    ):
        self._context, self._net, self._leaders = context, net, leaders
        self._inventory, self._reachability, self._heard_elsewhere = (
            inventory,
            reachability,
            heard_elsewhere,
        )
        self._deletions = Deletions(cloud)
        self._probing: set[tuple[str, str]] = set()
        self._connections = trio.CapacityLimiter(MAX_PROBES)
        # When this process went on after standing still, lately, and for how long it had: nobody's
        # silence.
        self._stalls: deque[tuple[datetime, timedelta]] = deque(maxlen=64)

    async def watch(self, nursery: trio.Nursery) -> None:
        last = clock.now()
        while True:
            await clock.pause(timedelta(seconds=1))
            self.note_time(last)
            last = clock.now()
            for leader in list(self._leaders.values()):
                try:
                    self._look(leader, nursery)
                except Exception:
                    log.crash("failure-detection-failed", partition=leader.partition)

    def note_time(self, last: datetime) -> None:
        """A second was to pass. Where far more did, this process stood still while its clocks ran
        on, and all machines look silent; what they sent is still to be read."""
        now = clock.now()
        still = now - last - timedelta(seconds=1)
        if still > self._context.settings.heartbeat_interval / 2:
            log.info("process-paused", paused_s=f"{still.total_seconds():.1f}")
            self._stalls.append((now, still))

    def _silence(self, since: datetime, now: datetime) -> timedelta:
        """How long it has been silent, less our own. Under a load that makes us late all the time,
        the seconds in which we did listen add up, so that the dead are still found."""
        return now - since - sum((still for at, still in self._stalls if at > since), clock.ZERO)

    def _look(self, leader: PartitionLeader, nursery: trio.Nursery) -> None:
        now = clock.now()
        operator, settings = self._context.operator, self._context.settings
        since = leader.leadership.acquired_at
        index = leader.by_machine()
        silent = []
        for name in leader.machines.keys() | index.keys():
            machine = leader.machines.get(name)
            # What counts is not that it reports, but that it hears us.
            last = machine.contact.acknowledged_at if machine is not None else None
            if last is None:
                overdue = self._silence(since, now) > operator.find_owner
            else:
                overdue = (
                    self._silence(last, now) > settings.heartbeat_interval * operator.silent_reports
                )
            listed = self._inventory.rows.get(name)
            if listed is not None and listed.status == "failed":
                overdue = True
            recalled = (
                machine is not None
                and machine.lifecycle.reclaim_at is not None
                and now > machine.lifecycle.reclaim_at
            )
            suspected = machine is not None and machine.contact.suspected
            if (
                overdue
                or suspected
                or recalled
                and last is not None
                and now - last > settings.heartbeat_interval * 2
            ):
                silent.append(name)
        self._reachability.note(leader, index.keys(), now)
        # The longest silent first, and only so many at once.
        ages = {
            name: m.contact.acknowledged_at or since if (m := leader.machines.get(name)) else since
            for name in silent
        }
        for name in sorted(silent, key=ages.__getitem__):
            if len(self._probing) >= MAX_SUSPECTS:
                break
            if (leader.partition, name) not in self._probing:
                self._probing.add((leader.partition, name))
                nursery.start_soon(self._probe, leader, name)

    async def _probe(self, leader: PartitionLeader, name: str) -> None:
        try:
            await self._probe_once(leader, name)
        except Exception:
            log.crash("machine-probe-failed", machine=name)
        finally:
            self._probing.discard((leader.partition, name))

    async def _inspect(self, leader: PartitionLeader, name: str, address: str) -> bool:
        """Asks the machine itself. Its answer is newer than all that it said before we asked; if it
        counts from further back, or shows a lower token than it has carried, it has begun anew."""
        machine = leader.machines.get(name)
        before = (
            (machine.contact.position, machine.token.incarnation, machine.token.confirmed)
            if machine is not None
            else None
        )
        client = Client(self._net, address, most=1, keep=0)
        for _ in range(2):
            try:
                status, body = await client.request(
                    "GET", "/inspect", within=timedelta(seconds=0.7)
                )
                heartbeat = messages.parse_heartbeat(body) if status == 200 else None
            except (NoAnswerError, MalformedError):
                continue
            if heartbeat is None or heartbeat.machine != name:
                continue
            if (
                machine is not None
                and leader.machines.get(name) is machine
                and machine.token.incarnation == before[1]
            ):
                machine.contact.suspected = False
                if (
                    heartbeat.position <= before[0]
                    or before[2]
                    and heartbeat.token < leader.heartbeats.token(machine)
                ):
                    leader.heartbeats.begin_incarnation(machine, heartbeat.position)
            return True
        return False

    async def _probe_once(self, leader: PartitionLeader, name: str) -> None:
        """Asks a silent machine; deletes it where nothing speaks for it."""
        probe = await self._ask(leader, name)
        if probe.answered and probe.failure_detector() < self._context.settings.lease * 1.5:
            # It lives and will report, or end its lease; till then nothing more is put on it.
            await clock.pause(PROBE_PAUSE)
            return
        if probe.took > PROBE_WITHIN:
            # Its answers may lie unread: we stood still while we asked.
            return
        machine = leader.machines.get(name)
        if machine is not None:
            machine.contact.suspected = False
            if self._was_heard_meanwhile(machine, probe):
                return
        if self._context.election.leadership(leader.partition) != leader.leadership:
            return
        if self._may_be_alive(leader, machine, probe):
            log.info("machine-suspected", partition=leader.partition, machine=name)
        elif await self._fence(leader, machine, name):
            return
        self._expire(leader, name)
        await clock.pause(PROBE_PAUSE)

    async def _ask(self, leader: PartitionLeader, name: str) -> _Probe:
        """Asks the machine itself, once there is a connection for it."""
        async with self._connections:
            machine, listed = leader.machines.get(name), self._inventory.rows.get(name)
            address = machine.address if machine else (listed.address if listed else "")
            failed = listed is not None and listed.status == "failed"
            began = clock.now()
            heard = machine.contact.acknowledged_at if machine else None
            answered = bool(address) and not failed and await self._inspect(leader, name, address)
            took = clock.now() - began
        return _Probe(name, answered, failed, took, heard, heard or leader.leadership.acquired_at)

    def _was_heard_meanwhile(self, machine: Machine, probe: _Probe) -> bool:
        if machine.contact.acknowledged_at != probe.heard:
            return True
        return (
            probe.heard is not None
            and probe.failure_detector() < self._context.settings.heartbeat_interval * 1.3
        )

    def _may_be_alive(
        self, leader: PartitionLeader, machine: Machine | None, probe: _Probe
    ) -> bool:
        """Whether a machine that did not answer may only be out of our reach."""
        recalled = (
            machine is not None
            and machine.lifecycle.reclaim_at is not None
            and clock.now() > machine.lifecycle.reclaim_at
        )
        if probe.failed or recalled:
            return False
        if machine is not None and machine.contact.last_heartbeat_at is not None:
            if machine.contact.last_heartbeat_at - probe.last > timedelta(seconds=4):
                # Deaf: its reports reach us, our answers don't reach it. It runs what it has until
                # its lease ends; then it is replaced.
                return (
                    probe.failure_detector() < self._context.settings.lease * 0.8
                    or self._reachability.common_cause(leader, probe.name, clock.now())
                )
        # A machine that reports to our peers is not dead: it is we who can't be reached.
        elsewhere = (
            self._heard_elsewhere(leader.partition, probe.name, clock.now())
            and probe.failure_detector() < self._context.settings.lease * 1.5
        )
        return elsewhere or self._reachability.common_cause(leader, probe.name, clock.now())

    async def _fence(self, leader: PartitionLeader, machine: Machine | None, name: str) -> bool:
        """Deletes a machine; says whether it is proven gone."""
        if machine is not None:
            # From here on no order goes to it, so the deletion can't overtake one.
            machine.lifecycle.fencing = True
        try:
            await self._deletions.delete(name)
        except CloudBusyError as error:
            # Not carried out.
            log.info(
                "machine-fence-refused",
                partition=leader.partition,
                machine=name,
                error=str(error)[:60],
            )
            if machine is not None:
                machine.lifecycle.fencing = False
            return False
        except (NoAnswerError, NoCapacityError) as error:
            log.info(
                "machine-fence-failed",
                partition=leader.partition,
                machine=name,
                error=str(error)[:60],
            )
            if machine is not None:
                # The deletion may still be carried out: should it report again, it gets nothing
                # new.
                machine.lifecycle.draining, machine.lifecycle.fencing = "fence", False
            return False
        log.info("machine-fenced", partition=leader.partition, machine=name)
        leader.gone(name, "deleted")
        return True

    def _expire(self, leader: PartitionLeader, name: str) -> None:
        """No deletion to be had: the worker's own lease is the proof, where it is one."""
        now, s, margin = clock.now(), self._context.settings, self._context.operator.state_margin
        machine = leader.machines.get(name)
        if machine is not None and machine.token.confirmed:
            # It has carried our token, so only our answers count, the last one at `lease_from`.
            sure = (
                machine.contact.lease_started_at is not None
                and now
                > machine.contact.lease_started_at + s.lease * (1 + 2 * clock.DRIFT) + margin
            )
        else:
            # A former owner renews for cancel_within - lease at most after we took over.
            last = (
                machine.contact.lease_started_at
                if machine and machine.contact.lease_started_at
                else leader.leadership.acquired_at
            )
            sure = now > max(
                leader.leadership.acquired_at + s.cancel_within * (1 + 2 * clock.DRIFT) + margin,
                last + s.lease * (1 + 2 * clock.DRIFT) + margin,
            )
        if sure and leader.by_machine().get(name):
            log.info("worker-lease-expired", partition=leader.partition, machine=name)
            leader.gone(name, "lease")
