"""When a scheduling step is called for, and when it has ended."""

from datetime import timedelta

import trio

from roadbend import clock


class StepSignal:
    """Counts the steps of one partition's loop, and wakes those who wait for one."""

    def __init__(self) -> None:
        self._requested = trio.Event()
        # Set at the end of every step, and then replaced.
        self._step_ended = trio.Event()
        self._begun = self._ended = 0
        # How long the last step took to work out, without sending it.
        self.last_duration = clock.ZERO

    def request(self) -> None:
        """Call for a step."""
        self._requested.set()

    async def wait_for_request(self) -> None:
        """Return once a step is called for."""
        await self._requested.wait()

    def begin(self) -> None:
        """Begin a step: what is called for from now on waits for the next one."""
        self._requested = trio.Event()
        self._begun += 1

    def record_duration(self, duration: timedelta) -> None:
        """Note how long the step took to work out, without sending it."""
        self.last_duration = duration

    def end(self) -> None:
        """End the step, however it went."""
        self._ended = self._begun
        step_ended, self._step_ended = self._step_ended, trio.Event()
        step_ended.set()

    @property
    def next_step(self) -> int:
        """The number of the step that has not begun yet."""
        return self._begun + 1

    async def wait_for_end(self, step: int) -> None:
        """Return once a step has ended."""
        while self._ended < step:
            await self._step_ended.wait()
