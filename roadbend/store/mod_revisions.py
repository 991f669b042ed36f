"""Mod revisions of live and of recently deleted records, to tell new changes from known ones."""

from collections.abc import Collection


class ModRevisions:
    """The revision of each key's last change.

    Changes arrive in any order from two sources: the answers to our own transactions and the change
    log. A deleted key's revision is kept until the log has passed it, so that an older write that
    arrives late does not restore the record.
    """

    def __init__(self) -> None:
        self._live: dict[str, int] = {}
        self._deleted: dict[str, int] = {}

    def of(self, key: str) -> int:
        """Return a live key's mod revision, 0 if there is no such key."""
        return self._live.get(key, 0)

    def is_newer(self, key: str, mod_revision: int) -> bool:
        """Return whether a change of a key is newer than all known changes of it."""
        if mod_revision <= self._live.get(key, 0):
            return False
        # Usually nothing was deleted recently.
        return not self._deleted or mod_revision > self._deleted.get(key, 0)

    def put(self, key: str, mod_revision: int) -> None:
        """Record that a key was written."""
        self._live[key] = mod_revision
        if self._deleted:
            self._deleted.pop(key, None)

    def delete(self, key: str, mod_revision: int) -> bool:
        """Record that a key was deleted; return whether it was known to be live."""
        self._deleted[key] = mod_revision
        return self._live.pop(key, None) is not None

    def missing_from(self, listed: Collection[str], revision: int) -> list[str]:
        """Return the live keys that are missing from a listing made at a revision."""
        return [key for key, at in self._live.items() if key not in listed and at <= revision]

    def forget_deleted(self, revision: int) -> None:
        """Drop the deletions up to a revision that the change log has passed."""
        if self._deleted:
            self._deleted = {key: at for key, at in self._deleted.items() if at > revision}
