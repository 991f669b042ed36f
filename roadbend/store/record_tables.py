"""Tables of the records of one kind, with a common interface for applying changes."""

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar
from urllib.parse import unquote

from roadbend.store.job_index import JobIndex
from roadbend.store.records import Job, QuotaRecord, SliceShard

Record = TypeVar("Record")
# Records that are rewritten unchanged to settle an in-doubt transaction.
RewritableRecord = Job | SliceShard | QuotaRecord


class RecordCollection(Protocol):
    """All records of one kind. A record's name is the part of its key after the kind."""

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Add or replace a record, given its value in the state store.

        Raises KeyError, TypeError, ValueError, IndexError or AttributeError, without any change,
        if the value is malformed.
        """

    def remove(self, name: str) -> None:
        """Remove a deleted record."""

    def find(self, name: str) -> RewritableRecord | None:
        """Return a record that may be rewritten unchanged; None for other kinds."""


class RecordTable(Generic[Record]):
    """Records without further indexes, by the name in their key."""

    def __init__(self, read: Callable[[str, Any, int], Record]) -> None:
        """Create an empty table.

        `read` parses a record, given its name, its value in the state store, and its mod revision.
        """
        self.records: dict[str, Record] = {}
        self._read = read

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Add or replace a record, given its value in the state store."""
        name = unquote(name)
        self.records[name] = self._read(name, value, mod_revision)

    def remove(self, name: str) -> None:
        """Remove a deleted record."""
        self.records.pop(unquote(name), None)

    def find(self, name: str) -> RewritableRecord | None:
        """Return None: records of these kinds are never rewritten unchanged."""
        return None


class QuotaTable(RecordTable[QuotaRecord]):
    """The quota records by team."""

    def __init__(self) -> None:
        super().__init__(QuotaRecord.from_value)

    def find(self, name: str) -> QuotaRecord | None:
        """Return a team's quota record."""
        return self.records.get(unquote(name))


class GangTable:
    """The records that mark jobs as gangs. They are stored in the job index."""

    def __init__(self, jobs: JobIndex) -> None:
        self._jobs = jobs

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Mark a job as a gang; the record's value is not used."""
        self._jobs.add_gang(name)

    def remove(self, name: str) -> None:
        """Remove the mark after the record was deleted."""
        self._jobs.remove_gang(name)

    def find(self, name: str) -> None:
        """Return None: these records never change."""


class CatalogRecord:
    """The machine types as last seen by any controller. The record is never deleted."""

    def __init__(self) -> None:
        self.value: Any = None
        self.mod_revision = 0

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Store the value unparsed; the users of the machine types parse it."""
        self.value, self.mod_revision = value, mod_revision

    def remove(self, name: str) -> None:
        """Keep the last value: it is still useful."""

    def find(self, name: str) -> None:
        """Return None: the record is written only when the machine types change."""
