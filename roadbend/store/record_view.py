"""A controller's view of the live records.

Changes are ordered by mod revision and arrive from two sources, whichever is first: the answers to
our own transactions and the state store's change log. A read that began after a query arrived (see
`record_reader`) makes the view fresh enough to answer that query, whichever controller wrote last.
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

# What parsing a record may raise that was written by another version or by a fault.
PARSE_ERRORS = (KeyError, TypeError, ValueError, IndexError, AttributeError)


class RecordView(LiveRecords):
    """The live records, kept up to date by changes that may arrive in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.lock = threading.RLock()
        # The revision up to which the change log has been read.
        self.revision = 0
        # Grows with every change of the view.
        self.version = 0
        # Whether all records have been read at least once.
        self.loaded = False
        # Called with the key of each changed record, outside the lock.
        self.watchers: list[Callable[[str], None]] = []
        self._mod_revisions = ModRevisions()

    def mod_revision(self, key: str) -> int:
        """Return a live key's mod revision, 0 if there is no such key."""
        return self._mod_revisions.of(key)

    def put(self, key: str, value: Any, mod_revision: int) -> None:
        """Apply the write of a record at a revision, unless a newer change of it is known."""
        with self.lock:
            if not self._mod_revisions.is_newer(key, mod_revision):
                return
            try:
                self._store(key, value, mod_revision)
            except PARSE_ERRORS as error:
                # A malformed record must not keep the others from being used.
                log.error("record-unreadable", key=key, error=repr(error)[:120])
                return
            self._mod_revisions.put(key, mod_revision)
            self.version += 1
        self._notify(key)

    def drop(self, key: str, mod_revision: int) -> None:
        """Apply the deletion of a record at a revision, unless a newer change of it is known."""
        with self.lock:
            if not self._mod_revisions.is_newer(key, mod_revision):
                return
            if not self._mod_revisions.delete(key, mod_revision):
                return
            self._remove(key)
            self.version += 1
        self._notify(key)

    def apply_transaction(self, changes: Iterable[Change], revision: int) -> None:
        """Apply the changes of our own transaction, which was committed at a revision.

        Nothing is applied if the change log has already passed that revision: that could restore a
        record that has been deleted since.
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

    def apply_events(self, events: Iterable[ChangeEvent], revision: int) -> None:
        """Apply a section of the change log that ends at a revision."""
        for event in events:
            if isinstance(event, StoredRecord):
                self.put(*event)
            else:
                self.drop(*event)
        with self.lock:
            self.revision = max(self.revision, revision)
            self._mod_revisions.forget_deleted(self.revision)

    def load(self, records: Collection[StoredRecord], revision: int) -> None:
        """Apply a full listing made at a revision.

        A record that is not listed, and is not newer than the listing, has been deleted.
        """
        for record in records:
            self.put(record.key, record.value, record.mod_revision)
        listed_keys = {record.key for record in records}
        for key in self._mod_revisions.missing_from(listed_keys, revision):
            self.drop(key, revision)
        with self.lock:
            self.revision = revision
            self.loaded = True

    def _notify(self, key: str) -> None:
        for watcher in self.watchers:
            watcher(key)
