"""Keeps a controller's record view fresh, and the read barrier."""

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

# Of the reads that fail one after the other, these and every hundredth are logged.
LOGGED_FAILURES = (1, 10)
LOGGED_EVERY = 100


class RecordReader:
    """Reads what changed in the state store; one read serves everyone who waits when it begins."""

    def __init__(
        self, view: RecordView, state: StateStoreClient, operator: OperatorSettings
    ) -> None:
        self.view = view
        # When the last read that was answered was sent: the view holds all that was written before.
        self.last_read_at: datetime | None = None
        # How many reads in a row have failed.
        self.refusals = 0
        self._state = state
        self._operator = operator
        self._wanted = trio.Event()
        # Reads are numbered from 1; the last that began, and the last that was answered.
        self._begun = 0
        self._ended = 0
        self._answered = trio.Condition()

    async def read_barrier(self) -> None:
        """Wait until a read has ended that began after this call.

        It waits as long as that takes; the caller sets the time limit.
        """
        number = self._begun + 1
        self._wanted.set()
        async with self._answered:
            while self._ended < number:
                await self._answered.wait()

    async def run(self) -> None:
        """Read whenever somebody waits, with a gap between reads, and at least every so often."""
        extra_wait = clock.ZERO
        operator = self._operator
        backoff = Backoff(operator.sync_gap, operator.sync_every, self._state.rng)
        idle_s = max(0.0, (operator.sync_every - operator.sync_gap).total_seconds())
        while True:
            with trio.move_on_after(idle_s):
                await self._wanted.wait()
            await clock.pause(operator.sync_gap + extra_wait)
            self._wanted = trio.Event()
            self._begun += 1
            number, sent = self._begun, clock.now()
            try:
                await self._read()
            except (RefusedError, NoAnswerError) as error:
                self._note_failure(error)
                extra_wait = backoff.next_wait()
                continue
            self._note_success(sent)
            backoff.reset()
            extra_wait = clock.ZERO
            async with self._answered:
                self._ended = max(self._ended, number)
                self._answered.notify_all()

    def _note_failure(self, error: Exception) -> None:
        self.refusals += 1
        if self.refusals in LOGGED_FAILURES or self.refusals % LOGGED_EVERY == 0:
            log.error("state-store-unavailable", error=str(error)[:80], failures=self.refusals)

    def _note_success(self, sent: datetime) -> None:
        if self.refusals > 1:
            log.info("state-store-recovered", after_failures=self.refusals)
        self.refusals, self.last_read_at = 0, sent

    async def _read(self) -> None:
        """Read what changed since the last read, or everything if there was none lately enough."""
        if self.view.loaded:
            change_log = await self._state.follow(keys.LIVE, self.view.revision)
            if change_log is not None:
                self.view.events(change_log.events, change_log.revision)
                return
            log.info("change-log-compacted", revision=self.view.revision)
        listing = await self._state.read_all(keys.LIVE)
        self.view.load(listing.records, listing.revision)
        log.info("records-loaded", count=len(listing.records), revision=listing.revision)
