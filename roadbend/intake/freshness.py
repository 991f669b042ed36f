"""How fresh the record view is: whether a read barrier can be passed in time."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.intake.refusals import NotNowError, NotNowReason
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

# The records are read several times a second; so long without a read is trouble.
MAX_READ_AGE = timedelta(seconds=1.6)


class Freshness:
    """Tells whether the state store was reached lately."""

    def __init__(self, view: RecordView, reader: RecordReader) -> None:
        self._view = view
        self._reader = reader

    def is_fresh(self, now: datetime) -> bool:
        """Return whether the records have been loaded, and were last read a short while ago."""
        contact = self._reader.contact
        return self._view.loaded and contact is not None and now - contact < MAX_READ_AGE

    def require(self) -> None:
        """Raise `NotNowError` unless the records are fresh.

        So nobody waits for a read or a write that can't come.
        """
        if not self.is_fresh(clock.now()):
            raise NotNowError(NotNowReason.NO_STATE_STORE)
