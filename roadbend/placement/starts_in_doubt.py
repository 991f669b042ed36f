"""Starts that a machine of one partition may still carry out, by job.

A user may be told that a job is cancelled only when no start of it can be carried out any more. A
leader that knows of the cancellation sends no further start; here it keeps those that it has sent
and of which it does not know yet what became of them. docs/meetings.md, "When an order to start can
still be on its way", lists what settles a start.
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

# Added to a worker's timeout for answers, beside clock drift.
ANSWER_MARGIN = timedelta(milliseconds=100)
# How often starts are looked through for settled ones.
TIDY_INTERVAL = timedelta(seconds=1)


class AnsweredStart(NamedTuple):
    """A start that went out with the answer to a heartbeat."""

    # Of the heartbeat that was answered.
    position: HeartbeatPosition
    # From when on the worker certainly drops the answer.
    dropped_at: datetime

    def may_be_carried_out(self, machine: Machine, now: datetime) -> bool:
        """Whether the machine may still carry the start out.

        A worker sends its next heartbeat only once it has the answer to the last one, or has given
        it up.
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
        # Machines with attempts of which former leaders may have sent starts, and those that
        # restarted, until they show a token that refuses what was sent before.
        self._unconfirmed: set[str] = set(records.attempts_by_machine())
        # Those of them that restarted under this leadership.
        self._restarted: set[str] = set()
        # Jobs of which no start by a former leader can be on its way any more.
        self._settled_before: set[str] = set()
        self._tidied_at = clock.ORIGIN

    def inherit(self, revision: int, unsettled_jobs: Collection[str]) -> None:
        """Take over what the former leader reported before this leadership began.

        Its report says that every attempt recorded at the revision or before is terminated, or held
        by its machine, but for those of `unsettled_jobs`; it sends none of them anew. What is
        recorded and sent under this leadership is noted here as ever.
        """
        self._settled_before = {
            job
            for job, job_slice in self._records.job_slices().items()
            if job not in unsettled_jobs and job_slice.newest_mod_revision <= revision
        }

    def record_direct_start(self, machine: Machine, key: TaskKey, start: DirectStart) -> None:
        """Note a direct start before it is sent."""
        self._note(machine, key, start.attempt, start)

    def record_answer(
        self,
        machine: Machine,
        position: HeartbeatPosition,
        received_at: datetime,
        orders: Iterable[WorkerOrder],
    ) -> None:
        """Note the starts among the orders that answer a heartbeat, before they are sent."""
        starts = [order for order in orders if isinstance(order, StartTask)]
        if not starts:
            return
        dropped_at = received_at + WORKER_ANSWER_TIMEOUT * (1 + 2 * clock.DRIFT) + ANSWER_MARGIN
        start = AnsweredStart(position, dropped_at)
        for order in starts:
            self._note(machine, TaskKey(order.job, order.task_index), order.attempt, start)

    def _note(
        self, machine: Machine, key: TaskKey, number: int, start: AnsweredStart | DirectStart
    ) -> None:
        sent = _SentStart(key, Attempt(number, machine.id), machine, start)
        self._by_job.setdefault(key.job, []).append(sent)

    def mark_confirmed(self, machine: str) -> None:
        """Note that a machine has shown our token: it refuses what former leaders sent."""
        self._unconfirmed.discard(machine)
        self._restarted.discard(machine)

    def mark_restarted(self, machine: str) -> None:
        """Note that a machine has restarted: it knows no token until it shows ours again."""
        self._unconfirmed.add(machine)
        self._restarted.add(machine)

    def has_any(self, job: str, now: datetime) -> bool:
        """Whether a start of a job may still be carried out; it must not be started any more."""
        return self._has_sent(job, now) or self._has_unconfirmed(job, now)

    def jobs(self, now: datetime) -> set[str]:
        """Return the jobs of which starts that were sent may still be carried out."""
        return {job for job in list(self._by_job) if self._has_sent(job, now)}

    def tidy(self, now: datetime) -> None:
        """Drop settled starts, every now and then."""
        if now - self._tidied_at < TIDY_INTERVAL:
            return
        self._tidied_at = now
        for job in list(self._by_job):
            self._has_sent(job, now)

    def _has_sent(self, job: str, now: datetime) -> bool:
        left = [sent for sent in self._by_job.get(job, ()) if self._is_in_doubt(sent, now)]
        if left:
            self._by_job[job] = left
        else:
            self._by_job.pop(job, None)
        return bool(left)

    def _is_in_doubt(self, sent: _SentStart, now: datetime) -> bool:
        machine = sent.machine
        if self._machines.get(machine.id) is not machine:
            # Deleted.
            return False
        if self._records.recorded_attempt(sent.key) != sent.attempt:
            # Recorded as terminated.
            return False
        return sent.start.may_be_carried_out(machine, now) and not self._lease_expired(
            machine.id, now
        )

    def _has_unconfirmed(self, job: str, now: datetime) -> bool:
        """Whether a job has attempts on machines that may carry out what a former leader sent.

        Looks through the attempts of the job or those on such machines, whichever are fewer.
        """
        job_slice = self._records.job_slices().get(job)
        unconfirmed = self._restarted if job in self._settled_before else self._unconfirmed
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
        terms = LeaseTimes.of(self._records.leadership, context.settings, context.operator)
        return is_lease_expired(self._machines.get(machine), terms, now)
