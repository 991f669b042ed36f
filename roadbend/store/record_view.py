"""A controller's view of the live records.

Each record is applied by its mod revision, from whichever side it comes first: our own
transactions' answers or the state store's change log. A read that began after a question came (see
`record_reader`) makes the view fresh enough to answer that question, whoever wrote last.
"""

import threading
from collections.abc import Callable, Collection, Iterable
from typing import Any

from roadbend.log import Log
from roadbend.store import keys
from roadbend.store.attempt_index import MachineAttempts
from roadbend.store.job_slice import JobSlice
from roadbend.store.live_records import LiveRecords
from roadbend.store.messages import Change, ChangeEvent, Put, StoredRecord
from roadbend.store.mod_revisions import ModRevisions

__all__ = ["JobSlice", "MachineAttempts", "RecordView"]

log = Log("store")

# What reading a record that some other version, or a fault, wrote may raise.
UNREADABLE = (KeyError, TypeError, ValueError, IndexError, AttributeError)


class RecordView(LiveRecords):
    """The live records, kept up to date by the changes that are fed to it, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.lock = threading.RLock()
        # The revision up to which the change log has been read.
        self.revision = 0
        # Grows with every change of the view.
        self.version = 0
        # Whether everything has been read once.
        self.loaded = False
        # Called with the key of each record that changed, outside the lock.
        self.watchers: list[Callable[[str], None]] = []
        self._mod_revisions = ModRevisions()

    def mod_revision(self, key: str) -> int:
        """Return a live key's mod revision, 0 if there is no such key."""
        return self._mod_revisions.of(key)

    def put(self, key: str, value: Any, mod_revision: int) -> None:
        """Take in a record as written at a revision, unless a newer change of it is known."""
        with self.lock:
            if not self._mod_revisions.is_news(key, mod_revision):
                return
            try:
                self._store(key, value, mod_revision)
            except UNREADABLE as error:
                # A record that can't be read must not stop the rest from being served.
                log.error("record-unreadable", key=key, error=repr(error)[:120])
                return
            self._mod_revisions.put(key, mod_revision)
            self.version += 1
        self._tell(key)

    def drop(self, key: str, mod_revision: int) -> None:
        """Take in that a record was deleted at a revision, unless a newer change is known."""
        with self.lock:
            if not self._mod_revisions.is_news(key, mod_revision):
                return
            if not self._mod_revisions.delete(key, mod_revision):
                return
            self._remove(key)
            self.version += 1
        self._tell(key)

    def apply_transaction(self, changes: Iterable[Change], revision: int) -> None:
        """Take in the changes of our own transaction, which was carried out at a revision.

        An answer that comes after the log has passed that revision is old news: applying it could
        bring back a record that was deleted since.
        """
        if revision <= self.revision:
            return
        for change in changes:
            if not change.key.startswith(keys.LIVE):
                continue
            if isinstance(change, Put):
                self.put(change.key, change.value, revision)
            else:
                self.drop(change.key, revision)

    def events(self, events: Iterable[ChangeEvent], revision: int) -> None:
        """Take in a piece of the change log that ends at a revision."""
        for event in events:
            if isinstance(event, StoredRecord):
                self.put(*event)
            else:
                self.drop(*event)
        with self.lock:
            self.revision = max(self.revision, revision)
            self._mod_revisions.forget_deleted(self.revision)

    def load(self, records: Collection[StoredRecord], revision: int) -> None:
        """Take in everything read anew, as listed at a revision.

        What is not listed, and not newer than the listing, has been deleted.
        """
        for record in records:
            self.put(record.key, record.value, record.mod_revision)
        listed = {record.key for record in records}
        for key in self._mod_revisions.unlisted(listed, revision):
            self.drop(key, revision)
        with self.lock:
            self.revision = revision
            self.loaded = True

    def _tell(self, key: str) -> None:
        for watcher in self.watchers:
            watcher(key)
