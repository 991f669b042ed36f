"""Recovery of one part, from when a controller has taken it until its term ends."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.ended_attempts import Key
from roadbend.fleet.listing import MachineList
from roadbend.fleet.machines import Machine, Stop
from roadbend.fleet.messages import Report, TaskReport
from roadbend.log import Log
from roadbend.placement import policy as placing
from roadbend.placement import recovery_hooks, team_limits
from roadbend.placement.batch import Batch
from roadbend.recovery.differences import (
    Comparison,
    DesiredState,
    ObservedState,
    Presence,
    Recorded,
    Reported,
    TaskId,
    compare,
)
from roadbend.recovery.pace import AdaptiveBound
from roadbend.recovery.phases import Comparing, Evidence, Gathering, Phase, PhaseName, Settling
from roadbend.recovery.settings import RecoverySettings
from roadbend.recovery.unrecorded import (
    Bounds,
    Decision,
    Facts,
    HeldAttempt,
    HeldAttempts,
    decide,
)
from roadbend.store import keys, ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Job, RecoveryProgress
from roadbend.store.view import Rows

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

log = Log("recovery")
# A term beyond this is nonsense: attempts are numbered by 32 bits of it. And machines can't be
# further ahead of the records than by so many changes of owner.
MOST_TERM, MOST_TERM_AHEAD = 1 << 31, 100_000
# A direct kill follows the same kill in a report's answer after this time.
KILL_AGAIN = timedelta(seconds=3)
ATTEMPT_TERM_BITS = 32
# How often a part that settles is compared anew: with thousands of machines that takes a while.
COMPARE_EVERY = timedelta(seconds=1)


@dataclass(frozen=True)
class Surroundings:
    """What a part's recovery asks of its controller."""

    settings: RecoverySettings
    listing: MachineList
    # When the records were last read, and since when every live peer was heard.
    records_read: Callable[[], datetime | None]
    peers_heard: Callable[[], datetime | None]
    # Whether a job may be given machines.
    gate_is_open: Callable[[str], bool]
    # Told once when machines show that the state service lost writes.
    note_lost_writes: Callable[[str], None]


class PartRecovery(recovery_hooks.PartRecovery):
    """Compares and settles one part. All methods are called under the runtime's lock or between
    awaits of the same thread."""

    def __init__(
        self, runtime: PartRuntime, around: Surroundings, cold: bool, lost_writes: bool
    ) -> None:
        self.runtime, self._around, self.cold = runtime, around, cold
        self.lost_writes = lost_writes
        settings = around.settings
        since = runtime.tenure.since
        self.phase: Phase = Gathering(since, self._gather_until())
        self.held = HeldAttempts(settings.hold_most)
        self.pace = AdaptiveBound(settings.settle_least, settings.settle_most)
        self.comparison = Comparison((), 0)
        # What differed when the phase of comparing began; what is recorded and shown later.
        self.found: dict[str, int] = {}
        self.adopted = self.recorded_done = self.stopped = 0
        # Terms not below ours that machines have shown before we answered them, and since when.
        self.terms_in_use: dict[str, int] = {}
        self.in_use_since: datetime | None = None
        self._adopting: set[tuple[str, int]] = set()
        self._compare_at = clock.ORIGIN
        self._observer = runtime.shared.observer
        self._heard: set[str] = set()
        self._phase_since = since

    def _gather_until(self) -> datetime:
        """While writes are known to be lost a machine that was not heard may hold what no record
        names, until its lease surely has ended."""
        since, settings = self.runtime.tenure.since, self._around.settings
        if not self.lost_writes:
            return since + settings.gather_most
        shared = self.runtime.shared
        proof = shared.settings.cancel_within * (1 + 2 * clock.DRIFT)
        return since + proof + shared.operator.state_margin

    # What the owner asks.

    def keeps_unrecorded(self, machine: Machine, task: TaskReport, now: datetime) -> bool:
        """Holds an unrecorded attempt until it is decided about."""
        held = self.held.get(task.job, task.task_index, task.attempt, machine.id)
        if held is not None:
            held.shows_done = held.shows_done or task.cause == "done"
            if task.state == "ended" and not held.shows_done:
                self.held.remove(held)
                return False
            return held.decision is not Decision.STOP
        if not self._may_be_lost(task):
            return False
        done = task.state == "ended"
        held = HeldAttempt(task.job, task.task_index, task.attempt, machine.id, now, done)
        if not self.held.add(held):
            return False
        log.info(
            "hold",
            part=self.runtime.part,
            job=task.job,
            index=task.task_index,
            attempt=task.attempt,
            machine=machine.id,
        )
        return True

    def _may_be_lost(self, task: TaskReport) -> bool:
        """Whether the records may have lost an attempt that they don't name. What they name
        otherwise, or know to be over, they have not."""
        runtime = self.runtime
        if task.state == "ended" and task.cause != "done":
            return False
        if task.job in runtime.shared.cancelled:
            return False
        job = runtime.shared.view.jobs.get(task.job)
        if job is None:
            return task.state != "ended"
        return not self._superseded(job, task.task_index)

    def _superseded(self, job: Job, index: int) -> bool:
        """Whether the records name an attempt of a task in any part, or say that it is done."""
        if index >= job.spec.task_count or ranges.has(job.done, index):
            return True
        for works in self.runtime.shared.view.slices.values():
            work = works.get(job.id)
            if work is not None and (index in work.run or ranges.has(work.done, index)):
                return True
        return False

    def placeable(self, job: Job, tasks: Ranges) -> Ranges:
        """Nothing of a job that a former owner may have started goes anywhere before the machines
        are known, and no task that a machine shows."""
        if not tasks or not self._around.gate_is_open(job.id):
            return ()
        shown = self.held.indexes(job.id)
        if not shown:
            return tasks
        if job.spec.gang:
            return ()
        return ranges.minus(tasks, ranges.of(sorted(shown)))

    def knows_machines(self) -> bool:
        """Machines that have not reported yet look like room that is missing."""
        return not self.cold or self.phase.name is not PhaseName.GATHERING

    def spaces_out(self, key: Key, stop: Stop, now: datetime) -> bool:
        """One kill by the report's answer, and a direct one only if that brought nothing; none
        for a task that its machine shows as ended."""
        if stop.told_at is not None and now - stop.told_at < KILL_AGAIN:
            return True
        machine = self.runtime.machines.get(stop.machine)
        seen = machine.tasks.get(key) if machine is not None else None
        return seen is not None and seen.attempt == stop.attempt and seen.state == "ended"

    def note_report(self, machine: Machine, report: Report, now: datetime) -> None:
        """Drops what a current report no longer shows."""
        if not machine.ours:
            return
        if machine.id not in self._heard:
            self._heard.add(machine.id)
            tenure = self.runtime.tenure
            self._observer.recovery_machine(tenure.part, tenure.term, machine.id, tenure.since)
        if not len(self.held):
            return
        shown = {(task.job, task.task_index, task.attempt) for task in report.tasks}
        for held in self.held.all():
            if held.machine == machine.id and (held.job, held.index, held.attempt) not in shown:
                self._let_go(held, "gone")

    def note_term_in_use(self, machine: str, term: int) -> None:
        """A machine that we have not answered has seen our term or a higher one: it is another
        owner's, or the records have lost it. A term that was used before must not be used again:
        its token would let through what a former owner ordered."""
        ours = self.runtime.tenure.term
        if not ours <= term < min(MOST_TERM, ours + MOST_TERM_AHEAD):
            log.warning("nonsense-term", part=self.runtime.part, machine=machine, term=term)
            return
        if term == ours and not (self.cold and self._is_present(machine)):
            # A late copy of a report of a machine that is no more.
            return
        self.terms_in_use[machine] = term
        if self.in_use_since is None:
            self.in_use_since = clock.now()

    def _is_present(self, machine: str) -> bool:
        row = self._around.listing.rows.get(machine)
        listed = row is not None and row.status == "running"
        return listed or machine in self.runtime.by_machine()

    # What the controller's loop calls.

    def advance(self, now: datetime) -> bool:
        """Goes on to the next phase as far as the evidence allows; says whether it changed."""
        before = self.phase
        if isinstance(self.phase, Gathering):
            self.phase = replace(self.phase, until=self._gather_until())
            self.phase = self.phase.next(self.evidence(), now)
        if isinstance(self.phase, Comparing):
            self.comparison = self._compare()
            self.found = self.comparison.counts()
            self.phase = self.phase.next(self.found, now)
        elif isinstance(self.phase, Settling) and now >= self._compare_at:
            self.comparison = self._compare()
            self.phase = self.phase.next(self.comparison.counts(), now)
        if self.phase.name is before.name:
            return False
        self._log_phase(now)
        part, term = self.runtime.part, self.runtime.tenure.term
        self._observer.recovery_phase(part, term, str(before.name), self._phase_since, self.found)
        self._phase_since = now
        if self.phase.name is PhaseName.SETTLED:
            self._observer.recovery_over(part, term, before.since, self.found)
        return True

    def gather_again(self) -> None:
        """Writes are known to be lost: machines are waited for until they can't hold anything."""
        self.lost_writes = True
        self.phase = Gathering(self.phase.since, self._gather_until())

    def _log_phase(self, now: datetime) -> None:
        evidence = self.evidence()
        log.info(
            "phase",
            part=self.runtime.part,
            term=self.runtime.tenure.term,
            phase=self.phase.name,
            seconds=f"{(now - self.phase.since).total_seconds():.1f}",
            heard=len(evidence.heard),
            expected=len(evidence.expected),
            lost_writes=self.lost_writes,
            **{kind.replace("-", "_"): count for kind, count in self.found.items()},
        )

    def evidence(self) -> Evidence:
        """What is known of the part's machines now."""
        presence = self._presences()
        heard = frozenset(name for name, p in presence.items() if p is Presence.HEARD)
        known = {Presence.GONE} if self.lost_writes else {Presence.GONE, Presence.BOOTING}
        explained = frozenset(name for name, p in presence.items() if p in known)
        return Evidence(frozenset(presence), heard, explained, self._around.listing.reads > 0)

    def _presences(self) -> dict[str, Presence]:
        runtime, listing = self.runtime, self._around.listing
        listed = {row.id for row in listing.rows.values() if row.zone == runtime.part}
        names = listed | runtime.by_machine().keys() | runtime.machines.keys()
        return {name: self._presence(name) for name in names}

    def _presence(self, name: str) -> Presence:
        runtime, listing = self.runtime, self._around.listing
        if name in runtime.shared.deleted:
            return Presence.GONE
        machine = runtime.machines.get(name)
        if machine is not None and machine.ours:
            return Presence.HEARD
        row = listing.rows.get(name)
        if row is None:
            return Presence.GONE if listing.has_left(name) else Presence.SILENT
        return {"failed": Presence.GONE, "booting": Presence.BOOTING}.get(
            row.status, Presence.SILENT
        )

    def _compare(self) -> Comparison:
        """Machines on which everything matches are left out of the sets: of thousands nearly all
        do, and a controller with a small share of a core has reports to answer meanwhile."""
        began, runtime = clock.now(), self.runtime
        differing, matching = [], 0
        for name, rows in runtime.by_machine().items():
            machine = runtime.machines.get(name)
            if machine is not None and machine.ours and self._matches(machine, rows):
                matching += len(rows)
            else:
                differing.append(name)
        found = self._compare_machines(differing)
        self._compare_at = clock.now() + max(
            COMPARE_EVERY, runtime.shared.rest(clock.now() - began)
        )
        return replace(found, matching=found.matching + matching)

    def _matches(self, machine: Machine, rows: Rows) -> bool:
        tasks, live = machine.tasks, self.runtime.live
        if len(tasks) != len(rows) or machine.foreign:
            return False
        for key, (_, attempt) in rows.items():
            seen = tasks.get(key)
            if seen is None or seen.attempt != attempt.number or seen.state == "ended":
                return False
            if live(key[0]) is None:
                return False
        return True

    def _compare_machines(self, names: list[str]) -> Comparison:
        """Only attempts from before this term: later ones may be on their way."""
        runtime, term = self.runtime, self.runtime.tenure.term
        recorded, live, shown = set(), set(), set()
        for name in names:
            for (job, index), (_, attempt) in runtime.by_machine()[name].items():
                if attempt.number >> ATTEMPT_TERM_BITS < term:
                    recorded.add(Recorded(TaskId(job, index), attempt.number, name))
                if runtime.live(job) is not None:
                    live.add(job)
            machine = runtime.machines.get(name)
            for (job, index), seen in machine.tasks.items() if machine is not None else ():
                ended = seen.state == "ended"
                shown.add(Reported(TaskId(job, index), seen.attempt, name, ended))
        for held in self.held.all():
            task = TaskId(held.job, held.index)
            shown.add(Reported(task, held.attempt, held.machine, False))
        return compare(
            DesiredState(frozenset(recorded), frozenset(live)),
            ObservedState(
                frozenset(row for row in shown if row.attempt >> ATTEMPT_TERM_BITS < term),
                self._presences(),
            ),
        )

    def progress(self, now: datetime) -> RecoveryProgress:
        """What is recorded for the other controllers and for operators."""
        evidence = self.evidence()
        return RecoveryProgress(
            self.runtime.tenure.term,
            str(self.phase.name),
            self.lost_writes,
            len(evidence.expected),
            len(evidence.heard),
            self.found,
            (now - self.phase.since).total_seconds(),
        )

    # Unrecorded attempts.

    def judge_held(self, now: datetime) -> None:
        """Decides anew about every attempt that is held."""
        for held in self.held.all():
            if held.machine not in self.runtime.machines:
                self._let_go(held, "machine gone")
                continue
            before, held.decision = held.decision, self._decide(held, now)
            if held.decision is before:
                continue
            log.info(
                "decision",
                part=self.runtime.part,
                job=held.job,
                index=held.index,
                attempt=held.attempt,
                machine=held.machine,
                decision=held.decision,
            )
            if held.decision is Decision.STOP:
                self.stopped += 1
            elif held.decision in (Decision.ADOPT, Decision.RECORD_DONE):
                self.runtime.wake_up.set()
        self._note_loss()

    def _note_loss(self) -> None:
        """An attempt that lives and whose task no record names was started by a write that is
        lost: an order never goes out before its record is written."""
        if self.lost_writes or not self.cold:
            return
        for held in self.held.all():
            job = self.runtime.live(held.job)
            if job is not None and held.attempt >> ATTEMPT_TERM_BITS < self.runtime.tenure.term:
                log.error("lost-writes", part=self.runtime.part, job=held.job, index=held.index)
                self._around.note_lost_writes(self.runtime.part)
                return

    def _decide(self, held: HeldAttempt, now: datetime) -> Decision:
        settings = self._around.settings
        bounds = Bounds(settings.answer_most, settings.late_write)
        return decide(self._facts(held, now), bounds)

    def _facts(self, held: HeldAttempt, now: datetime) -> Facts:
        runtime = self.runtime
        job, machine = runtime.live(held.job), runtime.machines.get(held.machine)
        others = self.held.others(held)
        stays = (
            machine is not None
            and machine.ours
            and machine.draining is None
            and machine.recall_at is None
            and not machine.fencing
        )
        return Facts(
            records_read=_is_after(self._around.records_read(), held.since),
            peers_heard=_is_after(self._around.peers_heard(), held.since),
            superseded=job is not None and self._superseded(job, held.index),
            job_lives=job is not None,
            job_over=True if held.job in runtime.shared.cancelled else held.job_over,
            gang=job is not None and job.spec.gang,
            shows_done=held.shows_done,
            machine_current=stays,
            machine_allowed=job is not None and machine is not None and self._allows(job, machine),
            also_elsewhere=bool(others),
            higher_elsewhere=any(row.attempt > held.attempt for row in others),
            machines_known=self.phase.name is not PhaseName.GATHERING,
            within_limit=job is not None and runtime.shared.room_left(job.spec, runtime.part) > 0,
            waited=now - held.since,
        )

    def _allows(self, job: Job, machine: Machine) -> bool:
        """The job may run there, given its other tasks."""
        if not placing.allowed(job, machine.machine_type, machine.zone, machine.spot):
            return False
        if job.spec.together:
            return set(job.alloc) <= {self.runtime.part}
        here = ranges.size(job.alloc.get(self.runtime.part, ()))
        return not job.spec.apart or here < job.spec.zone_cap

    def _let_go(self, held: HeldAttempt, why: str) -> None:
        self.held.remove(held)
        self._observer.recovery_settled(
            self.runtime.part,
            self.runtime.tenure.term,
            f"{held.job}/{held.index}",
            held.machine,
            why,
            held.since,
        )
        log.info(
            "hold-over",
            part=self.runtime.part,
            job=held.job,
            index=held.index,
            attempt=held.attempt,
            machine=held.machine,
            why=why,
        )

    # Adoption.

    def adopt(self, batch: Batch, now: datetime) -> bool:
        """Writes what is to be adopted, services first, as much at once as the pace allows."""
        if self._adopting:
            # Nobody confirmed the last ones: they were refused, or their answer was lost.
            self.pace.failed()
            self._adopting = set()
        due = [
            held
            for held in self.held.all()
            if held.decision in (Decision.ADOPT, Decision.RECORD_DONE)
            and self._decide(held, now) is held.decision
        ]
        due.sort(key=self._adoption_order)
        for count, held in enumerate(due):
            if count >= self.pace.value or not self._adopt_one(batch, held):
                return True
        return False

    def _adoption_order(self, held: HeldAttempt) -> tuple:
        job = self.runtime.live(held.job)
        service = job is not None and job.spec.service
        return (not service, -(job.spec.priority if job is not None else 0), held.since)

    def _adopt_one(self, batch: Batch, held: HeldAttempt) -> bool:
        """Puts one attempt into the transaction; False where that has no room for it."""
        runtime = self.runtime
        job = runtime.live(held.job)
        work = runtime.works().get(held.job)
        if job is None or keys.job_key(job.id) in batch.rows:
            return False
        shard = (
            held.index // runtime.width
            if work is None
            else work.shard_of(held.index, runtime.width)
        )
        spec = job.spec
        piece = batch.slice(job.id, spec.team, spec.need, shard)
        done = held.decision is Decision.RECORD_DONE
        if done:
            piece = replace(piece, done=ranges.union(piece.done, ((held.index, held.index + 1),)))
        else:
            run = {**piece.run, held.index: Attempt(held.attempt, held.machine)}
            piece = replace(piece, run=run)
        here = ranges.has(job.alloc.get(runtime.part, ()), held.index)
        wanted = [piece.key, *([] if here else [keys.job_key(job.id)])]
        if not batch.fits(piece) or not batch.room_for(*wanted):
            return False
        if not done and not self._set_aside(batch, job, wanted):
            return False
        batch.set_slice(piece)
        self._need_held(batch, job, held.index)
        if not done:
            batch.charge(spec.team, spec.need, 1)
        self._adopting.add((held.job, held.index))
        batch.after.append(partial(self._adopted, held))
        return True

    def _set_aside(self, batch: Batch, job: Job, record_keys: list[str]) -> bool:
        left = team_limits.team_left(self.runtime, batch, job.spec.team)
        need = job.spec.need
        if left is None or need.cpus > left[0] + placing.EPS or need.gpus > left[1] + placing.EPS:
            return False
        return team_limits.set_aside(self.runtime, batch, job.spec.team, need, 1, record_keys)

    def _need_held(self, batch: Batch, job: Job, index: int) -> None:
        """The part holds the task from here on, on the job's stamp. Where another part held it,
        that part's slice is a condition too: it may have recorded a start a moment ago."""
        part, one = self.runtime.part, ((index, index + 1),)
        if ranges.has(job.alloc.get(part, ()), index):
            batch.need_job(job)
            return
        for other, held in job.alloc.items():
            if ranges.has(held, index):
                key = keys.slice_key(other, job.id, index // self.runtime.width)
                batch.when[key] = self.runtime.shared.view.mod_revision(key)
                job = job.with_part(other, ranges.minus(held, one))
        batch.set_job(job.with_part(part, ranges.union(job.alloc.get(part, ()), one)))

    def _adopted(self, held: HeldAttempt) -> None:
        """The transaction was carried out."""
        self._adopting.discard((held.job, held.index))
        self.pace.succeeded()
        if held.decision is Decision.RECORD_DONE:
            self.recorded_done += 1
        else:
            self.adopted += 1
        machine = self.runtime.machines.get(held.machine)
        if machine is not None:
            machine.unchanged_mark = None
        self._let_go(held, str(held.decision))


def _is_after(at: datetime | None, since: datetime) -> bool:
    return at is not None and at >= since
