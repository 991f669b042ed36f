"""Signals that a scheduling step is requested, and that one has ended."""

from datetime import timedelta

import trio

from roadbend import clock


class StepSignal:
    """Counts the steps of one partition's scheduling loop, and wakes whoever waits for one."""

    def __init__(self) -> None:
        self._requested = trio.Event()
        # Set at the end of every step, and then replaced.
        self._step_ended = trio.Event()
        self._begun = self._ended = 0
        # How long the last step took to compute, without sending its transaction.
        self.last_duration = clock.ZERO

    def request(self) -> None:
        """Request a step."""
        self._requested.set()

    async def wait_for_request(self) -> None:
        """Wait until a step is requested."""
        await self._requested.wait()

    def begin(self) -> None:
        """Begin a step; requests from now on are for the next one."""
        self._requested = trio.Event()
        self._begun += 1

    def record_duration(self, duration: timedelta) -> None:
        """Record how long the step took to compute, without sending its transaction."""
        self.last_duration = duration

    def end(self) -> None:
        """End the step, whether it succeeded or failed."""
        self._ended = self._begun
        step_ended, self._step_ended = self._step_ended, trio.Event()
        step_ended.set()

    @property
    def next_step(self) -> int:
        """The number of the step that has not begun yet."""
        return self._begun + 1

    async def wait_for_end(self, step: int) -> None:
        """Wait until a step has ended."""
        while self._ended < step:
            await self._step_ended.wait()
