"""Reading the records: keeps a controller's view of them fresh."""

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


class RecordReader:
    """Keeps the view fresh. One read serves everyone who waits when it begins."""

    def __init__(self, view: RecordView, state: StateStoreClient, operator: OperatorSettings):
        self.view = view
        self._state = state
        self._operator = operator
        self._wanted = trio.Event()
        self._begun = 0
        self._ended = 0
        self._turn = trio.Condition()
        # The sending time of the last read that was answered: the view holds all that was written
        # before.
        self.contact: datetime | None = None
        self.refusals = 0

    async def read_barrier(self) -> None:
        """Returns when a read has ended that began after this call; the caller sets the time
        limit."""
        want = self._begun + 1
        self._wanted.set()
        async with self._turn:
            while self._ended < want:
                await self._turn.wait()

    async def run(self) -> None:
        pause, waits = (
            clock.ZERO,
            Backoff(self._operator.sync_gap, self._operator.sync_every, self._state.rng),
        )
        while True:
            with trio.move_on_after(
                max(0.0, (self._operator.sync_every - self._operator.sync_gap).total_seconds())
            ):
                await self._wanted.wait()
            await clock.pause(self._operator.sync_gap + pause)
            self._wanted = trio.Event()
            self._begun += 1
            mine, sent = self._begun, clock.now()
            try:
                await self._read()
            except (RefusedError, NoAnswerError) as error:
                self.refusals += 1
                if self.refusals in (1, 10) or self.refusals % 100 == 0:
                    log.error(
                        "state-store-unavailable", error=str(error)[:80], failures=self.refusals
                    )
                pause = waits.next_wait()
                continue
            if self.refusals > 1:
                log.info("state-store-recovered", after_failures=self.refusals)
            waits.reset()
            pause, self.refusals, self.contact = clock.ZERO, 0, sent
            async with self._turn:
                self._ended = max(self._ended, mine)
                self._turn.notify_all()

    async def _read(self) -> None:
        if self.view.loaded:
            news = await self._state.follow(keys.LIVE, self.view.revision)
            if news is not None:
                self.view.events(*news)
                return
            log.info("change-log-compacted", revision=self.view.revision)
        rows, revision = await self._state.read_all(keys.LIVE)
        self.view.load(rows, revision)
        log.info("records-loaded", count=len(rows), revision=revision)
