"""What follows from a termination once it is recorded."""

from datetime import datetime, timedelta

from roadbend.fleet.terminations import TaskKey, Termination
from roadbend.log import Log
from roadbend.placement import gangs
from roadbend.placement.partition_state import PartitionState

log = Log("placement")
# For how long a job keeps off a machine on which its task failed, and off one that had no room for
# it or lost it.
EXCLUSION_AFTER_ERROR = timedelta(seconds=20)
EXCLUSION = EXCLUSION_AFTER_ERROR / 5


class TerminationEffects:
    """Draws the conclusions from one partition's recorded terminations."""

    def __init__(self, state: PartitionState) -> None:
        self._records, self._context = state.records, state.records.context
        self._partition, self._machines = state.records.partition, state.registry.by_id
        self._gang_attempts, self._exclusions = state.gang_attempts, state.exclusions
        self._backoff = state.backoff

    def apply(self, key: TaskKey, end: Termination, now: datetime) -> None:
        """Note a recorded termination: what it says of the job, its gang and the machine."""
        self._context.observer.attempt_ended(self._partition, key.job, key.task_index, end)
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
            self._note_done(key, end.machine)
        elif end.cause == "error":
            self._note_error(key, end.machine, now)
        elif end.cause in ("unknown", "no_room", "busy"):
            self._exclusions.exclude(key.job, end.machine, now + EXCLUSION)

    def _note_done(self, key: TaskKey, name: str) -> None:
        machine = self._machines.get(name)
        if machine is not None:
            machine.failures.clear()
            seen, job = machine.tasks.get(key), self._context.view.jobs.get(key.job)
            if job is not None and seen is not None and seen.running_since is not None:
                self._context.run_times.record_run(job, seen.since - seen.running_since)
        self._backoff.clear(key.job)

    def _note_error(self, key: TaskKey, name: str, now: datetime) -> None:
        self._exclusions.exclude(key.job, name, now + EXCLUSION_AFTER_ERROR)
        machine = self._machines.get(name)
        if machine is not None:
            machine.failures[key.job] = now
        log.info(
            "task-failed",
            partition=self._partition,
            task=f"{key.job}/{key.task_index}",
            machine=name,
            failures=self._backoff.record_failure(key.job, now),
        )
