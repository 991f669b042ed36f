"""What is told of jobs, attempts and recoveries as they go on.

The class here does nothing: it stands in where tracing (`roadbend.tracing`) is switched off, so
that the core has no condition on it and imports none of it."""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roadbend.fleet.terminations import Termination
    from roadbend.store.records import Attempt, Job


class Observer:
    """Told what happens. All methods return at once."""

    def job_accepted(self, job: Job, trace_parent: str | None) -> None:
        """A submission was recorded; `trace_parent`: the header that came with it, unchecked."""

    def job_assigned(self, job: Job, partitions: list[str]) -> None:
        """Partitions hold tasks of a job from now on."""

    def attempt_recorded(self, partition: str, job: Job, index: int, attempt: Attempt) -> None:
        """A start was recorded, and its order may go out."""

    def attempt_ended(self, partition: str, job: str, index: int, end: Termination) -> None:
        """The end of an attempt was recorded."""

    def job_over(self, job: Job, status: str) -> None:
        """A job's final state was recorded."""

    def recovery_phase(
        self, partition: str, term: int, phase: str, since: datetime, counts: dict[str, int]
    ) -> None:
        """A phase of a partition's recovery has ended, which lasted from `since`."""

    def recovery_over(
        self, partition: str, term: int, since: datetime, counts: dict[str, int]
    ) -> None:
        """A partition's recovery, which lasted from `since`, is settled."""

    def recovery_machine(self, partition: str, term: int, machine: str, since: datetime) -> None:
        """A machine was heard for the first time in a term that lasts from `since`."""

    def recovery_settled(
        self, partition: str, term: int, task: str, machine: str, how: str, since: datetime
    ) -> None:
        """An unrecorded attempt that was held from `since` was settled."""
