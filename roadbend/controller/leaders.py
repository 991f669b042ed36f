"""Begin and end the work on partitions with their leaderships, and wake it up on changes."""

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
    """The partitions that this controller leads, each with the object that does the work."""

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
        # Gives what is asked before a partition's records are acted on, where recovery is on.
        self.recovery_of: Callable[[PartitionLeader], PartitionRecovery] = _no_recovery
        # Returns what the former leader of a partition, under a term, reported of its starts.
        self.predecessor_report: Callable[[str, int], SettledStarts | None] = _no_report
        self._nursery: trio.Nursery | None = None

    def start_in(self, nursery: trio.Nursery) -> None:
        """Run the work on partitions in a nursery from now on."""
        self._nursery = nursery

    def on_leadership(self, partition: str) -> None:
        """Begin or end the work on a partition whose leadership has changed."""
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
        """Take over what the former leader reported of its starts, if it led just before us.

        Revisions of records that were lost mean nothing.
        """
        partition, term = leader.partition, leader.leadership.term
        if self._context.election.observer.has_lost_term(partition):
            return
        report = self.predecessor_report(partition, term - 1)
        if report is not None:
            log.info("start-report-inherited", partition=partition, term=report.term)
            leader.starts_in_doubt.inherit(report.revision, report.unsettled_jobs)

    def mark_cancelled(self, jobs: Iterable[str]) -> None:
        """Note that users are, or are about to be, told that these jobs are cancelled.

        A worker's heartbeat with nothing new is answered without a step of the leader: what is to
        be stopped must be marked before the next one comes.
        """
        if not self._context.cancellations.add(jobs):
            return
        now = clock.now()
        for leader in self.leaders.values():
            with leader.lock:
                leader.stops.order_all_cancelled(now)

    def on_attempt(self, partition: str, job: str, task_index: int, attempt: Attempt) -> None:
        """Tell the partition's leader of an attempt that the records name newly."""
        leader = self.leaders.get(partition)
        if leader is not None:
            leader.unheld.mark_recorded(TaskKey(job, task_index), attempt)

    def on_record(self, key: str) -> None:
        """Tell those of a changed record whom it concerns."""
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
