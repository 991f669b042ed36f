"""Starved jobs: those that have waited long and started no task."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.placement.cancellations import Cancellations
from roadbend.settings import OperatorSettings
from roadbend.store.record_view import RecordView
from roadbend.store.records import Job

# How often the jobs are checked.
REFRESH_INTERVAL = timedelta(seconds=1)
# After this multiple of the operator's `begin_within` a job no longer counts as starved: there may
# be no machine to be had for it, and other jobs must not wait behind it forever.
GIVE_UP_FACTOR = 3


class Starvation:
    """Finds jobs that have waited too long and have started no task.

    Such a job goes first among those of its priority, and other partitions leave its team's quota
    to it.
    """

    def __init__(
        self, operator: OperatorSettings, view: RecordView, cancellations: Cancellations
    ) -> None:
        self._operator, self._view, self._cancellations = operator, view, cancellations
        self._jobs: dict[str, dict[str, int]] = {}
        self._refreshed_at = clock.ORIGIN

    def starved_jobs(self, now: datetime) -> dict[str, dict[str, int]]:
        """Return the starved jobs by team, as their priorities by job id.

        `now` is a monotonic instant; the result may be as old as REFRESH_INTERVAL.
        """
        if now - self._refreshed_at >= REFRESH_INTERVAL:
            self._refreshed_at = now
            self._refresh()
        return self._jobs

    def _refresh(self) -> None:
        wall, limit = clock.wall(), self._operator.begin_within
        cancelled = self._cancellations.jobs
        self._jobs = {}
        for job in self._view.jobs.values():
            if (
                limit <= wall - job.submitted_at < limit * GIVE_UP_FACTOR
                and job.id not in cancelled
                and not self._has_started(job)
            ):
                self._jobs.setdefault(job.spec.team, {})[job.id] = job.spec.priority

    def _has_started(self, job: Job) -> bool:
        """Return whether any partition's records name a start of the job."""
        slices = (job_slices.get(job.id) for job_slices in self._view.job_slices.values())
        return bool(job.done) or any(
            job_slice is not None and (job_slice.attempts or job_slice.done) for job_slice in slices
        )
