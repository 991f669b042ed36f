"""The board on which all fake workers record where tasks are and what they have saved."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio

from roadbend.checkers.observed_jobs import Place
from roadbend.checkers.protocol_rules import Rules


@dataclass
class WorkerTask:
    """A task on a worker. Times are in seconds on the deployment's clock."""

    name: str
    attempt: int
    state: str = "fetching"
    cause: str | None = None
    began: float | None = None
    scope: trio.CancelScope | None = None
    saved: bool = False
    grace: float | None = None
    # Whether the task's machine hangs.
    is_hung: Callable[[], bool] = lambda: False

    @property
    def job(self) -> str:
        """Return the id of the task's job."""
        return self.name.rpartition("/")[0]

    @property
    def ended(self) -> bool:
        """Whether the task has ended."""
        return self.state == "ended"

    @property
    def lost(self) -> bool:
        """Whether the rest of the gang counts the task as lost.

        It has ended without having saved, or its machine hangs.
        """
        return (self.ended and not self.saved) or self.is_hung()


@dataclass
class Gang:
    """The tasks of one attempt at a gang, across all machines."""

    size: int
    members: dict[str, WorkerTask] = field(default_factory=dict)
    began: float | None = None
    # The job's saved progress when this attempt began, in seconds of work.
    initial_progress: float = 0.0
    # When a task was first ordered to stop, and which tasks have saved.
    stopping_since: float | None = None
    saved: set[str] = field(default_factory=set)
    done: bool = False


@dataclass(frozen=True)
class ReceivedOrder:
    """An order that a worker received, and whether it changed anything there."""

    at: float
    machine: str
    verb: str
    task: str
    attempt: int
    effective: bool


@dataclass
class Board:
    """What all workers of a deployment record; the rules' checker is notified of it."""

    rules: Rules | None = None
    # How long tasks run, in seconds, by job or by task; None: until they are stopped.
    lengths: dict[str, float | None] = field(default_factory=dict)
    # Jobs that were submitted with a mistake: their tasks fail on every machine.
    mistaken_jobs: set[str] = field(default_factory=set)
    # The machines on which each task is.
    machines_by_task: dict[str, set[str]] = field(default_factory=dict)
    # The time, task and machine of every start.
    starts: list[tuple[float, str, str]] = field(default_factory=list)
    # The time, task and machine of every failure.
    failures: list[tuple[float, str, str]] = field(default_factory=list)
    # Completed tasks; their results are stored outside the machines.
    completed: set[str] = field(default_factory=set)
    # Called with each task that completes.
    completion_listeners: list[Callable[[str], None]] = field(default_factory=list)
    # Gangs by job and attempt, and the saved progress of jobs; checkpoints are stored outside the
    # machines.
    gangs: dict[tuple[str, int], Gang] = field(default_factory=dict)
    progress: dict[str, float] = field(default_factory=dict)
    # Every received order, with or without effect, in the order of arrival.
    received: list[ReceivedOrder] = field(default_factory=list)

    def body(self, job: str) -> dict[str, Any]:
        """Return a job's submission; empty if the rules' checker knows none."""
        observed = self.rules.jobs.get(job) if self.rules is not None else None
        return observed.body if observed is not None else {}

    def length(self, task: WorkerTask) -> float | None:
        """Return how long a task runs, in seconds; None: until it is stopped."""
        return self.lengths.get(task.name, self.lengths.get(task.job))

    def gang(self, task: WorkerTask) -> Gang | None:
        """Return the gang of a task; None if the task is not part of one."""
        body = self.body(task.job)
        if body.get("shape") != "group":
            return None
        return self.gangs.setdefault((task.job, task.attempt), Gang(body["legs"]))

    def record_checkpoint(self, job: str, progress: float) -> None:
        """Record a checkpoint: the progress of a job, in seconds of work."""
        self.progress[job] = max(self.progress.get(job, 0.0), progress)

    def record_start(self, task: str, place: Place) -> None:
        """Record that a task starts on a machine."""
        self.machines_by_task.setdefault(task, set()).add(place.machine)
        self.starts.append((trio.current_time(), task, place.machine))
        if self.rules is not None:
            self.rules.check_start(task, place)

    def record_removal(self, task: str, machine: str) -> None:
        """Record that a task is no longer on a machine."""
        self.machines_by_task.get(task, set()).discard(machine)
        if self.rules is not None:
            self.rules.record_removal(task, machine)

    def record_start_order(self, task: str, machine: str) -> None:
        """Record that a machine carries out an order to start."""
        if self.rules is not None:
            self.rules.check_start_order(task, machine)

    def record_failure(self, task: str, machine: str) -> None:
        """Record that a task has failed on a machine."""
        self.failures.append((trio.current_time(), task, machine))

    def record_completion(self, task: str) -> None:
        """Record that a task has completed."""
        job = task.rpartition("/")[0]
        body = self.body(job)
        if body.get("shape") == "group":
            # One completed task of a gang means that all have completed.
            self.completed.update(f"{job}/{n}" for n in range(body["legs"]))
        self.completed.add(task)
        if self.rules is not None:
            self.rules.record_completion(task)
        for listener in self.completion_listeners:
            listener(task)

    def running(self, job: str) -> list[str]:
        """Return the tasks of a job that are on machines."""
        return [
            t
            for t, machines in self.machines_by_task.items()
            if machines and t.startswith(job + "/")
        ]
