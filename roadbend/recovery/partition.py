"""Recovery of one partition, from when a controller has taken it until its term ends."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.machines import Machine, StopOrder
from roadbend.fleet.messages import TaskStatus, WorkerHeartbeat
from roadbend.fleet.terminations import TaskKey
from roadbend.log import Log
from roadbend.placement import recovery_hooks
from roadbend.placement.transaction import TransactionBuilder
from roadbend.recovery.adoption import Adoption
from roadbend.recovery.judgement import Judgement
from roadbend.recovery.machines import ATTEMPT_TERM_BITS, PartitionMachines
from roadbend.recovery.pace import AdaptiveBound
from roadbend.recovery.phases import Comparing, Gathering, Phase, PhaseName, Settling
from roadbend.recovery.surroundings import Surroundings
from roadbend.recovery.unrecorded import Decision, HeldAttempt, HeldAttempts
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Job, RecoveryProgress

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("recovery")
# A term beyond this is nonsense: attempts are numbered by 32 bits of it. And machines can't be
# further ahead of the records than by so many changes of owner.
MOST_TERM, MOST_TERM_AHEAD = 1 << 31, 100_000
# A direct kill follows the same kill in a report's answer after this time.
KILL_AGAIN = timedelta(seconds=3)


class PartitionRecovery(recovery_hooks.PartitionRecovery):
    """Compares and settles one partition. All methods are called under the leader's lock or between
    awaits of the same thread."""

    def __init__(
        self, leader: PartitionLeader, around: Surroundings, cold: bool, lost_writes: bool
    ) -> None:
        self.leader, self._around, self.cold = leader, around, cold
        self.lost_writes = lost_writes
        settings = around.settings
        since = leader.leadership.acquired_at
        self.phase: Phase = Gathering(since, self._gather_until())
        self.held = HeldAttempts(settings.hold_most)
        self.machines = PartitionMachines(leader, around.inventory)
        self._judgement = Judgement(leader, around, self.held, self._machines_known)
        pace = AdaptiveBound(settings.settle_least, settings.settle_most)
        self._adoption = Adoption(leader, self.held, self._judgement, pace, self._let_go)
        # What differed when the machines had been gathered; recorded and shown later.
        self.found: dict[str, int] = {}
        # Terms not below ours that machines have shown before we answered them, and since when.
        self.terms_in_use: dict[str, int] = {}
        self.in_use_since: datetime | None = None
        self._observer = leader.context.observer
        self._heard: set[str] = set()
        self._phase_since = since

    def _gather_until(self) -> datetime:
        """While writes are known to be lost a machine that was not heard may hold what no record
        names, until its lease surely has ended."""
        if self.lost_writes:
            return self._leases_over()
        return self.leader.leadership.acquired_at + self._around.settings.gather_most

    def _leases_over(self) -> datetime:
        """From when on a machine that has not heard from us holds nothing any more."""
        context = self.leader.context
        longest = context.settings.cancel_within * (1 + 2 * clock.DRIFT)
        return self.leader.leadership.acquired_at + longest + context.operator.state_margin

    def _machines_known(self, now: datetime) -> bool:
        """Whether no machine of the partition can hold anything that was not seen. The bound on
        gathering says nothing about that."""
        if now >= self._leases_over():
            return True
        gathered = self.phase.name is not PhaseName.GATHERING
        return gathered and self.machines.evidence(self.lost_writes).complete

    # What the owner asks.

    def keeps_unrecorded(self, machine: Machine, task: TaskStatus, now: datetime) -> bool:
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
            "attempt-held",
            partition=self.leader.partition,
            job=task.job,
            index=task.task_index,
            attempt=task.attempt,
            machine=machine.id,
        )
        return True

    def _may_be_lost(self, task: TaskStatus) -> bool:
        """Whether the records may have lost an attempt that they don't name. What they name
        otherwise, or know to be over, they have not."""
        leader = self.leader
        if task.state == "ended" and task.cause != "done":
            return False
        if task.job in leader.context.cancellations.jobs:
            return False
        job = leader.context.view.jobs.get(task.job)
        if job is None:
            return task.state != "ended"
        return not self._judgement.is_superseded(job, task.task_index)

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

    def spaces_out(self, key: TaskKey, stop: StopOrder, now: datetime) -> bool:
        """One kill by the report's answer, and a direct one only if that brought nothing; none
        for a task that its machine shows as ended, or whose end is recorded."""
        if self.leader.recorded_attempt(key) != Attempt(stop.attempt, stop.machine):
            return True
        if stop.sent_at is not None and now - stop.sent_at < KILL_AGAIN:
            return True
        machine = self.leader.machines.get(stop.machine)
        seen = machine.tasks.get(key) if machine is not None else None
        return seen is not None and seen.attempt == stop.attempt and seen.state == "ended"

    def note_heartbeat(self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime) -> None:
        """Drops what a current report no longer shows."""
        if not machine.token.confirmed:
            return
        if machine.id not in self._heard:
            self._heard.add(machine.id)
            leadership = self.leader.leadership
            self._observer.recovery_machine(
                leadership.partition, leadership.term, machine.id, leadership.acquired_at
            )
        if not len(self.held):
            return
        shown = {(task.job, task.task_index, task.attempt) for task in heartbeat.tasks}
        for held in self.held.all():
            if held.machine == machine.id and (held.job, held.index, held.attempt) not in shown:
                self._let_go(held, "gone")

    def note_term_in_use(self, machine: str, term: int) -> None:
        """A machine that we have not answered has seen our term or a higher one: it is another
        owner's, or the records have lost it. A term that was used before must not be used again:
        its token would let through what a former owner ordered."""
        token_confirmed = self.leader.leadership.term
        if not token_confirmed <= term < min(MOST_TERM, token_confirmed + MOST_TERM_AHEAD):
            log.warning(
                "term-implausible", partition=self.leader.partition, machine=machine, term=term
            )
            return
        if term == token_confirmed and not (self.cold and self.machines.is_present(machine)):
            # A late copy of a report of a machine that is no more.
            return
        self.terms_in_use[machine] = term
        if self.in_use_since is None:
            self.in_use_since = clock.now()

    def adopt(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Writes what is to be kept, as much at once as the pace allows."""
        return self._adoption.adopt(transaction, now)

    # What the controller's loop calls.

    def advance(self, now: datetime) -> bool:
        """Goes on to the next phase as far as the evidence allows; says whether it changed."""
        before = self.phase
        if isinstance(self.phase, Gathering):
            self.phase = replace(self.phase, until=self._gather_until())
            self.phase = self.phase.next(self.machines.evidence(self.lost_writes), now)
        if isinstance(self.phase, Comparing):
            self.found = self.machines.compare(self.held.all()).counts()
            self.phase = self.phase.next(self.found, now)
        elif isinstance(self.phase, Settling) and self.machines.may_compare(now):
            counts = self.machines.compare(self.held.all()).counts()
            self.phase = self.phase.next(counts, now)
        if self.phase.name is before.name:
            return False
        self._log_phase(now)
        partition, term = self.leader.partition, self.leader.leadership.term
        self._observer.recovery_phase(
            partition, term, str(before.name), self._phase_since, self.found
        )
        self._phase_since = now
        if self.phase.name is PhaseName.SETTLED:
            self._observer.recovery_over(partition, term, before.since, self.found)
        return True

    def gather_again(self) -> None:
        """Writes are known to be lost: machines are waited for until they can't hold anything."""
        self.lost_writes = True
        self.phase = Gathering(self.phase.since, self._gather_until())

    def _log_phase(self, now: datetime) -> None:
        evidence = self.machines.evidence(self.lost_writes)
        log.info(
            "recovery-phase-entered",
            partition=self.leader.partition,
            term=self.leader.leadership.term,
            phase=self.phase.name,
            elapsed_s=f"{(now - self.phase.since).total_seconds():.1f}",
            heard=len(evidence.heard),
            expected=len(evidence.expected),
            lost_writes=self.lost_writes,
            **{kind.replace("-", "_"): count for kind, count in self.found.items()},
        )

    def progress(self, now: datetime) -> RecoveryProgress:
        """What is recorded for the other controllers and for operators."""
        evidence = self.machines.evidence(self.lost_writes)
        return RecoveryProgress(
            self.leader.leadership.term,
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
            if held.machine not in self.leader.machines:
                self._let_go(held, "machine gone")
                continue
            before, held.decision = held.decision, self._judgement.decide(held, now)
            if held.decision is before:
                continue
            log.info(
                "held-attempt-decided",
                partition=self.leader.partition,
                job=held.job,
                index=held.index,
                attempt=held.attempt,
                machine=held.machine,
                decision=held.decision,
            )
            if held.decision in (Decision.ADOPT, Decision.RECORD_DONE):
                self.leader.wake_up.set()
        self._note_loss()

    def _note_loss(self) -> None:
        """An attempt that lives and whose task no record names was started by a write that is
        lost: an order never goes out before its record is written."""
        if self.lost_writes or not self.cold:
            return
        for held in self.held.all():
            job = self.leader.live(held.job)
            if job is not None and held.attempt >> ATTEMPT_TERM_BITS < self.leader.leadership.term:
                log.error(
                    "lost-writes-detected",
                    partition=self.leader.partition,
                    job=held.job,
                    index=held.index,
                )
                self._around.note_lost_writes(self.leader.partition)
                return

    def _let_go(self, held: HeldAttempt, why: str) -> None:
        self.held.remove(held)
        self._observer.recovery_settled(
            self.leader.partition,
            self.leader.leadership.term,
            f"{held.job}/{held.index}",
            held.machine,
            why,
            held.since,
        )
        log.info(
            "attempt-released",
            partition=self.leader.partition,
            job=held.job,
            index=held.index,
            attempt=held.attempt,
            machine=held.machine,
            reason=why,
        )
