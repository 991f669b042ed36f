"""What all workers of a deployment together show: which task is where, and what it has saved."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from roadbend.checkers.observed_jobs import Place
from roadbend.checkers.protocol_rules import Rules


@dataclass
class WorkerTask:
    """A task on a worker. Times are in seconds of the deployment's clock."""

    name: str
    attempt: int
    state: str = "fetching"
    cause: str | None = None
    began: float | None = None
    scope: trio.CancelScope | None = None
    saved: bool = False
    grace: float | None = None
    # Whether the machine that the task is on stands still.
    hangs: Callable[[], bool] = lambda: False

    @property
    def job(self) -> str:
        """Return the id of the task's job."""
        return self.name.rpartition("/")[0]

    @property
    def ended(self) -> bool:
        """Whether the task does nothing any more."""
        return self.state == "ended"

    @property
    def lost(self) -> bool:
        """Whether the rest of a gang misses it.

        It has ended without having saved, or is on a machine that hangs.
        """
        return (self.ended and not self.saved) or self.hangs()


@dataclass
class Gang:
    """The tasks of one attempt at a gang, as they find each other across machines."""

    size: int
    members: dict[str, WorkerTask] = field(default_factory=dict)
    began: float | None = None
    # How far the job had come when this attempt began.
    base: float = 0.0
    # When one was first told to stop, and how many have saved.
    stopping: float | None = None
    saved: set[str] = field(default_factory=set)
    over: bool = False


@dataclass(frozen=True)
class ReceivedOrder:
    """An order that reached a worker, and whether it changed anything there."""

    at: float
    machine: str
    verb: str
    task: str
    attempt: int
    effective: bool


@dataclass
class Board:
    """What all workers together show, and the judge who sees it."""

    rules: Rules | None = None
    # How long a job's tasks run, or one task.
    lengths: dict[str, float | None] = field(default_factory=dict)
    machines_by_task: dict[str, set[str]] = field(default_factory=dict)
    starts: list[tuple[float, str, str]] = field(default_factory=list)
    # Tasks that have completed: their results lie outside the machines, too.
    completed: set[str] = field(default_factory=set)
    # Called with every task that has completed.
    completion_listeners: list[Callable[[str], None]] = field(default_factory=list)
    # Gangs by job and attempt, and how much of a job is saved: checkpoints lie outside the
    # machines.
    gangs: dict[tuple[str, int], Gang] = field(default_factory=dict)
    progress: dict[str, float] = field(default_factory=dict)
    # Every order that was carried out or found nothing to do, in the order of arrival.
    received: list[ReceivedOrder] = field(default_factory=list)

    def body(self, job: str) -> dict[str, Any]:
        """Return a job's submission; empty if the judge knows none."""
        case = self.rules.jobs.get(job) if self.rules is not None else None
        return case.body if case is not None else {}

    def length(self, task: WorkerTask) -> float | None:
        """Return how long a task runs, in seconds; None: until it is stopped."""
        return self.lengths.get(task.name, self.lengths.get(task.job))

    def gang(self, task: WorkerTask) -> Gang | None:
        """Return the gang that a task is of, if it is of one."""
        body = self.body(task.job)
        if body.get("shape") != "group":
            return None
        return self.gangs.setdefault((task.job, task.attempt), Gang(body["legs"]))

    def record_checkpoint(self, job: str, made: float) -> None:
        """Note a checkpoint: how far a job has come, in seconds of work."""
        self.progress[job] = max(self.progress.get(job, 0.0), made)

    def record_start(self, task: str, place: Place) -> None:
        """Note that a task begins on a machine."""
        self.machines_by_task.setdefault(task, set()).add(place.machine)
        self.starts.append((trio.current_time(), task, place.machine))
        if self.rules is not None:
            self.rules.check_start(task, place)

    def record_removal(self, task: str, machine: str) -> None:
        """Note that a task is on a machine no more."""
        self.machines_by_task.get(task, set()).discard(machine)
        if self.rules is not None:
            self.rules.record_removal(task, machine)

    def record_start_order(self, task: str, machine: str) -> None:
        """Note that a machine carries out an order to start."""
        if self.rules is not None:
            self.rules.check_start_order(task, machine)

    def record_completion(self, task: str) -> None:
        """Note that a task has completed."""
        job = task.rpartition("/")[0]
        body = self.body(job)
        if body.get("shape") == "group":
            # If one of them is done, all are.
            self.completed.update(f"{job}/{n}" for n in range(body["legs"]))
        self.completed.add(task)
        if self.rules is not None:
            self.rules.record_completion(task)
        for see in self.completion_listeners:
            see(task)

    def running(self, job: str) -> list[str]:
        """Return the tasks of a job that are on machines."""
        return [
            t for t, homes in self.machines_by_task.items() if homes and t.startswith(job + "/")
        ]
