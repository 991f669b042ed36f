"""The tasks of one fake worker: they fetch their image, run, gather in gangs, save and end."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from roadbend.checkers.observed_jobs import Place
from roadbend.fakes.board import Board, Gang, ReceivedOrder, WorkerTask

# How often a gang's task looks at the others, in seconds.
GANG_STEP_S = 0.05
# After how long a task on a broken machine fails, in seconds.
FAILS_AFTER_S = 0.5
# After which share of the time that a gang's tasks have to notice a loss they notice it.
NOTICES_AFTER = 0.6


@dataclass
class WorkerSettings:
    """How a worker behaves; times in seconds."""

    heartbeat_s: float = 2.5
    lease_s: float = 18.0
    fetch_s: float = 1.0
    # Every task fails on it.
    broken: bool = False
    gang_wait_s: float = 30.0
    gang_peer_s: float = 5.0
    # Images that were fetched once are there for the next task that needs them.
    caches_images: bool = False


class WorkerTasks:
    """Carries out the orders that reach a worker.

    `wait_while_hung` returns when the machine runs; `hung` says whether it stands still. `changed`
    is called with every change of a task's state.
    """

    def __init__(
        self,
        board: Board,
        place: Place,
        settings: WorkerSettings,
        *,
        wait_while_hung: Callable[[], Awaitable[None]],
        hung: Callable[[], bool],
        changed: Callable[[], None],
    ) -> None:
        self.tasks: dict[tuple[str, int], WorkerTask] = {}
        self.orders: list[dict[str, Any]] = []
        self.nursery: trio.Nursery | None = None
        self._board, self._place, self._settings = board, place, settings
        self._wait_while_hung, self._hung, self._changed = wait_while_hung, hung, changed
        self._images: set[str] = set()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Carry out orders, as a heartbeat's answer or a direct command brings them."""
        for order in orders:
            self.orders.append(order)
            key = (order["leg"], order["try"])
            task = self.tasks.get(key)
            self._note_received(order, task)
            if order["verb"] == "run" and task is None:
                self._start(key)
            elif order["verb"] == "kill" and task is not None and not task.ended:
                self._kill(task, order["windDownS"])
            elif order["verb"] == "forget" and task is not None and task.ended:
                del self.tasks[key]
                self._changed()

    def _start(self, key: tuple[str, int]) -> None:
        assert self.nursery is not None, "orders come to a worker that runs"
        self._board.record_start_order(key[0], self._place.machine)
        task = self.tasks[key] = WorkerTask(*key, hangs=self._hung)
        self.nursery.start_soon(self._live, task)
        self._changed()

    def _note_received(self, order: dict[str, Any], task: WorkerTask | None) -> None:
        effective = {
            "run": task is None,
            "kill": task is not None and not task.ended,
            "forget": task is not None and task.ended,
        }[order["verb"]]
        received = ReceivedOrder(
            at=trio.current_time(),
            machine=self._place.machine,
            verb=order["verb"],
            task=order["leg"],
            attempt=order["try"],
            effective=effective,
        )
        self._board.received.append(received)

    def end(self, task: WorkerTask, cause: str) -> None:
        """End a task that has not ended yet."""
        if task.ended:
            return
        if task.scope is not None:
            task.scope.cancel()
        if task.began is not None:
            self._board.record_removal(task.name, self._place.machine)
        if cause == "done":
            self._board.record_completion(task.name)
        task.state, task.cause = "ended", cause
        self._changed()

    def wipe(self) -> None:
        """Stop and forget all tasks, as a worker does whose lease has expired."""
        for task in self.tasks.values():
            self.end(task, "stopped")
        self.tasks.clear()

    def leave_board(self) -> None:
        """Note that nothing is on the machine any more: it has ended."""
        for task in self.tasks.values():
            if task.began is not None:
                self._board.record_removal(task.name, self._place.machine)

    async def _fetch(self, task: WorkerTask) -> None:
        """Fetch a task's image, unless it is on the machine."""
        image = self._board.body(task.job).get("bundle", "")
        if image not in self._images:
            await trio.sleep(self._settings.fetch_s)
            if self._settings.caches_images:
                self._images.add(image)

    async def _live(self, task: WorkerTask) -> None:
        if task.ended:
            # Stopped in the instant of its start.
            return
        with trio.CancelScope() as task.scope:
            await self._fetch(task)
            await self._wait_while_hung()
            if task.name in self._board.completed:
                self._end_again(task)
                return
            gang = self._board.gang(task)
            if gang is not None:
                await self._live_in_gang(gang, task)
                return
            task.state, task.began = "running", trio.current_time()
            self._board.record_start(task.name, self._place)
            self._changed()
            if self._settings.broken:
                await trio.sleep(FAILS_AFTER_S)
                self.end(task, "error")
                return
            length = self._board.length(task)
            await trio.sleep(float("inf") if length is None else length)
            await self._wait_while_hung()
            self.end(task, "done")

    def _end_again(self, task: WorkerTask) -> None:
        """End a task that had completed before: its result is kept, whatever became of its worker.

        It begins and ends in the same instant, so that its start is judged like any other.
        """
        task.began = trio.current_time()
        self._board.record_start(task.name, self._place)
        self.end(task, "done")

    async def _live_in_gang(self, gang: Gang, task: WorkerTask) -> None:
        """Wait for a gang's other tasks, run, save and complete with them.

        The task ends, too, when it notices that another one is lost.
        """
        if not await self._gather(gang, task):
            self.end(task, "alone")
            return
        task.state = "running"
        self._changed()
        length = self._board.lengths.get(task.job)
        missing: float | None = None
        while not task.ended:
            await trio.sleep(GANG_STEP_S)
            await self._wait_while_hung()
            now = trio.current_time()
            if gang.stopping is None and missing is None and not gang.over:
                self._work(gang, task, now, length)
            if gang.over:
                self.end(task, "done")
                return
            if not any(member.lost for member in gang.members.values()):
                # A machine that hung goes on before the others noticed.
                missing = None
            else:
                missing = now if missing is None else missing
                if now - missing > self._settings.gang_peer_s * NOTICES_AFTER:
                    self.end(task, "peers")
                    return
            self._stop_with_others(gang, task, now)

    async def _gather(self, gang: Gang, task: WorkerTask) -> bool:
        """Wait until all tasks of a gang are there; False if that takes too long."""
        since = trio.current_time()
        task.state, task.began = "gathering", since
        self._board.record_start(task.name, self._place)
        gang.members[task.name] = task
        self._changed()
        while gang.began is None:
            gathered = [m for m in gang.members.values() if m.state == "gathering"]
            if len(gathered) == gang.size:
                gang.began = trio.current_time()
                gang.base = self._board.progress.get(task.job, 0.0)
                break
            if trio.current_time() - since > self._settings.gang_wait_s:
                return False
            await trio.sleep(GANG_STEP_S)
            await self._wait_while_hung()
        return True

    def _work(self, gang: Gang, task: WorkerTask, now: float, length: float | None) -> None:
        """Note what a gang that runs undisturbed has done, its checkpoints and its end."""
        assert gang.began is not None
        made = gang.base + now - gang.began
        step = self._board.body(task.job)["milestoneS"]
        if step:
            self._board.record_checkpoint(task.job, made // step * step)
        if length is not None and made >= length:
            gang.over = True

    def _stop_with_others(self, gang: Gang, task: WorkerTask, now: float) -> None:
        """Save if the task was told to stop; end if another one was, and this one not in time."""
        if task.grace is not None:
            self._save_with_others(gang, task, now)
        elif gang.stopping is not None and now - gang.stopping > self._settings.gang_peer_s:
            self.end(task, "peers")

    def _save_with_others(self, gang: Gang, task: WorkerTask, now: float) -> None:
        """Save, and wait a little until the others have saved, too; progress stands meanwhile."""
        assert gang.stopping is not None
        if task.state == "running":
            task.state = "flushing"
            self._changed()
        save_s = self._board.body(task.job)["stowS"]
        if now - gang.stopping >= save_s:
            gang.saved.add(task.name)
        if len(gang.saved) == gang.size:
            self._board.record_checkpoint(task.job, gang.base + gang.stopping - (gang.began or now))
            task.saved = True
            self.end(task, "stopped")
        elif now - gang.stopping > self._settings.gang_peer_s + save_s:
            self.end(task, "peers")

    def _kill(self, task: WorkerTask, grace: float) -> None:
        """Stop a task; a gang's saves if it has enough time for that."""
        gang, body = self._board.gang(task), self._board.body(task.job)
        if gang is None:
            self.end(task, "stopped")
            return
        if task.state == "running" and body["milestoneS"] > 0 and grace >= body["stowS"]:
            gang.stopping = trio.current_time() if gang.stopping is None else gang.stopping
            task.grace = grace
        elif not (task.state == "flushing" and grace > 0):
            self.end(task, "stopped")
