"""Notifications of what happens to jobs, attempts and recoveries.

The class here does nothing: it stands in where tracing (`roadbend.tracing`) is switched off, so
that the core has no condition on it and imports none of it.
"""

from __future__ import annotations

from datetime import datetime
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roadbend.fleet.terminations import Termination
    from roadbend.store.records import Attempt, Job


class Observer:
    """Is notified of what happens.

    All methods return at once, and raise nothing. Instants named `since` are of the steady clock.
    """

    def job_accepted(self, job: Job, trace_parent: str | None) -> None:
        """Note that a submission was recorded.

        `trace_parent` is the header of the W3C trace context that came with it, unchecked.
        """

    def job_assigned(self, job: Job, partitions: list[str]) -> None:
        """Note that partitions hold tasks of a job from now on."""

    def attempt_recorded(self, partition: str, job: Job, index: int, attempt: Attempt) -> None:
        """Note that an attempt's start was recorded; its order to the worker may go out now."""

    def attempt_ended(self, partition: str, job: str, index: int, end: Termination) -> None:
        """Note that the termination of an attempt was recorded."""

    def job_ended(self, job: Job, status: str) -> None:
        """Note that a job's final state was recorded."""

    def recovery_phase(
        self, partition: str, term: int, phase: str, since: datetime, counts: dict[str, int]
    ) -> None:
        """Note that a phase of a partition's recovery, which began at `since`, has ended."""

    def recovery_ended(
        self, partition: str, term: int, since: datetime, counts: dict[str, int]
    ) -> None:
        """Note that a partition's recovery, which began at `since`, is settled."""

    def recovery_machine(self, partition: str, term: int, machine: str, since: datetime) -> None:
        """Note that a machine was heard for the first time in a term that began at `since`."""

    def recovery_settled(
        self, partition: str, term: int, task: str, machine: str, how: str, since: datetime
    ) -> None:
        """Note that an unrecorded attempt, which was held since `since`, was settled."""
