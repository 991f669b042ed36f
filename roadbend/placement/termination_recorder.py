"""Writes terminations into the records, and removes finished slices and jobs from them."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field, replace
from datetime import datetime
from functools import partial

from roadbend.fleet.terminations import TaskKey, Termination
from roadbend.log import Log
from roadbend.placement import gang_end, shard_split
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.termination_effects import TerminationEffects
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys, ranges
from roadbend.store.ranges import Ranges
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, Job, SliceShard

log = Log("placement")
# Finished shards of a job that is still running are removed once there are this many of them.
MIN_FINISHED_SHARDS = 4


@dataclass
class JobTerminations:
    """Terminations of one job's attempts that are to go into a transaction."""

    job_id: str
    # None: the job is finished or cancelled, and only its slices are left.
    job: Job | None
    job_slice: JobSlice
    # The shards that change, in their new state, and the terminations that they record.
    changed_shards: dict[int, SliceShard] = field(default_factory=dict)
    ended: list[tuple[int, Termination]] = field(default_factory=list)
    # The pieces into which shards are split that are too large by the current limits.
    split_plans: dict[int, list[SliceShard]] = field(default_factory=dict)

    def keep_only(self, shards: Container[int], width: int) -> None:
        """Leave the terminations in other shards to the next transaction."""
        self.changed_shards = {n: shard for n, shard in self.changed_shards.items() if n in shards}
        self.ended = [row for row in self.ended if self.job_slice.shard_of(row[0], width) in shards]


class TerminationRecorder:
    """Records one partition's terminated attempts, and removes finished slices and jobs."""

    def __init__(self, state: PartitionState) -> None:
        self._records = state.records
        self._terminations = state.terminations
        self._effects = TerminationEffects(state)
        self._context = state.records.context
        self._partition = state.records.partition

    def record(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Put terminations into the transaction, and remove finished slices and jobs.

        Return whether more is left for the next transaction.
        """
        has_more = False
        done_gangs = self.done_gangs()
        for job_id, found in self.terminations_by_job(done_gangs).items():
            job_slice = self._records.job_slices().get(job_id)
            if job_slice is None and job_id in done_gangs:
                # It has no slice here, but is to be ended all the same.
                spec = done_gangs[job_id].spec
                job_slice = JobSlice(job_id, self._partition, spec.team, spec.resources)
            if job_slice is None:
                continue
            terminations = self.collect(transaction, job_id, job_slice, found)
            has_more = self.plan_splits(transaction, terminations) or has_more
            job = terminations.job
            if job is not None and (
                job_id in done_gangs or self.shows_gang_done(job, terminations)
            ):
                has_rest = self.record_gang(transaction, job, terminations)
                if has_rest is not None and job_id in done_gangs:
                    transaction.on_commit.append(partial(self.log_ended_by_records, job_id))
            else:
                has_rest = self.record_job(transaction, terminations)
            if has_rest is None:
                return True
            has_more = has_more or has_rest
            self.add_effects(transaction, terminations, now)
        return has_more

    def done_gangs(self) -> dict[str, Job]:
        """Return the live gangs that this leader should end as the records show a task as done.

        A version that did not know gangs recorded the end of that task alone, and no machine
        reports it again. Done is final, so recovery need not have compared the records with the
        machines before. Each leader that holds tasks of the gang ends it, or any leader if none
        does: one of them succeeds, since all writes require the job's record to be as it was read.
        """
        found: dict[str, Job] = {}
        for job_id in self._context.view.done_gangs():
            job = self._records.live_job(job_id)
            if job is not None and (
                job_id in self._records.job_slices()
                or self._partition in job.allocation
                or not job.allocation
            ):
                found[job_id] = job
        return found

    def shows_gang_done(self, job: Job, terminations: JobTerminations) -> bool:
        """Return whether a job is a gang and one of these terminations shows a task as done."""
        return job.spec.gang and any(end.done for _, end in terminations.ended)

    def log_ended_by_records(self, job_id: str) -> None:
        """Log that a gang was ended without a report, since the records show a task as done."""
        log.info("gang-ended-by-records", partition=self._partition, job=job_id)

    def record_gang(
        self, transaction: TransactionBuilder, job: Job, terminations: JobTerminations
    ) -> bool | None:
        """Write the end of a gang; return whether some of it is left for the next transaction.

        None: all of it is. What is left out is recorded next, like the end of a cancelled task,
        since the job has ended.
        """
        changed_shards = terminations.changed_shards
        shards = terminations.job_slice.shards
        others = [shard for n, shard in shards.items() if n not in changed_shards]
        written = gang_end.end_gang(transaction, job, changed_shards, others)
        if written is None:
            return None
        is_partial = written != changed_shards.keys()
        terminations.keep_only(written, self._records.shard_width)
        return is_partial

    def terminations_by_job(
        self, done_gangs: Iterable[str]
    ) -> dict[str, list[tuple[int, Termination]]]:
        """Return the terminations to be recorded, by job.

        Jobs with slices in which nothing runs are included, and gangs that are done, also without
        any termination.
        """
        by_job: dict[str, list[tuple[int, Termination]]] = {}
        for (job, task_index), end in self._terminations.items():
            by_job.setdefault(job, []).append((task_index, end))
        # Slices of cancelled jobs that run nothing, and slices that are all done, end here too.
        for job_id, job_slice in self._records.job_slices().items():
            if not job_slice.attempts:
                by_job.setdefault(job_id, [])
        for job_id in done_gangs:
            by_job.setdefault(job_id, [])
        return by_job

    def collect(
        self,
        transaction: TransactionBuilder,
        job_id: str,
        job_slice: JobSlice,
        found: list[tuple[int, Termination]],
    ) -> JobTerminations:
        """Return the terminations of one job, with its shards without the terminated attempts."""
        job = self._context.view.jobs.get(job_id)
        terminations = JobTerminations(job_id, job, job_slice)
        counts_done = job is not None and not job.spec.service and not job.spec.gang
        for task_index, end in found:
            attempt = job_slice.attempts.get(task_index)
            if attempt != Attempt(end.attempt, end.machine):
                continue
            n = job_slice.shard_of(task_index, self._records.shard_width)
            shard = terminations.changed_shards.get(n) or transaction.shard(
                job_id, job_slice.team, job_slice.resources, n
            )
            attempts = {
                other: attempt for other, attempt in shard.attempts.items() if other != task_index
            }
            done = shard.done
            if end.done and counts_done:
                done = ranges.union(done, ((task_index, task_index + 1),))
            terminations.changed_shards[n] = replace(shard, attempts=attempts, done=done)
            terminations.ended.append((task_index, end))
        return terminations

    def plan_splits(self, transaction: TransactionBuilder, terminations: JobTerminations) -> bool:
        """Plan to split a shard that is too large now, as a version with larger values wrote it.

        Where that can't be done in one transaction, the terminations wait until fewer of its tasks
        are left. Return whether the next transaction may do better.

        A split also writes the shards that receive its tasks. None of them may be written twice in
        one transaction, since the second write would lose what the first one moved there. So one
        shard is split at a time, and the terminations in the job's other shards wait for the next
        transaction.
        """
        oversized = [
            n for n, shard in terminations.changed_shards.items() if not transaction.fits(shard)
        ]
        for n in oversized:
            pieces = shard_split.split(
                transaction,
                terminations.job_slice,
                terminations.changed_shards[n],
                self._records.shard_width,
            )
            if pieces:
                others_wait = len(terminations.changed_shards) > 1
                terminations.split_plans = {n: pieces}
                terminations.keep_only({n}, self._records.shard_width)
                return others_wait
        terminations.keep_only(
            terminations.changed_shards.keys() - set(oversized), self._records.shard_width
        )
        return bool(oversized) and bool(transaction.changes)

    def record_job(
        self, transaction: TransactionBuilder, terminations: JobTerminations
    ) -> bool | None:
        """Write one job's terminations; return whether some of them wait for the next transaction.

        None: all of them do, since this transaction has no space left.
        """
        finished, all_finished = self.finished_shards(terminations)
        record_keys = [
            keys.slice_key(self._partition, terminations.job_id, n)
            for n in terminations.changed_shards.keys() | finished.keys()
        ]
        record_keys += [
            shard.key for pieces in terminations.split_plans.values() for shard in pieces
        ]
        if terminations.job is not None and finished:
            record_keys += [
                keys.job_key(terminations.job_id),
                keys.job_end_key(terminations.job_id),
            ]
        if not record_keys:
            return False
        is_partial = not transaction.has_space_for(*record_keys)
        if is_partial:
            if transaction.changes:
                return None
            # Larger than one transaction: some shards now, the rest in the next one.
            selected = sorted(finished.keys() | terminations.changed_shards.keys())[
                : max(1, transaction.remaining_changes - 2)
            ]
            finished = {n: shard for n, shard in finished.items() if n in selected}
            terminations.keep_only(
                [n for n in selected if n not in terminations.split_plans],
                self._records.shard_width,
            )
            all_finished = False
        self.write_shards(transaction, terminations, finished)
        if terminations.job is not None and finished:
            self.write_job(transaction, terminations.job, finished, all_finished)
        return is_partial

    def finished_shards(self, terminations: JobTerminations) -> tuple[dict[int, SliceShard], bool]:
        """Return the shards to remove from the records, and whether nothing of the job is left."""
        shards = {**terminations.job_slice.shards, **terminations.changed_shards}
        idle = {n: shard for n, shard in shards.items() if not shard.attempts}
        if terminations.job is None:
            return idle, len(idle) == len(shards)
        done = ranges.normalize(pair for shard in shards.values() for pair in shard.done)
        held = terminations.job.allocation.get(self._partition, ())
        if len(idle) == len(shards) and not ranges.minus(held, done):
            return idle, True
        # A wide array's shards are removed several at a time, not one by one.
        finished = {
            n: shard
            for n, shard in idle.items()
            if not ranges.minus(self.tasks_in_shard(held, n), shard.done)
        }
        return (finished if len(finished) >= MIN_FINISHED_SHARDS else {}), False

    def write_shards(
        self,
        transaction: TransactionBuilder,
        terminations: JobTerminations,
        finished: dict[int, SliceShard],
    ) -> None:
        """Write the changed shards, split where necessary, and remove the finished ones."""
        for n, shard in terminations.changed_shards.items():
            if n in terminations.split_plans:
                for piece in terminations.split_plans[n]:
                    transaction.set_shard(piece)
                log.info(
                    "shard-split",
                    partition=self._partition,
                    job=terminations.job_id,
                    shard=n,
                    into_shards=len(terminations.split_plans[n]),
                )
            elif n not in finished:
                # Each attempt that is removed makes the record at most one range larger.
                transaction.set_shard(shard)
        for shard in finished.values():
            transaction.delete_shard(shard)

    def write_job(
        self,
        transaction: TransactionBuilder,
        job: Job,
        finished: dict[int, SliceShard],
        all_finished: bool,
    ) -> None:
        """Write the job's record, or its end, once shards of it are finished."""
        held = job.allocation.get(self._partition, ())
        all_done = ranges.normalize(
            [*job.done, *(pair for shard in finished.values() for pair in shard.done)]
        )
        if all_finished and ranges.size(all_done) >= job.spec.task_count:
            transaction.end_job(job, "done", job.spec.task_count)
        else:
            rest = job.with_partition(self._partition, ranges.minus(held, all_done))
            transaction.set_job(replace(rest, done=all_done))

    def add_effects(
        self, transaction: TransactionBuilder, terminations: JobTerminations, now: datetime
    ) -> None:
        """Register the effects of the terminations, applied when the transaction is committed.

        The rest of the transaction may rely on the terminations from here on.
        """
        for task_index, end in terminations.ended:
            key = TaskKey(terminations.job_id, task_index)
            transaction.ended_attempts.add(key)
            transaction.charge(terminations.job_slice.team, terminations.job_slice.resources, -1)
            transaction.on_commit.append(partial(self._effects.apply, key, end, now))

    def tasks_in_shard(self, held: Ranges, n: int) -> Ranges:
        """Return the held tasks whose attempts are recorded in this shard."""
        if n < 0:
            return held
        low, high = n * self._records.shard_width, (n + 1) * self._records.shard_width
        return tuple(
            (max(start, low), min(stop, high))
            for start, stop in held
            if start < high and stop > low
        )
