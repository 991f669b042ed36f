"""Writes terminations into the records, and takes out of them the slices and jobs that are over."""

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
# Shards of a job that is still running leave the records when there are this many to go.
MIN_SHARDS_OVER = 4


@dataclass
class JobTerminations:
    """Terminations of one job's attempts on their way into a transaction."""

    name: str
    # None: the job is over or cancelled, and only its slices are left.
    job: Job | None
    job_slice: JobSlice
    # The shards that change, as they will be, and the terminations that they record.
    touched: dict[int, SliceShard] = field(default_factory=dict)
    ended: list[tuple[int, Termination]] = field(default_factory=list)
    # In what pieces those are written that are too large by today's limits.
    plans: dict[int, list[SliceShard]] = field(default_factory=dict)

    def keep_only(self, shards: Container[int], width: int) -> None:
        """Leave out the terminations in other shards; they wait for the next transaction."""
        self.touched = {n: shard for n, shard in self.touched.items() if n in shards}
        self.ended = [row for row in self.ended if self.job_slice.shard_of(row[0], width) in shards]


class TerminationRecorder:
    """Records one partition's terminated attempts, and takes out what is over."""

    def __init__(self, state: PartitionState) -> None:
        self._records = state.records
        self._terminations = state.terminations
        self._effects = TerminationEffects(state)
        self._context = state.records.context
        self._partition = state.records.partition

    def record(self, transaction: TransactionBuilder, now: datetime) -> bool:
        """Put terminations into the transaction, and take out of the records what is over.

        That is slices and jobs. Return whether more is left for the next transaction.
        """
        more = False
        done_gangs = self.done_gangs()
        for name, found in self.terminations_by_job(done_gangs).items():
            job_slice = self._records.job_slices().get(name)
            if job_slice is None and name in done_gangs:
                # Nothing of it is recorded here, and it is over nevertheless.
                spec = done_gangs[name].spec
                job_slice = JobSlice(name, self._partition, spec.team, spec.resources)
            if job_slice is None:
                continue
            terminations = self.collect(transaction, name, job_slice, found)
            more = self.plan_splits(transaction, terminations) or more
            job = terminations.job
            if job is not None and (name in done_gangs or self.shows_gang_done(job, terminations)):
                left = self.record_gang(transaction, job, terminations)
                if left is not None and name in done_gangs:
                    transaction.on_commit.append(partial(self.log_ended_by_records, name))
            else:
                left = self.record_job(transaction, terminations)
            if left is None:
                return True
            more = more or left
            self.add_effects(transaction, terminations, now)
        return more

    def done_gangs(self) -> dict[str, Job]:
        """Return the live gangs that are to be ended here because a task is done by the records.

        A version before gangs recorded that task alone, and no machine reports it again. Done stays
        true, so recovery need not have compared the records with the machines before. Whoever
        holds tasks ends the gang, or any leader where nobody does: one of them succeeds, for all
        depend on the job's record being as it was read.
        """
        found: dict[str, Job] = {}
        for name in self._context.view.done_gangs():
            job = self._records.live_job(name)
            if job is not None and (
                name in self._records.job_slices()
                or self._partition in job.allocation
                or not job.allocation
            ):
                found[name] = job
        return found

    def shows_gang_done(self, job: Job, terminations: JobTerminations) -> bool:
        """Whether a job is a gang of which one of these terminations says that a task is done."""
        return job.spec.gang and any(end.done for _, end in terminations.ended)

    def log_ended_by_records(self, name: str) -> None:
        """Log that a gang was ended without a report, since a task was done by the records."""
        log.info("gang-ended-by-records", partition=self._partition, job=name)

    def record_gang(
        self, transaction: TransactionBuilder, job: Job, terminations: JobTerminations
    ) -> bool | None:
        """Write the end of a gang; return whether some of it waits for the next transaction.

        None: all of it does. What is left out is recorded next, like the end of a cancelled task:
        the job is over.
        """
        touched = terminations.touched
        shards = terminations.job_slice.shards
        others = [shard for n, shard in shards.items() if n not in touched]
        written = gang_end.end_gang(transaction, job, touched, others)
        if written is None:
            return None
        partly = written != touched.keys()
        terminations.keep_only(written, self._records.shard_width)
        return partly

    def terminations_by_job(
        self, done_gangs: Iterable[str]
    ) -> dict[str, list[tuple[int, Termination]]]:
        """Return the terminations to be recorded, by job.

        Jobs with slices of which nothing runs are among them, and gangs that are done, some with no
        termination.
        """
        by_job: dict[str, list[tuple[int, Termination]]] = {}
        for (job, task_index), end in self._terminations.items():
            by_job.setdefault(job, []).append((task_index, end))
        # Slices of cancelled jobs with nothing left, and slices all done, also end here.
        for name, job_slice in self._records.job_slices().items():
            if not job_slice.attempts:
                by_job.setdefault(name, [])
        for name in done_gangs:
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
        terminations = JobTerminations(name, job, job_slice)
        counts_done = job is not None and not job.spec.service and not job.spec.gang
        for task_index, end in found:
            attempt = job_slice.attempts.get(task_index)
            if attempt != Attempt(end.attempt, end.machine):
                continue
            n = job_slice.shard_of(task_index, self._records.shard_width)
            shard = terminations.touched.get(n) or transaction.shard(
                name, job_slice.team, job_slice.resources, n
            )
            attempts = {
                other: attempt for other, attempt in shard.attempts.items() if other != task_index
            }
            done = shard.done
            if end.done and counts_done:
                done = ranges.union(done, ((task_index, task_index + 1),))
            terminations.touched[n] = replace(shard, attempts=attempts, done=done)
            terminations.ended.append((task_index, end))
        return terminations

    def plan_splits(self, transaction: TransactionBuilder, terminations: JobTerminations) -> bool:
        """Plan to split a shard that is too large now, for a version with larger values wrote it.

        Where that can't be done in one transaction, the terminations wait until fewer of its tasks
        are left. Return whether the next transaction may do better.

        A split also writes the shards that take its tasks. None of them may be written twice in one
        transaction, for the second writing would lose what the first one moved there: so one shard
        is split at a time, and the terminations in the job's other shards wait for the next
        transaction.
        """
        wide = [n for n, shard in terminations.touched.items() if not transaction.fits(shard)]
        for n in wide:
            plan = shard_split.split(
                transaction,
                terminations.job_slice,
                terminations.touched[n],
                self._records.shard_width,
            )
            if plan:
                waiting = len(terminations.touched) > 1
                terminations.plans = {n: plan}
                terminations.keep_only({n}, self._records.shard_width)
                return waiting
        terminations.keep_only(terminations.touched.keys() - set(wide), self._records.shard_width)
        return bool(wide) and bool(transaction.changes)

    def record_job(
        self, transaction: TransactionBuilder, terminations: JobTerminations
    ) -> bool | None:
        """Write one job's terminations; return whether some of them wait for the next transaction.

        None: all do, for this one has no room left.
        """
        over, whole = self.shards_over(terminations)
        record_keys = [
            keys.slice_key(self._partition, terminations.name, n)
            for n in terminations.touched.keys() | over.keys()
        ]
        record_keys += [shard.key for plan in terminations.plans.values() for shard in plan]
        if terminations.job is not None and over:
            record_keys += [keys.job_key(terminations.name), keys.job_end_key(terminations.name)]
        if not record_keys:
            return False
        partly = not transaction.has_space_for(*record_keys)
        if partly:
            if transaction.changes:
                return None
            # Wider than one transaction: some of it now, the rest in the next.
            some = sorted(over.keys() | terminations.touched.keys())[
                : max(1, transaction.remaining_changes - 2)
            ]
            over = {n: shard for n, shard in over.items() if n in some}
            terminations.keep_only(
                [n for n in some if n not in terminations.plans], self._records.shard_width
            )
            whole = False
        self.write_slices(transaction, terminations, over)
        if terminations.job is not None and over:
            self.write_job(transaction, terminations.job, over, whole)
        return partly

    def shards_over(self, terminations: JobTerminations) -> tuple[dict[int, SliceShard], bool]:
        """Return the shards that leave the records, and whether nothing of the job is left here."""
        shards = {**terminations.job_slice.shards, **terminations.touched}
        idle = {n: shard for n, shard in shards.items() if not shard.attempts}
        if terminations.job is None:
            return idle, len(idle) == len(shards)
        done = ranges.normalize(pair for shard in shards.values() for pair in shard.done)
        held = terminations.job.allocation.get(self._partition, ())
        if len(idle) == len(shards) and not ranges.minus(held, done):
            return idle, True
        # A wide array's shards leave the records a few at a time, not one by one.
        over = {
            n: shard
            for n, shard in idle.items()
            if not ranges.minus(self.within(held, n), shard.done)
        }
        return (over if len(over) >= MIN_SHARDS_OVER else {}), False

    def write_slices(
        self,
        transaction: TransactionBuilder,
        terminations: JobTerminations,
        over: dict[int, SliceShard],
    ) -> None:
        """Write the changed shards, split where they must be, and drop those that are over."""
        for n, shard in terminations.touched.items():
            if n in terminations.plans:
                for part in terminations.plans[n]:
                    transaction.set_shard(part)
                log.info(
                    "shard-split",
                    partition=self._partition,
                    job=terminations.name,
                    shard=n,
                    into_shards=len(terminations.plans[n]),
                )
            elif n not in over:
                # Fewer attempts never make the record larger than a range each.
                transaction.set_shard(shard)
        for shard in over.values():
            transaction.delete_shard(shard)

    def write_job(
        self,
        transaction: TransactionBuilder,
        job: Job,
        over: dict[int, SliceShard],
        whole: bool,
    ) -> None:
        """Write the job's record, or its end, once shards of it are over."""
        held = job.allocation.get(self._partition, ())
        all_done = ranges.normalize(
            [*job.done, *(pair for shard in over.values() for pair in shard.done)]
        )
        if whole and ranges.size(all_done) >= job.spec.task_count:
            transaction.end_job(job, "done", job.spec.task_count)
        else:
            rest = job.with_partition(self._partition, ranges.minus(held, all_done))
            transaction.set_job(replace(rest, done=all_done))

    def add_effects(
        self, transaction: TransactionBuilder, terminations: JobTerminations, now: datetime
    ) -> None:
        """Note what follows once the transaction is carried out.

        From here on the rest of the transaction may count on it.
        """
        for task_index, end in terminations.ended:
            key = TaskKey(terminations.name, task_index)
            transaction.ended_attempts.add(key)
            transaction.charge(terminations.job_slice.team, terminations.job_slice.resources, -1)
            transaction.on_commit.append(partial(self._effects.apply, key, end, now))

    def within(self, held: Ranges, n: int) -> Ranges:
        """Return the held tasks whose attempts are written into this shard."""
        if n < 0:
            return held
        low, high = n * self._records.shard_width, (n + 1) * self._records.shard_width
        return tuple(
            (max(start, low), min(stop, high))
            for start, stop in held
            if start < high and stop > low
        )
