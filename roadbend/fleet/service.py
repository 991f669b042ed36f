"""Answering workers, telling them directly, and looking after machines that fell silent."""

from collections import OrderedDict
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet import messages
from roadbend.http.client import Client, NoAnswer
from roadbend.http.net import Net
from roadbend.http.server import Malformed, Request, Response, decode
from roadbend.log import Log
from roadbend.peers.links import Peers
from roadbend.placement.runtime import PartRuntime, Shared
from roadbend.rental.cloud import Busy, Cloud, Listed, NoCapacity

log = Log("fleet")
MOST_HEARD = 64


class _Wave:
    """Deletions that go out in one call."""

    def __init__(self):
        self.names: list[str] = []
        self.done = trio.Event()
        self.error: Exception | None = None


class Fleet:
    def __init__(self, shared: Shared, net: Net, cloud: Cloud, peers: Peers, runtimes: dict[str, PartRuntime]):
        self._peers = peers
        self._shared, self._net, self._cloud, self._runtimes = shared, net, cloud, runtimes
        # Reports of parts that we don't own, lately: (part) -> instants.
        self._strangers: dict[str, OrderedDict[str, datetime]] = {}
        self.listed: dict[str, Listed] = {}
        self._was_listed: set[str] = set()
        self._wave: _Wave | None = None
        self._probing: set[str] = set()
        self._direct = trio.CapacityLimiter(16)

    def take_list(self, rows: list[Listed]) -> None:
        self.listed = {row.id: row for row in rows}
        self._was_listed |= set(self.listed)
        if len(self._was_listed) > 4096:
            self._was_listed = set(self.listed)

    # Workers.

    async def hello(self, request: Request) -> Response:
        try:
            report = messages.read_report(decode(request.body))
        except Malformed as error:
            return Response(400, {"error": str(error)})
        now = clock.now()
        ownership = self._shared.ownership
        runtime = self._runtimes.get(report.zone)
        if runtime is not None and ownership.tenure(report.zone) == runtime.tenure:
            if not ownership.may_renew(now):
                return Response(503, {"error": "no state"})
            orders = await runtime.report(report)
            if orders is None:
                return Response(503, {"error": "old report"})
            return Response(200, {"baton": runtime.tenure.term, "orders": orders})
        if report.zone not in ownership.parts():
            return Response(503, {"error": "no such part"})
        heard = self._strangers.setdefault(report.zone, OrderedDict())
        heard[report.machine] = now
        heard.move_to_end(report.machine)
        while len(heard) > 512:
            heard.popitem(last=False)
        owner = ownership.holder(report.zone)
        if owner is None or owner == self._shared.settings.name:
            return Response(503, {"error": "no owner yet"})
        return Response(421, {"dispatcher": owner})

    def heard(self, now: datetime) -> dict[str, tuple[str, ...]]:
        out = {}
        for part, rows in self._strangers.items():
            names = [name for name, at in rows.items() if now - at < timedelta(seconds=6)]
            if names and part not in self._runtimes:
                out[part] = tuple(names[-MOST_HEARD:])
        return out

    def _heard_elsewhere(self, part: str, machine: str, now: datetime) -> bool:
        return any(
            link.alive(now) and link.known.pulse is not None and machine in link.known.pulse.heard.get(part, ())
            for link in self._peers.links.values()
        )

    # Direct commands: only kills; a run that arrives late would be a start that nobody expects.

    async def command(self, runtime: PartRuntime, machine: str, orders: list[dict]) -> None:
        target = runtime.machines.get(machine)
        if target is None:
            return
        body = {"baton": runtime.tenure.term, "stint": target.order[0], "orders": orders}
        client = Client(self._net, target.address, most=1, keep=0)
        try:
            async with self._direct:
                await client.request("POST", "/commands", body, within=timedelta(seconds=2))
        except NoAnswer as error:
            log.debug("command-lost", machine=machine, error=error)

    async def send_stops(self, nursery: trio.Nursery) -> None:
        """Kills go out directly as well as with reports."""
        sent: dict[tuple, datetime] = {}
        while True:
            await clock.pause(timedelta(milliseconds=200))
            now = clock.now()
            if len(sent) > 2000:
                sent = {k: at for k, at in sent.items() if now - at < timedelta(seconds=20)}
            for runtime in list(self._runtimes.values()):
                orders: dict[str, list[dict]] = {}
                index = runtime.by_machine()
                with runtime.lock:
                    for rows in index.values():
                        runtime._stop_dead(rows, now)
                    for key, stop in runtime.stops.items():
                        mark = (runtime.tenure.term, key, stop.attempt, stop.grace)
                        if now - sent.get(mark, clock.ORIGIN) < timedelta(seconds=3):
                            continue
                        home = next((m for m, rows in index.items() if key in rows), None)
                        if home is not None and home in runtime.machines:
                            sent[mark] = now
                            grace = stop.grace.total_seconds()
                            orders.setdefault(home, []).append(messages.kill(*key, stop.attempt, grace))
                for machine, rows in orders.items():
                    nursery.start_soon(self.command, runtime, machine, rows)

    # Silence.

    async def watch(self, nursery: trio.Nursery) -> None:
        while True:
            await clock.pause(timedelta(seconds=1))
            for runtime in list(self._runtimes.values()):
                try:
                    self._look(runtime, nursery)
                except Exception:
                    log.crash("watch-failed", part=runtime.part)

    def _look(self, runtime: PartRuntime, nursery: trio.Nursery) -> None:
        now = clock.now()
        op, settings = self._shared.op, self._shared.settings
        since = runtime.tenure.since
        index = runtime.by_machine()
        silent, known = [], set(runtime.machines) | set(index)
        for name in known:
            machine = runtime.machines.get(name)
            last = machine.reported if machine and machine.reported else None
            if last is None:
                overdue = now - since > op.find_owner
            else:
                overdue = now - last > settings.report_every * op.silent_reports
            listed = self.listed.get(name)
            if listed is not None and listed.status == "failed":
                overdue = True
            recalled = machine is not None and machine.recall_at is not None and now > machine.recall_at
            if overdue or recalled and last is not None and now - last > settings.report_every * 2:
                silent.append(name)
        for name in silent:
            if (runtime.part, name) not in self._probing:
                self._probing.add((runtime.part, name))
                nursery.start_soon(self._probe, runtime, name)

    def _common_cause(self, runtime: PartRuntime, name: str, now: datetime) -> bool:
        """Whether this silence is rather the network's than the machine's: several fell silent together.

        Deleting machines that are only cut off costs more than waiting. Told apart are waves in which the
        cloud takes spot machines back: only spot machines are silent, or they have left the list."""
        op, s = self._shared.op, self._shared.settings
        machines = [m for m in runtime.machines.values() if m.reported is not None]
        quiet = [m for m in machines if now - m.reported > s.report_every * 1.3]
        if len(quiet) >= 2 and len(quiet) > op.fence_share * len(machines):
            return True
        mine = runtime.machines.get(name)
        if mine is None or mine.reported is None or now - mine.reported > s.lease * 1.3:
            # Its lease has ended long since: its tasks are gone anyway.
            return False
        if name in self._was_listed and name not in self.listed:
            return False
        if len(quiet) < 3 or len(quiet) < op.common_share * len(machines):
            return False
        return not all(m.spot for m in quiet) or all(m.spot for m in machines)

    async def _probe(self, runtime: PartRuntime, name: str) -> None:
        try:
            await self._probe_once(runtime, name)
        except Exception:
            log.crash("probe-failed", machine=name)
        finally:
            self._probing.discard((runtime.part, name))

    async def _probe_once(self, runtime: PartRuntime, name: str) -> None:
        settings = self._shared.settings
        machine, listed = runtime.machines.get(name), self.listed.get(name)
        address = machine.address if machine else (listed.address if listed else "")
        failed = listed is not None and listed.status == "failed"
        before = machine.reported if machine else None
        if address and not failed:
            client = Client(self._net, address, most=1, keep=0)
            for _ in range(2):
                try:
                    status, _ = await client.request("GET", "/inspect", within=timedelta(seconds=0.7))
                except NoAnswer:
                    continue
                if status == 200 and clock.now() - (before or runtime.tenure.since) < settings.lease * 1.5:
                    # It lives and will report, or end its lease; till then nothing more is put on it.
                    await clock.pause(timedelta(seconds=2))
                    return
        machine = runtime.machines.get(name)
        if machine is not None and machine.reported != before:
            return
        if self._shared.ownership.tenure(runtime.part) != runtime.tenure:
            return
        # A machine that reports to our peers is not dead: it is we who can't be reached.
        last = before or runtime.tenure.since
        elsewhere = self._heard_elsewhere(runtime.part, name, clock.now()) and clock.now() - last < settings.lease * 1.5
        recalled = machine is not None and machine.recall_at is not None and clock.now() > machine.recall_at
        doubt = self._common_cause(runtime, name, clock.now())
        if (doubt or elsewhere) and not failed and not recalled:
            log.info("doubt", part=runtime.part, machine=name)
            await clock.pause(timedelta(seconds=2))
        else:
            if machine is not None:
                # From here on no order goes to it, so the deletion can't overtake one.
                machine.fencing = True
            try:
                await self._delete(name)
                log.info("fenced", part=runtime.part, machine=name)
                runtime.gone(name, "deleted")
                return
            except Busy as error:
                # Not carried out.
                log.info("fence-refused", part=runtime.part, machine=name, error=str(error)[:60])
                if machine is not None:
                    machine.fencing = False
            except (NoAnswer, NoCapacity) as error:
                log.info("fence-failed", part=runtime.part, machine=name, error=str(error)[:60])
                if machine is not None:
                    # The deletion may still be carried out: should it report again, it gets nothing new.
                    machine.draining, machine.fencing = "fence", False
        self._expire(runtime, name)
        await clock.pause(timedelta(seconds=2))

    async def _delete(self, name: str) -> None:
        """Machines fall silent together; they go in one call, for the cloud's calls are few."""
        wave = self._wave
        if wave is None:
            wave = self._wave = _Wave()
            wave.names.append(name)
            await clock.pause(timedelta(milliseconds=150))
            self._wave = None
            try:
                await self._cloud.delete(wave.names, urgent=True)
            except (NoAnswer, Busy, NoCapacity) as error:
                wave.error = error
                raise
            finally:
                wave.done.set()
            return
        wave.names.append(name)
        await wave.done.wait()
        if wave.error is not None:
            raise wave.error

    def _expire(self, runtime: PartRuntime, name: str) -> None:
        """No deletion to be had: the worker's own lease is the proof, where it is one."""
        now, s, margin = clock.now(), self._shared.settings, self._shared.op.state_margin
        machine = runtime.machines.get(name)
        if machine is not None and machine.ours:
            # It has carried our token, so nobody else's answer counts; ours last did at `answered`.
            sure = machine.answered is not None and now > machine.answered + s.lease * (1 + 2 * clock.DRIFT) + margin
        else:
            # A former owner renews for cancel_within - lease at most after we took over.
            last = machine.answered if machine and machine.answered else runtime.tenure.since
            sure = now > max(
                runtime.tenure.since + s.cancel_within * (1 + 2 * clock.DRIFT) + margin,
                last + s.lease * (1 + 2 * clock.DRIFT) + margin,
            )
        if sure and runtime.by_machine().get(name):
            log.info("lease-over", part=runtime.part, machine=name)
            runtime.gone(name, "lease")
