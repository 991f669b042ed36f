"""Process pauses of controllers: their tasks do not run, while time passes for all other hosts.

A process without processor time stops at any await, and later finds everything that arrived
meanwhile. Simulated time alone never shows that. A trio instrument takes the tasks of a paused host
out of the run queue as they become ready, and puts them back in that order at the end of the pause.
"""

import contextvars

import trio

# The host that a trio task runs on; child tasks inherit it.
HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class Stalls(trio.abc.Instrument):
    """The paused hosts, and their trio tasks that are ready to run."""

    def __init__(self) -> None:
        self._ready: dict[str, list[trio.lowlevel.Task]] = {}
        trio.lowlevel.add_instrument(self)

    def task_scheduled(self, task: trio.lowlevel.Task) -> None:
        """Hold a paused host's task, which trio has just appended to the run queue."""
        held = self._ready.get(task.context.get(HOST, ""))
        if held is not None:
            run_queue = trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq
            held.append(run_queue.pop())

    async def stall(self, host: str, seconds: float) -> None:
        """Pause a host for some seconds, unless it is paused already."""
        if host in self._ready:
            return
        self._ready[host] = []
        try:
            await trio.sleep(seconds)
        finally:
            trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq.extend(self._ready.pop(host))
