"""What really differs between the stored records and the workers, worked out from the fakes.

Nothing of the product is used here, not even its reading of records: this is what its own
comparison is judged by.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from roadbend.fakes.state import FakeStateService
from roadbend.fakes.worker import FakeWorker

SLICE, JOB = "r/slice/", "r/job/"
# An attempt's number has the term above so many bits.
ATTEMPT_BITS = 32


class Placed(NamedTuple):
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
    """Records and workers side by side at one instant."""

    # Recorded and alive on their machines.
    matching: frozenset[Placed] = frozenset()
    # Recorded, and the machine works without it.
    missing: frozenset[Placed] = frozenset()
    # Recorded, and ended on its machine.
    ended: frozenset[Placed] = frozenset()
    # Alive on machines, their jobs cancelled or over.
    cancelled: frozenset[Placed] = frozenset()
    # On machines, of jobs that live, in no record.
    unrecorded: frozenset[Placed] = frozenset()
    # Recorded on machines that do not work.
    silent: frozenset[Placed] = frozenset()
    # Ended on machines and in no record, to be forgotten there.
    leftovers: frozenset[Placed] = frozenset()
    machines: int = 0

    def counts(self) -> dict[str, int]:
        """Return how many differences of each kind there are."""
        names = ("missing", "ended", "cancelled", "unrecorded", "silent", "leftovers")
        return {name: len(getattr(self, name)) for name in names}

    @property
    def total(self) -> int:
        """Return how many differences there are."""
        return sum(self.counts().values())

    @property
    def needed_orders(self) -> int:
        """Return how many orders settle them: a start, a removal, or a stop and a removal."""
        return (
            len(self.missing)
            + len(self.ended)
            + len(self.leftovers)
            + 2 * (len(self.cancelled) + len(self.unrecorded))
        )


def recorded_attempts(state: FakeStateService) -> set[Placed]:
    """Return the attempts that the stored slices name."""
    found = set()
    for key, value in state.values_with_prefix(SLICE).items():
        job = key.removeprefix(SLICE).split("/")[1]
        for term, start, flat in value["r"]:
            for at in range(0, len(flat), 3):
                index, low, rest = flat[at : at + 3]
                number = term << ATTEMPT_BITS | low
                found.add(Placed(f"{job}/{index}", number, start + rest))
    return found


@dataclass
class _Sorted:
    rows: dict[str, set[Placed]] = field(default_factory=dict)

    def add(self, name: str, placed: Placed) -> None:
        self.rows.setdefault(name, set()).add(placed)


def true_differences(state: FakeStateService, workers: Iterable[FakeWorker]) -> TrueDifferences:
    """Compare the stored records with what is on machines now."""
    recorded, live = recorded_attempts(state), set(_live_jobs(state))
    working = {worker.machine: worker for worker in workers if not worker.hung}
    found = _Sorted()
    held: dict[Placed, Any] = {
        Placed(task.name, task.attempt, name): task
        for name, worker in working.items()
        for task in worker.tasks.values()
    }
    for placed in recorded | held.keys():
        found.add(_kind(placed, placed in recorded, held, working, live), placed)
    rows = {name: frozenset(placed) for name, placed in found.rows.items()}
    return TrueDifferences(machines=len(working), **rows)


def _kind(
    placed: Placed,
    recorded: bool,
    held: dict[Placed, Any],
    working: dict[str, FakeWorker],
    live: set[str],
) -> str:
    if placed.machine not in working:
        return "silent"
    task = held.get(placed)
    if task is None:
        # A job that is over wants nothing started: its absence is just to be recorded.
        return "missing" if placed.job in live else "matching"
    if task.state == "ended":
        return "ended" if recorded else "leftovers"
    if placed.job not in live:
        return "cancelled"
    return "matching" if recorded else "unrecorded"


def _live_jobs(state: FakeStateService) -> list[str]:
    return [key.removeprefix(JOB) for key in state.values_with_prefix(JOB)]
