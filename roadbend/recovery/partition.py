"""Recovery of one partition, from when a controller has acquired it until its term ends."""

from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.machines import Machine, StopOrder
from roadbend.fleet.messages import TaskState, TaskStatus, WorkerHeartbeat
from roadbend.fleet.terminations import TaskKey
from roadbend.log import Log
from roadbend.placement import recovery_hooks
from roadbend.placement.transaction import TransactionBuilder
from roadbend.recovery.adoption import Adoption
from roadbend.recovery.attempt_evaluator import AttemptEvaluator
from roadbend.recovery.attempt_holder import AttemptHolder
from roadbend.recovery.environment import RecoveryEnvironment
from roadbend.recovery.machines import PartitionMachines
from roadbend.recovery.pace import AdaptiveBound
from roadbend.recovery.phases import Comparing, Gathering, Phase, PhaseName, Settling
from roadbend.recovery.terms_in_use import TermsInUse
from roadbend.recovery.unrecorded import HeldAttempts
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Attempt, Job, RecoveryProgress

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("recovery")

# A direct kill follows the same kill in a heartbeat's answer after this time.
KILL_AGAIN = timedelta(seconds=3)


class PartitionRecovery(recovery_hooks.PartitionRecovery):
    """Compares one partition's records with its machines, and settles what differs.

    All methods are called under the leader's lock, or between awaits of the same thread.
    """

    def __init__(
        self,
        leader: PartitionLeader,
        environment: RecoveryEnvironment,
        cold: bool,
        lost_writes: bool,
    ) -> None:
        self.leader, self._environment, self.cold = leader, environment, cold
        self.lost_writes = lost_writes
        settings = environment.settings
        self.phase: Phase = Gathering(leader.leadership.acquired_at, self._gather_until())
        self._phase_since = leader.leadership.acquired_at
        self.machines = PartitionMachines(leader, environment.inventory)
        self.terms_in_use = TermsInUse(leader, self.machines, cold)
        self.held_attempts = HeldAttempts(settings.hold_most)
        evaluator = AttemptEvaluator(leader, environment, self.held_attempts, self.machines_known)
        self._holder = AttemptHolder(leader, self.held_attempts, evaluator)
        pace = AdaptiveBound(settings.settle_least, settings.settle_most)
        self._adoption = Adoption(leader, self.held_attempts, evaluator, pace, self._holder.release)
        # How many differences of each kind there were when the machines had been gathered;
        # recorded and shown later.
        self.found: dict[str, int] = {}
        # The machines whose first current heartbeat the observer was told of.
        self._heard: set[str] = set()

    # Evidence of the machines.

    def _gather_until(self) -> datetime:
        """Return until when machines are waited for at the most.

        While writes are known to be lost, a machine that was not heard may hold what no record
        names, until its lease surely has ended.
        """
        if self.lost_writes:
            return self.leases_over()
        return self.leader.leadership.acquired_at + self._environment.settings.gather_most

    def leases_over(self) -> datetime:
        """Return from when on a machine that has not heard from us holds nothing any more."""
        context = self.leader.context
        longest = context.settings.cancel_within * (1 + 2 * clock.DRIFT)
        return self.leader.leadership.acquired_at + longest + context.operator.state_margin

    def machines_known(self, now: datetime) -> bool:
        """Tell whether no machine of the partition can hold anything that was not seen.

        The bound on gathering says nothing about that.
        """
        if now >= self.leases_over():
            return True
        gathered = self.phase.name is not PhaseName.GATHERING
        return gathered and self.machines.evidence(self.lost_writes).complete

    # What the partition's leader asks.

    def keeps_unrecorded(self, machine: Machine, task: TaskStatus, now: datetime) -> bool:
        """Tell whether an unrecorded attempt is left alone for now."""
        return self._holder.keeps(machine, task, now)

    def placeable(self, job: Job, tasks: Ranges) -> Ranges:
        """Return those of a job's unplaced tasks that may be given a machine now.

        Nothing of a job that a former leader may have started goes anywhere before the machines
        are known, and no task that a machine shows.
        """
        if not tasks or not self._environment.gate_is_open(job.id):
            return ()
        shown = self.held_attempts.indexes(job.id)
        if not shown:
            return tasks
        if job.spec.gang:
            return ()
        return ranges.minus(tasks, ranges.of(sorted(shown)))

    def knows_machines(self) -> bool:
        """Tell whether the machines are known well enough to create more in advance.

        Machines that have not sent a heartbeat yet look like capacity that is missing.
        """
        return not self.cold or self.phase.name is not PhaseName.GATHERING

    def should_delay_stop(self, key: TaskKey, stop: StopOrder, now: datetime) -> bool:
        """Tell whether a direct kill may wait.

        A kill goes with the heartbeat's answer first, and directly only if that brought nothing;
        none goes to a task that its machine shows as ended, or whose end is recorded. A machine
        that lacks the task is first shown our token, which refuses what a former leader sent.
        """
        if self.leader.records.recorded_attempt(key) != Attempt(stop.attempt, stop.machine):
            return True
        if stop.sent_at is not None and now - stop.sent_at < KILL_AGAIN:
            return True
        machine = self.leader.machines.get(stop.machine)
        if machine is None:
            return False
        seen = machine.tasks.get(key)
        if seen is None or seen.attempt != stop.attempt:
            unconfirmed = not machine.token.confirmed and key not in machine.token.direct_starts
            return unconfirmed and now - stop.decided_at < KILL_AGAIN
        return seen.state == TaskState.ENDED

    def record_heartbeat(self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime) -> None:
        """Release the attempts that a current heartbeat no longer shows."""
        if not machine.token.confirmed:
            return
        if machine.id not in self._heard:
            self._heard.add(machine.id)
            leadership = self.leader.leadership
            self.leader.context.observer.recovery_machine(
                leadership.partition, leadership.term, machine.id, leadership.acquired_at
            )
        # Most of the time nothing is held, and heartbeats are many.
        if len(self.held_attempts):
            self._holder.drop_absent(machine, heartbeat)

    def record_term_in_use(self, machine: str, term: int) -> None:
        """Take in that a machine that we have not answered has seen our term or a higher one."""
        self.terms_in_use.note(machine, term)

    def adopt(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Write what is to be kept, as much at once as the pace allows."""
        return self._adoption.adopt(transaction, now)

    # What the controller's loop calls.

    def advance(self, now: datetime) -> bool:
        """Go on to the next phase as far as the evidence allows; tell whether it changed."""
        before = self.phase
        if isinstance(self.phase, Gathering):
            self.phase = replace(self.phase, until=self._gather_until())
            self.phase = self.phase.next(self.machines.evidence(self.lost_writes), now)
        if isinstance(self.phase, Comparing):
            self.found = self._count_differences()
            self.phase = self.phase.next(self.found, now)
        elif isinstance(self.phase, Settling) and self.machines.may_compare(now):
            self.phase = self.phase.next(self._count_differences(), now)
        if self.phase.name is before.name:
            return False
        self._tell_phase(before, now)
        return True

    def _count_differences(self) -> dict[str, int]:
        return self.machines.compare(self.held_attempts.all()).counts()

    def _tell_phase(self, before: Phase, now: datetime) -> None:
        """Log the phase that begins, and tell the observer of the one that is over."""
        self._log_phase(now)
        observer = self.leader.context.observer
        partition, term = self.leader.partition, self.leader.leadership.term
        observer.recovery_phase(partition, term, str(before.name), self._phase_since, self.found)
        self._phase_since = now
        if self.phase.name is PhaseName.SETTLED:
            observer.recovery_over(partition, term, before.since, self.found)

    def gather_again(self) -> None:
        """Wait for machines until they can't hold anything: writes are known to be lost."""
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
        """Return what is recorded for the other controllers and for operators."""
        evidence = self.machines.evidence(self.lost_writes)
        return RecoveryProgress(
            term=self.leader.leadership.term,
            phase=str(self.phase.name),
            lost_writes=self.lost_writes,
            expected=len(evidence.expected),
            heard=len(evidence.heard),
            differences=self.found,
            took=(now - self.phase.since).total_seconds(),
        )

    def decide_held(self, now: datetime) -> None:
        """Decide anew about every attempt that is held, and look for lost writes."""
        self._holder.decide_all(now)
        if self.lost_writes or not self.cold:
            return
        lost = self._holder.find_lost_write()
        if lost is not None:
            partition = self.leader.partition
            log.error("lost-writes-detected", partition=partition, job=lost.job, index=lost.index)
            self._environment.note_lost_writes(partition)
