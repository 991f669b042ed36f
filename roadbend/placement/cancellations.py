"""Cancelled jobs that the records may not show yet."""

from collections.abc import Collection, Iterable

from roadbend.store.record_view import RecordView

# Most jobs that are remembered, beside those that the records still name as live.
MAX_CANCELLATIONS = 16_384


class Cancellations:
    """Jobs that some controller told its user are cancelled, before the records say so here.

    Nothing of such a job may be started.
    """

    def __init__(self, view: RecordView) -> None:
        self._view = view
        self._jobs: dict[str, None] = {}
        # The ids of these jobs: a view that follows. No property, for it is asked at every turn.
        self.jobs: Collection[str] = self._jobs.keys()

    def add(self, jobs: Iterable[str]) -> bool:
        """Remember jobs that another controller named; return whether any of them is news.

        Once the records have ceased to name a job as live they say it all, so beyond the bound
        those that they don't name are dropped. One that still runs here is never forgotten,
        however many are cancelled in an outage.
        """
        news = [job for job in jobs if job not in self._jobs]
        self._jobs.update(dict.fromkeys(news))
        if len(self._jobs) > MAX_CANCELLATIONS and news:
            self._drop_recorded()
        return bool(news)

    def _drop_recorded(self) -> None:
        for job in [job for job in self._jobs if job not in self._view.jobs]:
            if len(self._jobs) <= MAX_CANCELLATIONS:
                return
            del self._jobs[job]
