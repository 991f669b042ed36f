"""Batched deletions of machines.

Machines often fall silent together, and the number of requests to the cloud is limited.
"""

from datetime import timedelta

import trio

from roadbend import clock
from roadbend.cloud.client import MAX_DELETIONS, Cloud, CloudBusyError, NoCapacityError
from roadbend.http.client import NoAnswerError

# For how long deletions are collected into a batch, and the maximum age of a batch when it is sent.
# If it is older, this process paused, and the silent machines may have sent heartbeats since.
BATCH_WINDOW = timedelta(milliseconds=150)
MAX_BATCH_AGE = timedelta(seconds=3)


class _DeletionBatch:
    """Deletions that are sent in one request."""

    def __init__(self) -> None:
        self.machine_ids: list[str] = []
        self.began = clock.now()
        self.done = trio.Event()
        # Until the request has succeeded, no machine is certainly deleted.
        self.error: Exception | None = NoAnswerError("not carried out")

    def is_recent(self) -> bool:
        return clock.now() - self.began < MAX_BATCH_AGE


class Deletions:
    """Deletes machines; returns only when the cloud has confirmed the deletion."""

    def __init__(self, cloud: Cloud) -> None:
        self._cloud = cloud
        self._open: _DeletionBatch | None = None

    async def delete(self, machine_id: str) -> None:
        """Delete a machine, in one request with others.

        Raises the error of the request: with `CloudBusyError` it was not executed, with any other
        it may still be.
        """
        batch = self._open
        if batch is not None and len(batch.machine_ids) < MAX_DELETIONS:
            batch.machine_ids.append(machine_id)
            await batch.done.wait()
            if batch.error is not None:
                raise batch.error
            return
        batch = self._open = _DeletionBatch()
        batch.machine_ids.append(machine_id)
        await clock.pause(BATCH_WINDOW)
        if self._open is batch:
            self._open = None
        await self._send(batch)

    async def _send(self, batch: _DeletionBatch) -> None:
        """Send a batch, and pass its outcome to all callers that wait for it."""
        try:
            await self._cloud.delete_machines(
                batch.machine_ids, urgent=True, precondition=batch.is_recent
            )
            batch.error = None
        except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
            batch.error = error
            raise
        finally:
            batch.done.set()
