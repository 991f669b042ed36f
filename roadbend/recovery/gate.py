"""The placement gate after a cold restart: delays older jobs until the machines are known."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.recovery.partition import PartitionRecovery
from roadbend.recovery.phases import PhaseName
from roadbend.recovery.settings import RecoverySettings

if TYPE_CHECKING:
    from roadbend.controller import Controller

# The phases after the one that waits for the machines' heartbeats.
GATHERED_PHASES = {str(PhaseName.SETTLING), str(PhaseName.SETTLED)}


class Gate:
    """Decides, for one controller, which jobs may be placed on machines.

    `partitions` are the recoveries of the partitions that the controller leads.
    """

    def __init__(
        self,
        controller: Controller,
        settings: RecoverySettings,
        partitions: Mapping[str, PartitionRecovery],
    ) -> None:
        self._controller, self._context = controller, controller.context
        self._settings, self._partitions = settings, partitions
        # The live jobs when this controller acquired its first partition, and when that was, by the
        # steady clock.
        self._inherited_jobs: frozenset[str] = frozenset()
        self._first_acquired_at: datetime | None = None
        self._open = False
        # Partitions whose machines showed this controller that the state store lost writes.
        self._partitions_with_lost_writes: set[str] = set()

    @property
    def is_open(self) -> bool:
        """Whether all jobs may be placed."""
        return self._open

    @property
    def has_inherited_jobs(self) -> bool:
        """Whether there were jobs when this controller acquired its first partition."""
        return bool(self._inherited_jobs)

    def record_acquisition(self) -> None:
        """Record that a partition was acquired; the first one fixes which jobs are inherited."""
        if self._first_acquired_at is None:
            self._first_acquired_at = clock.now()
            self._inherited_jobs = frozenset(self._context.view.jobs)

    def record_lost_writes(self, partition: str) -> None:
        """Close the gate: a partition's machines show that the state store lost writes."""
        self._partitions_with_lost_writes.add(partition)
        self._open = False

    def has_lost_writes(self, partition: str) -> bool:
        """Return whether a partition's machines have shown this controller lost writes."""
        return partition in self._partitions_with_lost_writes

    def is_open_for(self, job: str) -> bool:
        """Return whether a job may be placed on machines.

        A job submitted after the restart always may; an inherited one only once all machines that
        may already run its tasks are known.
        """
        if self._open:
            return True
        # Until the first partition is acquired this controller can't tell which jobs are inherited.
        return self._first_acquired_at is not None and job not in self._inherited_jobs

    def update(self, now: datetime) -> None:
        """Open the gate if that is safe, or close it again if writes turn out to be lost."""
        if self._open and not self._has_lost_writes_anywhere():
            return
        self._open = self._may_open(now)

    def is_cold(self) -> bool:
        """Return whether all controllers have restarted a short time ago.

        Then none of them knows which orders were in flight before.
        """
        now, limit = clock.now(), self._settings.cold_within
        if now - self._controller.began > limit:
            return False
        ages = [
            link.peer_state.heartbeat.uptime
            for link in self._controller.peers.links.values()
            if link.alive(now) and link.peer_state.heartbeat is not None
        ]
        return all(age < limit for age in ages)

    def _may_open(self, now: datetime) -> bool:
        """Return whether inherited jobs may be placed."""
        if not self._context.view.loaded:
            return False
        partitions = self._context.election.partitions()
        since = self._first_acquired_at or self._controller.began
        if self._has_lost_writes_anywhere():
            return now >= self._leases_end_at(since) or all(
                self._phase_of(partition) == PhaseName.SETTLED for partition in partitions
            )
        if not self.is_cold() or self._is_first_start():
            return True
        return now >= since + self._settings.gather_most or all(
            self._phase_of(partition) in GATHERED_PHASES for partition in partitions
        )

    def _is_first_start(self) -> bool:
        """Return whether there were no inherited jobs and the cloud lists no running machine."""
        inventory = self._controller.fleet.inventory
        running = any(row.status == "running" for row in inventory.rows.values())
        acquired_without_jobs = self._first_acquired_at is not None and not self._inherited_jobs
        return acquired_without_jobs and inventory.reads > 0 and not running

    def _phase_of(self, partition: str) -> str | None:
        """Return the recovery phase of a partition in its current term, whoever leads it."""
        own = self._partitions.get(partition)
        if own is not None:
            return str(own.phase.name)
        progress = self._context.view.recoveries.get(partition)
        term = self._context.view.terms.get(partition)
        if progress is None or term is None or progress.term != term.number:
            return None
        return progress.phase

    def _has_lost_writes_anywhere(self) -> bool:
        """Return whether any controller knows of lost writes that are not settled."""
        view = self._context.view
        return bool(self._partitions_with_lost_writes) or any(
            progress.lost_writes
            and partition in view.terms
            and progress.term == view.terms[partition].number
            and progress.phase != PhaseName.SETTLED
            for partition, progress in view.recoveries.items()
        )

    def _leases_end_at(self, since: datetime) -> datetime:
        """Return when all attempts from before `since` have ended, except those that leaders keep.

        On a machine that the current leaders can't reach they end with its lease; those that these
        leaders stop have ended by then, too.
        """
        settings, margin = self._context.settings, self._context.operator.state_margin
        max_time = settings.cancel_within + settings.lease
        return since + max_time * (1 + 2 * clock.DRIFT) + 2 * margin
