"""Deletions of machines, gathered: machines fall silent together, and the cloud's calls are few."""

from datetime import timedelta

import trio

from roadbend import clock
from roadbend.cloud.client import MAX_DELETIONS, Cloud, CloudBusyError, NoCapacityError
from roadbend.http.client import NoAnswerError

# For how long deletions are gathered, and how old they may be when they go out: after longer this
# process paused, and what it found silent may have been heard since.
GATHER = timedelta(milliseconds=150)
SEND_WITHIN = timedelta(seconds=3)


class _DeletionBatch:
    """Deletions that go out in one call."""

    def __init__(self) -> None:
        self.names: list[str] = []
        self.began = clock.now()
        self.done = trio.Event()
        # Until the call has succeeded, no machine is certainly gone.
        self.error: Exception | None = NoAnswerError("not carried out")

    def is_recent(self) -> bool:
        return clock.now() - self.began < SEND_WITHIN


class Deletions:
    """Deletes machines; returns only when the cloud has confirmed that they are gone."""

    def __init__(self, cloud: Cloud) -> None:
        self._cloud = cloud
        self._open: _DeletionBatch | None = None

    async def delete(self, name: str) -> None:
        """Delete a machine together with others.

        Raises what the call raised: `CloudBusyError` if it was not carried out; else it may still
        be.
        """
        batch = self._open
        if batch is not None and len(batch.names) < MAX_DELETIONS:
            batch.names.append(name)
            await batch.done.wait()
            if batch.error is not None:
                raise batch.error
            return
        batch = self._open = _DeletionBatch()
        batch.names.append(name)
        await clock.pause(GATHER)
        if self._open is batch:
            self._open = None
        await self._send(batch)

    async def _send(self, batch: _DeletionBatch) -> None:
        """Send a batch, and tell everyone who waits for it what became of it."""
        try:
            await self._cloud.delete_machines(
                batch.names, urgent=True, precondition=batch.is_recent
            )
            batch.error = None
        except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
            batch.error = error
            raise
        finally:
            batch.done.set()
