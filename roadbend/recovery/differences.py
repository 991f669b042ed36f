"""Compares the stored records with the machines, as a pure function.

The desired state is that of the records; the observed state is what machines report and the cloud
lists. Every difference has one kind, and `settlement` has one settlement for each kind.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """How an attempt or a machine differs from the records; `MATCHING`: it does not."""

    MATCHING = "matching"
    # Recorded, but not in the latest heartbeat of its machine.
    MISSING = "missing"
    # Reported, but its task has no recorded attempt.
    UNRECORDED = "unrecorded"
    # Reported, but the records name another attempt of its task.
    SUPERSEDED = "superseded"
    # Recorded, and its machine reports that it has ended, or lacks it and its job has ended.
    ENDED = "ended"
    # Its job was cancelled or has ended, but the machine still runs it.
    CANCELLED = "cancelled"
    # Two machines report the same task, neither of them the recorded attempt.
    ON_TWO_MACHINES = "on-two-machines"
    # Recorded on a machine that has not reported to this leader.
    MACHINE_SILENT = "machine-silent"
    # The cloud lists a machine that no record names and that has not reported.
    MACHINE_UNKNOWN = "machine-unknown"
    # Recorded on a machine that the cloud lists as failed, or no longer lists.
    MACHINE_GONE = "machine-gone"


class TaskId(NamedTuple):
    """A task: its job and its index."""

    job: str
    task_index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.task_index}"


class RecordedAttempt(NamedTuple):
    """An attempt that the records name."""

    task: TaskId
    attempt: int
    machine: str


class ReportedAttempt(NamedTuple):
    """An attempt in a machine's latest heartbeat."""

    task: TaskId
    attempt: int
    machine: str
    ended: bool


class Presence(StrEnum):
    """The state of a machine, as far as it is known."""

    # It has sent the leader a heartbeat that carries its token, or has answered a query.
    HEARD = "heard"
    # It may be running, but has not sent or answered anything.
    SILENT = "silent"
    # The cloud lists it as booting.
    BOOTING = "booting"
    # Listed as failed, deleted, or no longer listed.
    GONE = "gone"


@dataclass(frozen=True)
class DesiredState:
    """One partition by its records."""

    attempts: frozenset[RecordedAttempt]
    live_jobs: frozenset[str]


@dataclass(frozen=True)
class ObservedState:
    """One partition by its machines' reports and the cloud's list."""

    attempts: frozenset[ReportedAttempt]
    machines: dict[str, Presence]


class Difference(NamedTuple):
    """A difference to settle. `task` and `attempt` are None if it is that of a whole machine."""

    kind: Kind
    machine: str
    task: TaskId | None = None
    attempt: int | None = None


@dataclass(frozen=True)
class Comparison:
    """All differences of a partition, sorted, and how many attempts match."""

    differences: tuple[Difference, ...]
    matching: int

    def counts(self) -> dict[str, int]:
        """Return the number of differences by kind."""
        return dict(sorted(Counter(str(row.kind) for row in self.differences).items()))

    def of_kind(self, *kinds: Kind) -> list[Difference]:
        """Return the differences of the given kinds."""
        return [row for row in self.differences if row.kind in kinds]


def compare(desired: DesiredState, observed: ObservedState) -> Comparison:
    """Compare the two states. Equal states always give the same differences in the same order."""
    recorded = {(row.task, row.attempt, row.machine) for row in desired.attempts}
    reported = {(row.task, row.attempt, row.machine): row for row in observed.attempts}
    recorded_tasks = {row.task for row in desired.attempts}
    duplicated = _on_two_machines(observed.attempts, recorded)
    differences: list[Difference] = []
    matching = 0
    for row in desired.attempts:
        kind = _recorded_kind(
            row, reported.get((row.task, row.attempt, row.machine)), desired, observed
        )
        if kind is Kind.MATCHING:
            matching += 1
        else:
            differences.append(Difference(kind, row.machine, row.task, row.attempt))
    for key, reported_attempt in reported.items():
        if key in recorded or reported_attempt.ended:
            continue
        kind = _unrecorded_kind(reported_attempt, recorded_tasks, duplicated, desired.live_jobs)
        differences.append(
            Difference(
                kind, reported_attempt.machine, reported_attempt.task, reported_attempt.attempt
            )
        )
    differences += _unknown_machines(desired, observed)
    return Comparison(tuple(sorted(differences, key=_sort_key)), matching)


def _recorded_kind(
    row: RecordedAttempt,
    reported_attempt: ReportedAttempt | None,
    desired: DesiredState,
    observed: ObservedState,
) -> Kind:
    presence = observed.machines.get(row.machine, Presence.SILENT)
    if presence is Presence.GONE:
        return Kind.MACHINE_GONE
    if reported_attempt is None and presence is not Presence.HEARD:
        return Kind.MACHINE_SILENT
    is_job_live = row.task.job in desired.live_jobs
    if reported_attempt is None:
        # If the job is not live, the attempt need not run again: only its record is left.
        return Kind.MISSING if is_job_live else Kind.ENDED
    if reported_attempt.ended:
        return Kind.ENDED
    return Kind.MATCHING if is_job_live else Kind.CANCELLED


def _unrecorded_kind(
    reported_attempt: ReportedAttempt,
    recorded: set[TaskId],
    duplicated: set[TaskId],
    live_jobs: frozenset[str],
) -> Kind:
    if reported_attempt.task in recorded:
        return Kind.SUPERSEDED
    if reported_attempt.task in duplicated:
        return Kind.ON_TWO_MACHINES
    # If the job has no record, this comparison can't tell whether it ever had one.
    return Kind.UNRECORDED


def _on_two_machines(
    attempts: Iterable[ReportedAttempt], recorded: set[tuple[TaskId, int, str]]
) -> set[TaskId]:
    machines_by_task: dict[TaskId, set[str]] = {}
    for row in attempts:
        if not row.ended and (row.task, row.attempt, row.machine) not in recorded:
            machines_by_task.setdefault(row.task, set()).add(row.machine)
    return {task for task, machines in machines_by_task.items() if len(machines) > 1}


def _unknown_machines(desired: DesiredState, observed: ObservedState) -> list[Difference]:
    named = {row.machine for row in desired.attempts}
    return [
        Difference(Kind.MACHINE_UNKNOWN, machine)
        for machine, presence in observed.machines.items()
        if presence is Presence.SILENT and machine not in named
    ]


def _sort_key(row: Difference) -> tuple[Kind, str, str, int, int]:
    task = row.task or TaskId("", -1)
    return (row.kind, row.machine, task.job, task.task_index, row.attempt or 0)
