"""Acquire and release partitions by transactions in the state store.

Acquiring a partition raises its term in the same transaction that writes the leader record. The
term is the workers' fencing token, and every write of the leader is conditional on the mod revision
of the term record.
"""

from datetime import timedelta
from typing import NamedTuple

from roadbend.partitions import messages
from roadbend.partitions.records import ElectionRecords
from roadbend.store import keys
from roadbend.store.client import ConflictError, delete, put
from roadbend.store.records import TermRecord

RELEASE_TIMEOUT = timedelta(seconds=2)


class AcquisitionRequest(NamedTuple):
    """The partition to acquire, and the conditions for it."""

    partition: str
    # The mod revision of the leader record to replace; 0: there must be no record.
    leader_mod_revision: int
    # A term that machines have seen although the records lack it; the new term is above it.
    lost_term: int
    # The lease to which the leader record is attached.
    lease_id: int | None


class Acquisition:
    """Writes and deletes the leader records that name this controller."""

    def __init__(
        self, controller: str, incarnation: str, write_timeout: timedelta, records: ElectionRecords
    ) -> None:
        self._controller = controller
        self._incarnation = incarnation
        self._write_timeout = write_timeout
        self._records = records
        # By partition, the last term that we wrote or may have written without leading under it.
        self.unconfirmed_terms: dict[str, int] = {}

    async def acquire(self, request: AcquisitionRequest) -> TermRecord | None:
        """Acquire a partition under a new term; return None if another controller did so first.

        Raises `LeaseEndedError`, `RefusedError`, `NoAnswerError` or `UnavailableError`.
        """
        partition = request.partition
        term = await self._write_new_term(request)
        # All that was written before our term must be in the view before we act as leader. If it
        # can't be read, we don't lead the partition: it is acquired again as soon as the records
        # can be read.
        if term is None or not await self._records.read():
            return None
        recorded = self._records.view.terms.get(partition)
        if (
            recorded is None
            or recorded.number != term.number
            or recorded.controller != self._controller
        ):
            return None
        self.unconfirmed_terms.pop(partition, None)
        return recorded

    async def release(self, partition: str) -> None:
        """Delete the partition's leader record unless it has changed since the view was updated."""
        recorded = self._records.view.partition_leaders.get(partition)
        if recorded is None:
            return
        key = keys.leader_key(partition)
        try:
            await self._records.write(
                {key: recorded.mod_revision}, [delete(key)], within=RELEASE_TIMEOUT
            )
        except ConflictError:
            await self._records.read()

    async def _write_new_term(self, request: AcquisitionRequest) -> TermRecord | None:
        """Write the next term and a leader record that names us in one transaction."""
        partition = request.partition
        term_key, leader_key = keys.term_key(partition), keys.leader_key(partition)
        last = self._records.view.terms.get(partition)
        number = max(last.number if last else 0, request.lost_term) + 1
        leader = messages.leader_value(self._controller, self._incarnation, number)
        changes = [
            put(term_key, messages.term_value(number, self._controller)),
            put(leader_key, leader, request.lease_id),
        ]
        conditions = {
            term_key: last.mod_revision if last else 0,
            leader_key: request.leader_mod_revision,
        }
        self._mark_unconfirmed(partition, number)
        try:
            await self._records.write(conditions, changes, within=self._write_timeout)
        except ConflictError:
            # Another controller acquired the partition, or an unanswered attempt of our own took
            # effect: the records show which.
            written = await self._find_own_term(partition)
            if written is not None:
                self._records.view.apply_transaction(changes, written.mod_revision)
            return written
        return TermRecord(number, self._controller)

    def _mark_unconfirmed(self, partition: str, number: int) -> None:
        """Record a term as unconfirmed before it is written.

        Not if this acquisition completes an interrupted one: a controller that is interrupted twice
        in a row leaves the partition to others.
        """
        interrupted = self.unconfirmed_terms.pop(partition, None)
        recorded = self._records.view.partition_leaders.get(partition)
        if recorded is None or recorded.term != interrupted:
            self.unconfirmed_terms[partition] = number

    async def _find_own_term(self, partition: str) -> TermRecord | None:
        """Read the records again; return the partition's term if this incarnation wrote it."""
        if not await self._records.read():
            return None
        leader = self._records.view.partition_leaders.get(partition)
        term = self._records.view.terms.get(partition)
        if (
            leader is not None
            and term is not None
            and leader.incarnation == self._incarnation
            and leader.controller == self._controller
            and leader.term == term.number
        ):
            return term
        return None
