"""Writes unrecorded attempts that are to be kept into the records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING

from roadbend.placement import quotas
from roadbend.placement.free_capacity import RESOURCE_TOLERANCE
from roadbend.placement.transaction import TransactionBuilder
from roadbend.recovery.judgement import Judgement
from roadbend.recovery.pace import AdaptiveBound
from roadbend.recovery.unrecorded import Decision, HeldAttempt, HeldAttempts
from roadbend.store import keys, ranges
from roadbend.store.records import Attempt, Job, SliceShard

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader


class Adoption:
    """Puts held attempts into an owner's transactions. `let_go` is called with each that was
    written, and why it is no longer held."""

    def __init__(
        self,
        leader: PartitionLeader,
        held: HeldAttempts,
        judgement: Judgement,
        pace: AdaptiveBound,
        let_go: Callable[[HeldAttempt, str], None],
    ) -> None:
        self._leader, self._held, self._judgement = leader, held, judgement
        self._pace, self._let_go = pace, let_go
        # Those in the transaction that was last put together, until it is confirmed.
        self._unconfirmed: set[tuple[str, int]] = set()

    def adopt(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Writes what is to be adopted, services first, as much at once as the pace allows."""
        if self._unconfirmed:
            # Nobody confirmed the last ones: they were refused, or their answer was lost.
            self._pace.failed()
            self._unconfirmed = set()
        due = [
            held
            for held in self._held.all()
            if held.decision in (Decision.ADOPT, Decision.RECORD_DONE)
            and self._judgement.decide(held, now) is held.decision
        ]
        due.sort(key=self._order)
        for count, held in enumerate(due):
            if count >= self._pace.value or not self._adopt_one(transaction, held):
                return True
        return False

    def _order(self, held: HeldAttempt) -> tuple:
        job = self._leader.live(held.job)
        service = job is not None and job.spec.service
        return (not service, -(job.spec.priority if job is not None else 0), held.since)

    def _adopt_one(self, transaction: TransactionBuilder, held: HeldAttempt) -> bool:
        """Puts one attempt into the transaction; False where that has no room for it."""
        job = self._leader.live(held.job)
        if job is None or keys.job_key(job.id) in transaction.changes:
            return False
        piece = self._with_attempt(transaction, job, held)
        here = ranges.has(job.allocation.get(self._leader.partition, ()), held.index)
        wanted = [piece.key, *([] if here else [keys.job_key(job.id)])]
        if not transaction.fits(piece) or not transaction.room_for(*wanted):
            return False
        if held.decision is Decision.ADOPT:
            if not self._reserve_quota(transaction, job, wanted):
                return False
            transaction.charge(job.spec.team, job.spec.resources, 1)
        transaction.set_slice(piece)
        self._need_held(transaction, job, held.index)
        self._unconfirmed.add((held.job, held.index))
        transaction.after.append(partial(self._adopted, held))
        return True

    def _with_attempt(
        self, transaction: TransactionBuilder, job: Job, held: HeldAttempt
    ) -> SliceShard:
        """The slice that names the attempt, or says that its task is done."""
        leader, job_slice = self._leader, self._leader.job_slices().get(job.id)
        own_shard = held.index // leader.width
        shard = own_shard if job_slice is None else job_slice.shard_of(held.index, leader.width)
        piece = transaction.slice(job.id, job.spec.team, job.spec.resources, shard)
        if held.decision is Decision.RECORD_DONE:
            return replace(piece, done=ranges.union(piece.done, ((held.index, held.index + 1),)))
        run = {**piece.attempts, held.index: Attempt(held.attempt, held.machine)}
        return replace(piece, attempts=run)

    def _reserve_quota(
        self, transaction: TransactionBuilder, job: Job, record_keys: list[str]
    ) -> bool:
        left = quotas.team_left(self._leader, transaction, job.spec.team)
        resources = job.spec.resources
        if (
            left is None
            or resources.cpus > left[0] + RESOURCE_TOLERANCE
            or resources.gpus > left[1] + RESOURCE_TOLERANCE
        ):
            return False
        return quotas.reserve_quota(
            self._leader, transaction, job.spec.team, resources, 1, record_keys
        )

    def _need_held(self, transaction: TransactionBuilder, job: Job, index: int) -> None:
        """The partition holds the task from here on, on the job's stamp. Where another partition
        held it, that partition's slice is a condition too: it may have recorded a start a moment
        ago."""
        partition, one = self._leader.partition, ((index, index + 1),)
        if ranges.has(job.allocation.get(partition, ()), index):
            transaction.require_job(job)
            return
        for other, held in job.allocation.items():
            if ranges.has(held, index):
                key = keys.slice_key(other, job.id, index // self._leader.width)
                transaction.conditions[key] = self._leader.context.view.mod_revision(key)
                job = job.with_partition(other, ranges.minus(held, one))
        transaction.set_job(
            job.with_partition(partition, ranges.union(job.allocation.get(partition, ()), one))
        )

    def _adopted(self, held: HeldAttempt) -> None:
        """The transaction was carried out."""
        self._unconfirmed.discard((held.job, held.index))
        self._pace.succeeded()
        machine = self._leader.machines.get(held.machine)
        if machine is not None:
            machine.last_evaluation.invalidate()
        self._let_go(held, str(held.decision))
