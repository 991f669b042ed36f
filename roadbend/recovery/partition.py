"""Recovery of one partition, from its acquisition by a controller until the end of the term."""

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

# A kill is sent directly if the same kill in a heartbeat response had no effect for so long.
KILL_RETRY_DELAY = timedelta(seconds=3)


class PartitionRecovery(recovery_hooks.PartitionRecovery):
    """Compares one partition's records with its machines, and settles the differences.

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
        evaluator = AttemptEvaluator(
            leader, environment, self.held_attempts, self.are_machines_known
        )
        self._holder = AttemptHolder(leader, self.held_attempts, evaluator)
        batch_limit = AdaptiveBound(settings.settle_least, settings.settle_most)
        self._adoption = Adoption(
            leader, self.held_attempts, evaluator, batch_limit, self._holder.release
        )
        # How many differences of each kind the comparison at the end of the gathering phase found;
        # later recorded and shown to operators.
        self.difference_counts: dict[str, int] = {}
        # The machines whose first confirmed heartbeat the observer was notified of.
        self._reporting_machines: set[str] = set()

    # Evidence from the machines.

    def _gather_until(self) -> datetime:
        """Return the latest end of the wait for machines.

        If writes are known to be lost, a machine without a heartbeat may run attempts that no
        record names until its lease has certainly ended.
        """
        if self.lost_writes:
            return self.leases_end_at()
        return self.leader.leadership.acquired_at + self._environment.settings.gather_most

    def leases_end_at(self) -> datetime:
        """Return when a machine without a response from this leader has ended all its tasks."""
        context = self.leader.context
        max_time = context.settings.cancel_within * (1 + 2 * clock.DRIFT)
        return self.leader.leadership.acquired_at + max_time + context.operator.state_margin

    def are_machines_known(self, now: datetime) -> bool:
        """Return whether no machine of the partition can run attempts that it has not reported.

        The end of the gathering phase at its time limit doesn't prove that.
        """
        if now >= self.leases_end_at():
            return True
        gathered = self.phase.name is not PhaseName.GATHERING
        return gathered and self.machines.evidence(self.lost_writes).is_complete

    # Called by the partition's leader.

    def keeps_unrecorded(self, machine: Machine, task: TaskStatus, now: datetime) -> bool:
        """Return whether an unrecorded attempt is left running for now."""
        return self._holder.should_keep(machine, task, now)

    def placeable(self, job: Job, tasks: Ranges) -> Ranges:
        """Return those of a job's unplaced tasks that may be given a machine now.

        These are none while a former leader may have started the job and the machines are not known
        yet, and never a task that a machine reports.
        """
        if not tasks or not self._environment.can_place(job.id):
            return ()
        reported = self.held_attempts.indexes(job.id)
        if not reported:
            return tasks
        if job.spec.gang:
            return ()
        return ranges.minus(tasks, ranges.of(sorted(reported)))

    def knows_machines(self) -> bool:
        """Return whether the machines are known well enough to create more in advance.

        Until all have sent a heartbeat, those that have not look like missing capacity.
        """
        return not self.cold or self.phase.name is not PhaseName.GATHERING

    def should_delay_stop(self, key: TaskKey, stop: StopOrder, now: datetime) -> bool:
        """Return whether a direct kill may wait.

        A kill is first sent in a heartbeat response, and directly only if that has no effect. None
        is sent for a task that its machine reports as ended, or whose end is recorded. A machine
        without the task first receives the fencing token in a response, after which it
        refuses a start that a former leader sent.
        """
        if self.leader.records.recorded_attempt(key) != Attempt(stop.attempt, stop.machine):
            return True
        if stop.sent_at is not None and now - stop.sent_at < KILL_RETRY_DELAY:
            return True
        machine = self.leader.machines.get(stop.machine)
        if machine is None:
            return False
        observed = machine.tasks.get(key)
        if observed is None or observed.attempt != stop.attempt:
            unconfirmed = not machine.token.confirmed and key not in machine.token.direct_starts
            return unconfirmed and now - stop.decided_at < KILL_RETRY_DELAY
        return observed.state == TaskState.ENDED

    def record_heartbeat(self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime) -> None:
        """Release the held attempts that a confirmed heartbeat no longer reports."""
        if not machine.token.confirmed:
            return
        if machine.id not in self._reporting_machines:
            self._reporting_machines.add(machine.id)
            leadership = self.leader.leadership
            self.leader.context.observer.recovery_machine(
                leadership.partition, leadership.term, machine.id, leadership.acquired_at
            )
        # Skipped when nothing is held, as is usual: heartbeats are frequent.
        if len(self.held_attempts):
            self._holder.release_unreported(machine, heartbeat)

    def record_term_in_use(self, machine: str, term: int) -> None:
        """Record that a machine never answered by this leader has seen its term or a higher one."""
        self.terms_in_use.record(machine, term)

    def adopt(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Add attempts to be adopted to the transaction, up to the current batch limit."""
        return self._adoption.adopt(transaction, now)

    # Called by the controller's loop.

    def advance(self, now: datetime) -> bool:
        """Advance the phase as far as the evidence allows; return whether it changed."""
        before = self.phase
        if isinstance(self.phase, Gathering):
            self.phase = replace(self.phase, until=self._gather_until())
            self.phase = self.phase.next(self.machines.evidence(self.lost_writes), now)
        if isinstance(self.phase, Comparing):
            self.difference_counts = self._count_differences()
            self.phase = self.phase.next(self.difference_counts, now)
        elif isinstance(self.phase, Settling) and self.machines.may_compare(now):
            self.phase = self.phase.next(self._count_differences(), now)
        if self.phase.name is before.name:
            return False
        self._report_phase(before, now)
        return True

    def _count_differences(self) -> dict[str, int]:
        return self.machines.compare(self.held_attempts.all()).counts()

    def _report_phase(self, before: Phase, now: datetime) -> None:
        """Log the phase that begins, and notify the observer of the one that has ended."""
        self._log_phase(now)
        observer = self.leader.context.observer
        partition, term = self.leader.partition, self.leader.leadership.term
        observer.recovery_phase(
            partition, term, str(before.name), self._phase_since, self.difference_counts
        )
        self._phase_since = now
        if self.phase.name is PhaseName.SETTLED:
            observer.recovery_ended(partition, term, before.since, self.difference_counts)

    def gather_again(self) -> None:
        """Return to gathering, until unreported attempts must have ended: writes were lost."""
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
            heard=len(evidence.reporting),
            expected=len(evidence.expected),
            lost_writes=self.lost_writes,
            **{kind.replace("-", "_"): count for kind, count in self.difference_counts.items()},
        )

    def progress(self, now: datetime) -> RecoveryProgress:
        """Return the progress as it is recorded for the other controllers and for operators."""
        evidence = self.machines.evidence(self.lost_writes)
        return RecoveryProgress(
            term=self.leader.leadership.term,
            phase=str(self.phase.name),
            lost_writes=self.lost_writes,
            expected=len(evidence.expected),
            heard=len(evidence.reporting),
            differences=self.difference_counts,
            took=(now - self.phase.since).total_seconds(),
        )

    def decide_held_attempts(self, now: datetime) -> None:
        """Decide again on every held attempt, and check whether one proves lost writes."""
        self._holder.decide_all(now)
        if self.lost_writes or not self.cold:
            return
        lost = self._holder.find_lost_write()
        if lost is not None:
            partition = self.leader.partition
            log.error("lost-writes-detected", partition=partition, job=lost.job, index=lost.index)
            self._environment.report_lost_writes(partition)
