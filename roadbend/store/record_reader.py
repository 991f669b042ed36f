"""The loop that keeps a controller's record view up to date, and the read barrier."""

from datetime import datetime

import trio

from roadbend import clock
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.retry import Backoff
from roadbend.settings import OperatorSettings
from roadbend.store import keys
from roadbend.store.client import RefusedError, StateStoreClient
from roadbend.store.record_view import RecordView

log = Log("store")

# Of consecutive failed reads, these and every hundredth are logged.
LOGGED_FAILURES = (1, 10)
LOGGED_FAILURE_INTERVAL = 100


class RecordReader:
    """Reads the changes from the state store; one read serves all who wait when it begins."""

    def __init__(
        self, view: RecordView, state: StateStoreClient, operator: OperatorSettings
    ) -> None:
        self.view = view
        # When the last successful read was sent: the view holds everything written before that.
        self.last_read_at: datetime | None = None
        # The number of consecutive failed reads.
        self.failed_reads = 0
        self._state = state
        self._operator = operator
        self._requested = trio.Event()
        # Reads are numbered from 1; the last that began, and the last that succeeded.
        self._last_begun = 0
        self._last_succeeded = 0
        self._read_succeeded = trio.Condition()

    async def read_barrier(self) -> None:
        """Wait until a read that began after this call has succeeded.

        There is no timeout; the caller sets one.
        """
        number = self._last_begun + 1
        self._requested.set()
        async with self._read_succeeded:
            while self._last_succeeded < number:
                await self._read_succeeded.wait()

    async def run(self) -> None:
        """Read when a caller waits, at least `sync_gap` apart, and otherwise every `sync_every`."""
        extra_wait = clock.ZERO
        operator = self._operator
        backoff = Backoff(operator.sync_gap, operator.sync_every, self._state.rng)
        idle_s = max(0.0, (operator.sync_every - operator.sync_gap).total_seconds())
        while True:
            with trio.move_on_after(idle_s):
                await self._requested.wait()
            await clock.pause(operator.sync_gap + extra_wait)
            self._requested = trio.Event()
            self._last_begun += 1
            number, sent = self._last_begun, clock.now()
            try:
                await self._read()
            except (RefusedError, NoAnswerError) as error:
                self._record_failure(error)
                extra_wait = backoff.next_wait()
                continue
            self._record_success(sent)
            backoff.reset()
            extra_wait = clock.ZERO
            async with self._read_succeeded:
                self._last_succeeded = max(self._last_succeeded, number)
                self._read_succeeded.notify_all()

    def _record_failure(self, error: Exception) -> None:
        self.failed_reads += 1
        if self.failed_reads in LOGGED_FAILURES or self.failed_reads % LOGGED_FAILURE_INTERVAL == 0:
            log.error("state-store-unavailable", error=str(error)[:80], failures=self.failed_reads)

    def _record_success(self, sent: datetime) -> None:
        if self.failed_reads > 1:
            log.info("state-store-recovered", after_failures=self.failed_reads)
        self.failed_reads, self.last_read_at = 0, sent

    async def _read(self) -> None:
        """Read the changes since the last read, or all records if the log was compacted past it."""
        if self.view.loaded:
            change_log = await self._state.follow(keys.LIVE, self.view.revision)
            if change_log is not None:
                self.view.apply_events(change_log.events, change_log.revision)
                return
            log.info("change-log-compacted", revision=self.view.revision)
        listing = await self._state.read_all(keys.LIVE)
        self.view.load(listing.records, listing.revision)
        log.info("records-loaded", count=len(listing.records), revision=listing.revision)
