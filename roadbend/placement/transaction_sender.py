"""Sends a leader's transactions, one at a time, and resolves those without an answer."""

from collections.abc import Mapping
from datetime import timedelta

import trio

from roadbend.fleet.terminations import Terminations
from roadbend.log import Log
from roadbend.placement.direct_starts import DirectStarts
from roadbend.placement.partition_records import PartitionRecords
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys
from roadbend.store.client import ConflictError, TooLargeError, UnavailableError, commit, put

log = Log("placement")
# How long a transaction may take.
COMMIT_TIMEOUT = timedelta(seconds=3)
# How long resolving an in-doubt transaction may take, and the write with which it is done.
RESOLVE_TIMEOUT_S = 2
RESOLVE_COMMIT_TIMEOUT = timedelta(seconds=1.5)
# The fewest changes that transactions are cut down to.
MIN_CHANGES = 2


class TransactionSender:
    """Sends the transactions of one partition's leader."""

    def __init__(
        self, records: PartitionRecords, terminations: Terminations, direct_starts: DirectStarts
    ) -> None:
        self._records, self._context = records, records.context
        self._terminations, self._direct_starts = terminations, direct_starts
        # The conditions of the last transaction, while nobody knows whether it was, or will be,
        # carried out.
        self._in_doubt: dict[str, int] = {}
        # Fewer changes than the settings say, once the state store found a transaction too large.
        self._max_changes: int | None = None
        # Machines named in the transaction whose answer is out; they must not be deleted meanwhile.
        self.machines_in_flight: frozenset[str] = frozenset()

    @property
    def in_doubt(self) -> Mapping[str, int]:
        """The conditions of the in-doubt transaction; empty if there is none."""
        return self._in_doubt

    def new_transaction(self) -> TransactionBuilder:
        """Begin to build a transaction."""
        return TransactionBuilder(
            self._context.view,
            self._records.partition,
            self._records.leadership,
            self._context.settings,
            self._max_changes,
        )

    async def send(self, transaction: TransactionBuilder, more: bool) -> bool:
        """Send a transaction; return whether the next step is to come at once.

        `more`: whether something is left for the next transaction once this one is carried out.
        Raises `UnavailableError` where nobody knows whether it was carried out, and `TooLargeError`
        where it certainly was not.
        """
        changes = list(transaction.changes.values())
        self._terminations.begin_transaction(transaction.ended_attempts)
        self.machines_in_flight = transaction.machines()
        try:
            revision = await commit(
                self._context.state, transaction.conditions, changes, within=COMMIT_TIMEOUT
            )
        except TooLargeError as error:
            self._note_too_large(len(changes), error)
            raise
        except UnavailableError:
            self._in_doubt = dict(transaction.conditions)
            raise
        except ConflictError as conflict:
            log.debug(
                "transaction-conflict",
                partition=self._records.partition,
                failed_keys=conflict.failed,
            )
            # It may be our own success, of which the answer was lost: until the records have been
            # read, nobody knows.
            self._in_doubt = dict(transaction.conditions)
            return await self.resolve_in_doubt()
        else:
            self._context.view.apply_transaction(changes, revision)
            self._finish(transaction)
            return more
        finally:
            self.machines_in_flight = frozenset()

    def _note_too_large(self, changes: int, error: TooLargeError) -> None:
        """Make the next transactions smaller: this one was not carried out, and never would be."""
        log.error(
            "transaction-oversized",
            partition=self._records.partition,
            changes=changes,
            error=str(error),
        )
        self._max_changes = max(MIN_CHANGES, changes // 2)
        self._terminations.end_transaction()

    def _finish(self, transaction: TransactionBuilder) -> None:
        """Do what follows once a transaction was carried out and the view shows it."""
        self._terminations.end_transaction()
        for call in transaction.on_commit:
            call()
        for job, status in transaction.jobs_over:
            self._context.observer.job_ended(job, status)
        self._direct_starts.send_all()

    async def resolve_in_doubt(self) -> bool:
        """Find out what became of the in-doubt transaction; return whether that is known now.

        It may be carried out late. Starts are bounded by the quota reservation and not by the quota
        record, so a late one would come on top of what was started since. Before anything else is
        written, one of its conditions is made false for good, or the records show that it was
        carried out.
        """
        view = self._context.view
        with trio.move_on_after(RESOLVE_TIMEOUT_S):
            await self._context.reader.read_barrier()
            if any(view.mod_revision(key) != seen for key, seen in self._in_doubt.items()):
                self._forget_in_doubt()
                return True
            return await self._falsify_a_condition()
        return False

    async def _falsify_a_condition(self) -> bool:
        """Make a condition of the in-doubt transaction false for good; return whether that worked.

        One of its records is written anew, as it is, so that the condition on its revision can't
        hold any more.
        """
        view, partition = self._context.view, self._records.partition
        term_key = keys.term_key(partition)
        for key, mod_revision in self._in_doubt.items():
            value = view.value(key) if mod_revision and key != term_key else None
            if value is None:
                continue
            conditions = {key: mod_revision, term_key: self._records.leadership.mod_revision}
            changes = [put(key, value)]
            try:
                revision = await commit(
                    self._context.state, conditions, changes, within=RESOLVE_COMMIT_TIMEOUT
                )
            except (ConflictError, UnavailableError):
                return False
            view.apply_transaction(changes, revision)
            log.info("in-doubt-transaction-resolved", partition=partition, key=key)
            self._forget_in_doubt()
            return True
        return False

    def _forget_in_doubt(self) -> None:
        """Forget the last transaction: the records show what became of it."""
        self._in_doubt = {}
        self._terminations.end_transaction()
