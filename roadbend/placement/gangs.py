"""Gangs: all tasks of a job run at the same time or none does.

One partition holds a gang whole and starts its tasks under one attempt number, recorded in one
transaction; what is stopped is stopped whole, and the next attempt begins when every task of the
last one is proven gone. While its tasks still wait for each other, one that was lost is replaced.
"""

from collections.abc import Set
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.machines import ObservedTask
from roadbend.fleet.terminations import TaskKey, Termination
from roadbend.log import Log
from roadbend.placement import apart_gangs
from roadbend.placement.apart_gangs import ApartGangs
from roadbend.placement.bin_packing import Placement
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.queue_order import PendingTasks
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, Job, SliceShard

log = Log("placement")
# A task in one of these has not begun; `running` is also said by tasks that are about to exit. Of
# the time that a task waits for the others, the part within which another may still join in time.
JOIN = 0.75
NOT_BEGUN = ("fetching", "gathering")


class Gangs:
    """The gangs of one partition."""

    def __init__(self, state: PartitionState, apart_gangs: ApartGangs) -> None:
        self._records = state.records
        self._terminations = state.terminations
        self._stops = state.stops
        self._gang_attempts = state.gang_attempts
        self._attempt_numbers = state.attempt_numbers
        self._machines = state.registry.by_id
        self._context = state.records.context
        self._partition = state.records.partition
        self._apart_gangs = apart_gangs

    def seen(self, job: str, task_index: int, attempt: Attempt) -> ObservedTask | None:
        """Return how the machine last showed a task of this attempt."""
        machine = self._machines.get(attempt.machine)
        row = machine.tasks.get(TaskKey(job, task_index)) if machine is not None else None
        return row if row is not None and row.attempt == attempt.number else None

    def gathers(self, job: Job, job_slice: JobSlice) -> bool:
        """Whether what is left of a gang surely waits for the rest, so that a task may join it.

        That is: every task was shown waiting, none is being stopped, and there is time for another
        fetch.
        """
        now = clock.now()
        if len({attempt.number for attempt in job_slice.attempts.values()}) != 1:
            return False
        for task_index, attempt in job_slice.attempts.items():
            row = self.seen(job.id, task_index, attempt)
            if (
                row is None
                or row.state not in NOT_BEGUN
                or (job.id, task_index) in self._stops
                or (job.id, task_index) in self._terminations
            ):
                return False
            if (
                row.state == "gathering"
                and now - row.since > self._context.settings.gang_wait * JOIN
            ):
                return False
        return True

    def placeable_tasks(self, job: Job, unplaced: Ranges) -> PendingTasks | None:
        """Return what of a gang may be placed.

        All of it, once nothing of an earlier attempt is recorded any more; or what is missing of
        one that still gathers or is still being recorded.
        """
        if is_scattered(job) or self._context.view.has_done_tasks(job):
            # What is done is ended in the records and not started again.
            return None
        if ranges.size(unplaced) == self.share_size(job):
            return PendingTasks(job, unplaced, False)
        job_slice = self._records.job_slices().get(job.id)
        if (
            job_slice is None
            or not job_slice.attempts
            or self.unplaced_here(job, job_slice) != unplaced
        ):
            return None
        if self._gang_attempts.filling(job.id) == self.number(job.id):
            may_join = self.still_gathers(job, job_slice, set(job_slice.attempts))
        elif apart_gangs.is_apart(job):
            # What is lost of one share ends the attempt: this partition can't tell whether all
            # still wait.
            may_join = False
        else:
            may_join = self.gathers(job, job_slice)
        return PendingTasks(job, unplaced, False) if may_join else None

    def first_share(
        self, transaction: TransactionBuilder, rows: list[Placement]
    ) -> list[Placement]:
        """Return the tasks of a gang that go into the transaction in the making.

        All of them where one can hold them, else as many as there is room for now. The next
        transactions record the rest under the same attempt number, and the tasks wait for each
        other on their machines.
        """
        shards = {index // self._records.shard_width for _, index, _ in rows}
        if len(shards) <= transaction.most_slices(self._records.shard_width):
            return rows
        first = set(
            sorted(shards)[
                : min(
                    transaction.remaining_changes - 1,
                    transaction.most_slices(self._records.shard_width),
                )
            ]
        )
        return [row for row in rows if row[1] // self._records.shard_width in first]

    def note_filling(self, shard: SliceShard) -> None:
        """Note that a first share was recorded: the rest comes before all other work."""
        self._gang_attempts.note_filling(shard.job, next(iter(shard.attempts.values())).number)

    def filled(self, job: str, attempt: int) -> bool:
        """Whether nothing is left to be recorded of an attempt."""
        known = self._records.live_job(job)
        if known is None or self.number(job) != attempt:
            return True
        return len(self._records.job_slices()[job].attempts) == self.share_size(known)

    def filling_first(self, queue: list[PendingTasks]) -> list[PendingTasks]:
        """Return the queue with the gangs first of which the rest is still to be recorded."""
        return sorted(queue, key=lambda item: self._gang_attempts.filling(item.job.id) is None)

    def unplaced_here(self, job: Job, job_slice: JobSlice) -> Ranges:
        """Return the tasks of this partition's share that are not recorded."""
        return ranges.minus(job.allocation.get(self._partition, ()), ranges.of(job_slice.attempts))

    def share_size(self, job: Job) -> int:
        """Return how many tasks this partition starts: all, or its share of an apart gang."""
        return ranges.size(job.allocation.get(self._partition, ()))

    def number(self, job: str) -> int | None:
        """Return the recorded attempt of a gang, which further tasks join."""
        job_slice = self._records.job_slices().get(job)
        return (
            next((attempt.number for attempt in job_slice.attempts.values()), None)
            if job_slice is not None
            else None
        )

    def attempt_number(self, job: Job) -> int:
        """Return the number under which tasks start now: the joined one, or a new one."""
        joined = self.number(job.id)
        apart = apart_gangs.is_apart(job)
        if joined is None and apart:
            joined = self._apart_gangs.number_to_join(job)
        if joined is not None:
            return joined
        return self._attempt_numbers.next(self._apart_gangs.sequence_mark() if apart else 0)

    def may_start(self, job: Job) -> bool:
        """Whether tasks of a job may start now, as far as other partitions are concerned."""
        if not apart_gangs.is_apart(job) or self._gang_attempts.filling(job.id) is not None:
            return True
        return self._apart_gangs.may_start(job)

    def stop_gang(self, job: Job, why: str, now: datetime, grace: timedelta | None = None) -> None:
        """Stop all tasks of a gang at once, so that each is told within `gang_peer` of the first.

        One that has saved waits for the others; what it is given counts that.
        """
        job_slice = self._records.job_slices().get(job.id)
        if job_slice is None:
            return
        if grace is None:
            saves = job.spec.checkpoint > clock.ZERO
            grace = (
                job.spec.save + self._context.settings.gang_peer + timedelta(seconds=1)
                if saves
                else clock.ZERO
            )
        for task_index, attempt in job_slice.attempts.items():
            key = TaskKey(job.id, task_index)
            old = self._stops.by_task.get(key)
            if old is None or old.attempt != attempt.number:
                self._stops.order(key, attempt, grace, why, now)

    def keep_whole(self, now: datetime) -> None:
        """End the attempts of gangs that have lost a task, unless these still gather.

        The others would notice by themselves, after `gang_peer` or `gang_wait`, and are told now.
        """
        for name, job_slice in self._records.job_slices().items():
            job = self._records.live_job(name)
            if job is None or not job.spec.gang or not job_slice.attempts:
                continue
            ended = {
                task_index: end
                for (other, task_index), end in self._terminations.items()
                if other == name
            }
            if any(end.done for end in ended.values()):
                continue
            if apart_gangs.is_apart(job):
                if ended or not self._apart_gangs.intact(job, now):
                    self._apart_gangs.rest(job, now)
                    self._abandon(job, len(job_slice.attempts), now)
            elif not self._goes_on(job, job_slice, ended):
                self._abandon(job, len(job_slice.attempts.keys() - ended.keys()), now)

    def _goes_on(self, job: Job, job_slice: JobSlice, ended: dict[int, Termination]) -> bool:
        """Whether a gang that one partition holds whole goes on without the tasks that ended."""
        if not ended and len(job_slice.attempts) == job.spec.task_count:
            return True
        rest = job_slice.attempts.keys() - ended.keys()
        if not rest:
            # There is nobody left to tell.
            return True
        replaceable = all(end.cause in REPLACEABLE_CAUSES for end in ended.values())
        return replaceable and self.still_gathers(job, job_slice, rest)

    def _abandon(self, job: Job, remaining_tasks: int, now: datetime) -> None:
        """Stop what is left of an attempt."""
        log.info(
            "gang-attempt-abandoned",
            partition=self._partition,
            job=job.id,
            remaining_tasks=remaining_tasks,
        )
        self.stop_gang(job, "peers", now, clock.ZERO)

    def still_gathers(self, job: Job, job_slice: JobSlice, rest: Set[int]) -> bool:
        """Whether what is left may still be joined, as `gathers`.

        Tasks that were just ordered may not have been shown yet.
        """
        now = clock.now()
        for task_index in rest:
            attempt = job_slice.attempts[task_index]
            row = self.seen(job.id, task_index, attempt)
            if (job.id, task_index) in self._stops or (
                row is not None and row.state not in NOT_BEGUN
            ):
                return False
            if (
                row is not None
                and row.state == "gathering"
                and now - row.since > self._context.settings.gang_wait * JOIN
            ):
                return False
        return True


def is_scattered(job: Job) -> bool:
    """Whether several partitions hold tasks of a gang that one partition should hold whole.

    A version before gangs moves a gang's tasks like an array's.
    """
    return job.spec.gang and not apart_gangs.is_apart(job) and len(job.allocation) > 1


# Ends after which a gang that gathers goes on with another machine in place of the lost one.
REPLACEABLE_CAUSES = ("deleted", "lease", "no_room", "busy", "unknown")
