"""An owner's work on its part, for one term: queue, placement, records, silent machines.

The truth about attempts is in the slice records as the view shows them. What is kept here besides
is what can be lost: what machines last showed, the ends not yet recorded, stops that were
decided."""

import threading
from collections import deque
from collections.abc import Callable, Container
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from typing import Any

import trio

from roadbend import clock
from roadbend.fleet import machines as fleet
from roadbend.fleet.machines import Fact, Key, Machine, Stop
from roadbend.fleet.messages import Report
from roadbend.log import Log
from roadbend.parts.ownership import Tenure
from roadbend.placement import ends, forecast, gangs, policy, starts
from roadbend.placement.batch import Batch
from roadbend.placement.forecast import Line
from roadbend.placement.policy import Pending, Room
from roadbend.placement.shared import Shared
from roadbend.store import keys, ranges, records
from roadbend.store.client import Conflict, TooLarge, Unavailable, commit, put
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Job, Need
from roadbend.store.view import Rows, Work

log = Log("placement")
# Tasks of one job that a queue shows at once; the rest of a wider one follows as these are placed.
MAX_PENDING = 1024
# For how long a queue or a layout that was worked out may serve again, at the least.
REUSE = timedelta(milliseconds=300)
# How long a report that brought news may wait for what it calls for; workers wait 4 s.
ANSWER_WAIT = timedelta(milliseconds=400)
# A transaction gathers what comes within this time.
STEP_GAP = timedelta(milliseconds=90)
# Most jobs whose loose tasks are remembered.
MAX_KNOWN = 4096
# Most machines remembered as deleted.
MAX_DELETED = 8192


@dataclass
class Layout:
    """The machines with the queue laid on them: what bids and reoffers look at."""

    lines: list[Line]
    # When the waiting tasks of each job would begin, in seconds; those beyond the forecast are
    # missing.
    starts: dict[str, list[float]]


class PartRuntime:
    def __init__(self, shared: Shared, tenure: Tenure):
        self.lock = threading.RLock()
        self.shared, self.tenure, self.part = shared, tenure, tenure.part
        self.machines: dict[str, Machine] = {}
        self.facts: dict[Key, Fact] = {}
        self.stops: dict[Key, Stop] = {}
        # How long what was started had queued here, and since when what waits does.
        self.waits: deque[timedelta] = deque(maxlen=64)
        self.queued: dict[str, datetime] = {}
        self.wake_up = trio.Event()
        # Steps begun and ended, for reports that wait for one; the event is set at every end.
        self.step_ended = trio.Event()
        self.begun = self.ended = 0
        # Pairs that just failed: a job's task is not put on the same machine again at once.
        self.avoid: dict[str, dict[str, datetime]] = {}
        self.backoff: dict[str, tuple[int, datetime]] = {}
        # Rooms that boot, filled in by rental, and machines hired in this term that have not
        # reported yet.
        self.booting: list[Room] = []
        self.rented: set[str] = set()
        self.left: list[Pending] = []
        self.seq = 0
        self.width = records.shard_width(shared.settings.value_bytes)
        # Tasks not placed, by job, and the marks of the records that this was worked out from.
        self._unplaced: dict[str, tuple[tuple[int, int], Ranges]] = {}
        self._queue: tuple[tuple[int, int], datetime, list[Pending]] = ((-1, -1), clock.ORIGIN, [])
        self._layouts: deque[tuple[tuple, datetime, timedelta, Layout]] = deque(maxlen=4)
        # Machines on which room is being made, for which job, and until when it is kept.
        self.reservations: dict[str, tuple[str, datetime]] = {}
        # Since when jobs are kept from room that fits them for the sake of others.
        self.passed_over: dict[str, datetime] = {}
        # Until when no more room is kept for gangs, see `gang_room`.
        self.keeping_until = clock.ORIGIN
        # Types that waiting services are kept from for now.
        self.withheld_types: dict[str, frozenset[str]] = {}
        # Conditions of the last transaction, if nobody knows whether it was, or will be, carried
        # out.
        self.unsettled: dict[str, int] = {}
        # Machines without its image that a service keeps off for a moment.
        self.without_image: dict[str, set[str]] = {}
        # Machines named in the transaction whose answer is out; they must not be returned
        # meanwhile.
        self.in_flight: set[str] = set()
        # Starts that were just recorded and must not wait for a report, and who tells their
        # machines.
        self.urgent: dict[str, list[tuple[Key, Attempt]]] = {}
        self.order_now: Callable[[PartRuntime, str, list[tuple[Key, Attempt]]], None] | None = None
        # Machines on which a gang that gathers has lost a task, by job: its attempt goes on
        # elsewhere.
        self.lost_on: dict[str, tuple[int, set[str]]] = {}
        # Gangs of which a part is recorded and the rest still to be, with their attempt's number.
        self.filling: dict[str, int] = {}
        # Gangs that are to be apart: the last attempt of which this part started its share.
        self.joined: dict[str, int] = {}
        # Such gangs whose attempt is over: all shares are to be bid for anew.
        self.to_release: set[str] = set()
        # Fewer changes in a transaction than the settings say, once the service has found one too
        # large.
        self.most_rows: int | None = None
        self.reserved_at: dict[str, datetime] = {}

    # Looking at the records.

    def by_machine(self) -> dict[str, Rows]:
        return self.shared.view.machines.get(self.part, {})

    def works(self) -> dict[str, Work]:
        return self.shared.view.slices.get(self.part, {})

    def live(self, job: str) -> Job | None:
        return None if job in self.shared.cancelled else self.shared.view.jobs.get(job)

    def pending(self) -> list[Pending]:
        """The queue, in order; worked out anew only when the records have changed or a moment has
        passed. Callers do not change it."""
        view, now = self.shared.view, clock.now()
        mark = (view.version, len(self.shared.cancelled))
        if self._queue[0] == mark and now - self._queue[1] < REUSE:
            return self._queue[2]
        sure, late = self.shared.guaranteed(), self.shared.overdue(now)
        out: list[Pending] = []
        for name in view.held.get(self.part, ()):
            job = view.jobs[name]
            if (
                name in self.shared.cancelled
                or name in self.backoff
                and self.backoff[name][1] > now
            ):
                continue
            tasks = self.unplaced(job)
            if job.spec.gang:
                if tasks and (item := gangs.waiting(self, job, tasks)) is not None:
                    out.append(
                        replace(
                            item,
                            guaranteed=name in sure,
                            overdue=name in late.get(job.spec.team, ()),
                        )
                    )
                continue
            tasks = ranges.first(tasks, MAX_PENDING)
            if not tasks:
                continue
            if name in late.get(job.spec.team, ()):
                first = ranges.first(tasks, 1)
                out.append(Pending(job, first, name in sure, True))
                tasks = ranges.minus(tasks, first)
            if tasks:
                out.append(Pending(job, tasks, name in sure))
        wall, deadlines = clock.wall(), self.shared.deadlines
        out.sort(
            key=lambda item: policy.rank(
                item, policy.lateness(item.job, wall, deadlines(item.job.spec))
            )
        )
        self._queue = (mark, now, out)
        return out

    def layout(self, least: int, avoid: frozenset[str]) -> Layout:
        """The machines with the queue from a priority on laid on them. One layout serves all that
        is asked of a moment, for in a burst bids come by the dozen; what took long to work out
        serves longer."""
        now, mark = clock.now(), (least, avoid, len(self.booting))
        for key, at, window, layout in self._layouts:
            if key == mark and now - at < window:
                return layout
        booting = [replace(room) for room in self.booting if room.id not in self.machines]
        lines = [line for line in self.lines(booting) if line.room.machine_type not in avoid]
        queue = [item for item in self.pending() if item.job.spec.priority >= least]
        starts = forecast.lay(queue, lines, self.run_seconds, self.most_forecast(lines))
        layout = Layout(lines, starts)
        self._layouts.append(
            (mark, now, max(REUSE * 2, self.shared.rest(clock.now() - now)), layout)
        )
        return layout

    @staticmethod
    def most_forecast(lines: list[Line]) -> int:
        """How far down the queue a forecast looks: to about where every machine has been filled
        anew."""
        return max(128, 6 * len(lines))

    def unplaced(self, job: Job) -> Ranges:
        """Tasks of a job that this part holds and has not placed."""
        work = self.works().get(job.id)
        if work is None:
            return job.alloc.get(self.part, ())
        known, mark = self._unplaced.get(job.id), (job.mod_revision, work.changed)
        if known is None or known[0] != mark:
            if len(self._unplaced) >= MAX_KNOWN:
                self._unplaced.clear()
            known = self._unplaced[job.id] = (mark, self._find_unplaced(job, work))
        return known[1]

    def _find_unplaced(self, job: Job, work: Work) -> Ranges:
        held = job.alloc.get(self.part, ())
        if len(work.run) + ranges.size(work.done) >= ranges.size(held):
            if work.run.keys() >= set(ranges.numbers(ranges.minus(held, work.done))):
                return ()
        return ranges.minus(held, ranges.union(work.done, ((n, n + 1) for n in work.run)))

    def rooms(self, ended: Container[Key] = (), least: Need | None = None) -> list[Room]:
        """Machines that may be given work, with what the records leave free on them; `ended`:
        attempts that the transaction in the making takes out. `least`: only those that have so much
        room."""
        now, machine_types, marks = (
            clock.now(),
            self.shared.machine_types,
            self.shared.view.marks.get(self.part, {}),
        )
        back: dict[str, list[Need]] = {}
        for key in ended:
            work = self.works().get(key[0])
            attempt = work.run.get(key[1]) if work is not None else None
            if attempt is not None:
                back.setdefault(attempt.machine, []).append(work.need)
        silent, out = self.shared.settings.report_every * 2.2, []
        for machine in self.machines.values():
            machine_type = machine_types.get(machine.machine_type)
            if machine_type is None or not self.usable(machine, now, silent):
                continue
            whole, mark = machine_type.room, marks.get(machine.id, 0)
            if machine.free is None or machine.free[0] != mark:
                machine.free = (mark, *self._left(machine.id, whole))
            _, cpus, gpus, memory = machine.free
            for need in back.get(machine.id, ()):
                cpus, gpus, memory = cpus + need.cpus, gpus + need.gpus, memory + need.memory
            if least is not None and (
                least.gpus > gpus + policy.EPS
                or least.cpus > cpus + policy.EPS
                or least.memory > memory + policy.EPS
            ):
                continue
            out.append(
                Room(
                    machine.id,
                    machine.machine_type,
                    machine.zone,
                    machine.spot,
                    cpus,
                    gpus,
                    memory,
                    machine.images,
                    whole,
                    0.0,
                    machine_type.spot_price if machine.spot else machine_type.price,
                    machine_type.pull,
                )
            )
        return out

    def _left(self, machine: str, whole: Need) -> tuple[float, float, float]:
        """What the records leave free of a machine."""
        cpus, gpus, memory = whole.cpus, whole.gpus, whole.memory
        for work, _ in self.by_machine().get(machine, {}).values():
            need = work.need
            cpus, gpus, memory = cpus - need.cpus, gpus - need.gpus, memory - need.memory
        return cpus, gpus, memory

    def usable(self, machine: Machine, now: datetime, silent: timedelta) -> bool:
        return (
            machine.draining is None
            and machine.recall_at is None
            and not machine.fencing
            and machine.foreign == 0
            # Until a machine has carried our token it may be a late copy of a report that we see;
            # one that we hired in this term and that reports for the first time is no such thing.
            and (machine.ours or machine.expected)
            and machine.fresh(now, silent)
            and len(machine.failures) < self.shared.operator.error_limit
        )

    def run_seconds(self, job: Job) -> float:
        return forecast.run_seconds(job, self.shared.factor(job.spec.job_class))

    def lines(self, more: list[Room]) -> list[Line]:
        """The machines with what runs on them and when that is thought to end."""
        now, index = clock.now(), self.by_machine()
        out = []
        lengths: dict[str, float | None] = {}
        for room in self.rooms():
            machine = self.machines[room.id]
            releases = []
            for key, (work, attempt) in index.get(room.id, {}).items():
                if key in self.stops:
                    releases.append((self.stops[key].grace.total_seconds() + 1.0, work.need))
                    continue
                if work.job not in lengths:
                    job = self.shared.view.jobs.get(work.job)
                    lengths[work.job] = (
                        None if job is None or job.spec.service else self.run_seconds(job)
                    )
                run = lengths[work.job]
                if run is None:
                    continue
                seen = machine.tasks.get(key)
                if (
                    seen is not None
                    and seen.attempt == attempt.number
                    and seen.running_since is not None
                ):
                    spent = (now - seen.running_since).total_seconds()
                    # An estimate that has been passed says little: the longer it ran, the longer it
                    # may.
                    left = max(run - spent, 0.25 * spent, 1.0)
                else:
                    spec = self.shared.view.jobs[work.job].spec
                    left = run + room.fetch(spec.image, spec.image_gb)
                releases.append((left, work.need))
            releases.sort(key=_when)
            out.append(Line(room, releases))
        return out + [Line(room) for room in more]

    # Reports.

    def token(self, machine: Machine | None = None) -> int:
        """What goes out as the token: the term, and below it which of the machine's lives this is,
        so that what a former life said, however late it comes, is told from what this one says."""
        return self.tenure.term << records.INCARNATION_BITS | (
            machine.incarnation if machine is not None else 0
        )

    def calm(self, data: Any, now: datetime) -> int | None:
        """A report that brings nothing new, which nearly all do: known to be answered with no
        orders by comparing it with the last one. Gives the token to answer with; None: it must be
        looked at."""
        machine = (
            self.machines.get(data.get("hitch")) if isinstance(data.get("hitch"), str) else None
        )
        if machine is None or machine.calm is None:
            return None
        session, seq = data.get("stint"), data.get("tick")
        marks = self.shared.view.marks.get(self.part, {})
        if (
            type(session) is not int
            or type(seq) is not int
            or not machine.order < (session, seq) < (machine.order[0], 1 << 64)
            or data.get("baton") != self.token(machine)
            or data.get("recallS") is not None
            or data.get("legs") != machine.rows
            or data.get("address") != machine.address
            or marks.get(machine.id, 0) != machine.calm
        ):
            return None
        machine.order = (session, seq)
        machine.note_report(now, self.shared.settings.report_every)
        machine.answered = now
        return self.token(machine)

    async def report(self, report: Report) -> tuple[int, list[dict]] | None:
        """Token and orders for the response; None for a report that is not newer than what we had.

        What a report brings may call for orders: room came free, a machine came up. Its response
        waits the little while that recording takes, so that the next task starts now and not a
        report later."""
        now = clock.now()
        if report.machine in self.shared.deleted:
            # A report that was held back on its way: the machine is gone, and must not come to life
            # here.
            return None
        with self.lock:
            machine = self.machines.get(report.machine)
            fresh = machine is None
            if report.token >> records.INCARNATION_BITS > self.tenure.term:
                # It follows a newer owner; our answer would be dropped.
                return None
            if machine is None:
                if report.token >> records.INCARNATION_BITS == self.tenure.term:
                    # Only machines that we answered in this term carry its token, and we know them
                    # all until they are deleted: a late copy from a machine that is no more.
                    return None
                machine = Machine(
                    report.machine, report.address, report.machine_type, report.zone, report.spot
                )
                machine.expected = (
                    report.machine in self.rented and report.session == 1 and not report.tasks
                )
                self.rented.discard(report.machine)
                self.machines[machine.id] = machine
                log.info(
                    "machine-up",
                    part=self.part,
                    machine=machine.id,
                    machine_type=machine.machine_type,
                    spot=machine.spot,
                )
                self.wake_up.set()
            elif (
                report.order <= machine.order or machine.ours and report.token < self.token(machine)
            ):
                # A late copy, or a machine that began anew: only the machine itself can tell.
                machine.doubted = True
                return None
            had_notice, was_ours = machine.recall_at is not None, machine.ours
            before = len(self.facts)
            machine.note_report(now, self.shared.settings.report_every)
            orders = self._orders(machine, report, now)
            news = fresh or len(self.facts) != before or machine.ours != was_ours
            if machine.ours and not was_ours:
                machine.heard_us = now
            if machine.recall_at is not None and not had_notice:
                log.info("notice", part=self.part, machine=machine.id, seconds=report.notice)
                self._evacuate(machine, self.by_machine().get(machine.id, {}), now)
                news = True
            if not news:
                machine.answered = now
                self._note_calm(machine, report, orders)
                return self.token(machine), orders
            self.wake_up.set()
            want = self.begun + 1
        incarnation = machine.incarnation
        with trio.move_on_after(ANSWER_WAIT.total_seconds()):
            while self.ended < want:
                await self.step_ended.wait()
        if (
            self.shared.ownership.tenure(self.part) != self.tenure
            or machine.incarnation != incarnation
        ):
            return None
        now = clock.now()
        with self.lock:
            machine.answered = now
            orders = self._orders(machine, report, now)
            self._note_calm(machine, report, orders)
            return self.token(machine), orders

    def _note_calm(self, machine: Machine, report: Report, orders: list[dict]) -> None:
        machine.rows = report.rows
        recorded = self.by_machine().get(machine.id, {})
        still = (
            not orders
            and machine.ours
            and machine.recall_at is None
            and machine.tasks.keys() == recorded.keys()
        )
        if still and not any(key in self.facts for key in recorded):
            machine.calm = self.shared.view.marks.get(self.part, {}).get(machine.id, 0)
        else:
            machine.calm = None

    def _orders(self, machine: Machine, report: Report, now: datetime) -> list[dict]:
        recorded = self.by_machine().get(machine.id, {})
        for key, (_, attempt) in recorded.items():
            if self.live(key[0]) is None:
                self._stop_useless(key, attempt, now)
        may_start = self.shared.ownership.may_start(now) and not machine.fencing
        jobs = {key[0]: job for key in recorded if (job := self.live(key[0])) is not None}
        orders = fleet.read(
            machine,
            report,
            self.token(machine),
            recorded,
            jobs,
            self.part,
            self.stops,
            self.facts,
            may_start,
            now,
        )
        self._learn(machine, recorded, now)
        return orders

    def begin_incarnation(self, machine: Machine, order: tuple[int, int]) -> None:
        """The machine itself has shown that it began anew: what its former life said proves nothing
        any more, and what it held is gone only once a report of this life under its own token lacks
        it."""
        with self.lock:
            log.info(
                "machine-anew",
                part=self.part,
                machine=machine.id,
                incarnation=machine.incarnation + 1,
            )
            machine.begin_anew(order)
        self.wake_up.set()

    def stop(self, key: Key, attempt: Attempt, grace: timedelta, why: str, now: datetime) -> None:
        self.stops[key] = Stop(attempt.number, grace, why, now, attempt.machine)
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            machine.calm = None

    def _stop_useless(self, key: Key, attempt: Attempt, now: datetime) -> None:
        stop = self.stops.get(key)
        if stop is None or stop.attempt != attempt.number or stop.grace > clock.ZERO:
            self.stop(key, attempt, clock.ZERO, "cancelled", now)

    def stop_dead(self, now: datetime) -> None:
        """Tasks whose job is over or cancelled are stopped without grace: their work is useless."""
        for name, work in self.works().items():
            if work.run and self.live(name) is None:
                for task_index, attempt in work.run.items():
                    self._stop_useless((name, task_index), attempt, now)

    def _evacuate(self, machine: Machine, recorded: Rows, now: datetime) -> None:
        """A spot notice: let tasks run as long as it pays, then save and go."""
        left = (machine.recall_at or now) - now
        for key, (_, attempt) in recorded.items():
            job = self.live(key[0])
            if job is None or key in self.stops:
                continue
            if job.spec.checkpoint > clock.ZERO:
                grace = min(
                    max(left - timedelta(seconds=1), clock.ZERO),
                    job.spec.save + timedelta(seconds=2),
                )
                if job.spec.gang:
                    # All of it saves together, or nothing is saved.
                    gangs.stop_whole(self, job, "notice", now)
                else:
                    self.stop(key, attempt, grace, "notice", now)

    def _learn(self, machine: Machine, recorded: Rows, now: datetime) -> None:
        machine_type = self.shared.machine_types.get(machine.machine_type)
        for key, seen in machine.tasks.items():
            job = self.shared.view.jobs.get(key[0])
            if job is None or machine_type is None:
                continue
            if seen.state == "running":
                machine.note_image(job.spec.image, job.spec.image_gb, machine_type.cache_gb)
        if recorded or machine.tasks:
            machine.empty_since = None
        elif machine.empty_since is None:
            machine.empty_since = now

    # The loop.

    async def run(self) -> None:
        while self.shared.ownership.tenure(self.part) == self.tenure:
            with trio.move_on_after(0.5):
                await self.wake_up.wait()
            again = True
            while again and self.shared.ownership.tenure(self.part) == self.tenure:
                # Together with what comes in the next moment: fewer and fuller transactions.
                await clock.pause(STEP_GAP)
                self.wake_up = trio.Event()
                self.begun += 1
                try:
                    again = await self.step()
                except Unavailable:
                    # Whether it was carried out shows in the records; every later write is
                    # conditional.
                    await clock.pause(timedelta(milliseconds=200))
                    again = False
                except Exception:
                    log.crash("step-failed", part=self.part)
                    await clock.pause(timedelta(seconds=1))
                    again = False
                finally:
                    self.ended = self.begun
                    step_ended, self.step_ended = self.step_ended, trio.Event()
                    step_ended.set()

    async def step(self) -> bool:
        now = clock.now()
        if not self.shared.ownership.may_start(now):
            return False
        if self.unsettled and not await self._settle():
            return False
        # The budget comes first: what waits for it then goes out in one transaction, not in many.
        await self.shared.state.ready()
        now = clock.now()
        if not self.shared.ownership.may_start(now):
            return False
        with self.lock:
            self.stop_dead(now)
            gangs.keep_whole(self, now)
            self._tidy(now)
            batch = Batch(
                self.shared.view, self.part, self.tenure, self.shared.settings, self.most_rows
            )
            more = ends.record_ends(self, batch, now)
            more = starts.start(self, batch, now) or more
            starts.reserve(self, batch, now)
        if not batch.rows:
            return False
        rows = list(batch.rows.values())
        self.in_flight = {a.machine for piece in batch.slices.values() for a in piece.run.values()}
        try:
            revision = await commit(
                self.shared.state, batch.when, rows, within=timedelta(seconds=3)
            )
        except TooLarge as error:
            # Certainly not carried out, and never would be: next time in smaller pieces.
            log.error("too-large", part=self.part, changes=len(rows), error=str(error))
            self.most_rows = max(2, len(rows) // 2)
            raise
        except Unavailable:
            self.unsettled = dict(batch.when)
            raise
        except Conflict as conflict:
            log.debug("conflict", part=self.part, failed=conflict.failed)
            with trio.move_on_after(2):
                await self.shared.reader.sync()
            return True
        else:
            self.shared.view.applied(rows, revision)
            for call in batch.after:
                call()
            self._order_urgent()
        finally:
            self.in_flight = set()
        return more

    def _order_urgent(self) -> None:
        """What must start at once is ordered directly, as soon as it is recorded; the rest with the
        next report."""
        urgent, self.urgent = self.urgent, {}
        if self.order_now is not None:
            for machine, rows in urgent.items():
                self.order_now(self, machine, rows)

    async def _settle(self) -> bool:
        """A transaction without an answer may be carried out late. Starts are bounded by what is
        set aside and not by the team's record, so a late one would come on top of what was started
        since. Before anything else is written, one of its conditions is made false for good, or the
        records show that it was carried out."""
        view, unsettled = self.shared.view, self.unsettled
        with trio.move_on_after(2):
            await self.shared.reader.sync()
            if any(
                view.mod_revision(key) != mod_revision for key, mod_revision in unsettled.items()
            ):
                self.unsettled = {}
                return True
            for key, mod_revision in unsettled.items():
                value = (
                    view.value(key) if mod_revision and key != keys.term_key(self.part) else None
                )
                if value is None:
                    continue
                when = {key: mod_revision, keys.term_key(self.part): self.tenure.mod_revision}
                rows = [put(key, value)]
                try:
                    revision = await commit(
                        self.shared.state, when, rows, within=timedelta(seconds=1.5)
                    )
                except (Conflict, Unavailable):
                    return False
                view.applied(rows, revision)
                log.info("made-sure", part=self.part, key=key)
                self.unsettled = {}
                return True
        return False

    def _recorded(self, key: Key) -> Attempt | None:
        work = self.works().get(key[0])
        return work.run.get(key[1]) if work is not None else None

    def _tidy(self, now: datetime) -> None:
        for rows in (self.facts, self.stops):
            for key in [
                k
                for k, row in rows.items()
                if (a := self._recorded(k)) is None or a.number != row.attempt
            ]:
                del rows[key]
        for job in [j for j in self.joined if self.live(j) is None]:
            del self.joined[job]
        self.to_release = {job for job in self.to_release if self.live(job) is not None}
        for job in [j for j, attempt in self.filling.items() if gangs.filled(self, j, attempt)]:
            del self.filling[job]
        for job in [
            job for job, (attempt, _) in self.lost_on.items() if gangs.number(self, job) != attempt
        ]:
            del self.lost_on[job]
        for job, pairs in list(self.avoid.items()):
            for machine in [m for m, until in pairs.items() if until <= now]:
                del pairs[machine]
            if not pairs:
                del self.avoid[job]
        if self.reservations:
            waiting = {item.job.id for item in self.left}
            for name in [
                n
                for n, (job, until) in self.reservations.items()
                if until <= now or job not in waiting
            ]:
                del self.reservations[name]
        for job in [
            j for j, (_, until) in self.backoff.items() if until + timedelta(minutes=5) < now
        ]:
            del self.backoff[job]

    # Gone for certain.

    def gone(self, machine: str, cause: str) -> None:
        """Proof from outside a report: the cloud's answer to a deletion, or a lease that ran
        out."""
        with self.lock:
            for key, (_, attempt) in self.by_machine().get(machine, {}).items():
                self.facts.setdefault(key, Fact(attempt.number, machine, False, cause))
            if cause == "deleted":
                self.machines.pop(machine, None)
                self.rented.discard(machine)
                self.shared.deleted[machine] = clock.now()
                while len(self.shared.deleted) > MAX_DELETED:
                    self.shared.deleted.popitem(last=False)
        self.wake_up.set()


def _when(row: tuple[float, Need]) -> float:
    return row[0]
