"""The gate: keeps jobs from before a cold restart from machines until these are known."""

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

# The phases in which a partition's machines have been gathered.
GATHERED = {str(PhaseName.SETTLING), str(PhaseName.SETTLED)}


class Gate:
    """Tells which jobs may be given machines, for one controller.

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
        # The jobs that were there when this controller acquired its first partition, and when that
        # was, a steady instant.
        self._inherited: frozenset[str] = frozenset()
        self._since: datetime | None = None
        self._open = False
        # Partitions whose machines showed this controller that writes are lost.
        self._lost: set[str] = set()

    @property
    def is_open(self) -> bool:
        """Whether all jobs may be given machines."""
        return self._open

    @property
    def has_inherited(self) -> bool:
        """Whether there were jobs when this controller acquired its first partition."""
        return bool(self._inherited)

    def note_partition_acquired(self) -> None:
        """Shut the gate for the jobs that are there, if this is the first partition."""
        if self._since is None:
            self._since = clock.now()
            self._inherited = frozenset(self._context.view.jobs)

    def note_lost_writes(self, partition: str) -> None:
        """Shut the gate because a partition's machines show that writes are lost."""
        self._lost.add(partition)
        self._open = False

    def has_lost_writes(self, partition: str) -> bool:
        """Tell whether a partition's machines have shown this controller lost writes."""
        return partition in self._lost

    def is_open_for(self, job: str) -> bool:
        """Tell whether a job may be given machines.

        Work that came after the restart always may, work from before once the machines that may
        have it are known.
        """
        if self._open:
            return True
        # Before the first partition was acquired nobody here knows which jobs are from before.
        return self._since is not None and job not in self._inherited

    def update(self, now: datetime) -> None:
        """Open the gate if it may be, or shut it again if writes turn out to be lost."""
        if self._open and not self._is_lost_anywhere():
            return
        self._open = self._may_open(now)

    def is_cold(self) -> bool:
        """Tell whether no controller goes on from before.

        Then nobody knows what was on its way.
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
        """Tell whether work from before the restart may be given machines."""
        if not self._context.view.loaded:
            return False
        partitions = self._context.election.partitions()
        since = self._since or self._controller.began
        if self._is_lost_anywhere():
            return now >= self._leases_over(since) or all(
                self._phase_of(partition) == PhaseName.SETTLED for partition in partitions
            )
        if not self.is_cold() or self._is_first_start():
            return True
        return now >= since + self._settings.gather_most or all(
            self._phase_of(partition) in GATHERED for partition in partitions
        )

    def _is_first_start(self) -> bool:
        """Tell whether no job was there, and the cloud lists no machine that runs."""
        inventory = self._controller.fleet.inventory
        running = any(row.status == "running" for row in inventory.rows.values())
        acquired_without_jobs = self._since is not None and not self._inherited
        return acquired_without_jobs and inventory.reads > 0 and not running

    def _phase_of(self, partition: str) -> str | None:
        """Return how far a partition's recovery is under its present term, whoever leads it."""
        ours = self._partitions.get(partition)
        if ours is not None:
            return str(ours.phase.name)
        progress = self._context.view.recoveries.get(partition)
        term = self._context.view.terms.get(partition)
        if progress is None or term is None or progress.term != term.number:
            return None
        return progress.phase

    def _is_lost_anywhere(self) -> bool:
        """Tell whether any controller knows of lost writes that are not settled."""
        view = self._context.view
        return bool(self._lost) or any(
            progress.lost_writes
            and partition in view.terms
            and progress.term == view.terms[partition].number
            and progress.phase != PhaseName.SETTLED
            for partition, progress in view.recoveries.items()
        )

    def _leases_over(self, since: datetime) -> datetime:
        """Return from when on no machine has anything that was ordered before `since`.

        What it did not hear from today's leaders ended with its lease, and what they stopped has
        ended likewise.
        """
        settings, margin = self._context.settings, self._context.operator.state_margin
        longest = settings.cancel_within + settings.lease
        return since + longest * (1 + 2 * clock.DRIFT) + 2 * margin
