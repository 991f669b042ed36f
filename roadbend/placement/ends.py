"""Ends of attempts into the records, and slices and jobs that are over out of them."""

from collections.abc import Container
from dataclasses import dataclass, field, replace
from datetime import datetime
from functools import partial

from roadbend.fleet.terminations import TaskKey, Termination
from roadbend.log import Log
from roadbend.placement import shard_split
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.termination_effects import TerminationEffects
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys, ranges
from roadbend.store.ranges import Ranges
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, Job, SliceShard

log = Log("placement")
# Shards of a job that is still running leave the records when there are this many to go.
FOLD = 4


@dataclass
class JobTerminations:
    """Ends of one job's attempts on their way into a transaction."""

    name: str
    # None: the job is over or cancelled, and only its slices are left.
    job: Job | None
    job_slice: JobSlice
    # The shards that change, as they will be, and the ends that they record.
    touched: dict[int, SliceShard] = field(default_factory=dict)
    ended: list[tuple[int, Termination]] = field(default_factory=list)
    # In what pieces those are written that are too large by today's limits.
    plans: dict[int, list[SliceShard]] = field(default_factory=dict)

    def keep_only(self, shards: Container[int], width: int) -> None:
        """Leave out the terminations in other shards; they wait for the next transaction."""
        self.touched = {n: piece for n, piece in self.touched.items() if n in shards}
        self.ended = [row for row in self.ended if self.job_slice.shard_of(row[0], width) in shards]


class TerminationRecorder:
    """Records one partition's terminated attempts, and takes out what is over."""

    def __init__(self, state: PartitionState) -> None:
        self._records = state.records
        self._terminations = state.terminations
        self._effects = TerminationEffects(state)
        self._context = state.records.context
        self._partition = state.records.partition

    def record_ends(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Put terminations into the transaction, and take out of the records what is over.

        That is slices and jobs. Return whether more is left for the next transaction.
        """
        more = False
        for name, found in self.ends_by_job().items():
            job_slice = self._records.job_slices().get(name)
            if job_slice is None:
                continue
            ends = self.collect(transaction, name, job_slice, found)
            more = self.plan_splits(transaction, ends) or more
            if ends.job is not None and ends.job.spec.gang and any(e.done for _, e in ends.ended):
                written = end_gang(
                    transaction,
                    ends.job,
                    ends.touched,
                    [piece for n, piece in job_slice.shards.items() if n not in ends.touched],
                )
                if written is None:
                    return True
                # What is left out is recorded next, like the end of a cancelled task: the job is
                # over.
                more = more or written != ends.touched.keys()
                ends.keep_only(written, self._records.shard_width)
                self.note_ends(transaction, ends, now)
                continue
            result = self.record_job(transaction, ends)
            if result is None:
                return True
            more = more or result
            self.note_ends(transaction, ends, now)
        return more

    def ends_by_job(self) -> dict[str, list[tuple[int, Termination]]]:
        """Return the terminations to be recorded, by job.

        Jobs with slices of which nothing runs are among them, some with no termination.
        """
        by_job: dict[str, list[tuple[int, Termination]]] = {}
        for (job, task_index), end in self._terminations.items():
            by_job.setdefault(job, []).append((task_index, end))
        # Slices of cancelled jobs with nothing left, and slices all done, also end here.
        for name, job_slice in self._records.job_slices().items():
            if not job_slice.attempts:
                by_job.setdefault(name, [])
        return by_job

    def collect(
        self,
        transaction: TransactionBuilder,
        name: str,
        job_slice: JobSlice,
        found: list[tuple[int, Termination]],
    ) -> JobTerminations:
        """Return the shards of one job without the attempts that have ended."""
        job = self._context.view.jobs.get(name)
        ends = JobTerminations(name, job, job_slice)
        counts_done = job is not None and not job.spec.service and not job.spec.gang
        for task_index, end in found:
            attempt = job_slice.attempts.get(task_index)
            if attempt != Attempt(end.attempt, end.machine):
                continue
            at = job_slice.shard_of(task_index, self._records.shard_width)
            piece = ends.touched.get(at) or transaction.slice(
                name, job_slice.team, job_slice.resources, at
            )
            run = {n: a for n, a in piece.attempts.items() if n != task_index}
            done = piece.done
            if end.done and counts_done:
                done = ranges.union(done, ((task_index, task_index + 1),))
            ends.touched[at] = replace(piece, attempts=run, done=done)
            ends.ended.append((task_index, end))
        return ends

    def plan_splits(self, transaction: TransactionBuilder, ends: JobTerminations) -> bool:
        """Plan to split a shard that is too large now, for a version with larger values wrote it.

        Where that can't be done in one transaction, the terminations wait until fewer of its tasks
        are left. Return whether the next transaction may do better.

        A split also writes the shards that take its tasks. None of them may be written twice in one
        transaction, for the second writing would lose what the first one moved there: so one shard
        is split at a time, and the terminations in the job's other shards wait for the next
        transaction.
        """
        wide = [n for n, piece in ends.touched.items() if not transaction.fits(piece)]
        for n in wide:
            plan = shard_split.split(
                transaction, ends.job_slice, ends.touched[n], self._records.shard_width
            )
            if plan:
                waiting = len(ends.touched) > 1
                ends.plans = {n: plan}
                ends.keep_only({n}, self._records.shard_width)
                return waiting
        ends.keep_only(ends.touched.keys() - set(wide), self._records.shard_width)
        return bool(wide) and bool(transaction.changes)

    def record_job(self, transaction: TransactionBuilder, ends: JobTerminations) -> bool | None:
        """Write one job's terminations; return whether some of them wait for the next transaction.

        None: all do, for this one has no room left.
        """
        over, whole = self.shards_over(ends)
        record_keys = [
            keys.slice_key(self._partition, ends.name, n) for n in ends.touched.keys() | over.keys()
        ]
        record_keys += [piece.key for plan in ends.plans.values() for piece in plan]
        if ends.job is not None and over:
            record_keys += [keys.job_key(ends.name), keys.job_end_key(ends.name)]
        if not record_keys:
            return False
        partly = not transaction.room_for(*record_keys)
        if partly:
            if transaction.changes:
                return None
            # Wider than one transaction: some of it now, the rest in the next.
            some = sorted(over.keys() | ends.touched.keys())[: max(1, transaction.free - 2)]
            over = {n: piece for n, piece in over.items() if n in some}
            ends.keep_only([n for n in some if n not in ends.plans], self._records.shard_width)
            whole = False
        self.write_slices(transaction, ends, over)
        if ends.job is not None and over:
            self.write_job(transaction, ends.job, over, whole)
        return partly

    def shards_over(self, ends: JobTerminations) -> tuple[dict[int, SliceShard], bool]:
        """Return the shards that leave the records, and whether nothing of the job is left here."""
        shards = {**ends.job_slice.shards, **ends.touched}
        idle = {n: piece for n, piece in shards.items() if not piece.attempts}
        if ends.job is None:
            return idle, len(idle) == len(shards)
        done = ranges.normal(pair for piece in shards.values() for pair in piece.done)
        held = ends.job.allocation.get(self._partition, ())
        if len(idle) == len(shards) and not ranges.minus(held, done):
            return idle, True
        # A wide array's shards leave the records a few at a time, not one by one.
        over = {
            n: piece
            for n, piece in idle.items()
            if not ranges.minus(self.within(held, n), piece.done)
        }
        return (over if len(over) >= FOLD else {}), False

    def write_slices(
        self,
        transaction: TransactionBuilder,
        ends: JobTerminations,
        over: dict[int, SliceShard],
    ) -> None:
        """Write the changed shards, split where they must be, and drop those that are over."""
        for n, piece in ends.touched.items():
            if n in ends.plans:
                for row in ends.plans[n]:
                    transaction.set_slice(row)
                into = len(ends.plans[n])
                log.info(
                    "shard-split",
                    partition=self._partition,
                    job=ends.name,
                    shard=n,
                    into_shards=into,
                )
            elif n not in over:
                # Fewer attempts never make the record larger than a range each.
                transaction.set_slice(piece)
        for piece in over.values():
            transaction.drop_slice(piece)

    def write_job(
        self,
        transaction: TransactionBuilder,
        job: Job,
        over: dict[int, SliceShard],
        whole: bool,
    ) -> None:
        """Write the job's record, or its end, once shards of it are over."""
        held = job.allocation.get(self._partition, ())
        all_done = ranges.normal(
            [*job.done, *(pair for piece in over.values() for pair in piece.done)]
        )
        if whole and ranges.size(all_done) >= job.spec.task_count:
            transaction.end_job(job, "done", job.spec.task_count)
        else:
            rest = job.with_partition(self._partition, ranges.minus(held, all_done))
            transaction.set_job(replace(rest, done=all_done))

    def note_ends(
        self, transaction: TransactionBuilder, ends: JobTerminations, now: datetime
    ) -> None:
        """Note what follows once the transaction is carried out.

        From here on the rest of the transaction may count on it.
        """
        for task_index, end in ends.ended:
            key = TaskKey(ends.name, task_index)
            transaction.ended_attempts.add(key)
            transaction.charge(ends.job_slice.team, ends.job_slice.resources, -1)
            transaction.after.append(partial(self._effects.note_recorded, key, end, now))

    def within(self, held: Ranges, shard: int) -> Ranges:
        """Return the held tasks whose attempts are written into this shard."""
        if shard < 0:
            return held
        low, high = shard * self._records.shard_width, (shard + 1) * self._records.shard_width
        return tuple((max(a, low), min(b, high)) for a, b in held if a < high and b > low)


def end_gang(
    transaction: TransactionBuilder,
    job: Job,
    touched: dict[int, SliceShard],
    others: list[SliceShard],
) -> set[int] | None:
    """End a gang of which a task is done: then all are, and the job is, whoever reports first.

    What of it may still be on machines stays in the slices until it is certainly terminated, as
    with a cancelled job. Return the touched shards that are written with it; a gang wider than one
    transaction leaves the rest for the next. None: not even the job's end has room now.
    """
    ends = (keys.job_key(job.id), keys.job_end_key(job.id), keys.gang_key(job.id))
    all_fits = transaction.room_for(*ends, *(piece.key for piece in touched.values()))
    if not all_fits and (transaction.changes or not transaction.room_for(*ends)):
        return None
    transaction.end_job(job, "done", job.spec.task_count)
    written: set[int] = set()
    for shard, piece in touched.items():
        if not transaction.room_for(piece.key):
            break
        written.add(shard)
        if piece.attempts:
            transaction.set_slice(piece)
        else:
            transaction.drop_slice(piece)
    for piece in others:
        if not piece.attempts and transaction.room_for(piece.key):
            transaction.drop_slice(piece)
    return written
