"""Controllers that stand still: their tasks do not go on while the time of everybody else passes.

A process that is starved of processor time stops wherever it awaits, and finds everything that came
meanwhile when it goes on. Simulated time alone never shows that. An instrument of trio puts aside
the tasks of a stalled host as they become ready, and hands them back in that order.
"""

import contextvars

import trio

# The host that a task runs on; tasks inherit it from the one that started them.
HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


class Stalls(trio.abc.Instrument):
    """Which hosts stand still, and their tasks that are ready to go on."""

    def __init__(self) -> None:
        self._ready: dict[str, list[trio.lowlevel.Task]] = {}
        trio.lowlevel.add_instrument(self)

    def task_scheduled(self, task: trio.lowlevel.Task) -> None:
        """Called by trio for a task that it has just put at the end of the run queue."""
        waiting = self._ready.get(task.context.get(HOST, ""))
        if waiting is not None:
            run_queue = trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq
            waiting.append(run_queue.pop())

    async def stall(self, host: str, seconds: float) -> None:
        """The host stands still for so long; a second stall within the first changes nothing."""
        if host in self._ready:
            return
        self._ready[host] = []
        try:
            await trio.sleep(seconds)
        finally:
            trio._core._run.GLOBAL_RUN_CONTEXT.runner.runq.extend(self._ready.pop(host))
