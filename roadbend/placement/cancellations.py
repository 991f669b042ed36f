"""Cancelled jobs whose cancellation this controller's records may not show yet."""

from collections.abc import Collection, Iterable

from roadbend.store.record_view import RecordView

# Bound on the jobs that are kept; those that the records still name as live may exceed it.
MAX_CANCELLATIONS = 16_384


class Cancellations:
    """Jobs whose cancellation some controller has confirmed, before the records show it here.

    No task of such a job may be started.
    """

    def __init__(self, view: RecordView) -> None:
        self._view = view
        self._jobs: dict[str, None] = {}
        # The ids of these jobs, as a live view. Not a property, as it is read very often.
        self.jobs: Collection[str] = self._jobs.keys()

    def add(self, jobs: Iterable[str]) -> bool:
        """Record jobs that another controller reported; return whether any of them is new.

        A job that the records no longer name as live can't be started anyway, so such jobs are
        dropped beyond the bound. One that is still live in the records is never dropped, however
        many are cancelled during an outage.
        """
        new = [job for job in jobs if job not in self._jobs]
        self._jobs.update(dict.fromkeys(new))
        if len(self._jobs) > MAX_CANCELLATIONS and new:
            self._drop_recorded()
        return bool(new)

    def _drop_recorded(self) -> None:
        for job in [job for job in self._jobs if job not in self._view.jobs]:
            if len(self._jobs) <= MAX_CANCELLATIONS:
                return
            del self._jobs[job]
