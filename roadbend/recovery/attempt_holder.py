"""Holds the unrecorded attempts of one partition until each is adopted or stopped."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

from roadbend.fleet.machines import Machine
from roadbend.fleet.messages import TaskStatus, WorkerHeartbeat
from roadbend.log import Log
from roadbend.recovery.attempt_evaluator import AttemptEvaluator
from roadbend.recovery.machines import ATTEMPT_TERM_SHIFT
from roadbend.recovery.unrecorded import Decision, HeldAttempt, HeldAttempts

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("recovery")


class AttemptHolder:
    """Prevents a partition's machines from stopping attempts whose records may be lost."""

    def __init__(
        self, leader: PartitionLeader, held_attempts: HeldAttempts, evaluator: AttemptEvaluator
    ) -> None:
        self._leader, self._held_attempts, self._evaluator = leader, held_attempts, evaluator

    def should_keep(self, machine: Machine, task: TaskStatus, now: datetime) -> bool:
        """Return whether an unrecorded attempt is left running, and hold it if it is."""
        held = self._held_attempts.get(task.job, task.task_index, task.attempt, machine.id)
        if held is not None:
            held.reported_done = held.reported_done or task.cause == "done"
            if task.state == "ended" and not held.reported_done:
                self._held_attempts.remove(held)
                return False
            return held.decision is not Decision.STOP
        if not self._record_may_be_lost(task):
            return False
        held = HeldAttempt(
            job=task.job,
            index=task.task_index,
            attempt=task.attempt,
            machine=machine.id,
            since=now,
            reported_done=task.state == "ended",
        )
        if not self._held_attempts.add(held):
            return False
        log.info("attempt-held", **self._log_fields(held))
        return True

    def _record_may_be_lost(self, task: TaskStatus) -> bool:
        """Return whether the record of an unrecorded attempt may have been lost.

        It was not if the records name another attempt of the task, or show that it has ended.
        """
        context = self._leader.context
        if task.state == "ended" and task.cause != "done":
            return False
        if task.job in context.cancellations.jobs:
            return False
        job = context.view.jobs.get(task.job)
        if job is None:
            return task.state != "ended"
        return not self._evaluator.is_superseded(job, task.task_index)

    def release_unreported(self, machine: Machine, heartbeat: WorkerHeartbeat) -> None:
        """Release the held attempts that a machine's latest heartbeat no longer reports."""
        reported = {(task.job, task.task_index, task.attempt) for task in heartbeat.tasks}
        for held in self._held_attempts.all():
            if held.machine == machine.id and (held.job, held.index, held.attempt) not in reported:
                self.release(held, "gone")

    def decide_all(self, now: datetime) -> None:
        """Decide again on every held attempt."""
        for held in self._held_attempts.all():
            if held.machine not in self._leader.machines:
                self.release(held, "machine gone")
                continue
            before, held.decision = held.decision, self._evaluator.decide(held, now)
            if held.decision is before:
                continue
            log.info("held-attempt-decided", **self._log_fields(held), decision=held.decision)
            if held.decision in (Decision.ADOPT, Decision.RECORD_DONE):
                self._leader.steps.request()

    def find_lost_write(self) -> HeldAttempt | None:
        """Return an attempt that proves that the state store lost a write, if there is one.

        That is one of a live job and a former term, whose task no record names: an order is never
        sent before its record is written.
        """
        term = self._leader.leadership.term
        for held in self._held_attempts.all():
            if (
                self._leader.records.live_job(held.job) is not None
                and held.attempt >> ATTEMPT_TERM_SHIFT < term
            ):
                return held
        return None

    def release(self, held: HeldAttempt, reason: str) -> None:
        """Stop holding an attempt: it was recorded, or its machine no longer has it."""
        leader = self._leader
        self._held_attempts.remove(held)
        leader.context.observer.recovery_settled(
            leader.partition,
            leader.leadership.term,
            task=f"{held.job}/{held.index}",
            machine=held.machine,
            how=reason,
            since=held.since,
        )
        log.info("attempt-released", **self._log_fields(held), reason=reason)

    def _log_fields(self, held: HeldAttempt) -> dict[str, str | int]:
        return {
            "partition": self._leader.partition,
            "job": held.job,
            "index": held.index,
            "attempt": held.attempt,
            "machine": held.machine,
        }
