"""Writes unrecorded attempts that are to be kept into the records."""

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
    """Puts held attempts into a leader's transactions.

    `release` is called with each that was written, and why it is no longer held.
    """

    def __init__(
        self,
        leader: PartitionLeader,
        held_attempts: HeldAttempts,
        evaluator: AttemptEvaluator,
        pace: AdaptiveBound,
        release: Callable[[HeldAttempt, str], None],
    ) -> None:
        self._leader, self._held_attempts, self._evaluator = leader, held_attempts, evaluator
        self._pace, self._release = pace, release
        # Those in the transaction that was last put together, until it is confirmed.
        self._unconfirmed: set[tuple[str, int]] = set()

    def adopt(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Write what is to be adopted, services first, as much at once as the pace allows.

        Tells whether some is left for the next transaction.
        """
        if self._unconfirmed:
            # Nobody confirmed the last ones: they were refused, or their answer was lost.
            self._pace.failed()
            self._unconfirmed = set()
        due = [
            held
            for held in self._held_attempts.all()
            if held.decision in (Decision.ADOPT, Decision.RECORD_DONE)
            and self._evaluator.decide(held, now) is held.decision
        ]
        due.sort(key=self._order)
        for count, held in enumerate(due):
            if count >= self._pace.value or not self._adopt_one(transaction, held):
                return True
        return False

    def _order(self, held: HeldAttempt) -> tuple[bool, int, datetime]:
        job = self._leader.records.live_job(held.job)
        service = job is not None and job.spec.service
        return (not service, -(job.spec.priority if job is not None else 0), held.since)

    def _adopt_one(self, transaction: TransactionBuilder, held: HeldAttempt) -> bool:
        """Put one attempt into the transaction; return False where it does not fit."""
        job = self._leader.records.live_job(held.job)
        if job is None or keys.job_key(job.id) in transaction.changes:
            return False
        piece = self._with_attempt(transaction, job, held)
        here = ranges.has(job.allocation.get(self._leader.partition, ()), held.index)
        wanted = [piece.key, *([] if here else [keys.job_key(job.id)])]
        if not transaction.fits(piece) or not transaction.has_space_for(*wanted):
            return False
        if held.decision is Decision.ADOPT:
            if not self._reserve_quota(transaction, job, wanted):
                return False
            transaction.charge(job.spec.team, job.spec.resources, 1)
        transaction.set_shard(piece)
        self._hold_task(transaction, job, held.index)
        self._unconfirmed.add((held.job, held.index))
        transaction.on_commit.append(partial(self._adopted, held))
        return True

    def _with_attempt(
        self, transaction: TransactionBuilder, job: Job, held: HeldAttempt
    ) -> SliceShard:
        """Return the shard that names the attempt, or says that its task is done."""
        leader, job_slice = self._leader, self._leader.records.job_slices().get(job.id)
        own_shard = held.index // leader.records.shard_width
        shard = (
            own_shard
            if job_slice is None
            else job_slice.shard_of(held.index, leader.records.shard_width)
        )
        piece = transaction.shard(job.id, job.spec.team, job.spec.resources, shard)
        if held.decision is Decision.RECORD_DONE:
            return replace(piece, done=ranges.union(piece.done, ((held.index, held.index + 1),)))
        run = {**piece.attempts, held.index: Attempt(held.attempt, held.machine)}
        return replace(piece, attempts=run)

    def _reserve_quota(
        self, transaction: TransactionBuilder, job: Job, record_keys: list[str]
    ) -> bool:
        left = self._leader.quotas.remaining_quota(transaction, job.spec.team)
        resources = job.spec.resources
        if (
            left is None
            or resources.cpus > left.cpus + RESOURCE_TOLERANCE
            or resources.gpus > left.gpus + RESOURCE_TOLERANCE
        ):
            return False
        return self._leader.quotas.reserve_quota(
            transaction,
            team=job.spec.team,
            resources=resources,
            tasks=1,
            record_keys=record_keys,
        )

    def _hold_task(self, transaction: TransactionBuilder, job: Job, index: int) -> None:
        """Have the partition hold the task, on condition that the job's record is as it was read.

        Where another partition held it, that partition's shard is a condition too: it may have
        recorded a start a moment ago.
        """
        partition, one = self._leader.partition, ((index, index + 1),)
        if ranges.has(job.allocation.get(partition, ()), index):
            transaction.require_job(job)
            return
        for other, held in job.allocation.items():
            if ranges.has(held, index):
                key = keys.slice_key(other, job.id, index // self._leader.records.shard_width)
                transaction.conditions[key] = self._leader.context.view.mod_revision(key)
                job = job.with_partition(other, ranges.minus(held, one))
        transaction.set_job(
            job.with_partition(partition, ranges.union(job.allocation.get(partition, ()), one))
        )

    def _adopted(self, held: HeldAttempt) -> None:
        """Note that the transaction with an attempt was carried out."""
        self._unconfirmed.discard((held.job, held.index))
        self._pace.succeeded()
        machine = self._leader.machines.get(held.machine)
        if machine is not None:
            machine.last_evaluation.invalidate()
        self._release(held, str(held.decision))
