"""Sends a leader's transactions one at a time, and resolves in-doubt ones."""

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
# Time limit for committing a transaction.
COMMIT_TIMEOUT = timedelta(seconds=3)
# Time limits for resolving an in-doubt transaction, and for the write that resolves it.
RESOLVE_TIMEOUT_S = 2
RESOLVE_COMMIT_TIMEOUT = timedelta(seconds=1.5)
# Lower bound for the reduced number of changes per transaction.
MIN_CHANGES = 2


class TransactionSender:
    """Sends the transactions of one partition's leader."""

    def __init__(
        self, records: PartitionRecords, terminations: Terminations, direct_starts: DirectStarts
    ) -> None:
        self._records, self._context = records, records.context
        self._terminations, self._direct_starts = terminations, direct_starts
        # The conditions of the last transaction while it is in doubt: it is unknown whether it was
        # or will be committed.
        self._in_doubt: dict[str, int] = {}
        # A lower limit than the settings have, once the state store rejected a transaction as too
        # large.
        self._max_changes: int | None = None
        # Machines named in the transaction that is being committed; they must not be deleted
        # meanwhile.
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

    async def send(self, transaction: TransactionBuilder, has_more: bool) -> bool:
        """Send a transaction; return whether the next step should follow at once.

        `has_more`: whether something is left for the next transaction after this one is committed.
        Raises `UnavailableError` if it is unknown whether it was committed, and `TooLargeError` if
        it certainly was not.
        """
        changes = list(transaction.changes.values())
        self._terminations.begin_transaction(transaction.ended_attempts)
        self.machines_in_flight = transaction.machines()
        try:
            revision = await commit(
                self._context.state, transaction.conditions, changes, within=COMMIT_TIMEOUT
            )
        except TooLargeError as error:
            self._reduce_size(len(changes), error)
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
            # The conflict may come from our own commit whose response was lost. The transaction
            # stays in doubt until the records have been read.
            self._in_doubt = dict(transaction.conditions)
            return await self.resolve_in_doubt()
        else:
            self._context.view.apply_transaction(changes, revision)
            self._complete(transaction)
            return has_more
        finally:
            self.machines_in_flight = frozenset()

    def _reduce_size(self, changes: int, error: TooLargeError) -> None:
        """Make the next transactions smaller: this one was not and can never be committed."""
        log.error(
            "transaction-oversized",
            partition=self._records.partition,
            changes=changes,
            error=str(error),
        )
        self._max_changes = max(MIN_CHANGES, changes // 2)
        self._terminations.end_transaction()

    def _complete(self, transaction: TransactionBuilder) -> None:
        """Run the actions that follow a committed transaction that the record view shows."""
        self._terminations.end_transaction()
        for callback in transaction.on_commit:
            callback()
        for job, status in transaction.ended_jobs:
            self._context.observer.job_ended(job, status)
        self._direct_starts.send_all()

    async def resolve_in_doubt(self) -> bool:
        """Determine the outcome of the in-doubt transaction; return whether it is known now.

        The transaction may still be committed late. Starts are bounded by the quota reservation and
        not by the quota record, so late starts would come on top of what was started since. Before
        anything else is written, either one of its conditions is made permanently false, or the
        records show that it was committed.
        """
        view = self._context.view
        with trio.move_on_after(RESOLVE_TIMEOUT_S):
            await self._context.reader.read_barrier()
            if any(view.mod_revision(key) != expected for key, expected in self._in_doubt.items()):
                self._clear_in_doubt()
                return True
            return await self._invalidate_condition()
        return False

    async def _invalidate_condition(self) -> bool:
        """Make a condition of the in-doubt transaction permanently false; return whether it worked.

        Rewrites one of its records with an unchanged value. That raises the mod revision, so the
        condition on it can't hold any more.
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
            self._clear_in_doubt()
            return True
        return False

    def _clear_in_doubt(self) -> None:
        """Clear the in-doubt transaction: its outcome is known from the records."""
        self._in_doubt = {}
        self._terminations.end_transaction()
