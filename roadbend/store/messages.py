"""The wire format of the state store's requests and answers (protocol: state service)."""

from collections.abc import Iterable, Iterator, Mapping
from datetime import timedelta
from typing import Any, NamedTuple
from urllib.parse import quote

from roadbend.store.errors import MalformedAnswerError, Operation

OK, BAD_REQUEST, NOT_FOUND, CONFLICT = 200, 400, 404, 409
GONE, TOO_MANY_REQUESTS, UNAVAILABLE = 410, 429, 503
NO_SUCH_LEASE = "no such lease"
# Entries per page of a listing.
PAGE_SIZE = 500

# Revisions and lease ids are below this (protocol).
INTEGER_LIMIT = 1 << 64

COMPARE_AND_SWAP_TARGET = "/multi"
LEASES_TARGET = "/leases"


class Condition(NamedTuple):
    """A key must have this mod revision; 0 means that the key must not exist."""

    key: str
    mod_revision: int

    def to_map(self) -> dict[str, Any]:
        """Return the wire format of the condition."""
        return {"path": self.key, "stamp": self.mod_revision}


class Put(NamedTuple):
    """Write a key; with a lease, the key is deleted when the lease expires."""

    key: str
    value: Any
    lease_id: int | None = None

    def to_map(self) -> dict[str, Any]:
        """Return the wire format of the change."""
        row = {"write": self.key, "value": self.value}
        if self.lease_id is not None:
            row["permit"] = self.lease_id
        return row


class Delete(NamedTuple):
    """Delete a key."""

    key: str

    def to_map(self) -> dict[str, Any]:
        """Return the wire format of the change."""
        return {"delete": self.key}


Change = Put | Delete


class CompareAndSwap(NamedTuple):
    """A transaction: changes that are applied atomically if all conditions hold."""

    conditions: tuple[Condition, ...]
    changes: tuple[Change, ...]

    @staticmethod
    def of(conditions: Mapping[str, int], changes: Iterable[Change]) -> "CompareAndSwap":
        """Create a transaction; the conditions are mod revisions by key."""
        return CompareAndSwap(
            tuple(Condition(key, mod_revision) for key, mod_revision in conditions.items()),
            tuple(changes),
        )

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys that the transaction changes."""
        return tuple(change.key for change in self.changes)

    def to_map(self) -> dict[str, Any]:
        """Return the wire format of the transaction."""
        return {
            "when": [condition.to_map() for condition in self.conditions],
            "apply": [change.to_map() for change in self.changes],
        }


class VersionedValue(NamedTuple):
    """The value of a key, and its mod revision."""

    value: Any
    mod_revision: int


class StoredRecord(NamedTuple):
    """A key with its value, from a listing or from a write in the change log."""

    key: str
    value: Any
    mod_revision: int


class DeletedRecord(NamedTuple):
    """A key whose deletion is in the change log."""

    key: str
    mod_revision: int


ChangeEvent = StoredRecord | DeletedRecord


class Listing(NamedTuple):
    """All records under a prefix, and the revision from which to follow their changes."""

    records: list[StoredRecord]
    revision: int


class ChangeLog(NamedTuple):
    """A section of the change log, and the revision up to which it goes."""

    events: Iterable[ChangeEvent]
    revision: int


def key_target(key: str) -> str:
    """Return the request target that reads one key."""
    return f"/keys/{quote(key, safe='/%')}"


def list_target(prefix: str, after: str) -> str:
    """Return the request target that lists a prefix, after a key unless that is empty."""
    target = f"/keys?starts={quote(prefix, safe='')}&most={PAGE_SIZE}"
    return f"{target}&after={quote(after, safe='')}" if after else target


def follow_target(prefix: str, after: int) -> str:
    """Return the request target that reads the changes after a revision, without long polling."""
    return f"/follow?starts={quote(prefix, safe='')}&after={after}&holdMs=0"


def renew_target(lease_id: int) -> str:
    """Return the request target that renews a lease."""
    return f"{LEASES_TARGET}/{lease_id}/renew"


def lease_request(ttl: timedelta) -> dict[str, int]:
    """Return the body of the request for a lease that expires unless renewed within `ttl`."""
    return {"ttlMs": round(ttl.total_seconds() * 1000)}


class Answer(NamedTuple):
    """The answer to a request, with the operation and its keys for use in errors."""

    operation: Operation
    keys: tuple[str, ...]
    status: int
    body: Any

    def malformed(self, reason: str) -> MalformedAnswerError:
        """Return the error for an answer that can't be parsed."""
        return MalformedAnswerError(f"malformed answer: {reason}", self.operation, self.keys)

    def fields(self) -> dict[str, Any]:
        """Return the body of a successful answer; raise `MalformedAnswerError` for others."""
        if self.status != OK or not isinstance(self.body, dict):
            raise self.malformed(str(self.status))
        return self.body

    def whole_number(self, value: Any) -> int:
        """Return a revision or a lease id; raise `MalformedAnswerError` if it is not one."""
        if isinstance(value, int) and not isinstance(value, bool) and 0 <= value < INTEGER_LIMIT:
            return value
        raise self.malformed("not a whole number")


def read_value(answer: Answer) -> VersionedValue | None:
    """Parse the answer for one key; None if there is no such key."""
    if answer.status == NOT_FOUND:
        return None
    fields = answer.fields()
    if "value" not in fields:
        raise answer.malformed(str(answer.status))
    return VersionedValue(fields["value"], answer.whole_number(fields.get("stamp")))


def read_revision(answer: Answer) -> int:
    """Parse the state store's revision in an answer."""
    return answer.whole_number(answer.fields().get("ledger"))


def read_page(answer: Answer) -> tuple[list[StoredRecord], bool]:
    """Parse one page of a listing; return its records, and whether there are more."""
    fields = answer.fields()
    entries, more = fields.get("entries"), bool(fields.get("more"))
    if not isinstance(entries, list):
        raise answer.malformed(str(answer.status))
    records = [_read_entry(answer, entry) for entry in entries]
    if more and not records:
        raise answer.malformed("an empty page announces more")
    return records, more


def _read_entry(answer: Answer, entry: Any) -> StoredRecord:
    if not isinstance(entry, dict) or not isinstance(entry.get("path"), str):
        raise answer.malformed("listing entry")
    return StoredRecord(entry["path"], entry.get("value"), answer.whole_number(entry.get("stamp")))


def read_change_log(answer: Answer) -> ChangeLog | None:
    """Parse a section of the change log; None if the log has been compacted past its start.

    The events are parsed lazily: those before a malformed event are still applied.
    """
    if answer.status == GONE:
        return None
    rows = answer.fields().get("log") or []
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise answer.malformed("change log")
    return ChangeLog(_read_events(answer, rows), read_revision(answer))


def _read_events(answer: Answer, rows: list[dict[str, Any]]) -> Iterator[ChangeEvent]:
    for row in rows:
        mod_revision = row.get("stamp")
        if not isinstance(mod_revision, int):
            raise answer.malformed("stamp")
        # Changes of unknown kinds are skipped.
        if isinstance(row.get("write"), str):
            yield StoredRecord(row["write"], row.get("value"), mod_revision)
        elif isinstance(row.get("delete"), str):
            yield DeletedRecord(row["delete"], mod_revision)


def read_failed_keys(answer: Answer) -> list[str]:
    """Parse the keys of the conditions of a transaction that do not hold."""
    return [str(key) for key in answer.body.get("failed") or []]


def is_lease_missing(answer: Answer) -> bool:
    """Return whether a transaction was refused because a lease in it has expired."""
    return (
        answer.status == BAD_REQUEST
        and isinstance(answer.body, dict)
        and answer.body.get("error") == NO_SUCH_LEASE
    )


def read_lease(answer: Answer) -> int:
    """Parse the id of a new lease."""
    return answer.whole_number(answer.fields().get("permit"))
