"""How fresh the record view is, which shows whether a read barrier can be passed in time."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.intake.refusals import RetryLaterError, RetryLaterReason
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

# The records are read several times a second; no read for this long shows an outage.
MAX_READ_AGE = timedelta(seconds=1.6)


class Freshness:
    """Checks whether the state store was reached recently."""

    def __init__(self, view: RecordView, reader: RecordReader) -> None:
        self._view = view
        self._reader = reader

    def is_fresh(self, now: datetime) -> bool:
        """Return whether the records have been loaded and were read recently."""
        contact = self._reader.last_read_at
        return self._view.loaded and contact is not None and now - contact < MAX_READ_AGE

    def require(self) -> None:
        """Raise `RetryLaterError` unless the records are fresh.

        This avoids waiting for a read or a write that can't succeed.
        """
        if not self.is_fresh(clock.now()):
            raise RetryLaterError(RetryLaterReason.NO_STATE_STORE)
