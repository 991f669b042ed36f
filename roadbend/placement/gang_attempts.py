"""In-memory state of gang attempts that a partition's leader keeps besides the records."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class _LostMachines:
    """The machines on which an attempt of a gang has lost tasks."""

    attempt: int
    machines: set[str] = field(default_factory=set)


class GangAttempts:
    """The attempts of gangs in one partition."""

    def __init__(self) -> None:
        # By gang: the attempt of which some tasks are recorded and others are still to be.
        self._partly_recorded: dict[str, int] = {}
        # By gang with anti-affinity: the last attempt of which this partition started its share.
        self._joined: dict[str, int] = {}
        # Gangs with anti-affinity whose attempt was abandoned: all shares go back to bidding.
        self._to_release: set[str] = set()
        # By gang: where an attempt that continues has lost tasks before all of its tasks had begun.
        self._lost_machines: dict[str, _LostMachines] = {}

    def mark_partly_recorded(self, job: str, attempt: int) -> None:
        """Record that some tasks of an attempt are still to be recorded."""
        self._partly_recorded[job] = attempt

    def partly_recorded_attempt(self, job: str) -> int | None:
        """Return the attempt of a gang of which some tasks are still to be recorded."""
        return self._partly_recorded.get(job)

    def mark_joined(self, job: str, attempt: int) -> None:
        """Record that this partition has started its share of an attempt."""
        self._joined[job] = attempt

    def has_joined(self, job: str, attempt: int) -> bool:
        """Return whether this partition has started its share of an attempt."""
        return self._joined.get(job) == attempt

    def mark_for_release(self, job: str) -> None:
        """Record that all shares of a gang must be released and bid for again."""
        self._to_release.add(job)

    def needs_release(self, job: str) -> bool:
        """Return whether all shares of a gang must be released and bid for again."""
        return job in self._to_release

    def mark_released(self, job: str) -> None:
        """Record that all shares of a gang were released."""
        self._to_release.discard(job)

    def record_lost_machine(self, job: str, attempt: int, machine: str) -> None:
        """Record a machine on which an attempt has lost a task."""
        lost = self._lost_machines.get(job)
        if lost is None or lost.attempt != attempt:
            lost = self._lost_machines[job] = _LostMachines(attempt)
        lost.machines.add(machine)

    def lost_machines(self, job: str) -> set[str]:
        """Return the machines on which a gang's attempt has lost tasks.

        Its tasks must not start there again: a machine ignores a start order for an attempt that it
        still holds, even for one that has ended.
        """
        lost = self._lost_machines.get(job)
        return lost.machines if lost is not None else set()

    def has_lost_machines(self) -> bool:
        """Return whether any attempt continues after losing a task."""
        return bool(self._lost_machines)

    def drop_obsolete(
        self,
        is_live: Callable[[str], bool],
        is_fully_recorded: Callable[[str, int], bool],
        recorded_number: Callable[[str], int | None],
    ) -> None:
        """Drop entries that the records make obsolete; the arguments look the records up."""
        for job in [job for job in self._joined if not is_live(job)]:
            del self._joined[job]
        self._to_release = {job for job in self._to_release if is_live(job)}
        for job in [
            job for job, attempt in self._partly_recorded.items() if is_fully_recorded(job, attempt)
        ]:
            del self._partly_recorded[job]
        for job in [
            job_id
            for job_id, lost in self._lost_machines.items()
            if recorded_number(job_id) != lost.attempt
        ]:
            del self._lost_machines[job]
