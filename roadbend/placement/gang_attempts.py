"""What a partition's leader remembers of the attempts of gangs, beside the records."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class _LostMachines:
    """The machines that an attempt of a gang has lost."""

    attempt: int
    machines: set[str] = field(default_factory=set)


class GangAttempts:
    """The attempts of gangs in one partition."""

    def __init__(self) -> None:
        # Attempts of which a part is recorded, and the rest still to be.
        self._filling: dict[str, int] = {}
        # Gangs with anti-affinity: the last attempt of which this partition started its share.
        self._joined: dict[str, int] = {}
        # Such gangs whose attempt is over: all shares are to be bid for anew.
        self._to_release: set[str] = set()
        # Where an attempt that goes on elsewhere has lost tasks before all of them had begun.
        self._lost_on: dict[str, _LostMachines] = {}

    def note_filling(self, job: str, attempt: int) -> None:
        """Remember that the rest of an attempt is still to be recorded."""
        self._filling[job] = attempt

    def filling(self, job: str) -> int | None:
        """Return the attempt of a gang of which the rest is still to be recorded."""
        return self._filling.get(job)

    def note_joined(self, job: str, attempt: int) -> None:
        """Remember that this partition has started its share of an attempt."""
        self._joined[job] = attempt

    def has_joined(self, job: str, attempt: int) -> bool:
        """Whether this partition has started its share of an attempt."""
        return self._joined.get(job) == attempt

    def note_over(self, job: str) -> None:
        """Remember that all shares of a gang are to be bid for anew."""
        self._to_release.add(job)

    def needs_release(self, job: str) -> bool:
        """Whether all shares of a gang are to be bid for anew."""
        return job in self._to_release

    def mark_released(self, job: str) -> None:
        """All shares of a gang were given back."""
        self._to_release.discard(job)

    def record_lost_machine(self, job: str, attempt: int, machine: str) -> None:
        """Remember a machine on which an attempt has lost a task."""
        lost = self._lost_on.get(job)
        if lost is None or lost.attempt != attempt:
            lost = self._lost_on[job] = _LostMachines(attempt)
        lost.machines.add(machine)

    def lost_machines(self, job: str) -> set[str]:
        """Return the machines on which a gang's attempt has lost tasks.

        A machine ignores an order for an attempt that it still holds, ended ones too.
        """
        lost = self._lost_on.get(job)
        return lost.machines if lost is not None else set()

    def has_lost_machines(self) -> bool:
        """Whether any attempt has lost a task and goes on."""
        return bool(self._lost_on)

    def drop_over(
        self,
        is_live: Callable[[str], bool],
        is_filled: Callable[[str, int], bool],
        recorded_number: Callable[[str], int | None],
    ) -> None:
        """Forget what no longer matters by the records, which the arguments look up."""
        for job in [job for job in self._joined if not is_live(job)]:
            del self._joined[job]
        self._to_release = {job for job in self._to_release if is_live(job)}
        for job in [job for job, attempt in self._filling.items() if is_filled(job, attempt)]:
            del self._filling[job]
        for job in [j for j, lost in self._lost_on.items() if recorded_number(j) != lost.attempt]:
            del self._lost_on[job]
