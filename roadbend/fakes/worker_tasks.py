"""The tasks of one fake worker: they fetch images, run, gather in gangs, save and end."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio

from roadbend.checkers.observed_jobs import Place
from roadbend.fakes.board import Board, Gang, ReceivedOrder, WorkerTask

# How often a gang's task checks the others, in seconds.
GANG_POLL_INTERVAL_S = 0.05
# How long a task runs before it fails, on a broken machine or by a mistake of its job, in seconds.
FAILURE_DELAY_S = 0.5
# A gang's tasks notice a lost one after this share of the time that they have for it.
LOSS_DETECTION_SHARE = 0.6


@dataclass
class WorkerSettings:
    """How a worker behaves; times in seconds."""

    heartbeat_s: float = 2.5
    lease_s: float = 18.0
    fetch_s: float = 1.0
    # Whether every task fails on the machine.
    broken: bool = False
    gang_wait_s: float = 30.0
    gang_peer_s: float = 5.0
    # Whether fetched images are kept for later tasks.
    caches_images: bool = False


class WorkerTasks:
    """Executes the orders that a worker receives.

    `wait_while_hung` returns when the machine does not hang; `is_hung` returns whether it does.
    `on_change` is called on every change of a task's state.
    """

    def __init__(
        self,
        board: Board,
        place: Place,
        settings: WorkerSettings,
        *,
        wait_while_hung: Callable[[], Awaitable[None]],
        is_hung: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self.tasks: dict[tuple[str, int], WorkerTask] = {}
        self.orders: list[dict[str, Any]] = []
        self.nursery: trio.Nursery | None = None
        self._board, self._place, self._settings = board, place, settings
        self._wait_while_hung, self._is_hung, self._on_change = wait_while_hung, is_hung, on_change
        self._images: set[str] = set()

    def execute(self, orders: list[dict[str, Any]]) -> None:
        """Execute orders from a heartbeat's answer or a direct command."""
        for order in orders:
            self.orders.append(order)
            key = (order["leg"], order["try"])
            task = self.tasks.get(key)
            self._record_received(order, task)
            if order["verb"] == "run" and task is None:
                self._start(key)
            elif order["verb"] == "kill" and task is not None and not task.ended:
                self._kill(task, order["windDownS"])
            elif order["verb"] == "forget" and task is not None and task.ended:
                del self.tasks[key]
                self._on_change()

    def _start(self, key: tuple[str, int]) -> None:
        assert self.nursery is not None, "a worker receives orders only while it runs"
        self._board.record_start_order(key[0], self._place.machine)
        is_busy = any(held.name == key[0] and not held.ended for held in self.tasks.values())
        task = self.tasks[key] = WorkerTask(*key, is_hung=self._is_hung)
        if is_busy:
            task.state, task.cause = "ended", "busy"
        else:
            self.nursery.start_soon(self._run_task, task)
        self._on_change()

    def _record_received(self, order: dict[str, Any], task: WorkerTask | None) -> None:
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
        elif cause == "error":
            self._board.record_failure(task.name, self._place.machine)
        task.state, task.cause = "ended", cause
        self._on_change()

    def wipe(self) -> None:
        """Stop and remove all tasks, as a worker does whose lease has expired."""
        for task in self.tasks.values():
            self.end(task, "stopped")
        self.tasks.clear()

    def record_machine_end(self) -> None:
        """Record that the machine has ended, so that none of its tasks is on it any more."""
        for task in self.tasks.values():
            if task.began is not None:
                self._board.record_removal(task.name, self._place.machine)

    async def _fetch(self, task: WorkerTask) -> None:
        """Fetch a task's image, unless it is cached on the machine."""
        image = self._board.body(task.job).get("bundle", "")
        if image not in self._images:
            await trio.sleep(self._settings.fetch_s)
            if self._settings.caches_images:
                self._images.add(image)

    async def _run_task(self, task: WorkerTask) -> None:
        if task.ended:
            # Stopped at the same instant as it was started.
            return
        with trio.CancelScope() as task.scope:
            await self._fetch(task)
            await self._wait_while_hung()
            if task.name in self._board.completed:
                self._end_completed(task)
                return
            gang = self._board.gang(task)
            if gang is not None:
                await self._run_in_gang(gang, task)
                return
            task.state, task.began = "running", trio.current_time()
            self._board.record_start(task.name, self._place)
            self._on_change()
            if self._fails(task):
                await trio.sleep(FAILURE_DELAY_S)
                self.end(task, "error")
                return
            length = self._board.length(task)
            await trio.sleep(float("inf") if length is None else length)
            await self._wait_while_hung()
            self.end(task, "done")

    def _fails(self, task: WorkerTask) -> bool:
        return self._settings.broken or task.job in self._board.mistaken_jobs

    def _end_completed(self, task: WorkerTask) -> None:
        """End a task that had completed before; its result is kept independently of its worker.

        It starts and ends at the same instant, so that its start is checked like any other.
        """
        task.began = trio.current_time()
        self._board.record_start(task.name, self._place)
        self.end(task, "done")

    async def _run_in_gang(self, gang: Gang, task: WorkerTask) -> None:
        """Wait for the gang's other tasks, and run, save and complete together with them.

        The task also ends when it notices that another one is lost.
        """
        if not await self._gather(gang, task):
            self.end(task, "alone")
            return
        task.state = "running"
        self._on_change()
        if self._fails(task):
            await trio.sleep(FAILURE_DELAY_S)
            self.end(task, "error")
            return
        length = self._board.lengths.get(task.job)
        lost_since: float | None = None
        while not task.ended:
            await trio.sleep(GANG_POLL_INTERVAL_S)
            await self._wait_while_hung()
            now = trio.current_time()
            if gang.stopping_since is None and lost_since is None and not gang.done:
                self._advance(gang, task, now, length)
            if gang.done:
                self.end(task, "done")
                return
            if not any(member.lost for member in gang.members.values()):
                # A hung machine continued before the others noticed.
                lost_since = None
            else:
                lost_since = now if lost_since is None else lost_since
                if now - lost_since > self._settings.gang_peer_s * LOSS_DETECTION_SHARE:
                    self.end(task, "peers")
                    return
            self._stop_with_others(gang, task, now)

    async def _gather(self, gang: Gang, task: WorkerTask) -> bool:
        """Wait until all tasks of a gang have started; return False if that takes too long."""
        waiting_since = trio.current_time()
        task.state, task.began = "gathering", waiting_since
        self._board.record_start(task.name, self._place)
        gang.members[task.name] = task
        self._on_change()
        while gang.began is None:
            gathered = [m for m in gang.members.values() if m.state == "gathering"]
            if len(gathered) == gang.size:
                gang.began = trio.current_time()
                gang.initial_progress = self._board.progress.get(task.job, 0.0)
                break
            if trio.current_time() - waiting_since > self._settings.gang_wait_s:
                return False
            await trio.sleep(GANG_POLL_INTERVAL_S)
            await self._wait_while_hung()
        return True

    def _advance(self, gang: Gang, task: WorkerTask, now: float, length: float | None) -> None:
        """Record the checkpoints and the completion of a gang that runs undisturbed."""
        assert gang.began is not None
        progress = gang.initial_progress + now - gang.began
        interval = self._board.body(task.job)["milestoneS"]
        if interval:
            self._board.record_checkpoint(task.job, progress // interval * interval)
        if length is not None and progress >= length:
            gang.done = True

    def _stop_with_others(self, gang: Gang, task: WorkerTask, now: float) -> None:
        """Save if the task was ordered to stop; end if another was, and this one not in time."""
        if task.grace is not None:
            self._save_with_others(gang, task, now)
        elif (
            gang.stopping_since is not None
            and now - gang.stopping_since > self._settings.gang_peer_s
        ):
            self.end(task, "peers")

    def _save_with_others(self, gang: Gang, task: WorkerTask, now: float) -> None:
        """Save, and wait a limited time for the others to save, too; progress stops meanwhile."""
        assert gang.stopping_since is not None
        if task.state == "running":
            task.state = "flushing"
            self._on_change()
        save_s = self._board.body(task.job)["stowS"]
        if now - gang.stopping_since >= save_s:
            gang.saved.add(task.name)
        if len(gang.saved) == gang.size:
            self._board.record_checkpoint(
                task.job, gang.initial_progress + gang.stopping_since - (gang.began or now)
            )
            task.saved = True
            self.end(task, "stopped")
        elif now - gang.stopping_since > self._settings.gang_peer_s + save_s:
            self.end(task, "peers")

    def _kill(self, task: WorkerTask, grace: float) -> None:
        """Stop a task; a gang's task saves first if the grace time is enough for that."""
        gang, body = self._board.gang(task), self._board.body(task.job)
        if gang is None:
            self.end(task, "stopped")
            return
        if task.state == "running" and body["milestoneS"] > 0 and grace >= body["stowS"]:
            gang.stopping_since = (
                trio.current_time() if gang.stopping_since is None else gang.stopping_since
            )
            task.grace = grace
        elif not (task.state == "flushing" and grace > 0):
            self.end(task, "stopped")
