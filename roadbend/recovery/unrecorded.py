"""Decides on an attempt that a machine reports and no record names.

It is never stopped immediately, and never adopted on the evidence of a heartbeat alone.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum


class Decision(StrEnum):
    """How to proceed with an unrecorded attempt."""

    HOLD = "hold"
    # Write it into the records, on the machine where it runs.
    ADOPT = "adopt"
    # It has completed: mark its task as done in the records.
    RECORD_DONE = "record-done"
    STOP = "stop"


@dataclass(frozen=True)
class Facts:
    """What is known of an unrecorded attempt at the time of a decision."""

    # Since it was first reported: the records were read, and every live peer sent a heartbeat.
    records_read: bool
    peers_replied: bool
    # The records name another attempt of the task, or mark the task as done.
    superseded: bool
    is_job_live: bool
    # Whether a job that is not live has a recorded final state; None: not read yet.
    job_ended: bool | None
    gang: bool
    # Its machine has reported that it completed.
    reported_done: bool
    # The machine's latest heartbeat carries the leader's token, and the machine is not being
    # drained, reclaimed or fenced.
    machine_confirmed: bool
    # The job may run on the machine.
    machine_allowed: bool
    # Other machines report the task, too.
    on_other_machines: bool
    # One of them reports a higher attempt.
    higher_attempt_elsewhere: bool
    # No machine of the partition can run attempts that it has not reported.
    machines_known: bool
    # The quota of the job's team permits another task.
    within_quota: bool
    held_for: timedelta


@dataclass(frozen=True)
class Bounds:
    """How long an unrecorded attempt is held at most, by the reason for holding it."""

    # Waiting for a response of the state store or of a peer.
    answer: timedelta
    # Waiting for a submission from a previous incarnation of a controller, which may still succeed.
    late_write: timedelta


def decide(facts: Facts, bounds: Bounds) -> Decision:
    """Decide on an attempt from the facts."""
    if facts.superseded:
        return Decision.STOP
    if not (facts.records_read and facts.peers_replied) and facts.held_for < bounds.answer:
        return Decision.HOLD
    if facts.is_job_live:
        return _decide_for_live_job(facts)
    return _decide_for_unknown_job(facts, bounds)


def _decide_for_live_job(facts: Facts) -> Decision:
    if facts.gang:
        # The tasks of a gang start all together or not at all.
        return Decision.STOP
    if facts.reported_done:
        # Completion is final, so the age of the heartbeat does not matter.
        return Decision.RECORD_DONE
    if not facts.machine_allowed or facts.higher_attempt_elsewhere:
        return Decision.STOP
    if not facts.machine_confirmed or not facts.machines_known or facts.on_other_machines:
        # A machine without a heartbeat so far may run the task as well.
        return Decision.HOLD
    return Decision.ADOPT if facts.within_quota else Decision.STOP


def _decide_for_unknown_job(facts: Facts, bounds: Bounds) -> Decision:
    if facts.job_ended or facts.reported_done:
        return Decision.STOP
    if facts.job_ended is None:
        # Its user may have been notified of a cancellation, so it is kept only if the state store
        # answers that there is none.
        return Decision.HOLD if facts.held_for < bounds.answer else Decision.STOP
    return Decision.HOLD if facts.held_for < bounds.late_write else Decision.STOP


@dataclass
class HeldAttempt:
    """An unrecorded attempt that is left running for now. `since` is of the steady clock."""

    job: str
    index: int
    attempt: int
    machine: str
    since: datetime
    reported_done: bool
    decision: Decision = Decision.HOLD
    # As in `Facts`.
    job_ended: bool | None = None


@dataclass
class HeldAttempts:
    """The held attempts of one partition, up to a maximum number."""

    max_count: int
    _attempts: dict[tuple[str, int, int, str], HeldAttempt] = field(default_factory=dict)
    # By job and task index, how many attempts are held.
    _counts: dict[str, dict[int, int]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._attempts)

    def get(self, job: str, index: int, attempt: int, machine: str) -> HeldAttempt | None:
        """Return the attempt, if it is held."""
        return self._attempts.get((job, index, attempt, machine))

    def add(self, held: HeldAttempt) -> bool:
        """Hold an attempt; return False if the maximum is reached."""
        if len(self._attempts) >= self.max_count:
            return False
        self._attempts[(held.job, held.index, held.attempt, held.machine)] = held
        counts = self._counts.setdefault(held.job, {})
        counts[held.index] = counts.get(held.index, 0) + 1
        return True

    def remove(self, held: HeldAttempt) -> None:
        """Stop holding an attempt, if it is held."""
        if self._attempts.pop((held.job, held.index, held.attempt, held.machine), None) is None:
            return
        counts = self._counts[held.job]
        counts[held.index] -= 1
        if not counts[held.index]:
            del counts[held.index]
        if not counts:
            del self._counts[held.job]

    def all(self) -> list[HeldAttempt]:
        """Return all held attempts, in the order in which they were first reported."""
        return list(self._attempts.values())

    def indexes(self, job: str) -> set[int]:
        """Return the indexes of a job's tasks that have held attempts."""
        return set(self._counts.get(job, ()))

    def jobs(self) -> set[str]:
        """Return the jobs that have held attempts."""
        return set(self._counts)

    def others(self, held: HeldAttempt) -> list[HeldAttempt]:
        """Return the held attempts of the same task on other machines."""
        return [
            row
            for row in self._attempts.values()
            if (row.job, row.index) == (held.job, held.index) and row.machine != held.machine
        ]
