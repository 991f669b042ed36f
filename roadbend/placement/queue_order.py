"""The order of the pending queue.

Priority, then starved jobs, then work within its team's guarantee, then what can still be in time,
then deadline, then age. Pure: everything comes as an argument.
"""

from dataclasses import dataclass
from datetime import datetime

from roadbend.store import ranges
from roadbend.store.ranges import Ranges
from roadbend.store.records import Job


@dataclass(frozen=True, slots=True)
class PendingTasks:
    """Tasks of one job that wait together: they are alike, and stand in the queue side by side."""

    job: Job
    tasks: Ranges
    guaranteed: bool
    # A job that has waited for long and has started nothing goes before its peers with one task.
    starved: bool = False

    @property
    def count(self) -> int:
        """How many tasks these are."""
        return ranges.size(self.tasks)


# Where tasks stand in the queue; smaller positions start first. The parts: negative priority, not
# overdue, not guaranteed, lateness, without deadline, deadline, instant of submission, job.
# Lateness comes before the deadline: when there is more work than all machines can do, the order of
# deadlines alone would make nearly everything a little late. A plain tuple, for it is built and
# compared for every item of the queue in each step, which takes over twice as long with a named
# one.
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

    The deadlines are its due time multiplied by each of the factors, `now` is the time of day.
    Nothing is asked but what the job's owner said: every partition that holds a shard of the job
    judges alike at one moment.
    """
    if job.spec.due is None:
        return 0
    end = now + job.spec.expected_duration - job.submitted_at
    return sum(1 for factor in deadline_factors if end > job.spec.due * factor)
