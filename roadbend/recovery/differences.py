"""What differs between the stored records and the machines, as a pure comparison.

Desired state is what the records say, observed state what machines show and the cloud lists.
Every difference has one kind, and `settlement` has one settlement for each kind.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class Kind(StrEnum):
    """How an attempt or a machine differs; `MATCHING` does not."""

    MATCHING = "matching"
    # Recorded, and a current heartbeat of its machine lacks it.
    MISSING = "missing"
    # Reported, and its task has no recorded attempt.
    UNRECORDED = "unrecorded"
    # Reported, and the records name another attempt of its task.
    SUPERSEDED = "superseded"
    # Recorded, and its machine reports its end.
    ENDED = "ended"
    # Its job was cancelled or is over, and the machine still has it.
    CANCELLED = "cancelled"
    # Two machines show the same task, neither as the recorded attempt.
    ON_TWO_MACHINES = "on-two-machines"
    # Recorded on a machine that has not reported to this leader.
    MACHINE_SILENT = "machine-silent"
    # The cloud lists a machine that no record names and that has not reported.
    MACHINE_UNKNOWN = "machine-unknown"
    # Recorded on a machine that the cloud lists as failed, or lists no more.
    MACHINE_GONE = "machine-gone"


class TaskId(NamedTuple):
    """A task: its job and its index."""

    job: str
    task_index: int

    def __str__(self) -> str:
        return f"{self.job}/{self.task_index}"


class Recorded(NamedTuple):
    """An attempt that the records name."""

    task: TaskId
    attempt: int
    machine: str


class Reported(NamedTuple):
    """An attempt that a machine's latest heartbeat shows."""

    task: TaskId
    attempt: int
    machine: str
    ended: bool


class Presence(StrEnum):
    """What is known of a machine."""

    # It has sent a heartbeat that carries the leader's token.
    HEARD = "heard"
    SILENT = "silent"
    # Listed by the cloud as not up yet.
    BOOTING = "booting"
    # Listed as failed, deleted, or no longer listed.
    GONE = "gone"


@dataclass(frozen=True)
class DesiredState:
    """What the records say of one partition."""

    attempts: frozenset[Recorded]
    live_jobs: frozenset[str]


@dataclass(frozen=True)
class ObservedState:
    """What machines show and the cloud lists of one partition."""

    attempts: frozenset[Reported]
    machines: dict[str, Presence]


class Difference(NamedTuple):
    """One thing to settle. `task` and `attempt` are None where a whole machine differs."""

    kind: Kind
    machine: str
    task: TaskId | None = None
    attempt: int | None = None


@dataclass(frozen=True)
class Comparison:
    """All differences of a partition, in a fixed order, and how many attempts matched."""

    differences: tuple[Difference, ...]
    matching: int

    def counts(self) -> dict[str, int]:
        """Return how many differences there are, by kind."""
        return dict(sorted(Counter(str(row.kind) for row in self.differences).items()))

    def of_kind(self, *kinds: Kind) -> list[Difference]:
        """Return the differences of some kinds."""
        return [row for row in self.differences if row.kind in kinds]


def compare(desired: DesiredState, observed: ObservedState) -> Comparison:
    """Compare the two states. The same states always give the same differences in one order."""
    recorded = {(row.task, row.attempt, row.machine) for row in desired.attempts}
    reported = {(row.task, row.attempt, row.machine): row for row in observed.attempts}
    recorded_tasks = {row.task for row in desired.attempts}
    twice = _on_two_machines(observed.attempts, recorded)
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
    for key, shown in reported.items():
        if key in recorded or shown.ended:
            continue
        kind = _unrecorded_kind(shown, recorded_tasks, twice, desired.live_jobs)
        differences.append(Difference(kind, shown.machine, shown.task, shown.attempt))
    differences += _unknown_machines(desired, observed)
    return Comparison(tuple(sorted(differences, key=_order)), matching)


def _recorded_kind(
    row: Recorded, shown: Reported | None, desired: DesiredState, observed: ObservedState
) -> Kind:
    presence = observed.machines.get(row.machine, Presence.SILENT)
    if presence is Presence.GONE:
        return Kind.MACHINE_GONE
    if shown is None and presence is not Presence.HEARD:
        return Kind.MACHINE_SILENT
    wanted = row.task.job in desired.live_jobs
    if shown is None:
        # Nobody wants it there any more, and it is not there: only its record is left.
        return Kind.MISSING if wanted else Kind.ENDED
    if shown.ended:
        return Kind.ENDED
    return Kind.MATCHING if wanted else Kind.CANCELLED


def _unrecorded_kind(
    shown: Reported, recorded: set[TaskId], twice: set[TaskId], live_jobs: frozenset[str]
) -> Kind:
    if shown.task in recorded:
        return Kind.SUPERSEDED
    if shown.task in twice:
        return Kind.ON_TWO_MACHINES
    # Of a job that no record names it is not known here whether it was ever recorded.
    return Kind.UNRECORDED


def _on_two_machines(
    attempts: Iterable[Reported], recorded: set[tuple[TaskId, int, str]]
) -> set[TaskId]:
    homes: dict[TaskId, set[str]] = {}
    for row in attempts:
        if not row.ended and (row.task, row.attempt, row.machine) not in recorded:
            homes.setdefault(row.task, set()).add(row.machine)
    return {task for task, machines in homes.items() if len(machines) > 1}


def _unknown_machines(desired: DesiredState, observed: ObservedState) -> list[Difference]:
    named = {row.machine for row in desired.attempts}
    return [
        Difference(Kind.MACHINE_UNKNOWN, machine)
        for machine, presence in observed.machines.items()
        if presence is Presence.SILENT and machine not in named
    ]


def _order(row: Difference) -> tuple[Kind, str, str, int, int]:
    task = row.task or TaskId("", -1)
    return (row.kind, row.machine, task.job, task.task_index, row.attempt or 0)
