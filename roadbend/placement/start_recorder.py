"""Records starts before they are ordered.

A start order is sent, with the answer to a heartbeat or directly, only after the state store has
committed the transaction that records the start.
"""

from collections.abc import Iterable
from dataclasses import replace
from datetime import datetime
from functools import partial

from roadbend import clock
from roadbend.fleet.terminations import TaskKey
from roadbend.log import Log
from roadbend.placement import apart_gangs
from roadbend.placement.apart_gangs import ApartGangs
from roadbend.placement.bin_packing import Placement
from roadbend.placement.gangs import Gangs
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.quotas import Quotas
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, Job, SliceShard

log = Log("placement")
# Takes the shard's place in the key of a gang's group: its tasks stay together across shards.
WHOLE_GANG = -1


class StartRecorder:
    """Puts the starts of one partition into transactions."""

    def __init__(
        self, state: PartitionState, gangs: Gangs, apart_gangs: ApartGangs, quotas: Quotas
    ) -> None:
        self._records, self._context = state.records, state.records.context
        self._partition = state.records.partition
        self._aging, self._gang_attempts = state.aging, state.gang_attempts
        self._attempt_numbers, self._direct_starts = state.attempt_numbers, state.direct_starts
        self._gangs, self._apart_gangs, self._quotas = gangs, apart_gangs, quotas

    def record(
        self, placed: Iterable[Placement], transaction: TransactionBuilder, now: datetime
    ) -> bool:
        """Put starts into the transaction; return whether some are left for the next one."""
        return not all(
            self._record_group(group, transaction, now) for group in self._grouped(placed)
        )

    def _grouped(self, placed: Iterable[Placement]) -> list[list[Placement]]:
        """Group placements by job and shard; the tasks of a gang stay together."""
        groups: dict[tuple[str, int], list[Placement]] = {}
        for placement in placed:
            job = placement.item.job
            shard = WHOLE_GANG
            if not job.spec.gang:
                shard = self._shard_of(placement.task_index, self._records.job_slices().get(job.id))
            groups.setdefault((job.id, shard), []).append(placement)
        return list(groups.values())

    def _shard_of(self, task_index: int, job_slice: JobSlice | None) -> int:
        """Return the shard whose record contains a task, or will contain it."""
        shard_width = self._records.shard_width
        return (
            task_index // shard_width
            if job_slice is None
            else job_slice.shard_of(task_index, shard_width)
        )

    def _record_group(
        self, group: list[Placement], transaction: TransactionBuilder, now: datetime
    ) -> bool:
        """Put the starts of one group into the transaction; False if not all of them fit."""
        job = group[0].item.job
        batch = self._gangs.first_batch(transaction, group) if job.spec.gang else group
        if not batch:
            return False
        shards = self._add_attempts(transaction, job, batch)
        # The quota for a whole gang is reserved with its first batch.
        if not self._quotas.reserve_quota(
            transaction,
            job.spec.team,
            job.spec.resources,
            len(group),
            [shard.key for shard in shards],
        ):
            return False
        if not all(transaction.fits(shard) for shard in shards):
            log.error(
                "shard-record-oversized", partition=self._partition, job=job.id, tasks=len(batch)
            )
            return True
        self._write_shards(transaction, job, shards)
        transaction.charge(job.spec.team, job.spec.resources, len(batch))
        self._aging.record_start(job.id, now)
        if len(batch) < len(group):
            transaction.on_commit.append(partial(self._gangs.mark_partly_recorded, shards[0]))
        self._notify_on_commit(transaction, job, shards, batch)
        return len(batch) == len(group)

    def _write_shards(
        self, transaction: TransactionBuilder, job: Job, shards: list[SliceShard]
    ) -> None:
        """Write the shards in the transaction, with the conditions for a start."""
        for shard in shards:
            transaction.set_shard(shard)
        transaction.require_job(job)
        if apart_gangs.is_apart(job):
            self._apart_gangs.add_conditions(transaction, job)
            number = next(iter(shards[0].attempts.values())).number
            transaction.on_commit.append(partial(self._gang_attempts.mark_joined, job.id, number))

    def _notify_on_commit(
        self,
        transaction: TransactionBuilder,
        job: Job,
        shards: list[SliceShard],
        batch: list[Placement],
    ) -> None:
        """After the commit, send direct starts where the job needs them; notify the observer."""
        if job.spec.gang or self._context.objectives.start_within(job.spec) is not None:
            indexes = {placement.task_index for placement in batch}
            transaction.on_commit.append(partial(self._start_directly, shards, indexes))
        indexes_in_order = [placement.task_index for placement in batch]
        transaction.on_commit.append(
            partial(self._report_to_observer, job, shards, indexes_in_order)
        )
        for _, task_index, capacity in batch:
            log.debug(
                "attempt-started",
                partition=self._partition,
                task=f"{job.id}/{task_index}",
                machine=capacity.id,
                waited_s=f"{(clock.wall() - job.submitted_at).total_seconds():.1f}",
                cached=job.spec.image in capacity.images,
            )

    def _add_attempts(
        self, transaction: TransactionBuilder, job: Job, batch: list[Placement]
    ) -> list[SliceShard]:
        """Return the shards with the new attempts added; a gang's tasks share one number."""
        job_slice = self._records.job_slices().get(job.id)
        shards: dict[int, SliceShard] = {}
        gang_number = self._gangs.attempt_number(job) if job.spec.gang else None
        for _, task_index, capacity in batch:
            shard_number = self._shard_of(task_index, job_slice)
            shard = shards.get(shard_number) or transaction.shard(
                job.id, job.spec.team, job.spec.resources, shard_number
            )
            number = self._attempt_numbers.next() if gang_number is None else gang_number
            attempt = Attempt(number, capacity.id)
            shards[shard_number] = replace(shard, attempts={**shard.attempts, task_index: attempt})
        return list(shards.values())

    def _start_directly(self, shards: list[SliceShard], indexes: set[int]) -> None:
        for shard in shards:
            for task_index in indexes & shard.attempts.keys():
                self._direct_starts.add(TaskKey(shard.job, task_index), shard.attempts[task_index])

    def _report_to_observer(self, job: Job, shards: list[SliceShard], indexes: list[int]) -> None:
        observer = self._context.observer
        for shard in shards:
            for index in indexes:
                if index in shard.attempts:
                    observer.attempt_recorded(self._partition, job, index, shard.attempts[index])
