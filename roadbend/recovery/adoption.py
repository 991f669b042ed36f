"""Adoption: writes unrecorded attempts that are to be kept into the records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING

from roadbend.placement.free_capacity import RESOURCE_TOLERANCE
from roadbend.placement.transaction import TransactionBuilder
from roadbend.recovery.attempt_evaluator import AttemptEvaluator
from roadbend.recovery.pace import AdaptiveBound
from roadbend.recovery.unrecorded import Decision, HeldAttempt, HeldAttempts
from roadbend.store import keys, ranges
from roadbend.store.records import Attempt, Job, SliceShard

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader


class Adoption:
    """Adds held attempts to the transactions of a leader.

    `release` is called for each attempt that was written, with the reason why it is released.
    """

    def __init__(
        self,
        leader: PartitionLeader,
        held_attempts: HeldAttempts,
        evaluator: AttemptEvaluator,
        batch_limit: AdaptiveBound,
        release: Callable[[HeldAttempt, str], None],
    ) -> None:
        self._leader, self._held_attempts, self._evaluator = leader, held_attempts, evaluator
        self._batch_limit, self._release = batch_limit, release
        # Tasks whose attempts are in the latest transaction, until that is confirmed.
        self._unconfirmed: set[tuple[str, int]] = set()

    def adopt(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Add attempts to be adopted to the transaction, services first, up to the batch limit.

        Return whether some are left for the next transaction.
        """
        if self._unconfirmed:
            # The previous transaction was not confirmed: it was refused, or its response was lost.
            self._batch_limit.record_failure()
            self._unconfirmed = set()
        due = [
            held
            for held in self._held_attempts.all()
            if held.decision in (Decision.ADOPT, Decision.RECORD_DONE)
            and self._evaluator.decide(held, now) is held.decision
        ]
        due.sort(key=self._sort_key)
        for count, held in enumerate(due):
            if count >= self._batch_limit.value or not self._adopt_one(transaction, held):
                return True
        return False

    def _sort_key(self, held: HeldAttempt) -> tuple[bool, int, datetime]:
        job = self._leader.records.live_job(held.job)
        service = job is not None and job.spec.service
        return (not service, -(job.spec.priority if job is not None else 0), held.since)

    def _adopt_one(self, transaction: TransactionBuilder, held: HeldAttempt) -> bool:
        """Add one attempt to the transaction; return False if it does not fit."""
        job = self._leader.records.live_job(held.job)
        if job is None or keys.job_key(job.id) in transaction.changes:
            return False
        shard = self._with_attempt(transaction, job, held)
        is_held_here = ranges.contains(job.allocation.get(self._leader.partition, ()), held.index)
        record_keys = [shard.key, *([] if is_held_here else [keys.job_key(job.id)])]
        if not transaction.fits(shard) or not transaction.has_space_for(*record_keys):
            return False
        if held.decision is Decision.ADOPT:
            if not self._reserve_quota(transaction, job, record_keys):
                return False
            transaction.charge(job.spec.team, job.spec.resources, 1)
        transaction.set_shard(shard)
        self._assign_task(transaction, job, held.index)
        self._unconfirmed.add((held.job, held.index))
        transaction.on_commit.append(partial(self._on_adopted, held))
        return True

    def _with_attempt(
        self, transaction: TransactionBuilder, job: Job, held: HeldAttempt
    ) -> SliceShard:
        """Return the shard with the attempt added, or with its task marked as done."""
        leader, job_slice = self._leader, self._leader.records.job_slices().get(job.id)
        default_shard = held.index // leader.records.shard_width
        shard_number = (
            default_shard
            if job_slice is None
            else job_slice.shard_of(held.index, leader.records.shard_width)
        )
        shard = transaction.shard(job.id, job.spec.team, job.spec.resources, shard_number)
        if held.decision is Decision.RECORD_DONE:
            return replace(
                shard,
                done=ranges.union(shard.done, ((held.index, held.index + 1),)),
            )
        attempts = {**shard.attempts, held.index: Attempt(held.attempt, held.machine)}
        return replace(shard, attempts=attempts)

    def _reserve_quota(
        self, transaction: TransactionBuilder, job: Job, record_keys: list[str]
    ) -> bool:
        remaining = self._leader.quotas.remaining_quota(transaction, job.spec.team)
        resources = job.spec.resources
        if (
            remaining is None
            or resources.cpus > remaining.cpus + RESOURCE_TOLERANCE
            or resources.gpus > remaining.gpus + RESOURCE_TOLERANCE
        ):
            return False
        return self._leader.quotas.reserve_quota(
            transaction,
            team=job.spec.team,
            resources=resources,
            tasks=1,
            record_keys=record_keys,
        )

    def _assign_task(self, transaction: TransactionBuilder, job: Job, index: int) -> None:
        """Assign the task to this partition, on condition that the job's record has not changed.

        If another partition held the task, the transaction is conditional on its shard as well: it
        may have just recorded a start.
        """
        partition, task_range = self._leader.partition, ((index, index + 1),)
        if ranges.contains(job.allocation.get(partition, ()), index):
            transaction.require_job(job)
            return
        for other, held in job.allocation.items():
            if ranges.contains(held, index):
                key = keys.slice_key(other, job.id, index // self._leader.records.shard_width)
                transaction.conditions[key] = self._leader.context.view.mod_revision(key)
                job = job.with_partition(other, ranges.minus(held, task_range))
        transaction.set_job(
            job.with_partition(
                partition, ranges.union(job.allocation.get(partition, ()), task_range)
            )
        )

    def _on_adopted(self, held: HeldAttempt) -> None:
        """Release an attempt whose transaction was committed."""
        self._unconfirmed.discard((held.job, held.index))
        self._batch_limit.record_success()
        machine = self._leader.machines.get(held.machine)
        if machine is not None:
            machine.last_evaluation.invalidate()
        self._release(held, str(held.decision))
