"""Writes what recovery records: a partition's progress, and jobs that no record names."""

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

# Writes of recovery wait no longer than this.
WRITE_TIMEOUT = timedelta(seconds=2)
# How much of an error the log shows.
MAX_LOGGED_ERROR = 80


class _ProgressMark(NamedTuple):
    """What tells one recorded progress of a partition from the next."""

    term: int
    phase: str
    lost_writes: bool


class RecoveryRecords:
    """Writes records for the partitions that this controller leads."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context
        # By partition, what was last written.
        self._written: dict[str, _ProgressMark] = {}

    async def publish_unrecorded(self, partition: PartitionRecovery) -> None:
        """Record the jobs that machines have and no record names, and remove those that are gone.

        Such a job is not accepted anew meanwhile: its tasks could start on other machines.
        """
        view, name = self._context.view, partition.leader.partition
        shown = {held.job: held for held in partition.held_attempts.all() if held.job_over is False}
        for job, held in shown.items():
            if job not in view.jobs and job not in view.unrecorded:
                await self._publish(partition, held)
        if partition.phase.name is PhaseName.GATHERING:
            return
        for job in [job for job, by in view.unrecorded.items() if by == name]:
            if job not in partition.held_attempts.jobs():
                key = keys.unrecorded_key(job)
                await self._write(partition, [delete(key)], {key: view.mod_revision(key)})

    async def _publish(self, partition: PartitionRecovery, held: HeldAttempt) -> None:
        key = keys.unrecorded_key(held.job)
        conditions = {key: 0, keys.job_key(held.job): 0, keys.job_end_key(held.job): 0}
        value = unrecorded_job_value(partition.leader.partition)
        await self._write(partition, [put(key, value)], conditions)

    async def record_progress(self, partition: PartitionRecovery, *, inherited: bool) -> None:
        """Write each phase once, for the other controllers' gates and for operators.

        Nothing is written where nothing was there to recover. `inherited`: whether there were jobs
        when the controller acquired its first partition.
        """
        leader, now = partition.leader, clock.now()
        if partition.phase.name is PhaseName.GATHERING and not partition.lost_writes:
            return
        mark = _ProgressMark(
            leader.leadership.term, str(partition.phase.name), partition.lost_writes
        )
        written = self._written.get(leader.partition)
        if written == mark or not self._is_worth_recording(partition, inherited):
            return
        key = keys.recovery_key(leader.partition)
        row = put(key, partition.progress(now).to_value())
        if await self._write(partition, [row], {key: self._context.view.mod_revision(key)}):
            self._written[leader.partition] = mark

    def _is_worth_recording(self, partition: PartitionRecovery, inherited: bool) -> bool:
        if partition.lost_writes or partition.leader.partition in self._written:
            return True
        return bool(partition.found) or (partition.cold and inherited)

    async def _write(
        self,
        partition: PartitionRecovery,
        rows: list[Change],
        conditions: dict[str, int],
    ) -> bool:
        """Carry out one small transaction under the leader's term; tell whether it was."""
        leader = partition.leader
        conditions = {**conditions, keys.term_key(leader.partition): leader.leadership.mod_revision}
        try:
            revision = await commit(self._context.state, conditions, rows, within=WRITE_TIMEOUT)
        except (ConflictError, LeaseEndedError, UnavailableError) as error:
            log.debug(
                "recovery-progress-not-written",
                partition=leader.partition,
                error=str(error)[:MAX_LOGGED_ERROR],
            )
            return False
        self._context.view.apply_transaction(rows, revision)
        return True
