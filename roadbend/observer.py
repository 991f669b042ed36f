"""Notifications of events of jobs, attempts and recoveries.

The class here does nothing. It is used if tracing (`roadbend.tracing`) is disabled, so that the
core needs no conditions for tracing and imports none of it.
"""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roadbend.fleet.terminations import Termination
    from roadbend.store.records import Attempt, Job


class Observer:
    """Receives notifications; this base class ignores them.

    All methods return at once and raise nothing. Instants named `since` are of the steady clock.
    """

    def job_accepted(self, job: Job, trace_parent: str | None) -> None:
        """Notify that a submission was recorded.

        `trace_parent` is its W3C trace context header, not validated.
        """

    def job_assigned(self, job: Job, partitions: list[str]) -> None:
        """Notify that tasks of a job were assigned to partitions."""

    def attempt_recorded(self, partition: str, job: Job, index: int, attempt: Attempt) -> None:
        """Notify that an attempt was recorded; its start command may now be sent to the worker."""

    def attempt_ended(self, partition: str, job: str, index: int, end: Termination) -> None:
        """Notify that the termination of an attempt was recorded."""

    def job_ended(self, job: Job, status: str) -> None:
        """Notify that a job's final state was recorded."""

    def recovery_phase(
        self, partition: str, term: int, phase: str, since: datetime, counts: dict[str, int]
    ) -> None:
        """Notify that a phase of a partition's recovery, which began at `since`, has ended."""

    def recovery_ended(
        self, partition: str, term: int, since: datetime, counts: dict[str, int]
    ) -> None:
        """Notify that a partition's recovery, which began at `since`, is complete."""

    def recovery_machine(self, partition: str, term: int, machine: str, since: datetime) -> None:
        """Notify of a machine's first heartbeat in a term that began at `since`."""

    def recovery_settled(
        self, partition: str, term: int, task: str, machine: str, how: str, since: datetime
    ) -> None:
        """Notify that an unrecorded attempt, which was held since `since`, was settled."""
