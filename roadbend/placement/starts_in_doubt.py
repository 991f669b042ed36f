"""Starts in doubt: starts that a machine of one partition may still carry out, by job.

A cancellation may be confirmed to the user only when no start of the job can be carried out any
more. A leader that knows of the cancellation sends no further starts; this module tracks those that
were sent and are not settled yet. docs/meetings.md, "When an order to start can still be on its
way", lists what settles a start.
"""

from collections.abc import Collection, Iterable, Mapping
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.fleet.liveness_policy import LeaseTimes, is_lease_expired
from roadbend.fleet.machines import DirectStart, Machine
from roadbend.fleet.messages import HeartbeatPosition, StartTask, WorkerOrder
from roadbend.fleet.terminations import TaskKey
from roadbend.fleet.worker_timing import WORKER_ANSWER_TIMEOUT
from roadbend.placement.partition_records import PartitionRecords
from roadbend.store.records import Attempt

# Margin added to a worker's timeout for answers, besides clock drift.
ANSWER_MARGIN = timedelta(milliseconds=100)
# How often settled starts are dropped.
CLEANUP_INTERVAL = timedelta(seconds=1)


class AnsweredStart(NamedTuple):
    """A start that was sent with the answer to a heartbeat."""

    # The position of the answered heartbeat.
    position: HeartbeatPosition
    # The time from which on the worker certainly drops the answer.
    dropped_at: datetime

    def may_be_carried_out(self, machine: Machine, now: datetime) -> bool:
        """Return whether the machine may still carry out the start.

        A worker sends its next heartbeat only after it has received the answer to the last one or
        has given up waiting for it.
        """
        return now < self.dropped_at and machine.contact.position == self.position


class _SentStart(NamedTuple):
    """A start that was sent to a machine."""

    key: TaskKey
    attempt: Attempt
    machine: Machine
    start: AnsweredStart | DirectStart


class StartsInDoubt:
    """The starts in doubt of one partition, under one leadership."""

    def __init__(self, records: PartitionRecords, machines: Mapping[str, Machine]) -> None:
        self._records, self._machines = records, machines
        self._by_job: dict[str, list[_SentStart]] = {}
        # Machines that have not confirmed our token yet: those with attempts whose starts former
        # leaders may have sent, and restarted ones. With our token they refuse earlier starts.
        self._unconfirmed: set[str] = set(records.attempts_by_machine())
        # Those of them that have restarted under this leadership.
        self._restarted: set[str] = set()
        # Jobs without starts in doubt by former leaders, as the last one reported.
        self._inherited_settled_jobs: set[str] = set()
        self._cleaned_at = clock.ORIGIN

    def inherit(self, revision: int, unsettled_jobs: Collection[str]) -> None:
        """Adopt the former leader's start report from before this leadership began.

        According to the report, every attempt recorded at the revision or before is terminated or
        held by its machine, except those of `unsettled_jobs`, and the former leader does not send
        their starts again. Starts sent under this leadership are tracked as usual.
        """
        self._inherited_settled_jobs = {
            job
            for job, job_slice in self._records.job_slices().items()
            if job not in unsettled_jobs and job_slice.newest_mod_revision <= revision
        }

    def record_direct_start(self, machine: Machine, key: TaskKey, start: DirectStart) -> None:
        """Record a direct start before it is sent."""
        self._record(machine, key, start.attempt, start)

    def record_answer(
        self,
        machine: Machine,
        position: HeartbeatPosition,
        received_at: datetime,
        orders: Iterable[WorkerOrder],
    ) -> None:
        """Record the starts in the answer to a heartbeat before the answer is sent."""
        starts = [order for order in orders if isinstance(order, StartTask)]
        if not starts:
            return
        dropped_at = received_at + WORKER_ANSWER_TIMEOUT * (1 + 2 * clock.DRIFT) + ANSWER_MARGIN
        start = AnsweredStart(position, dropped_at)
        for order in starts:
            self._record(machine, TaskKey(order.job, order.task_index), order.attempt, start)

    def _record(
        self, machine: Machine, key: TaskKey, number: int, start: AnsweredStart | DirectStart
    ) -> None:
        sent = _SentStart(key, Attempt(number, machine.id), machine, start)
        self._by_job.setdefault(key.job, []).append(sent)

    def mark_confirmed(self, machine: str) -> None:
        """Record that a machine confirmed our token: it refuses what former leaders sent."""
        self._unconfirmed.discard(machine)
        self._restarted.discard(machine)

    def mark_restarted(self, machine: str) -> None:
        """Record that a machine has restarted: it has no token until it confirms ours again."""
        self._unconfirmed.add(machine)
        self._restarted.add(machine)

    def has_any(self, job: str, now: datetime) -> bool:
        """Return whether a start of a job is in doubt; requires that no more starts are sent."""
        return self._prune_and_check_sent(job, now) or self._has_unconfirmed(job, now)

    def jobs(self, now: datetime) -> set[str]:
        """Return the jobs with starts in doubt that were sent under this leadership."""
        return {job for job in list(self._by_job) if self._prune_and_check_sent(job, now)}

    def drop_obsolete(self, now: datetime) -> None:
        """Drop settled starts, once per `CLEANUP_INTERVAL`."""
        if now - self._cleaned_at < CLEANUP_INTERVAL:
            return
        self._cleaned_at = now
        for job in list(self._by_job):
            self._prune_and_check_sent(job, now)

    def _prune_and_check_sent(self, job: str, now: datetime) -> bool:
        """Drop a job's settled starts; return whether starts sent by this leader are in doubt."""
        in_doubt = [sent for sent in self._by_job.get(job, ()) if self._is_in_doubt(sent, now)]
        if in_doubt:
            self._by_job[job] = in_doubt
        else:
            self._by_job.pop(job, None)
        return bool(in_doubt)

    def _is_in_doubt(self, sent: _SentStart, now: datetime) -> bool:
        machine = sent.machine
        if self._machines.get(machine.id) is not machine:
            # The machine was deleted.
            return False
        if self._records.recorded_attempt(sent.key) != sent.attempt:
            # The attempt is recorded as terminated.
            return False
        return sent.start.may_be_carried_out(machine, now) and not self._lease_expired(
            machine.id, now
        )

    def _has_unconfirmed(self, job: str, now: datetime) -> bool:
        """Return whether a job has attempts on machines that may carry out earlier leaders' starts.

        Iterates over the attempts of the job or over those machines, whichever are fewer.
        """
        job_slice = self._records.job_slices().get(job)
        unconfirmed = self._restarted if job in self._inherited_settled_jobs else self._unconfirmed
        if not unconfirmed or job_slice is None:
            return False
        if len(job_slice.attempts) <= len(unconfirmed):
            machines = {attempt.machine for attempt in job_slice.attempts.values()}
            machines &= unconfirmed
        else:
            recorded = self._records.attempts_by_machine()
            machines = {
                name for name in unconfirmed if any(key[0] == job for key in recorded.get(name, ()))
            }
        return any(not self._lease_expired(name, now) for name in machines)

    def _lease_expired(self, machine: str, now: datetime) -> bool:
        context = self._records.context
        times = LeaseTimes.of(self._records.leadership, context.settings, context.operator)
        return is_lease_expired(self._machines.get(machine), times, now)
