"""The actual differences between the stored records and the workers, as the fakes show them.

No code of the scheduler is used here, not even its parsing of records, because its own comparison
is checked against this one.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roadbend.fakes.state import FakeStateService
from roadbend.fakes.worker import FakeWorker

SLICE, JOB = "r/slice/", "r/job/"
# The term of an attempt's number is above this many bits.
ATTEMPT_BITS = 32


class PlacedAttempt(NamedTuple):
    """An attempt at a task on a machine."""

    task: str
    attempt: int
    machine: str

    @property
    def job(self) -> str:
        """Return the id of the task's job."""
        return self.task.rpartition("/")[0]


@dataclass(frozen=True)
class TrueDifferences:
    """Records compared with workers at one instant."""

    # Recorded, and not ended on their machines.
    matching: frozenset[PlacedAttempt] = frozenset()
    # Recorded, but unknown to their running machines.
    missing: frozenset[PlacedAttempt] = frozenset()
    # Recorded, but ended on their machines.
    ended: frozenset[PlacedAttempt] = frozenset()
    # Not ended on their machines, but their jobs are cancelled or done.
    cancelled: frozenset[PlacedAttempt] = frozenset()
    # Not ended on their machines, of live jobs, but not recorded.
    unrecorded: frozenset[PlacedAttempt] = frozenset()
    # Recorded on machines that hang or do not run.
    silent: frozenset[PlacedAttempt] = frozenset()
    # Ended on their machines and not recorded; they are to be removed there.
    leftovers: frozenset[PlacedAttempt] = frozenset()
    machines: int = 0

    def counts(self) -> dict[str, int]:
        """Return the number of differences of each kind."""
        names = ("missing", "ended", "cancelled", "unrecorded", "silent", "leftovers")
        return {name: len(getattr(self, name)) for name in names}

    @property
    def total(self) -> int:
        """Return the number of all differences."""
        return sum(self.counts().values())

    @property
    def needed_orders(self) -> int:
        """Return how many orders settle them: a start, a removal, or a stop and a removal each."""
        return (
            len(self.missing)
            + len(self.ended)
            + len(self.leftovers)
            + 2 * (len(self.cancelled) + len(self.unrecorded))
        )


def recorded_attempts(state: FakeStateService) -> set[PlacedAttempt]:
    """Return the attempts in the stored slices."""
    attempts = set()
    for key, value in state.values_with_prefix(SLICE).items():
        job = key.removeprefix(SLICE).split("/")[1]
        for term, machine_prefix, entries in value["r"]:
            for offset in range(0, len(entries), 3):
                index, low_bits, machine_suffix = entries[offset : offset + 3]
                number = term << ATTEMPT_BITS | low_bits
                attempts.add(
                    PlacedAttempt(f"{job}/{index}", number, machine_prefix + machine_suffix)
                )
    return attempts


@dataclass
class _Classified:
    by_kind: dict[str, set[PlacedAttempt]] = field(default_factory=dict)

    def add(self, kind: str, attempt: PlacedAttempt) -> None:
        self.by_kind.setdefault(kind, set()).add(attempt)


def true_differences(state: FakeStateService, workers: Iterable[FakeWorker]) -> TrueDifferences:
    """Compare the stored records with the attempts on machines now."""
    recorded, live_jobs = recorded_attempts(state), set(_live_jobs(state))
    running = {worker.machine: worker for worker in workers if not worker.hung}
    classified = _Classified()
    held: dict[PlacedAttempt, Any] = {
        PlacedAttempt(task.name, task.attempt, machine): task
        for machine, worker in running.items()
        for task in worker.tasks.values()
    }
    for attempt in recorded | held.keys():
        classified.add(_classify(attempt, attempt in recorded, held, running, live_jobs), attempt)
    by_kind = {kind: frozenset(attempts) for kind, attempts in classified.by_kind.items()}
    return TrueDifferences(machines=len(running), **by_kind)


def _classify(
    attempt: PlacedAttempt,
    recorded: bool,
    held: dict[PlacedAttempt, Any],
    running: dict[str, FakeWorker],
    live_jobs: set[str],
) -> str:
    if attempt.machine not in running:
        return "silent"
    task = held.get(attempt)
    if task is None:
        # An attempt of an ended job needs no restart; its end just has to be recorded.
        return "missing" if attempt.job in live_jobs else "matching"
    if task.state == "ended":
        return "ended" if recorded else "leftovers"
    if attempt.job not in live_jobs:
        return "cancelled"
    return "matching" if recorded else "unrecorded"


def _live_jobs(state: FakeStateService) -> list[str]:
    return [key.removeprefix(JOB) for key in state.values_with_prefix(JOB)]
