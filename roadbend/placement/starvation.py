"""Jobs that starve, so that aging can let them go first."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.placement.cancellations import Cancellations
from roadbend.settings import OperatorSettings
from roadbend.store.record_view import RecordView
from roadbend.store.records import Job

# How often the jobs are looked through.
REFRESH_INTERVAL = timedelta(seconds=1)
# After this many times the operator's `begin_within` a job no longer counts as starved: it may be
# one that no machine can be had for, and others must not wait behind it for ever.
GIVE_UP_AFTER = 3


class Starvation:
    """Finds jobs that have waited for too long and have started nothing.

    Whatever the order of work is, such a job comes next, and other partitions leave its team's
    quota to it.
    """

    def __init__(
        self, operator: OperatorSettings, view: RecordView, cancellations: Cancellations
    ) -> None:
        self._operator, self._view, self._cancellations = operator, view, cancellations
        self._jobs: dict[str, dict[str, int]] = {}
        self._refreshed_at = clock.ORIGIN

    def starved_jobs(self, now: datetime) -> dict[str, dict[str, int]]:
        """Return the starved jobs: the priority by job id, by team.

        `now` is of the steady clock; the answer may be as old as REFRESH_INTERVAL.
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
                limit <= wall - job.submitted_at < limit * GIVE_UP_AFTER
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
