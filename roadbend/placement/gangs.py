"""Gang scheduling: all tasks of a gang run at the same time, or none does.

One partition holds a whole gang. It starts the tasks under one attempt number, recorded in one
transaction, and stops them together. The next attempt begins when every task of the last one is
proven to be terminated. On their machines, tasks that have fetched the image wait until all are
ready (`gathering`); a task that is lost before that is replaced within the same attempt.
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
# A task waits for the others for `gang_wait`. A replacement must be ordered within this fraction of
# it, so that it can fetch its image in time.
JOIN_WINDOW_FRACTION = 0.75
# The states of a task that has not begun its work. A task that is about to exit is also reported as
# `running`.
NOT_BEGUN_STATES = ("fetching", "gathering")


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

    def observed_task(self, job: str, task_index: int, attempt: Attempt) -> ObservedTask | None:
        """Return the state of a task of this attempt as its machine last reported it."""
        machine = self._machines.get(attempt.machine)
        observed = machine.tasks.get(TaskKey(job, task_index)) if machine is not None else None
        return observed if observed is not None and observed.attempt == attempt.number else None

    def is_gathering(self, job: Job, job_slice: JobSlice) -> bool:
        """Return whether the remaining tasks of a gang certainly wait, so that others may join.

        That is: every task was reported as not begun, none is being stopped, and there is time for
        another image fetch.
        """
        now = clock.now()
        if len({attempt.number for attempt in job_slice.attempts.values()}) != 1:
            return False
        for task_index, attempt in job_slice.attempts.items():
            observed = self.observed_task(job.id, task_index, attempt)
            if (
                observed is None
                or observed.state not in NOT_BEGUN_STATES
                or (job.id, task_index) in self._stops
                or (job.id, task_index) in self._terminations
            ):
                return False
            if (
                observed.state == "gathering"
                and now - observed.since > self._context.settings.gang_wait * JOIN_WINDOW_FRACTION
            ):
                return False
        return True

    def placeable_tasks(self, job: Job, unplaced: Ranges) -> PendingTasks | None:
        """Return the tasks of a gang that may be placed.

        All of them once no earlier attempt is recorded any more; or the missing tasks of an attempt
        that still gathers or is still being recorded.
        """
        if is_scattered(job) or self._context.view.has_done_tasks(job):
            # A gang with a completed task is ended in the records and not started again.
            return None
        if ranges.size(unplaced) == self.share_size(job):
            return PendingTasks(job, unplaced, False)
        job_slice = self._records.job_slices().get(job.id)
        if (
            job_slice is None
            or not job_slice.attempts
            or self.unrecorded_tasks(job, job_slice) != unplaced
        ):
            return None
        if self._gang_attempts.partly_recorded_attempt(job.id) == self.recorded_number(job.id):
            may_join = self.may_still_gather(job, job_slice, set(job_slice.attempts))
        elif apart_gangs.is_apart(job):
            # A lost task of any share ends the attempt: this partition can't tell whether the
            # tasks of the other shares still wait.
            may_join = False
        else:
            may_join = self.is_gathering(job, job_slice)
        return PendingTasks(job, unplaced, False) if may_join else None

    def first_batch(
        self, transaction: TransactionBuilder, placements: list[Placement]
    ) -> list[Placement]:
        """Return the placements of a gang that go into this transaction.

        All of them if one transaction can hold them, else as many as this one has space for. The
        next transactions record the rest under the same attempt number, and the tasks wait for each
        other on their machines.
        """
        shards = {index // self._records.shard_width for _, index, _ in placements}
        if len(shards) <= transaction.max_shards(self._records.shard_width):
            return placements
        first_shards = set(
            sorted(shards)[
                : min(
                    transaction.remaining_changes - 1,
                    transaction.max_shards(self._records.shard_width),
                )
            ]
        )
        return [
            placement
            for placement in placements
            if placement[1] // self._records.shard_width in first_shards
        ]

    def mark_partly_recorded(self, shard: SliceShard) -> None:
        """Record that only a first batch is recorded: the rest precedes all other placements."""
        self._gang_attempts.mark_partly_recorded(
            shard.job, next(iter(shard.attempts.values())).number
        )

    def is_fully_recorded(self, job: str, attempt: int) -> bool:
        """Return whether all tasks of an attempt are recorded, or the attempt is obsolete."""
        live_job = self._records.live_job(job)
        if live_job is None or self.recorded_number(job) != attempt:
            return True
        return len(self._records.job_slices()[job].attempts) == self.share_size(live_job)

    def partly_recorded_first(self, queue: list[PendingTasks]) -> list[PendingTasks]:
        """Return the queue with those gangs first of which some tasks are still to be recorded."""
        return sorted(
            queue, key=lambda item: self._gang_attempts.partly_recorded_attempt(item.job.id) is None
        )

    def unrecorded_tasks(self, job: Job, job_slice: JobSlice) -> Ranges:
        """Return the tasks of this partition's share that are not recorded."""
        return ranges.minus(job.allocation.get(self._partition, ()), ranges.of(job_slice.attempts))

    def share_size(self, job: Job) -> int:
        """Return how many tasks this partition starts: all, or its share of an `apart` gang."""
        return ranges.size(job.allocation.get(self._partition, ()))

    def recorded_number(self, job: str) -> int | None:
        """Return the number of a gang's recorded attempt, which further tasks join."""
        job_slice = self._records.job_slices().get(job)
        return (
            next((attempt.number for attempt in job_slice.attempts.values()), None)
            if job_slice is not None
            else None
        )

    def attempt_number(self, job: Job) -> int:
        """Return the attempt number for tasks that start now: the one to join, or a new one."""
        joined = self.recorded_number(job.id)
        apart = apart_gangs.is_apart(job)
        if joined is None and apart:
            joined = self._apart_gangs.number_to_join(job)
        if joined is not None:
            return joined
        return self._attempt_numbers.next(self._apart_gangs.sequence_prefix() if apart else 0)

    def may_start(self, job: Job) -> bool:
        """Return whether other partitions permit tasks of a job to start now."""
        if (
            not apart_gangs.is_apart(job)
            or self._gang_attempts.partly_recorded_attempt(job.id) is not None
        ):
            return True
        return self._apart_gangs.may_start(job)

    def stop_gang(
        self, job: Job, reason: str, now: datetime, grace: timedelta | None = None
    ) -> None:
        """Stop all tasks of a gang at once; each is notified within `gang_peer` of the first.

        A task that has saved its checkpoint waits for the others, so the default grace period
        includes `gang_peer`.
        """
        job_slice = self._records.job_slices().get(job.id)
        if job_slice is None:
            return
        if grace is None:
            has_checkpoints = job.spec.checkpoint > clock.ZERO
            grace = (
                job.spec.save + self._context.settings.gang_peer + timedelta(seconds=1)
                if has_checkpoints
                else clock.ZERO
            )
        for task_index, attempt in job_slice.attempts.items():
            key = TaskKey(job.id, task_index)
            previous = self._stops.by_task.get(key)
            if previous is None or previous.attempt != attempt.number:
                self._stops.order(key, attempt, grace, reason, now)

    def abandon_incomplete_attempts(self, now: datetime) -> None:
        """Abandon the attempts of gangs that have lost a task, unless they still gather.

        The remaining tasks would detect the loss themselves after `gang_peer` or `gang_wait`;
        stopping them now is faster.
        """
        for name, job_slice in self._records.job_slices().items():
            job = self._records.live_job(name)
            if job is None or not job.spec.gang or not job_slice.attempts:
                continue
            ended = {
                task_index: end
                for (job_id, task_index), end in self._terminations.items()
                if job_id == name
            }
            if any(end.done for end in ended.values()):
                continue
            if apart_gangs.is_apart(job):
                if ended or not self._apart_gangs.is_intact(job, now):
                    self._apart_gangs.mark_abandoned(job, now)
                    self._abandon(job, len(job_slice.attempts), now)
            elif not self._can_continue(job, job_slice, ended):
                self._abandon(job, len(job_slice.attempts.keys() - ended.keys()), now)

    def _can_continue(self, job: Job, job_slice: JobSlice, ended: dict[int, Termination]) -> bool:
        """Return whether the attempt of a gang in one partition continues without ended tasks."""
        if not ended and len(job_slice.attempts) == job.spec.task_count:
            return True
        rest = job_slice.attempts.keys() - ended.keys()
        if not rest:
            # No task is left to be stopped.
            return True
        replaceable = all(end.cause in REPLACEABLE_CAUSES for end in ended.values())
        return replaceable and self.may_still_gather(job, job_slice, rest)

    def _abandon(self, job: Job, remaining_tasks: int, now: datetime) -> None:
        """Stop the remaining tasks of an attempt."""
        log.info(
            "gang-attempt-abandoned",
            partition=self._partition,
            job=job.id,
            remaining_tasks=remaining_tasks,
        )
        self.stop_gang(job, "peers", now, clock.ZERO)

    def may_still_gather(self, job: Job, job_slice: JobSlice, rest: Set[int]) -> bool:
        """Return whether other tasks may still join the remaining ones.

        Less strict than `is_gathering`: tasks whose start was just ordered may not have been
        reported yet.
        """
        now = clock.now()
        for task_index in rest:
            attempt = job_slice.attempts[task_index]
            observed = self.observed_task(job.id, task_index, attempt)
            if (job.id, task_index) in self._stops or (
                observed is not None and observed.state not in NOT_BEGUN_STATES
            ):
                return False
            if (
                observed is not None
                and observed.state == "gathering"
                and now - observed.since > self._context.settings.gang_wait * JOIN_WINDOW_FRACTION
            ):
                return False
        return True


def is_scattered(job: Job) -> bool:
    """Return whether several partitions hold tasks of a gang that must be in one partition.

    A version that predates gang scheduling moves tasks of a gang like those of a job array.
    """
    return job.spec.gang and not apart_gangs.is_apart(job) and len(job.allocation) > 1


# Causes of termination after which a gathering gang continues, with the task on another machine.
REPLACEABLE_CAUSES = ("deleted", "lease", "no_room", "busy", "unknown")
