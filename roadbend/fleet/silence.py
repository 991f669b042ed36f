"""Machines that fell silent: asked, doubted, deleted, or given up when their leases are over."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet import messages
from roadbend.fleet.cuts import ZoneCuts
from roadbend.fleet.deletions import Deletions
from roadbend.fleet.listing import MachineList
from roadbend.fleet.machines import Machine
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.net import Net
from roadbend.http.server import MalformedError
from roadbend.log import Log
from roadbend.placement.runtime import PartRuntime
from roadbend.placement.shared import Shared
from roadbend.rental.cloud import Cloud, CloudBusyError, NoCapacityError

log = Log("fleet")
# Machines asked at once; each takes a connection. And machines that are looked into, those that
# wait to be asked or to be looked into again among them; the rest follow as these end.
MAX_PROBES = 96
MAX_SUSPECTS = 1024
# How long looking into a machine may take; more says that we ourselves stood still.
PROBE_WITHIN = timedelta(seconds=3)
# How long a machine that was looked into is left alone.
PROBE_PAUSE = timedelta(seconds=2)
# Whether a peer hears a machine of a part: part, machine, now.
HeardElsewhere = Callable[[str, str, datetime], bool]


@dataclass(frozen=True)
class _Probe:
    """What asking a silent machine brought."""

    name: str
    answered: bool
    # The cloud lists it as failed.
    failed: bool
    took: timedelta
    # When it last heard us before it was asked; `last`: that, or when our tenure began.
    heard: datetime | None
    last: datetime

    def silence(self) -> timedelta:
        return clock.now() - self.last


class SilenceWatch:
    """Looks after the silent machines of all parts that this controller owns."""

    def __init__(
        self,
        shared: Shared,
        net: Net,
        cloud: Cloud,
        listing: MachineList,
        cuts: ZoneCuts,
        heard_elsewhere: HeardElsewhere,
        runtimes: dict[str, PartRuntime],
    ):
        self._shared, self._net, self._runtimes = shared, net, runtimes
        self._listing, self._cuts, self._heard_elsewhere = listing, cuts, heard_elsewhere
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
            for runtime in list(self._runtimes.values()):
                try:
                    self._look(runtime, nursery)
                except Exception:
                    log.crash("watch-failed", part=runtime.part)

    def note_time(self, last: datetime) -> None:
        """A second was to pass. Where far more did, this process stood still while its clocks ran
        on, and all machines look silent; what they sent is still to be read."""
        now = clock.now()
        still = now - last - timedelta(seconds=1)
        if still > self._shared.settings.report_every / 2:
            log.info("stood-still", seconds=f"{still.total_seconds():.1f}")
            self._stalls.append((now, still))

    def _silence(self, since: datetime, now: datetime) -> timedelta:
        """How long it has been silent, less our own. Under a load that makes us late all the time,
        the seconds in which we did listen add up, so that the dead are still found."""
        return now - since - sum((still for at, still in self._stalls if at > since), clock.ZERO)

    def _look(self, runtime: PartRuntime, nursery: trio.Nursery) -> None:
        now = clock.now()
        operator, settings = self._shared.operator, self._shared.settings
        since = runtime.tenure.since
        index = runtime.by_machine()
        silent = []
        for name in runtime.machines.keys() | index.keys():
            machine = runtime.machines.get(name)
            # What counts is not that it reports, but that it hears us.
            last = machine.heard_us if machine is not None else None
            if last is None:
                overdue = self._silence(since, now) > operator.find_owner
            else:
                overdue = self._silence(last, now) > settings.report_every * operator.silent_reports
            listed = self._listing.rows.get(name)
            if listed is not None and listed.status == "failed":
                overdue = True
            recalled = (
                machine is not None and machine.recall_at is not None and now > machine.recall_at
            )
            doubted = machine is not None and machine.doubted
            if (
                overdue
                or doubted
                or recalled
                and last is not None
                and now - last > settings.report_every * 2
            ):
                silent.append(name)
        self._cuts.note(runtime, index.keys(), now)
        # The longest silent first, and only so many at once.
        ages = {
            name: m.heard_us or since if (m := runtime.machines.get(name)) else since
            for name in silent
        }
        for name in sorted(silent, key=ages.__getitem__):
            if len(self._probing) >= MAX_SUSPECTS:
                break
            if (runtime.part, name) not in self._probing:
                self._probing.add((runtime.part, name))
                nursery.start_soon(self._probe, runtime, name)

    async def _probe(self, runtime: PartRuntime, name: str) -> None:
        try:
            await self._probe_once(runtime, name)
        except Exception:
            log.crash("probe-failed", machine=name)
        finally:
            self._probing.discard((runtime.part, name))

    async def _inspect(self, runtime: PartRuntime, name: str, address: str) -> bool:
        """Asks the machine itself. Its answer is newer than all that it said before we asked; if it
        counts from further back, or shows a lower token than it has carried, it has begun anew."""
        machine = runtime.machines.get(name)
        before = (machine.order, machine.incarnation, machine.ours) if machine is not None else None
        client = Client(self._net, address, most=1, keep=0)
        for _ in range(2):
            try:
                status, body = await client.request(
                    "GET", "/inspect", within=timedelta(seconds=0.7)
                )
                report = messages.read_report(body) if status == 200 else None
            except (NoAnswerError, MalformedError):
                continue
            if report is None or report.machine != name:
                continue
            if (
                machine is not None
                and runtime.machines.get(name) is machine
                and machine.incarnation == before[1]
            ):
                machine.doubted = False
                if (
                    report.order <= before[0]
                    or before[2]
                    and report.token < runtime.reports.token(machine)
                ):
                    runtime.reports.begin_incarnation(machine, report.order)
            return True
        return False

    async def _probe_once(self, runtime: PartRuntime, name: str) -> None:
        """Asks a silent machine; deletes it where nothing speaks for it."""
        probe = await self._ask(runtime, name)
        if probe.answered and probe.silence() < self._shared.settings.lease * 1.5:
            # It lives and will report, or end its lease; till then nothing more is put on it.
            await clock.pause(PROBE_PAUSE)
            return
        if probe.took > PROBE_WITHIN:
            # Its answers may lie unread: we stood still while we asked.
            return
        machine = runtime.machines.get(name)
        if machine is not None:
            machine.doubted = False
            if self._was_heard_meanwhile(machine, probe):
                return
        if self._shared.ownership.tenure(runtime.part) != runtime.tenure:
            return
        if self._may_be_alive(runtime, machine, probe):
            log.info("doubt", part=runtime.part, machine=name)
        elif await self._fence(runtime, machine, name):
            return
        self._expire(runtime, name)
        await clock.pause(PROBE_PAUSE)

    async def _ask(self, runtime: PartRuntime, name: str) -> _Probe:
        """Asks the machine itself, once there is a connection for it."""
        async with self._connections:
            machine, listed = runtime.machines.get(name), self._listing.rows.get(name)
            address = machine.address if machine else (listed.address if listed else "")
            failed = listed is not None and listed.status == "failed"
            began = clock.now()
            heard = machine.heard_us if machine else None
            answered = bool(address) and not failed and await self._inspect(runtime, name, address)
            took = clock.now() - began
        return _Probe(name, answered, failed, took, heard, heard or runtime.tenure.since)

    def _was_heard_meanwhile(self, machine: Machine, probe: _Probe) -> bool:
        if machine.heard_us != probe.heard:
            return True
        return (
            probe.heard is not None and probe.silence() < self._shared.settings.report_every * 1.3
        )

    def _may_be_alive(self, runtime: PartRuntime, machine: Machine | None, probe: _Probe) -> bool:
        """Whether a machine that did not answer may only be out of our reach."""
        recalled = (
            machine is not None
            and machine.recall_at is not None
            and clock.now() > machine.recall_at
        )
        if probe.failed or recalled:
            return False
        if machine is not None and machine.reported is not None:
            if machine.reported - probe.last > timedelta(seconds=4):
                # Deaf: its reports reach us, our answers don't reach it. It runs what it has until
                # its lease ends; then it is replaced.
                return (
                    probe.silence() < self._shared.settings.lease * 0.8
                    or self._cuts.common_cause(runtime, probe.name, clock.now())
                )
        # A machine that reports to our peers is not dead: it is we who can't be reached.
        elsewhere = (
            self._heard_elsewhere(runtime.part, probe.name, clock.now())
            and probe.silence() < self._shared.settings.lease * 1.5
        )
        return elsewhere or self._cuts.common_cause(runtime, probe.name, clock.now())

    async def _fence(self, runtime: PartRuntime, machine: Machine | None, name: str) -> bool:
        """Deletes a machine; says whether it is proven gone."""
        if machine is not None:
            # From here on no order goes to it, so the deletion can't overtake one.
            machine.fencing = True
        try:
            await self._deletions.delete(name)
        except CloudBusyError as error:
            # Not carried out.
            log.info("fence-refused", part=runtime.part, machine=name, error=str(error)[:60])
            if machine is not None:
                machine.fencing = False
            return False
        except (NoAnswerError, NoCapacityError) as error:
            log.info("fence-failed", part=runtime.part, machine=name, error=str(error)[:60])
            if machine is not None:
                # The deletion may still be carried out: should it report again, it gets nothing
                # new.
                machine.draining, machine.fencing = "fence", False
            return False
        log.info("fenced", part=runtime.part, machine=name)
        runtime.gone(name, "deleted")
        return True

    def _expire(self, runtime: PartRuntime, name: str) -> None:
        """No deletion to be had: the worker's own lease is the proof, where it is one."""
        now, s, margin = clock.now(), self._shared.settings, self._shared.operator.state_margin
        machine = runtime.machines.get(name)
        if machine is not None and machine.ours:
            # It has carried our token, so only our answers count, the last one at `lease_from`.
            sure = (
                machine.lease_from is not None
                and now > machine.lease_from + s.lease * (1 + 2 * clock.DRIFT) + margin
            )
        else:
            # A former owner renews for cancel_within - lease at most after we took over.
            last = machine.lease_from if machine and machine.lease_from else runtime.tenure.since
            sure = now > max(
                runtime.tenure.since + s.cancel_within * (1 + 2 * clock.DRIFT) + margin,
                last + s.lease * (1 + 2 * clock.DRIFT) + margin,
            )
        if sure and runtime.by_machine().get(name):
            log.info("lease-over", part=runtime.part, machine=name)
            runtime.gone(name, "lease")
