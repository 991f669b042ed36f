"""Answering workers, telling them directly, and looking after machines that fell silent."""

from collections import OrderedDict, deque
from collections.abc import Iterable
from datetime import datetime, timedelta
from itertools import accumulate

import trio

from roadbend import clock
from roadbend.fleet import messages
from roadbend.fleet.machines import Direct, Key, Machine
from roadbend.http.client import Client, NoAnswer
from roadbend.http.net import Net
from roadbend.http.server import Malformed, Request, Response, decode
from roadbend.log import Log
from roadbend.peers.links import Peers
from roadbend.placement.runtime import PartRuntime
from roadbend.placement.shared import Shared
from roadbend.rental.cloud import MAX_NAMES, Busy, Cloud, Listed, NoCapacity
from roadbend.store import records
from roadbend.store.records import Attempt

log = Log("fleet")
# Bytes of names of machines that we tell their owner we hear, and reports of strangers that we
# remember.
MAX_HEARD = 64 * 1024
MAX_STRANGERS = 4096
# Machines looked into at once; each takes a connection.
MAX_PROBES = 48
# How long a direct order to start may go without an answer, and how many of its lives a token can
# number.
DIRECT_WITHIN = timedelta(seconds=1.5)
# The token that fences an unanswered order is shown so many times, each for so long.
FENCE_TRIES = 3
FENCE_TIMEOUT = timedelta(milliseconds=500)
MAX_INCARNATIONS = (1 << records.INCARNATION_BITS) - 2
# How long looking into a machine, or gathering deletions, may take; more says that we ourselves
# stood still.
PROBE_WITHIN = timedelta(seconds=3)
# For how many of the workers' leases machines of a zone that can't be reached are kept.
CUT_LEASES = 6


class _DeletionBatch:
    """Deletions that go out in one call."""

    def __init__(self):
        self.names: list[str] = []
        self.began = clock.now()
        self.done = trio.Event()
        # Until the call has succeeded, nothing is proven gone.
        self.error: Exception | None = NoAnswer("not carried out")


class Fleet:
    def __init__(
        self, shared: Shared, net: Net, cloud: Cloud, peers: Peers, runtimes: dict[str, PartRuntime]
    ):
        self._peers = peers
        self._shared, self._net, self._cloud, self._runtimes = shared, net, cloud, runtimes
        # Reports of parts that we don't own, lately: part -> machine -> when, and which it was.
        self._foreign_reports: dict[str, OrderedDict[str, tuple[datetime, tuple[int, int]]]] = {}
        self.listed: dict[str, Listed] = {}
        self._was_listed: set[str] = set()
        self._deletion_batch: _DeletionBatch | None = None
        self._probing: set[tuple[str, str]] = set()
        # By part: machines silent, machines known, and whether the silent ones are only spot
        # machines.
        self._quiet: dict[str, tuple[int, int, bool]] = {}
        # Parts most of whose machines are silent: since when, and which; the records cease to name
        # them as their leases end.
        self._cut: dict[str, tuple[datetime, frozenset[str]]] = {}
        self._direct = trio.CapacityLimiter(16)
        self._nursery: trio.Nursery | None = None
        # When this process went on after standing still, lately, and for how long it had: nobody's
        # silence.
        self._stalls: deque[tuple[datetime, timedelta]] = deque(maxlen=64)

    def take_list(self, rows: list[Listed]) -> None:
        self.listed = {row.id: row for row in rows}
        self._was_listed |= set(self.listed)
        if len(self._was_listed) > 4096:
            self._was_listed = set(self.listed)

    # Workers.

    async def handle_report(self, request: Request) -> Response:
        now = clock.now()
        ownership = self._shared.ownership
        try:
            data = decode(request.body)
            runtime = self._runtimes.get(data.get("yard")) if isinstance(data, dict) else None
            if (
                runtime is not None
                and ownership.tenure(runtime.part) == runtime.tenure
                and ownership.may_renew(now)
            ):
                token = runtime.calm(data, now)
                if token is not None:
                    return Response(200, {"baton": token, "orders": []})
            report = messages.read_report(data)
        except (Malformed, TypeError) as error:
            return Response(400, {"error": str(error)[:200]})
        if runtime is not None and ownership.tenure(report.zone) == runtime.tenure:
            if not ownership.may_renew(now):
                return Response(503, {"error": "no state"})
            answer = await runtime.report(report)
            if answer is None:
                return Response(503, {"error": "old report"})
            if not ownership.may_renew(clock.now()):
                # It waited for what the report called for; what we may answer is judged when the
                # answer goes out.
                return Response(503, {"error": "no state"})
            return Response(200, {"baton": answer[0], "orders": answer[1]})
        if report.zone not in ownership.parts():
            return Response(503, {"error": "no such part"})
        heard = self._foreign_reports.setdefault(report.zone, OrderedDict())
        last = heard.get(report.machine)
        # A late copy is no sign of life, here or in what the owner is told.
        if last is None or report.order > last[1]:
            heard[report.machine] = (now, report.order)
            heard.move_to_end(report.machine)
        while len(heard) > MAX_STRANGERS:
            heard.popitem(last=False)
        owner = ownership.holder(report.zone)
        if owner is None or owner == self._shared.settings.name:
            return Response(503, {"error": "no owner yet"})
        return Response(421, {"dispatcher": owner})

    def heard(self, now: datetime) -> dict[str, tuple[str, ...]]:
        out = {}
        for part, rows in self._foreign_reports.items():
            names = [name for name, (at, _) in rows.items() if now - at < timedelta(seconds=6)]
            if names and part not in self._runtimes:
                # The latest; those beyond are taken for silent a little sooner.
                sizes = accumulate(len(name) + 2 for name in reversed(names))
                out[part] = tuple(names[-sum(1 for size in sizes if size <= MAX_HEARD) :])
        return out

    def _heard_elsewhere(self, part: str, machine: str, now: datetime) -> bool:
        return any(
            link.alive(now)
            and link.known.heartbeat is not None
            and machine in link.known.heartbeat.heard.get(part, ())
            for link in self._peers.links.values()
        )

    # Direct commands. A kill that arrives late does no harm; for a start see `_start_directly`.

    async def command(self, runtime: PartRuntime, machine: str, orders: list[dict]) -> None:
        target = runtime.machines.get(machine)
        if target is None:
            return
        body = {"baton": runtime.token(target), "stint": target.order[0], "orders": orders}
        client = Client(self._net, target.address, most=1, keep=0)
        try:
            async with self._direct:
                await client.request("POST", "/commands", body, within=timedelta(seconds=2))
        except NoAnswer as error:
            log.debug("command-lost", machine=machine, error=error)

    def order_now(
        self, runtime: PartRuntime, machine: str, rows: list[tuple[Key, Attempt]]
    ) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._order_now, runtime, machine, rows)

    async def _order_now(
        self, runtime: PartRuntime, name: str, rows: list[tuple[Key, Attempt]]
    ) -> None:
        try:
            await self._start_directly(runtime, name, rows)
        except Exception:
            log.crash("order-failed", machine=name)

    async def _start_directly(
        self, runtime: PartRuntime, name: str, rows: list[tuple[Key, Attempt]]
    ) -> None:
        """Starts that must not wait for the machine's next report. Once each; where no answer says
        what became of it, the machine's token is raised, so that the order is refused should it
        arrive later (`machines.Direct`)."""
        machine = runtime.machines.get(name)
        if machine is None or machine.incarnation >= MAX_INCARNATIONS:
            return
        async with self._direct:
            now, recorded = clock.now(), runtime.by_machine().get(name, {})
            ownership = self._shared.ownership
            rows = [
                (key, attempt)
                for key, attempt in rows
                if key in recorded
                and recorded[key][1] == attempt
                and key not in runtime.stops
                and runtime.live(key[0])
            ]
            if (
                not rows
                or runtime.machines.get(name) is not machine
                or not machine.ours
                or not runtime.usable(machine, now, self._shared.settings.report_every * 2.2)
                or ownership.tenure(runtime.part) != runtime.tenure
                or not ownership.may_start(now)
            ):
                return
            session = machine.order[0]
            for key, attempt in rows:
                machine.direct[key] = Direct(attempt.number, session)
            machine.calm = None
            orders = [messages.run(*key, attempt.number) for key, attempt in rows]
            body = {"baton": runtime.token(machine), "stint": session, "orders": orders}
            client, report = Client(self._net, machine.address, most=1, keep=0), None
            try:
                status, answer = await client.request(
                    "POST", "/commands", body, within=DIRECT_WITHIN
                )
                if status == 200:
                    report = messages.read_report(answer)
                elif status in (400, 409):
                    # Nothing was executed, nor will be.
                    for key, attempt in rows:
                        if key in machine.direct and machine.direct[key].attempt == attempt.number:
                            del machine.direct[key]
                    return
            except (NoAnswer, Malformed) as error:
                log.debug("command-lost", machine=name, error=error)
        if report is not None and report.machine == name:
            for key, attempt in rows:
                row = machine.direct.get(key)
                if row is not None and row.attempt == attempt.number:
                    row.order = report.order
            return
        log.info("direct-unanswered", part=runtime.part, machine=name)
        if runtime.machines.get(name) is machine:
            machine.fence()
            await self._raise_token(runtime, machine)

    async def _raise_token(self, runtime: PartRuntime, machine: Machine) -> None:
        """Shows the machine its raised token at once, by a command without orders: until its next
        report's answer brings the token, a held order to start would still be carried out, perhaps
        after a user was told that the job is cancelled."""
        for _ in range(FENCE_TRIES):
            if runtime.machines.get(machine.id) is not machine or machine.ours:
                return
            body = {"baton": runtime.token(machine), "stint": machine.order[0], "orders": []}
            client = Client(self._net, machine.address, most=1, keep=0)
            try:
                async with self._direct:
                    await client.request("POST", "/commands", body, within=FENCE_TIMEOUT)
                return
            except NoAnswer as error:
                log.debug("fence-unanswered", machine=machine.id, error=error)

    async def send_stops(self, nursery: trio.Nursery) -> None:
        """Kills go out directly as well as with reports."""
        self._nursery = nursery
        sent: dict[tuple, datetime] = {}
        while True:
            await clock.pause(timedelta(milliseconds=200))
            now = clock.now()
            if len(sent) > 2000:
                sent = {k: at for k, at in sent.items() if now - at < timedelta(seconds=20)}
            for runtime in list(self._runtimes.values()):
                orders: dict[str, list[dict]] = {}
                with runtime.lock:
                    runtime.stop_dead(now)
                    for key, stop in runtime.stops.items():
                        mark = (runtime.tenure.term, key, stop.attempt, stop.grace)
                        if now - sent.get(mark, clock.ORIGIN) < timedelta(seconds=3):
                            continue
                        if stop.machine in runtime.machines:
                            sent[mark] = now
                            grace = stop.grace.total_seconds()
                            orders.setdefault(stop.machine, []).append(
                                messages.kill(*key, stop.attempt, grace)
                            )
                for machine, rows in orders.items():
                    nursery.start_soon(self.command, runtime, machine, rows)

    # Silence.

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
            listed = self.listed.get(name)
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
        self._quiet[runtime.part] = self._count_quiet(runtime, now)
        self._note_cut(runtime, index.keys(), now)
        # The longest silent first, and only so many at once.
        ages = {
            name: m.heard_us or since if (m := runtime.machines.get(name)) else since
            for name in silent
        }
        for name in sorted(silent, key=ages.__getitem__):
            if len(self._probing) >= MAX_PROBES:
                break
            if (runtime.part, name) not in self._probing:
                self._probing.add((runtime.part, name))
                nursery.start_soon(self._probe, runtime, name)

    def _note_cut(self, runtime: PartRuntime, recorded: Iterable[str], now: datetime) -> None:
        """Whether most of a part's machines are silent, those counted that the records name and
        that a new owner has not heard at all: then it is the zone that can't be reached. An owner
        that took a part over during a cut of its zone once deleted all of its machines, which went
        on working inside."""
        since, before = self._cut.get(runtime.part, (now, frozenset()))
        report, known = (
            self._shared.settings.report_every,
            runtime.machines.keys() | recorded | before,
        )
        silent = known - {m.id for m in runtime.machines.values() if m.fresh(now, report * 2.2)}
        settled = now - runtime.tenure.since > report * 3
        if (
            settled
            and len(known) >= 3
            and len(silent) > self._shared.operator.fence_share * len(known)
        ):
            self._cut[runtime.part] = (since, frozenset(silent))
        else:
            self._cut.pop(runtime.part, None)

    def cut_off(self, part: str, now: datetime) -> bool:
        """Nothing is hired in such a part, and none of its machines deleted, until that has lasted
        long."""
        row = self._cut.get(part)
        return row is not None and now - row[0] < self._shared.settings.lease * CUT_LEASES

    def _count_quiet(self, runtime: PartRuntime, now: datetime) -> tuple[int, int, bool]:
        """How many machines are silent, of how many, and whether all silent ones are spot among
        others."""
        after = self._shared.settings.report_every * 1.3
        known = [m for m in runtime.machines.values() if m.heard_us is not None]
        quiet = [m for m in known if now - m.heard_us > after]
        return len(quiet), len(known), all(m.spot for m in quiet) and not all(m.spot for m in known)

    def _common_cause(self, runtime: PartRuntime, name: str, now: datetime) -> bool:
        """Whether this silence is rather the network's than the machine's: several fell silent
        together.

        Deleting machines that are only cut off costs more than waiting. Told apart are waves in
        which the cloud takes spot machines back: only spot machines are silent, or they have left
        the list."""
        operator, s = self._shared.operator, self._shared.settings
        quiet, known, only_spot = self._quiet.get(runtime.part) or self._count_quiet(runtime, now)
        if self.cut_off(runtime.part, now):
            return True
        if quiet >= 2 and quiet > operator.fence_share * known and runtime.part not in self._cut:
            return True
        mine = runtime.machines.get(name)
        if mine is None or mine.heard_us is None or now - mine.heard_us > s.lease * 1.3:
            # Its lease has ended long since: its tasks are gone anyway.
            return False
        if name in self._was_listed and name not in self.listed:
            return False
        if quiet < 3 or quiet < operator.common_share * known:
            return False
        return not only_spot

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
            except (NoAnswer, Malformed):
                continue
            if report is None or report.machine != name:
                continue
            if (
                machine is not None
                and runtime.machines.get(name) is machine
                and machine.incarnation == before[1]
            ):
                machine.doubted = False
                if report.order <= before[0] or before[2] and report.token < runtime.token(machine):
                    runtime.begin_incarnation(machine, report.order)
            return True
        return False

    async def _probe_once(self, runtime: PartRuntime, name: str) -> None:
        settings = self._shared.settings
        machine, listed = runtime.machines.get(name), self.listed.get(name)
        address = machine.address if machine else (listed.address if listed else "")
        failed = listed is not None and listed.status == "failed"
        began = clock.now()
        before = machine.heard_us if machine else None
        if address and not failed and await self._inspect(runtime, name, address):
            if clock.now() - (before or runtime.tenure.since) < settings.lease * 1.5:
                # It lives and will report, or end its lease; till then nothing more is put on it.
                await clock.pause(timedelta(seconds=2))
                return
        if clock.now() - began > PROBE_WITHIN:
            # Its answers may lie unread: we stood still while we asked.
            return
        machine = runtime.machines.get(name)
        if machine is not None:
            machine.doubted = False
            if (
                machine.heard_us != before
                or before is not None
                and clock.now() - before < settings.report_every * 1.3
            ):
                return
        if self._shared.ownership.tenure(runtime.part) != runtime.tenure:
            return
        # A machine that reports to our peers is not dead: it is we who can't be reached.
        last = before or runtime.tenure.since
        elsewhere = (
            self._heard_elsewhere(runtime.part, name, clock.now())
            and clock.now() - last < settings.lease * 1.5
        )
        if (
            machine is not None
            and machine.reported is not None
            and machine.reported - last > timedelta(seconds=4)
        ):
            # Deaf: its reports reach us, our answers don't reach it. It runs what it has until its
            # lease ends; then it is replaced.
            elsewhere = clock.now() - last < settings.lease * 0.8
        recalled = (
            machine is not None
            and machine.recall_at is not None
            and clock.now() > machine.recall_at
        )
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
                    # The deletion may still be carried out: should it report again, it gets nothing
                    # new.
                    machine.draining, machine.fencing = "fence", False
        self._expire(runtime, name)
        await clock.pause(timedelta(seconds=2))

    async def _delete(self, name: str) -> None:
        """Machines fall silent together; they go in one call, for the cloud's calls are few."""
        deletion_batch = self._deletion_batch
        if deletion_batch is not None and len(deletion_batch.names) < MAX_NAMES:
            deletion_batch.names.append(name)
            await deletion_batch.done.wait()
            if deletion_batch.error is not None:
                raise deletion_batch.error
            return
        deletion_batch = self._deletion_batch = _DeletionBatch()
        deletion_batch.names.append(name)
        await clock.pause(timedelta(milliseconds=150))
        if self._deletion_batch is deletion_batch:
            self._deletion_batch = None
        try:
            await self._cloud.delete(
                deletion_batch.names,
                urgent=True,
                still=lambda: clock.now() - deletion_batch.began < PROBE_WITHIN,
            )
            deletion_batch.error = None
        except (NoAnswer, Busy, NoCapacity) as error:
            deletion_batch.error = error
            raise
        finally:
            deletion_batch.done.set()

    def _expire(self, runtime: PartRuntime, name: str) -> None:
        """No deletion to be had: the worker's own lease is the proof, where it is one."""
        now, s, margin = clock.now(), self._shared.settings, self._shared.operator.state_margin
        machine = runtime.machines.get(name)
        if machine is not None and machine.ours:
            # It has carried our token, so nobody else's answer counts; ours last did at `answered`.
            sure = (
                machine.answered is not None
                and now > machine.answered + s.lease * (1 + 2 * clock.DRIFT) + margin
            )
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
