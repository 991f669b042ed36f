"""Writes the records of recovery: a partition's progress, and jobs without a job record."""

from __future__ import annotations

from datetime import timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.recovery.partition import PartitionRecovery
from roadbend.recovery.phases import PhaseName
from roadbend.recovery.unrecorded import HeldAttempt
from roadbend.store import keys
from roadbend.store.client import (
    Change,
    ConflictError,
    LeaseEndedError,
    UnavailableError,
    commit,
    delete,
    put,
)
from roadbend.store.records import unrecorded_job_value

log = Log("recovery")

WRITE_TIMEOUT = timedelta(seconds=2)
MAX_LOGGED_ERROR_CHARS = 80


class _ProgressState(NamedTuple):
    """The part of a partition's progress whose change is worth another write."""

    term: int
    phase: str
    lost_writes: bool


class RecoveryRecords:
    """Writes records for the partitions that this controller leads."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        # By partition, what was last written.
        self._written: dict[str, _ProgressState] = {}

    async def publish_unrecorded(self, partition: PartitionRecovery) -> None:
        """Record the jobs that run without a job record, and delete those that no longer run.

        While such a job is recorded, a new submission of it is refused: its tasks could start a
        second time, on other machines.
        """
        view, name = self._context.view, partition.leader.partition
        lost = {held.job: held for held in partition.held_attempts.all() if held.job_ended is False}
        for job, held in lost.items():
            if job not in view.jobs and job not in view.unrecorded:
                await self._publish(partition, held)
        if partition.phase.name is PhaseName.GATHERING:
            return
        for job in [job for job, owner in view.unrecorded.items() if owner == name]:
            if job not in partition.held_attempts.jobs():
                key = keys.unrecorded_key(job)
                await self._write(partition, [delete(key)], {key: view.mod_revision(key)})

    async def _publish(self, partition: PartitionRecovery, held: HeldAttempt) -> None:
        key = keys.unrecorded_key(held.job)
        conditions = {key: 0, keys.job_key(held.job): 0, keys.job_end_key(held.job): 0}
        value = unrecorded_job_value(partition.leader.partition)
        await self._write(partition, [put(key, value)], conditions)

    async def record_progress(
        self, partition: PartitionRecovery, *, has_inherited_jobs: bool
    ) -> None:
        """Write each phase once, for the other controllers' gates and for operators.

        Nothing is written if there was nothing to recover. `has_inherited_jobs`: whether there were
        jobs when the controller acquired its first partition.
        """
        leader, now = partition.leader, clock.now()
        if partition.phase.name is PhaseName.GATHERING and not partition.lost_writes:
            return
        progress_state = _ProgressState(
            leader.leadership.term, str(partition.phase.name), partition.lost_writes
        )
        written = self._written.get(leader.partition)
        if written == progress_state or not self._is_worth_recording(partition, has_inherited_jobs):
            return
        key = keys.recovery_key(leader.partition)
        change = put(key, partition.progress(now).to_value())
        if await self._write(partition, [change], {key: self._context.view.mod_revision(key)}):
            self._written[leader.partition] = progress_state

    def _is_worth_recording(self, partition: PartitionRecovery, has_inherited_jobs: bool) -> bool:
        if partition.lost_writes or partition.leader.partition in self._written:
            return True
        return bool(partition.difference_counts) or (partition.cold and has_inherited_jobs)

    async def _write(
        self,
        partition: PartitionRecovery,
        changes: list[Change],
        conditions: dict[str, int],
    ) -> bool:
        """Commit a transaction on condition of the leader's term; return whether that succeeded."""
        leader = partition.leader
        conditions = {**conditions, keys.term_key(leader.partition): leader.leadership.mod_revision}
        try:
            revision = await commit(self._context.state, conditions, changes, within=WRITE_TIMEOUT)
        except (ConflictError, LeaseEndedError, UnavailableError) as error:
            log.debug(
                "recovery-progress-not-written",
                partition=leader.partition,
                error=str(error)[:MAX_LOGGED_ERROR_CHARS],
            )
            return False
        self._context.view.apply_transaction(changes, revision)
        return True
