"""The effects of a termination once it is recorded."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.machines import ObservedTask
from roadbend.fleet.terminations import TaskKey, Termination
from roadbend.log import Log
from roadbend.placement import gangs
from roadbend.placement.partition_state import PartitionState
from roadbend.store.records import Attempt

log = Log("placement")
# How long a job is excluded from a machine on which its task failed, and from one that had no free
# capacity for it or lost it.
EXCLUSION_AFTER_ERROR = timedelta(seconds=20)
EXCLUSION = EXCLUSION_AFTER_ERROR / 5


class TerminationEffects:
    """Applies the effects of one partition's recorded terminations."""

    def __init__(self, state: PartitionState) -> None:
        self._records, self._context = state.records, state.records.context
        self._partition, self._machines = state.records.partition, state.registry.by_id
        self._gang_attempts, self._exclusions = state.gang_attempts, state.exclusions
        self._backoff, self._failures = state.backoff, state.failures

    def apply(self, key: TaskKey, end: Termination, now: datetime) -> None:
        """Apply the effects of a recorded termination on its job, its gang and the machine."""
        self._context.observer.attempt_ended(self._partition, key.job, key.task_index, end)
        self._context.recorded_ends.add(key, Attempt(end.attempt, end.machine), now)
        log.debug(
            "attempt-end-recorded",
            partition=self._partition,
            task=f"{key.job}/{key.task_index}",
            machine=end.machine,
            cause=end.cause,
        )
        if end.cause in gangs.REPLACEABLE_CAUSES:
            job = self._records.live_job(key.job)
            if job is not None and job.spec.gang:
                self._gang_attempts.record_lost_machine(key.job, end.attempt, end.machine)
        if end.cause == "done":
            self._apply_done(key, end.machine)
        elif end.cause == "error":
            self._apply_error(key, end.machine, now)
        elif end.cause in ("unknown", "no_room", "busy"):
            self._exclusions.exclude(key.job, end.machine, now + EXCLUSION)

    def _apply_done(self, key: TaskKey, machine_id: str) -> None:
        observed, job = self._observed(key, machine_id), self._context.view.jobs.get(key.job)
        if observed is not None and observed.running_since is not None:
            # What failed before this task began is no sign of a fault that the machine still has.
            self._failures.drop_before(machine_id, observed.running_since)
            if job is not None:
                self._context.run_times.record_run(job, observed.since - observed.running_since)
        self._failures.mark_succeeded(key.job)
        self._backoff.clear(key.job)

    def _apply_error(self, key: TaskKey, machine_id: str, now: datetime) -> None:
        self._exclusions.exclude(key.job, machine_id, now + EXCLUSION_AFTER_ERROR)
        observed, ran_for = self._observed(key, machine_id), clock.ZERO
        if observed is not None and observed.running_since is not None:
            ran_for = observed.since - observed.running_since
        self._failures.record(key.job, machine_id, ran_for, now)
        log.info(
            "task-failed",
            partition=self._partition,
            task=f"{key.job}/{key.task_index}",
            machine=machine_id,
            ran_for_s=f"{ran_for.total_seconds():.1f}",
            failures=self._backoff.record_failure(key.job, now),
        )

    def _observed(self, key: TaskKey, machine_id: str) -> ObservedTask | None:
        """Return a task as its machine last reported it."""
        machine = self._machines.get(machine_id)
        return machine.tasks.get(key) if machine is not None else None
