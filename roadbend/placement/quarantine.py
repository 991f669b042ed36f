"""Keeps tasks off machines that make them fail, for a limited time.

A task fails because its machine is faulty, or because its job was submitted with a mistake and
fails on every machine; the worker's report does not tell which. A failure counts against the
machine unless its job also failed on other machines and no task of it is known to run well. So
mistaken jobs, however many, do not take machines out of use that run services and can't be
replaced. A mistake of this judgement ends by itself: what is counted is judged anew as jobs end or
run well, and a quarantine expires, so that the machine is tried again.

An empty machine is replaced instead (`autoscaler.scale_in`).
"""

from collections.abc import Collection
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.machines import Machine
from roadbend.fleet.messages import TaskState
from roadbend.fleet.terminations import TaskKey
from roadbend.log import Log
from roadbend.placement.exclusions import PlacementExclusions
from roadbend.placement.failure_history import FailureHistory, JobFailures
from roadbend.placement.machine_registry import MachineRegistry
from roadbend.placement.partition_records import PartitionRecords

log = Log("placement")
# How long a machine is kept out of use after the last failure that counts. Together with what else
# delays a start, this is less than the 90 s that a job may wait where a machine has free capacity.
QUARANTINE_TIME = timedelta(seconds=35)
# The same while none of the jobs that failed there is known to run well, so that they may be at
# fault as well.
UNCERTAIN_QUARANTINE_TIME = timedelta(seconds=15)
# For how much longer the jobs that failed there are kept off it: whether it is faulty is best tried
# with another job, and that one must not wait behind them.
RETRY_BY_OTHERS = timedelta(seconds=8)
# A job that failed on this many machines of the partition is suspected of a mistake.
MIN_MACHINES_OF_MISTAKEN_JOB = 2
# A task runs well once it has run for this long, and for this multiple of the longest time after
# which a task of its job failed.
MIN_HEALTHY_RUN = timedelta(seconds=10)
HEALTHY_RUN_FACTOR = 2
# The shortest time between two reviews, which bounds their cost where thousands of jobs fail; and
# how often there is one although nothing failed.
MIN_REVIEW_INTERVAL, REVIEW_INTERVAL = timedelta(seconds=0.25), timedelta(seconds=1)
# How many jobs a log line names at most.
MAX_LOGGED_JOBS = 5


class Quarantine:
    """Decides which machines of one partition are in quarantine."""

    def __init__(
        self,
        records: PartitionRecords,
        registry: MachineRegistry,
        history: FailureHistory,
        exclusions: PlacementExclusions,
    ) -> None:
        self._records, self._machines, self._history = records, registry.by_id, history
        self._exclusions = exclusions
        self._quarantined: set[str] = set()
        self._reviewed_version = history.version
        self._reviewed_at = clock.ORIGIN

    def update(self, now: datetime) -> None:
        """Begin and end quarantines, by the failures of the partition."""
        self._history.drop_expired(now)
        if not self._is_review_due(now):
            return
        mistaken = self._find_mistaken_jobs(now)
        failing = self._history.machines_with(self._error_limit)
        for machine_id in self._quarantined.union(failing):
            self._review(machine_id, mistaken, now)
        self._reviewed_version, self._reviewed_at = self._history.version, now

    @property
    def _error_limit(self) -> int:
        """The failures of different jobs from which a machine counts as faulty."""
        return self._records.context.operator.error_limit

    def should_replace(self, machine_id: str) -> bool:
        """Return whether a machine is to be replaced once it has no tasks.

        Failures of mistaken jobs count here, too: as long as nothing has run well, the machine may
        be at fault as well, and it costs little to replace an empty one.
        """
        return len(self._history.jobs_failed_on(machine_id)) >= self._error_limit

    def _is_review_due(self, now: datetime) -> bool:
        if not self._history and not self._quarantined:
            return False
        has_changed = self._history.version != self._reviewed_version
        interval = MIN_REVIEW_INTERVAL if has_changed else REVIEW_INTERVAL
        return now - self._reviewed_at >= interval

    def _find_mistaken_jobs(self, now: datetime) -> set[str]:
        """Return the jobs that fail on every machine, as far as is known.

        Drops the failures of jobs that have ended before any of their tasks was known to run well:
        nothing more can be learned of these.
        """
        mistaken = set()
        for job in list(self._history.jobs):
            failures = self._history.of_job(job)
            if failures.has_succeeded:
                continue
            live_job = self._records.live_job(job)
            if live_job is None:
                self._history.drop_job(job)
            elif self._records.context.view.has_done_tasks(live_job) or self._has_healthy_task(
                job, failures, now
            ):
                self._history.mark_succeeded(job)
            elif len(failures.machines) >= MIN_MACHINES_OF_MISTAKEN_JOB:
                mistaken.add(job)
        return mistaken

    def _has_healthy_task(self, job: str, failures: JobFailures, now: datetime) -> bool:
        """Return whether a task of the job has run here for longer than those that failed."""
        job_slice = self._records.job_slices().get(job)
        if job_slice is None:
            return False
        began_before = now - max(MIN_HEALTHY_RUN, failures.longest_run * HEALTHY_RUN_FACTOR)
        for task_index, attempt in job_slice.attempts.items():
            machine = self._machines.get(attempt.machine)
            task = machine.tasks.get(TaskKey(job, task_index)) if machine is not None else None
            if (
                task is not None
                and task.attempt == attempt.number
                and task.state == TaskState.RUNNING
                and task.running_since is not None
                and task.running_since <= began_before
            ):
                return True
        return False

    def _review(self, machine_id: str, mistaken: Collection[str], now: datetime) -> None:
        machine = self._machines.get(machine_id)
        if machine is None:
            self._quarantined.discard(machine_id)
            return
        counted = [job for job in self._history.jobs_failed_on(machine_id) if job not in mistaken]
        until = None
        if len(counted) >= self._error_limit:
            last = max(self._history.failed_at(job, machine_id) for job in counted)
            is_certain = any(self._history.of_job(job).has_succeeded for job in counted)
            until = last + (QUARANTINE_TIME if is_certain else UNCERTAIN_QUARANTINE_TIME)
            self._exclude(counted, machine_id, until + RETRY_BY_OTHERS, now)
        machine.lifecycle.quarantined_until = until
        self._log_change(machine, counted, now)

    def _exclude(self, jobs: list[str], machine_id: str, until: datetime, now: datetime) -> None:
        if now < until:
            for job in jobs:
                self._exclusions.exclude(job, machine_id, until)

    def _log_change(self, machine: Machine, counted: list[str], now: datetime) -> None:
        is_quarantined = machine.lifecycle.is_quarantined(now)
        if is_quarantined == (machine.id in self._quarantined):
            return
        partition = self._records.partition
        if is_quarantined:
            self._quarantined.add(machine.id)
            log.info(
                "machine-quarantined",
                partition=partition,
                machine=machine.id,
                failed_jobs=len(counted),
                jobs=",".join(sorted(counted)[:MAX_LOGGED_JOBS]),
            )
        else:
            self._quarantined.discard(machine.id)
            log.info(
                "machine-quarantine-ended",
                partition=partition,
                machine=machine.id,
                failed_jobs=len(counted),
            )
