"""Read and write the election's records, each with a timeout.

The election loop renews the lease that all leaderships depend on, so none of its transactions or
reads may block for long, not even during an outage of the state store.
"""

from collections.abc import Sequence
from datetime import timedelta

import trio

from roadbend.store.client import Change, StateStoreClient, commit
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

READ_TIMEOUT = timedelta(seconds=2)


class ElectionRecords:
    """The election's access to the state store and the record view."""

    def __init__(self, state: StateStoreClient, view: RecordView, reader: RecordReader) -> None:
        self.view = view
        self._state = state
        self._reader = reader

    async def write(
        self,
        conditions: dict[str, int],
        changes: Sequence[Change],
        *,
        within: timedelta,
    ) -> None:
        """Commit a transaction and apply it to the record view.

        Raises what `commit` raises: `ConflictError`, `LeaseEndedError`, `UnavailableError`.
        """
        revision = await commit(self._state, conditions, changes, within=within, urgent=True)
        self.view.apply_transaction(changes, revision)

    async def read(self) -> bool:
        """Wait for a read that begins now; return whether it completed in time."""
        with trio.move_on_after(READ_TIMEOUT.total_seconds()):
            await self._reader.read_barrier()
            return True
        return False
