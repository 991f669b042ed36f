"""An owner's work on its part, for one term: queue, placement, records, silent machines.

The truth about attempts is in the slice records as the view shows them. What is kept here besides is
what can be lost: what machines last showed, the ends not yet recorded, stops that were decided."""

import threading
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet import machines as fleet
from roadbend.fleet.machines import Fact, Key, Machine, Stop
from roadbend.fleet.messages import Report
from roadbend.log import Log
from roadbend.parts.ownership import Ownership, Tenure
from roadbend.placement import forecast, policy
from roadbend.placement.forecast import Line
from roadbend.placement.policy import Pending, Room
from roadbend.rental import policy as renting
from roadbend.rental.cloud import Rig
from roadbend.settings import Operator, Settings
from roadbend.store import ranges, records
from roadbend.store.client import Conflict, StateClient, Unavailable, commit, delete, put
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Job, Need, Slice, Spec, Use
from roadbend.store.view import Reader, View

log = Log("placement")
MOST_PENDING = 96
# How far down the queue a forecast looks; in a burst hundreds wait, and a round must stay cheap.
MOST_FORECAST = 128
# For how long a queue or a layout that was worked out may serve again, while the records stand still.
REUSE = timedelta(milliseconds=300)
# How long room that is being made is kept for the task that it is made for.
PLEDGE = timedelta(seconds=15)
# How long a report that brought news may wait for what it calls for; workers wait 4 s.
ANSWER_WAIT = timedelta(milliseconds=400)


@dataclass
class Shared:
    """What a controller's parts have in common."""

    settings: Settings
    op: Operator
    state: StateClient
    view: View
    reader: Reader
    ownership: Ownership
    rigs: dict[str, Rig] = field(default_factory=dict)
    # Jobs that a peer told its user are cancelled, before the records say so here.
    cancelled: OrderedDict[str, datetime] = field(default_factory=OrderedDict)
    # Who is within its team's guarantee, by the view's version.
    guarantee: tuple[int, set[str]] = (-1, set())
    # Machines that we deleted lately; the cloud's list goes on showing them for a while.
    deleted: OrderedDict[str, datetime] = field(default_factory=OrderedDict)
    # By lane, how long tasks ran over how long their owner said, learnt as they end.
    factors: dict[str, float] = field(default_factory=dict)

    def factor(self, lane: str) -> float:
        return self.factors.get(lane, 1.0)

    def start_within(self, spec: Spec) -> timedelta | None:
        """How soon a task should start, where an aim says so, of its class or of work in a guarantee."""
        rows = [
            o.within
            for o in self.settings.objectives
            if o.within is not None and (o.kind == "wait" and o.lane == spec.lane or o.kind == "guarantee")
        ]
        return min(rows, default=None) if spec.service else None

    def patience(self, spec: Spec, boot: timedelta) -> timedelta:
        """How long a service may be held back from machines on which it is dear."""
        within = self.start_within(spec)
        spare = (within - boot * 1.1) / 2 if within is not None else clock.ZERO
        return max(self.op.dear_wait, spare)

    def learn(self, job: Job, ran: timedelta) -> None:
        if job.spec.expected > timedelta(seconds=1):
            x = min(4.0, max(0.25, ran / job.spec.expected))
            self.factors[job.spec.lane] = 0.93 * self.factor(job.spec.lane) + 0.07 * x
            while len(self.factors) > 256:
                self.factors.pop(next(iter(self.factors)))

    def guaranteed(self) -> set[str]:
        if self.guarantee[0] != self.view.version:
            self.guarantee = (self.view.version, within_guarantee(self.view.jobs.values(), self.settings))
        return self.guarantee[1]


def within_guarantee(jobs: Iterable[Job], settings: Settings) -> set[str]:
    """Jobs that fit into their team's guarantee together with its earlier unfinished jobs."""
    used: dict[str, list[float]] = {}
    out = set()
    for job in sorted(jobs, key=lambda j: (j.at, j.id)):
        team = settings.teams.get(job.spec.team)
        if team is None:
            continue
        sums = used.setdefault(team.name, [0.0, 0.0])
        total = job.spec.need.times(job.spec.legs)
        sums[0] += total.cpus
        sums[1] += total.gpus
        fits = (team.cpus <= 0 or sums[0] <= team.cpus) and (team.gpus <= 0 or sums[1] <= team.gpus)
        if fits and (team.cpus > 0 or team.gpus > 0):
            out.add(job.id)
    return out


class Batch:
    """One transaction in the making: working copies of what it changes, and its conditions."""

    def __init__(self, view: View, part: str, tenure: Tenure, txn_ops: int):
        self._view, self._part, self._most = view, part, txn_ops
        self.when: dict[str, int] = {records.term_key(part): tenure.stamp}
        self.rows: dict[str, dict] = {}
        self.slices: dict[str, Slice] = {}
        self.teams: dict[str, Use] = {}
        self._bytes = 0

    def slice(self, job: str, team: str, need: Need) -> Slice:
        if job in self.slices:
            return self.slices[job]
        found = self._view.slices.get(self._part, {}).get(job)
        return found or Slice(job, self._part, team, need)

    def team(self, name: str) -> Use:
        return self.teams.get(name) or self._view.teams.get(name) or Use(name)

    def room_for(self, *keys: str) -> bool:
        fresh = sum(1 for key in keys if key not in self.rows)
        return len(self.rows) + fresh <= self._most and self._bytes < 40_000

    def need_job(self, job: Job) -> None:
        self.when[records.job_key(job.id)] = job.stamp

    def set_slice(self, piece: Slice) -> None:
        key = records.slice_key(self._part, piece.job)
        self.when.setdefault(key, self._view.stamp(key))
        self.slices[piece.job] = piece
        self._bytes += 0 if key in self.rows else piece.weight
        self.rows[key] = put(key, piece.to_value())

    def drop_slice(self, job: str) -> None:
        key = records.slice_key(self._part, job)
        self.when.setdefault(key, self._view.stamp(key))
        self.rows[key] = delete(key)

    def set_team(self, use: Use) -> None:
        key = records.team_key(use.team)
        self.when.setdefault(key, self._view.stamp(key))
        self.teams[use.team] = use
        self.rows[key] = put(key, use.to_value())

    def set_job(self, job: Job) -> None:
        self.need_job(job)
        key = records.job_key(job.id)
        self.rows[key] = put(key, job.to_value())

    def end_job(self, job: Job, status: str, done: int) -> None:
        self.need_job(job)
        key, fin = records.job_key(job.id), records.fin_key(job.id)
        self.when[fin] = 0
        self.rows[key] = delete(key)
        self.rows[fin] = put(fin, records.fin_value(status, done))


def charge(use: Use, part: str, need: Need, sign: int) -> Use:
    cpus, gpus = use.parts.get(part, (0.0, 0.0))
    return use.with_part(part, max(0.0, cpus + sign * need.cpus), max(0.0, gpus + sign * need.gpus))


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
        self.kick = trio.Event()
        # Set whenever the loop has done all that there was to do.
        self.rested = trio.Event()
        self.stepping = False
        # Pairs that just failed: a task is not put on the same machine again at once.
        self.avoid: dict[tuple[str, str], datetime] = {}
        self.backoff: dict[str, tuple[int, datetime]] = {}
        # Rooms that boot, filled in by rental.
        self.booting: list[Room] = []
        self.left: list[Pending] = []
        self._seq = 0
        self._queue: tuple[tuple[int, int], datetime, list[Pending]] = ((-1, -1), clock.ORIGIN, [])
        self._layouts: deque[tuple[tuple, datetime, list[Line]]] = deque(maxlen=4)
        self._index: tuple[int, dict[str, dict[Key, tuple[Slice, Attempt]]]] = (-1, {})
        # Machines on which room is being made, and for whom: (job, task) -> (machine, until).
        self.pledges: dict[Key, tuple[str, datetime]] = {}
        # Types that waiting services are kept from for now.
        self.held_back: dict[str, frozenset[str]] = {}
        # Machines named in the transaction whose answer is out; they must not be returned meanwhile.
        self.in_flight: set[str] = set()

    @property
    def _pledged(self) -> set[str]:
        return {machine for machine, _ in self.pledges.values()}

    # Looking at the records.

    def by_machine(self) -> dict[str, dict[Key, tuple[Slice, Attempt]]]:
        view = self.shared.view
        if self._index[0] != view.version:
            index: dict[str, dict[Key, tuple[Slice, Attempt]]] = {}
            for piece in view.slices.get(self.part, {}).values():
                for leg, attempt in piece.run.items():
                    index.setdefault(attempt.machine, {})[(piece.job, leg)] = (piece, attempt)
            self._index = (view.version, index)
        return self._index[1]

    def live(self, job: str) -> Job | None:
        return None if job in self.shared.cancelled else self.shared.view.jobs.get(job)

    def pending(self) -> list[Pending]:
        """The queue, in order; worked out anew only when the records have changed or a moment has passed.
        Callers do not change it."""
        view, now = self.shared.view, clock.now()
        mark = (view.version, len(self.shared.cancelled))
        if self._queue[0] == mark and now - self._queue[1] < REUSE:
            return self._queue[2]
        sure = self.shared.guaranteed()
        out: list[Pending] = []
        for job in view.jobs.values():
            held = job.alloc.get(self.part)
            if not held or job.id in self.shared.cancelled:
                continue
            if job.id in self.backoff and self.backoff[job.id][1] > now:
                continue
            for leg in ranges.numbers(ranges.first(self.loose(job), MOST_PENDING)):
                out.append(Pending(job, leg, job.id in sure))
        out.sort(key=policy.rank)
        self._queue = (mark, now, out)
        return out

    def layout(self, least: int, avoid: frozenset[str]) -> list[Line]:
        """The machines with the queue from a priority on laid on them: what a bid looks at. One layout
        serves all bids of a moment, for in a burst they come by the dozen. Callers do not change it."""
        now, mark = clock.now(), (self.shared.view.version, least, avoid, len(self.booting))
        for key, at, lines in self._layouts:
            if key == mark and now - at < REUSE:
                return lines
        booting = [replace(room) for room in self.booting if room.id not in self.machines]
        lines = [line for line in self.lines(booting) if line.room.rig not in avoid]
        for item in self.pending()[:MOST_FORECAST]:
            if item.job.spec.priority >= least:
                start, line = forecast.earliest(item.job, lines)
                if line is not None:
                    line.put(item.job, start, self.run_seconds(item.job))
        self._layouts.append((mark, now, lines))
        return lines

    def loose(self, job: Job) -> Ranges:
        """Tasks of a job that this part holds and has not placed."""
        held, piece = job.alloc.get(self.part, ()), self.shared.view.slices.get(self.part, {}).get(job.id)
        if piece is None:
            return held
        return ranges.minus(held, ranges.union(piece.done, ((n, n + 1) for n in piece.run)))

    def rooms(self) -> list[Room]:
        """Machines that may be given work, with what the records leave free on them."""
        now, index = clock.now(), self.by_machine()
        out = []
        for machine in self.machines.values():
            rig = self.shared.rigs.get(machine.rig)
            if rig is None or not self.usable(machine, now):
                continue
            room = Room(
                machine.id, machine.rig, machine.zone, machine.spot,
                rig.room.cpus, rig.room.gpus, rig.room.memory,
                frozenset(machine.images), rig.room, 0.0, rig.spot_price if machine.spot else rig.price, rig.pull,
            )  # fmt: skip
            for piece, _ in index.get(machine.id, {}).values():
                room.take(piece.need)
            out.append(room)
        return out

    def usable(self, machine: Machine, now: datetime) -> bool:
        return (
            machine.draining is None
            and machine.recall_at is None
            and not machine.fencing
            and machine.foreign == 0
            and (machine.ours or machine.order[0] == 1 and not machine.tasks)
            and machine.fresh(now, self.shared.settings.report_every * 2.2)
            and len(machine.failures) < self.shared.op.error_limit
        )

    def run_seconds(self, job: Job) -> float:
        return forecast.run_seconds(job, self.shared.factor(job.spec.lane))

    def lines(self, more: list[Room]) -> list[Line]:
        """The machines with what runs on them and when that is thought to end."""
        now, index = clock.now(), self.by_machine()
        out = []
        for room in self.rooms():
            machine = self.machines[room.id]
            releases = []
            for key, (piece, attempt) in index.get(room.id, {}).items():
                if key in self.stops:
                    releases.append((self.stops[key].grace.total_seconds() + 1.0, piece.need))
                    continue
                job = self.shared.view.jobs.get(key[0])
                if job is None or job.spec.service:
                    continue
                seen = machine.tasks.get(key)
                run = self.run_seconds(job)
                if seen is not None and seen.attempt == attempt.number and seen.running_since is not None:
                    spent = (now - seen.running_since).total_seconds()
                    # An estimate that has been passed says little: the longer it ran, the longer it may.
                    left = max(run - spent, 0.25 * spent, 1.0)
                else:
                    left = run + room.fetch(job.spec.image, job.spec.image_gb)
                releases.append((left, piece.need))
            releases.sort(key=lambda row: row[0])
            out.append(Line(room, releases))
        return out + [Line(room) for room in more]

    # Reports.

    async def report(self, report: Report) -> list[dict] | None:
        """The orders for the response; None for a report that is older than one we had.

        What a report brings may call for orders: room came free, a machine came up. Its response waits
        the little while that recording takes, so that the next task starts now and not a report later."""
        now = clock.now()
        if report.machine in self.shared.deleted:
            # A report that was held back on its way: the machine is gone, and must not come to life here.
            return None
        with self.lock:
            machine = self.machines.get(report.machine)
            fresh = machine is None
            if machine is None:
                machine = Machine(report.machine, report.address, report.rig, report.zone, report.spot)
                self.machines[machine.id] = machine
                log.info("machine-up", part=self.part, machine=machine.id, rig=machine.rig, spot=machine.spot)
                self.kick.set()
            elif report.order <= machine.order:
                return None
            had_notice, was_ours = machine.recall_at is not None, machine.ours
            before = len(self.facts)
            orders = self._orders(machine, report, now)
            news = fresh or len(self.facts) != before or machine.ours != was_ours
            if machine.recall_at is not None and not had_notice:
                log.info("notice", part=self.part, machine=machine.id, seconds=report.notice)
                self._evacuate(machine, self.by_machine().get(machine.id, {}), now)
                news = True
            if not news:
                machine.answered = now
                return orders
            self.kick.set()
        with trio.move_on_after(ANSWER_WAIT.total_seconds()):
            await self._settled(machine.id)
        if self.shared.ownership.tenure(self.part) != self.tenure:
            return None
        now = clock.now()
        with self.lock:
            machine.answered = now
            return self._orders(machine, report, now)

    def _orders(self, machine: Machine, report: Report, now: datetime) -> list[dict]:
        recorded = self.by_machine().get(machine.id, {})
        self._stop_dead(recorded, now)
        may_start = self.shared.ownership.may_start(now) and not machine.fencing
        jobs = {key[0]: job for key in recorded if (job := self.live(key[0])) is not None}
        orders = fleet.read(
            machine, report, self.tenure.term, recorded, jobs, self.part, self.stops, self.facts, may_start, now
        )
        self._learn(machine, recorded, now)
        return orders

    async def _settled(self, machine: str) -> None:
        """Until what this machine's report brought is recorded and nothing more is to be done."""
        await trio.lowlevel.checkpoint()
        while self.kick.is_set() or self.stepping or any(f.machine == machine for f in self.facts.values()):
            await self.rested.wait()

    def _stop_dead(self, recorded, now: datetime) -> None:
        """Tasks whose job is over or cancelled are stopped without grace: their work is useless."""
        for key, (_, attempt) in recorded.items():
            if self.live(key[0]) is None:
                stop = self.stops.get(key)
                if stop is None or stop.attempt != attempt.number or stop.grace > clock.ZERO:
                    self.stops[key] = Stop(attempt.number, clock.ZERO, "cancelled", now)

    def _evacuate(self, machine: Machine, recorded, now: datetime) -> None:
        """A spot notice: let tasks run as long as it pays, then save and go."""
        left = (machine.recall_at or now) - now
        for key, (_, attempt) in recorded.items():
            job = self.live(key[0])
            if job is None or key in self.stops:
                continue
            if job.spec.checkpoint > clock.ZERO:
                grace = min(max(left - timedelta(seconds=1), clock.ZERO), job.spec.save + timedelta(seconds=2))
                self.stops[key] = Stop(attempt.number, grace, "notice", now)

    def _learn(self, machine: Machine, recorded, now: datetime) -> None:
        rig = self.shared.rigs.get(machine.rig)
        for key, seen in machine.tasks.items():
            job = self.shared.view.jobs.get(key[0])
            if job is None or rig is None:
                continue
            if seen.state == "running":
                machine.note_image(job.spec.image, job.spec.image_gb, rig.cache_gb)
        if recorded or machine.tasks:
            machine.empty_since = None
        elif machine.empty_since is None:
            machine.empty_since = now

    # The loop.

    async def run(self) -> None:
        while self.shared.ownership.tenure(self.part) == self.tenure:
            with trio.move_on_after(0.5):
                await self.kick.wait()
            self.kick = trio.Event()
            self.stepping = True
            try:
                again = True
                while again and self.shared.ownership.tenure(self.part) == self.tenure:
                    again = await self.step()
            except Unavailable:
                # Whether it was carried out shows in the records; every later write is conditional.
                await clock.pause(timedelta(milliseconds=200))
            except Exception:
                log.crash("step-failed", part=self.part)
                await clock.pause(timedelta(seconds=1))
            finally:
                self.stepping = False
                rested, self.rested = self.rested, trio.Event()
                rested.set()

    async def step(self) -> bool:
        now = clock.now()
        if not self.shared.ownership.may_start(now):
            return False
        with self.lock:
            for recorded in self.by_machine().values():
                self._stop_dead(recorded, now)
            self._tidy(now)
            batch = Batch(self.shared.view, self.part, self.tenure, self.shared.settings.txn_ops)
            more = self._record_ends(batch, now) or bool(batch.rows)
            if not batch.rows:
                more = self._start(batch, now)
        if not batch.rows:
            return False
        rows = list(batch.rows.values())
        self.in_flight = {a.machine for piece in batch.slices.values() for a in piece.run.values()}
        try:
            ledger = await commit(self.shared.state, batch.when, rows, within=timedelta(seconds=3))
        except Conflict as conflict:
            log.debug("conflict", part=self.part, failed=conflict.failed)
            with trio.move_on_after(2):
                await self.shared.reader.sync()
            return True
        else:
            self.shared.view.applied(rows, ledger)
        finally:
            self.in_flight = set()
        return more

    def _tidy(self, now: datetime) -> None:
        index = self.by_machine()
        live = {(key, entry[1].number) for rows in index.values() for key, entry in rows.items()}
        for key in [k for k, fact in self.facts.items() if (k, fact.attempt) not in live]:
            del self.facts[key]
        for key in [k for k, stop in self.stops.items() if (k, stop.attempt) not in live]:
            del self.stops[key]
        for pair in [p for p, until in self.avoid.items() if until <= now]:
            del self.avoid[pair]
        waiting = {(item.job.id, item.leg) for item in self.left} if self.pledges else set()
        for key in [k for k, (_, until) in self.pledges.items() if until <= now or k not in waiting]:
            del self.pledges[key]
        for job in [j for j, (_, until) in self.backoff.items() if until + timedelta(minutes=5) < now]:
            del self.backoff[job]

    def _record_ends(self, batch: Batch, now: datetime) -> bool:
        """Ends into the records, and slices and jobs that are over out of them."""
        view, part = self.shared.view, self.part
        by_job: dict[str, list[tuple[int, Fact]]] = {}
        for (job, leg), fact in self.facts.items():
            by_job.setdefault(job, []).append((leg, fact))
        # Slices of cancelled jobs with nothing left, and slices all done, also end here.
        for piece in view.slices.get(part, {}).values():
            if not piece.run:
                by_job.setdefault(piece.job, [])
        more = False
        for name, facts in by_job.items():
            piece = view.slices.get(part, {}).get(name)
            if piece is None:
                continue
            job = view.jobs.get(name)
            keys = [records.slice_key(part, name), records.team_key(piece.team)]
            if job is not None:
                keys += [records.job_key(name), records.fin_key(name)]
            if not batch.room_for(*keys):
                more = True
                break
            use, run, done = batch.team(piece.team), dict(piece.run), piece.done
            changed = False
            for leg, fact in facts:
                attempt = run.get(leg)
                if attempt is None or attempt.number != fact.attempt:
                    continue
                del run[leg]
                changed = True
                use = charge(use, part, piece.need, -1)
                if fact.done and job is not None and not job.spec.service:
                    done = ranges.union(done, ((leg, leg + 1),))
                self._note_end(name, leg, fact, now)
            piece = replace(piece, run=run, done=done)
            held = job.alloc.get(part, ()) if job is not None else ()
            over = job is None or not ranges.minus(held, done)
            if over and not run:
                batch.drop_slice(name)
                if job is not None:
                    all_done = ranges.union(job.done, done)
                    if ranges.size(all_done) >= job.spec.legs:
                        batch.end_job(job, "done", job.spec.legs)
                    else:
                        batch.set_job(replace(job.with_part(part, ()), done=all_done))
                changed_slice = False
            else:
                changed_slice = changed
            if changed_slice:
                batch.set_slice(piece)
            if changed:
                batch.set_team(use)
        return more

    def _note_end(self, job: str, leg: int, fact: Fact, now: datetime) -> None:
        log.debug("ended", part=self.part, task=f"{job}/{leg}", machine=fact.machine, cause=fact.cause)
        if fact.cause == "done":
            machine = self.machines.get(fact.machine)
            if machine is not None:
                machine.failures.clear()
                seen, known = machine.tasks.get((job, leg)), self.shared.view.jobs.get(job)
                if known is not None and seen is not None and seen.running_since is not None:
                    self.shared.learn(known, seen.since - seen.running_since)
            self.backoff.pop(job, None)
        elif fact.cause in ("error", "unknown", "no_room", "busy"):
            self.avoid[(job, fact.machine)] = now + timedelta(seconds=20 if fact.cause == "error" else 4)
            if fact.cause == "error":
                machine = self.machines.get(fact.machine)
                if machine is not None:
                    machine.failures[job] = now
                times = self.backoff.get(job, (0, now))[0] + 1
                # A job that fails everywhere comes back ever more slowly and waits for its user.
                pause = timedelta(seconds=min(60.0, 0.5 * 2 ** min(times, 8))) if times > 3 else clock.ZERO
                self.backoff[job] = (times, now + pause)
                log.info("task-error", part=self.part, task=f"{job}/{leg}", machine=fact.machine, times=times)

    def _start(self, batch: Batch, now: datetime) -> bool:
        """Write-ahead of starts. The order goes out only with a report's response, after the answer."""
        queue = self.pending()
        rooms = self.rooms()
        self._hold_back(queue)
        self.queued = {item.job.id: self.queued.get(item.job.id, now) for item in queue}
        headroom = {}
        allowed: list[Pending] = []
        for item in queue:
            team = self.shared.settings.teams.get(item.job.spec.team)
            if team is None:
                continue
            if team.name not in headroom:
                use = batch.team(team.name)
                headroom[team.name] = [
                    (team.cpus_max or float("inf")) - use.cpus,
                    (team.gpus_max or float("inf")) - use.gpus,
                ]
            left, need = headroom[team.name], item.job.spec.need
            if need.cpus <= left[0] + policy.EPS and need.gpus <= left[1] + policy.EPS:
                left[0] -= need.cpus
                left[1] -= need.gpus
                allowed.append(item)
        placed, self.left = self._place(allowed, rooms)
        more = False
        for item, room in placed:
            job, need = item.job, item.job.spec.need
            keys = records.slice_key(self.part, job.id), records.team_key(job.spec.team)
            piece = batch.slice(job.id, job.spec.team, need)
            if piece.weight + 80 > self.shared.settings.value_bytes * 0.85:
                continue
            if not batch.room_for(*keys):
                more = True
                break
            self._seq += 1
            attempt = Attempt((self.tenure.term << 32) | self._seq, room.id)
            batch.need_job(job)
            batch.set_slice(replace(piece, run={**piece.run, item.leg: attempt}))
            batch.set_team(charge(batch.team(job.spec.team), self.part, need, +1))
            wait = clock.wall() - job.at
            self.waits.append(now - self.queued.get(job.id, now))
            log.debug(
                "start", part=self.part, task=f"{job.id}/{item.leg}", machine=room.id,
                wait=f"{wait.total_seconds():.1f}", cached=job.spec.image in room.images,
            )  # fmt: skip
        if not placed and self.left:
            self._preempt(rooms, now)
        return more

    def _hold_back(self, queue: list[Pending]) -> None:
        """Which types a waiting service is kept from, as when bidding."""
        rigs, wall = self.shared.rigs.values(), clock.wall()
        boot = max((rig.startup for rig in rigs), default=clock.ZERO)
        self.held_back = {}
        for item in queue:
            job = item.job
            if (
                job.spec.service
                and job.id not in self.held_back
                and wall - job.at < self.shared.patience(job.spec, boot)
            ):
                dear = renting.dear_rigs(job, rigs, self.shared.op.dear)
                if dear:
                    self.held_back[job.id] = frozenset(dear)

    def _place(self, queue: list[Pending], rooms: list[Room]):
        if not self.avoid and not self.pledges and not self.held_back:
            return policy.place(queue, rooms)
        placed, left, pledged = [], [], self._pledged
        for item in queue:
            mine = self.pledges.get((item.job.id, item.leg))
            open_rooms = [
                room
                for room in rooms
                if (item.job.id, room.id) not in self.avoid
                and room.rig not in self.held_back.get(item.job.id, ())
                # Room that is being made for one task is not filled by others while its victims go.
                and (mine is not None and mine[0] == room.id or room.id not in pledged)
            ]
            room = policy.best_room(item.job, open_rooms)
            if room is None:
                left.append(item)
            else:
                room.take(item.job.spec.need)
                placed.append((item, room))
        return placed, left

    def _preempt(self, rooms: list[Room], now: datetime) -> None:
        over = self._beyond()
        running = []
        for machine, rows in self.by_machine().items():
            for key, (piece, attempt) in rows.items():
                job = self.live(key[0])
                if job is None or key in self.stops:
                    continue
                running.append(
                    (
                        machine,
                        piece.need,
                        job.spec.priority,
                        over.get(job.spec.team, False) and job.id not in self.shared.guaranteed(),
                        self._loss(key, job, now),
                        (key, attempt, job),
                    )
                )
        pledged = self._pledged
        rooms = [room for room in rooms if room.id not in pledged]
        for item in self.left[:8]:
            if (item.job.id, item.leg) in self.pledges:
                continue
            rows = [row for row in running if not (row[3] and row[5][2].spec.team == item.job.spec.team)]
            kept_from = self.held_back.get(item.job.id, ())
            found = policy.victims(item, [room for room in rooms if room.rig not in kept_from], rows)
            if found is None:
                continue
            room, chosen = found
            for key, attempt, job in chosen:
                grace = job.spec.save + timedelta(seconds=1) if job.spec.checkpoint > clock.ZERO else clock.ZERO
                self.stops[key] = Stop(attempt.number, grace, "preempted", now)
                running = [row for row in running if row[5][0] != key]
                log.info("preempt", part=self.part, task=f"{key[0]}/{key[1]}", machine=room.id, by=item.job.id)
            self.pledges[(item.job.id, item.leg)] = (room.id, now + PLEDGE)
            rooms = [other for other in rooms if other.id != room.id]

    def _beyond(self) -> dict[str, bool]:
        out = {}
        for team in self.shared.settings.teams.values():
            use = self.shared.view.teams.get(team.name)
            if use is not None:
                out[team.name] = (team.gpus > 0 and use.gpus > team.gpus + policy.EPS) or (
                    team.cpus > 0 and use.cpus > team.cpus + policy.EPS
                )
        return out

    def _loss(self, key: Key, job: Job, now: datetime) -> float:
        """Seconds of work that stopping a task now would waste."""
        machine = next((m for m in self.machines.values() if key in m.tasks), None)
        seen = machine.tasks[key] if machine else None
        if seen is None or seen.running_since is None:
            return 0.0
        if job.spec.checkpoint > clock.ZERO:
            return job.spec.save.total_seconds() + 1.0
        return (now - seen.running_since).total_seconds()

    # Gone for certain.

    def gone(self, machine: str, cause: str) -> None:
        """Proof from outside a report: the cloud's answer to a deletion, or a lease that ran out."""
        with self.lock:
            for key, (_, attempt) in self.by_machine().get(machine, {}).items():
                self.facts.setdefault(key, Fact(attempt.number, machine, False, cause))
            if cause == "deleted":
                self.machines.pop(machine, None)
                self.shared.deleted[machine] = clock.now()
                while len(self.shared.deleted) > 1024:
                    self.shared.deleted.popitem(last=False)
        self.kick.set()
