"""What becomes of an attempt that a machine reports and no record names.

It is never stopped at once, and never adopted from a heartbeat alone.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum


class Decision(StrEnum):
    """What is done about an unrecorded attempt."""

    HOLD = "hold"
    # Written into the records where it runs.
    ADOPT = "adopt"
    # Completed: written into the records as done.
    RECORD_DONE = "record-done"
    STOP = "stop"


@dataclass(frozen=True)
class Facts:
    """What is known of an unrecorded attempt when it is decided about."""

    # Whether the records were read, and every live controller heard, since it was first seen.
    records_read: bool
    peers_heard: bool
    # The records name another attempt of the task, or say that it is done.
    superseded: bool
    job_lives: bool
    # Of a job that does not live: whether it has a recorded end; None: not read yet.
    job_over: bool | None
    gang: bool
    shows_done: bool
    # The machine's latest heartbeat carries the leader's token, and the machine stays.
    machine_current: bool
    machine_allowed: bool
    # Other machines that show the task: any, and one with a higher attempt.
    also_elsewhere: bool
    higher_elsewhere: bool
    # Every machine of the partition was heard, or can't hold anything any more.
    machines_known: bool
    within_limit: bool
    waited: timedelta


@dataclass(frozen=True)
class Bounds:
    """How long an unrecorded attempt is held at the most for each reason."""

    # For an answer of the state store or of a peer.
    answer: timedelta
    # For a submission of a former incarnation that may still be carried out.
    late_write: timedelta


def decide(facts: Facts, bounds: Bounds) -> Decision:
    """Decide about one attempt from what is known of it now."""
    if facts.superseded:
        return Decision.STOP
    if not (facts.records_read and facts.peers_heard) and facts.waited < bounds.answer:
        return Decision.HOLD
    if facts.job_lives:
        return _decide_of_live_job(facts)
    return _decide_of_unknown_job(facts, bounds)


def _decide_of_live_job(facts: Facts) -> Decision:
    if facts.gang:
        # A gang is started whole or not at all.
        return Decision.STOP
    if facts.shows_done:
        # Done stays true, however old the heartbeat is.
        return Decision.RECORD_DONE
    if not facts.machine_allowed or facts.higher_elsewhere:
        return Decision.STOP
    if not facts.machine_current or not facts.machines_known or facts.also_elsewhere:
        # A machine that was not heard yet may have the task too.
        return Decision.HOLD
    return Decision.ADOPT if facts.within_limit else Decision.STOP


def _decide_of_unknown_job(facts: Facts, bounds: Bounds) -> Decision:
    if facts.job_over or facts.shows_done:
        return Decision.STOP
    if facts.job_over is None:
        # Perhaps its user was told that it is cancelled: without an answer it is not kept.
        return Decision.HOLD if facts.waited < bounds.answer else Decision.STOP
    return Decision.HOLD if facts.waited < bounds.late_write else Decision.STOP


@dataclass
class HeldAttempt:
    """An unrecorded attempt that is left alone for now. `since` is a steady instant."""

    job: str
    index: int
    attempt: int
    machine: str
    since: datetime
    shows_done: bool
    decision: Decision = Decision.HOLD
    # As in `Facts`.
    job_over: bool | None = None


@dataclass
class HeldAttempts:
    """The unrecorded attempts of one partition, up to a bound."""

    most: int
    _rows: dict[tuple[str, int, int, str], HeldAttempt] = field(default_factory=dict)
    _indexes: dict[str, dict[int, int]] = field(default_factory=dict)

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, job: str, index: int, attempt: int, machine: str) -> HeldAttempt | None:
        """Return the attempt, if it is held."""
        return self._rows.get((job, index, attempt, machine))

    def add(self, held: HeldAttempt) -> bool:
        """Hold an attempt; return False where there are too many."""
        if len(self._rows) >= self.most:
            return False
        self._rows[(held.job, held.index, held.attempt, held.machine)] = held
        counts = self._indexes.setdefault(held.job, {})
        counts[held.index] = counts.get(held.index, 0) + 1
        return True

    def remove(self, held: HeldAttempt) -> None:
        """Cease to hold an attempt, if it is held."""
        if self._rows.pop((held.job, held.index, held.attempt, held.machine), None) is None:
            return
        counts = self._indexes[held.job]
        counts[held.index] -= 1
        if not counts[held.index]:
            del counts[held.index]
        if not counts:
            del self._indexes[held.job]

    def all(self) -> list[HeldAttempt]:
        """Return all of them, in the order in which they were first seen."""
        return list(self._rows.values())

    def indexes(self, job: str) -> set[int]:
        """Return the tasks of a job that machines show and no record names."""
        return set(self._indexes.get(job, ()))

    def jobs(self) -> set[str]:
        """Return the jobs of all of them."""
        return set(self._indexes)

    def others(self, held: HeldAttempt) -> list[HeldAttempt]:
        """Return the attempts of the same task on other machines."""
        return [
            row
            for row in self._rows.values()
            if (row.job, row.index) == (held.job, held.index) and row.machine != held.machine
        ]
