"""The order of the pending queue.

Tasks are ordered by priority; then starved jobs come first, then work within its team's guarantee,
then jobs that can still meet their deadlines, then earlier deadlines, then older jobs. Pure
functions: everything is passed as an argument.
"""

from dataclasses import dataclass
from datetime import datetime

from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Job


@dataclass(frozen=True, slots=True)
class PendingTasks:
    """Pending tasks of one job, which need the same resources and are adjacent in the queue."""

    job: Job
    tasks: Ranges
    guaranteed: bool
    # Whether these go ahead of other work of the same priority: the first task of a job that has
    # waited long and started nothing, or all tasks of such a gang.
    starved: bool = False

    @property
    def count(self) -> int:
        """The number of these tasks."""
        return ranges.size(self.tasks)


# The position of tasks in the queue; smaller positions start first. The elements: negative
# priority, not starved, not guaranteed, lateness, without deadline, deadline, time of submission,
# job. Lateness comes before the deadline: when there is more work than all machines can do, the
# order of deadlines alone would make nearly every job a little late. A plain tuple, since one is
# built and compared for every item of the queue in each step, which takes over twice as long with a
# named tuple.
QueuePosition = tuple[int, bool, bool, int, bool, datetime, datetime, str]


def rank(item: PendingTasks, lateness_of_job: int = 0) -> QueuePosition:
    """Return the position of tasks in the queue, given the `lateness` of their job."""
    job = item.job
    deadline = job.deadline
    return (
        -job.spec.priority,
        not item.starved,
        not item.guaranteed,
        lateness_of_job,
        deadline is None,
        deadline or job.submitted_at,
        job.submitted_at,
        job.id,
    )


def lateness(job: Job, now: datetime, deadline_factors: tuple[float, ...]) -> int:
    """Return how many of a job's deadlines are out of reach.

    The deadlines are its due time multiplied by each of the factors; `now` is the wall-clock time.
    Only what the user stated is used, so that all partitions that hold a slice of the job come to
    the same result at the same time.
    """
    if job.spec.due is None:
        return 0
    end = now + job.spec.expected_duration - job.submitted_at
    return sum(1 for factor in deadline_factors if end > job.spec.due * factor)
