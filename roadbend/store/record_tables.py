"""Tables of the records of one kind, with a common interface for whoever reads the change log."""

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar
from urllib.parse import unquote

from roadbend.store.job_index import JobIndex
from roadbend.store.records import Job, QuotaRecord, SliceShard

Record = TypeVar("Record")
# Records that are written again unchanged to settle an in-doubt transaction.
RewritableRecord = Job | SliceShard | QuotaRecord


class RecordCollection(Protocol):
    """All records of one kind. A record's name is what its key has after the kind."""

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Take in a record as read from the state store.

        Raises KeyError, TypeError, ValueError, IndexError or AttributeError where it can't be read;
        nothing has changed then.
        """

    def remove(self, name: str) -> None:
        """Take in that a record was deleted."""

    def find(self, name: str) -> RewritableRecord | None:
        """Return a record that may be written again unchanged; None for other kinds."""


class RecordTable(Generic[Record]):
    """Records without an index, by the name in their key."""

    def __init__(self, read: Callable[[str, Any, int], Record]) -> None:
        """Make an empty table.

        `read` makes a record of its name, its value in the state store, and its mod revision.
        """
        self.records: dict[str, Record] = {}
        self._read = read

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Take in a record as read from the state store."""
        name = unquote(name)
        self.records[name] = self._read(name, value, mod_revision)

    def remove(self, name: str) -> None:
        """Take in that a record was deleted."""
        self.records.pop(unquote(name), None)

    def find(self, name: str) -> RewritableRecord | None:
        """Return None: records of these kinds are never written again unchanged."""
        return None


class QuotaTable(RecordTable[QuotaRecord]):
    """The quota records by team."""

    def __init__(self) -> None:
        super().__init__(QuotaRecord.from_value)

    def find(self, name: str) -> QuotaRecord | None:
        """Return a team's quota record."""
        return self.records.get(unquote(name))


class GangMarks:
    """The records that say which jobs are gangs. They are kept with the jobs."""

    def __init__(self, jobs: JobIndex) -> None:
        self._jobs = jobs

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Take in that a job is a gang; the record's value says nothing more."""
        self._jobs.add_gang(name)

    def remove(self, name: str) -> None:
        """Take in that the record was deleted."""
        self._jobs.remove_gang(name)

    def find(self, name: str) -> None:
        """Return None: these records never change."""


class CatalogRecord:
    """The machine types as last seen by any controller. The record is never deleted."""

    def __init__(self) -> None:
        self.value: Any = None
        self.mod_revision = 0

    def store(self, name: str, value: Any, mod_revision: int) -> None:
        """Take in the record; it is read by those who need the machine types."""
        self.value, self.mod_revision = value, mod_revision

    def remove(self, name: str) -> None:
        """Leave the record as it is: what was last seen is still of use."""

    def find(self, name: str) -> None:
        """Return None: the record is written only when the machine types change."""
