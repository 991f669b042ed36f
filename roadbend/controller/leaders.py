"""Start and stop the management of partitions, and forward record changes to their leaders."""

from collections.abc import Callable, Iterable

import trio

from roadbend import clock
from roadbend.autoscaler.service import Autoscaler
from roadbend.fleet.service import Fleet
from roadbend.fleet.terminations import TaskKey
from roadbend.log import Log
from roadbend.peers.settled_starts import SettledStarts
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.recovery_hooks import PartitionRecovery
from roadbend.store.records import Attempt

log = Log("controller")

TERM_PREFIX, JOB_PREFIX, TEAM_PREFIX = "r/term/", "r/job/", "r/team/"


class PartitionLeaders:
    """The partitions that this controller leads, each with the object that manages it."""

    def __init__(
        self,
        context: ControllerContext,
        fleet: Fleet,
        autoscaler: Autoscaler,
        leaders: dict[str, PartitionLeader],
    ) -> None:
        self.leaders = leaders
        self._context = context
        self._fleet = fleet
        self._autoscaler = autoscaler
        # Creates the recovery hooks that a leader consults before it acts on its partition's
        # records; replaced if recovery is enabled.
        self.recovery_of: Callable[[PartitionLeader], PartitionRecovery] = _no_recovery
        # Returns the report of settled starts by the leader of a partition under a given term.
        self.predecessor_report: Callable[[str, int], SettledStarts | None] = _no_report
        self._nursery: trio.Nursery | None = None

    def start_in(self, nursery: trio.Nursery) -> None:
        """Run the tasks of partitions in a nursery from now on."""
        self._nursery = nursery

    def on_leadership(self, partition: str) -> None:
        """Start or stop managing a partition whose leadership has changed."""
        leadership = self._context.election.leadership(partition)
        if leadership is None:
            self.leaders.pop(partition, None)
            return
        leader = PartitionLeader(self._context, leadership, self._fleet.commands.order_now)
        leader.use_recovery(self.recovery_of(leader))
        self._inherit_starts(leader)
        self.leaders[partition] = leader
        if self._nursery is not None:
            self._nursery.start_soon(leader.run)
            self._nursery.start_soon(self._autoscaler.run, leader)

    def _inherit_starts(self, leader: PartitionLeader) -> None:
        """Inherit the report of settled starts of the leader under the term just before ours.

        Not if records were lost: the revision in the report is meaningless then.
        """
        partition, term = leader.partition, leader.leadership.term
        if self._context.election.observer.has_lost_term(partition):
            return
        report = self.predecessor_report(partition, term - 1)
        if report is not None:
            log.info("start-report-inherited", partition=partition, term=report.term)
            leader.starts_in_doubt.inherit(report.revision, report.unsettled_jobs)

    def mark_cancelled(self, jobs: Iterable[str]) -> None:
        """Record that the cancellation of these jobs is confirmed, or about to be, to users.

        A worker's heartbeat that reports no change is answered without a step of the leader, so the
        stop orders must be in place before the next heartbeat arrives.
        """
        if not self._context.cancellations.add(jobs):
            return
        now = clock.now()
        for leader in self.leaders.values():
            with leader.lock:
                leader.stops.order_all_cancelled(now)

    def on_attempt(self, partition: str, job: str, task_index: int, attempt: Attempt) -> None:
        """Notify the partition's leader of a newly recorded attempt."""
        leader = self.leaders.get(partition)
        if leader is not None:
            leader.unheld.mark_recorded(TaskKey(job, task_index), attempt)

    def on_record(self, key: str) -> None:
        """Notify the election or the leaders affected by a changed record."""
        if key.startswith(TERM_PREFIX):
            self._context.election.on_record(key)
        elif key.startswith(JOB_PREFIX):
            self._on_job(key.removeprefix(JOB_PREFIX))
        elif key.startswith(TEAM_PREFIX):
            for leader in self.leaders.values():
                if leader.queue.not_placed:
                    leader.steps.request()

    def _on_job(self, job: str) -> None:
        for partition, leader in self.leaders.items():
            assigned = self._context.view.assigned_jobs.get(partition, ())
            if job in assigned or job in leader.records.job_slices():
                leader.steps.request()


def _no_report(_partition: str, _term: int) -> SettledStarts | None:
    return None


def _no_recovery(_leader: PartitionLeader) -> PartitionRecovery:
    return PartitionRecovery()
