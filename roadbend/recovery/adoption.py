"""Writes unrecorded attempts that are to be kept into the records."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import datetime
from functools import partial
from typing import TYPE_CHECKING

from roadbend.placement import policy as placing
from roadbend.placement import team_limits
from roadbend.placement.batch import Batch
from roadbend.recovery.judgement import Judgement
from roadbend.recovery.pace import AdaptiveBound
from roadbend.recovery.unrecorded import Decision, HeldAttempt, HeldAttempts
from roadbend.store import keys, ranges
from roadbend.store.records import Attempt, Job, Slice

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime


class Adoption:
    """Puts held attempts into an owner's transactions. `let_go` is called with each that was
    written, and why it is no longer held."""

    def __init__(
        self,
        runtime: PartRuntime,
        held: HeldAttempts,
        judgement: Judgement,
        pace: AdaptiveBound,
        let_go: Callable[[HeldAttempt, str], None],
    ) -> None:
        self._runtime, self._held, self._judgement = runtime, held, judgement
        self._pace, self._let_go = pace, let_go
        # Those in the transaction that was last put together, until it is confirmed.
        self._unconfirmed: set[tuple[str, int]] = set()

    def adopt(self, batch: Batch, now: datetime) -> bool:
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
            if count >= self._pace.value or not self._adopt_one(batch, held):
                return True
        return False

    def _order(self, held: HeldAttempt) -> tuple:
        job = self._runtime.live(held.job)
        service = job is not None and job.spec.service
        return (not service, -(job.spec.priority if job is not None else 0), held.since)

    def _adopt_one(self, batch: Batch, held: HeldAttempt) -> bool:
        """Puts one attempt into the transaction; False where that has no room for it."""
        job = self._runtime.live(held.job)
        if job is None or keys.job_key(job.id) in batch.rows:
            return False
        piece = self._with_attempt(batch, job, held)
        here = ranges.has(job.alloc.get(self._runtime.part, ()), held.index)
        wanted = [piece.key, *([] if here else [keys.job_key(job.id)])]
        if not batch.fits(piece) or not batch.room_for(*wanted):
            return False
        if held.decision is Decision.ADOPT:
            if not self._set_aside(batch, job, wanted):
                return False
            batch.charge(job.spec.team, job.spec.need, 1)
        batch.set_slice(piece)
        self._need_held(batch, job, held.index)
        self._unconfirmed.add((held.job, held.index))
        batch.after.append(partial(self._adopted, held))
        return True

    def _with_attempt(self, batch: Batch, job: Job, held: HeldAttempt) -> Slice:
        """The slice that names the attempt, or says that its task is done."""
        runtime, work = self._runtime, self._runtime.works().get(job.id)
        own_shard = held.index // runtime.width
        shard = own_shard if work is None else work.shard_of(held.index, runtime.width)
        piece = batch.slice(job.id, job.spec.team, job.spec.need, shard)
        if held.decision is Decision.RECORD_DONE:
            return replace(piece, done=ranges.union(piece.done, ((held.index, held.index + 1),)))
        run = {**piece.run, held.index: Attempt(held.attempt, held.machine)}
        return replace(piece, run=run)

    def _set_aside(self, batch: Batch, job: Job, record_keys: list[str]) -> bool:
        left = team_limits.team_left(self._runtime, batch, job.spec.team)
        need = job.spec.need
        if left is None or need.cpus > left[0] + placing.EPS or need.gpus > left[1] + placing.EPS:
            return False
        return team_limits.set_aside(self._runtime, batch, job.spec.team, need, 1, record_keys)

    def _need_held(self, batch: Batch, job: Job, index: int) -> None:
        """The part holds the task from here on, on the job's stamp. Where another part held it,
        that part's slice is a condition too: it may have recorded a start a moment ago."""
        part, one = self._runtime.part, ((index, index + 1),)
        if ranges.has(job.alloc.get(part, ()), index):
            batch.need_job(job)
            return
        for other, held in job.alloc.items():
            if ranges.has(held, index):
                key = keys.slice_key(other, job.id, index // self._runtime.width)
                batch.when[key] = self._runtime.shared.view.mod_revision(key)
                job = job.with_part(other, ranges.minus(held, one))
        batch.set_job(job.with_part(part, ranges.union(job.alloc.get(part, ()), one)))

    def _adopted(self, held: HeldAttempt) -> None:
        """The transaction was carried out."""
        self._unconfirmed.discard((held.job, held.index))
        self._pace.succeeded()
        machine = self._runtime.machines.get(held.machine)
        if machine is not None:
            machine.unchanged_mark = None
        self._let_go(held, str(held.decision))
