"""What a restart of all controllers cost, judged by what reached the workers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

import trio

from roadbend.checkers.differences import ATTEMPT_BITS, Placed, TrueDifferences, true_differences
from roadbend.checkers.protocol_rules import Rules
from roadbend.fakes.board import Board, ReceivedOrder
from roadbend.fakes.cloud import FakeCloud
from roadbend.fakes.state import FakeStateService
from roadbend.fakes.worker import FakeWorker
from roadbend.rehearsal.messages import is_gang, priority

# How often the records and the workers are compared, in seconds.
COMPARE_EVERY = 0.5
# A stop made room for a task that begins on the machine within so many seconds.
MAKES_ROOM_FOR = 15.0
# Verbs of orders to workers.
RUN = "run"
KILL = "kill"
FORGET = "forget"


@dataclass(frozen=True)
class Measured:
    """The figures of one restart."""

    differences: dict[str, int]
    machines: int
    matching: int
    # Orders about attempts from before the restart: all that came, and those that were needed.
    orders: int
    needed: int
    repeated: dict[str, int]
    needless_stops: tuple[str, ...]
    needless_restarts: tuple[str, ...]
    # Unrecorded attempts of jobs that live: kept running, or stopped.
    unrecorded_kept: int
    unrecorded_stopped: int
    settled_after: float | None
    state_requests: int
    state_changes: int
    cloud_requests: int
    rented: int

    @property
    def excess(self) -> float:
        """Orders beyond those needed, as a share of these."""
        extra = self.orders - self.needed
        return extra / self.needed if self.needed else float(extra)


class Deployment(Protocol):
    """What is watched: a deployment in memory or on loopback."""

    state: FakeStateService
    cloud: FakeCloud
    board: Board
    rules: Rules

    def workers(self) -> list[FakeWorker]:
        """Return the workers of the machines that work."""


@dataclass
class Restart:
    """Watches a deployment from the moment at which the first controller returns."""

    world: Deployment
    faulted: set[str]
    began: float = field(default_factory=trio.current_time)
    settled_after: float | None = None
    # What the state store lost and machines still run counts as needless when it is stopped.
    _kept: frozenset[Placed] = frozenset()
    _open: set[Placed] = field(default_factory=set)

    def __post_init__(self) -> None:
        world = self.world
        self.before = true_differences(world.state, world.workers())
        self._received = len(world.board.received)
        self._state_requests, self._revision = world.state.requests, world.state.revision
        self._cloud_requests, self._rented = world.cloud.requests, len(world.cloud.creation_ids)
        self._starts = len(world.board.starts)
        recorded_term = max(
            (value["n"] for value in world.state.values_with_prefix("r/term/").values()), default=0
        )
        highest = max((placed.attempt for placed in self._all_attempts()), default=0)
        self._last_term = max(recorded_term, highest >> ATTEMPT_BITS)
        self._open = set(self._differing(self.before))
        self._kept = self.before.matching | self.before.unrecorded
        self.excuse(self.faulted)

    def _all_attempts(self) -> Iterable[Placed]:
        before = self.before
        return before.matching | before.missing | before.unrecorded | before.cancelled

    @staticmethod
    def _differing(found: TrueDifferences) -> Iterable[Placed]:
        return found.missing | found.ended | found.cancelled | found.unrecorded | found.leftovers

    def excuse(self, machines: Iterable[str]) -> None:
        """Leave out machines that something was done to.

        What becomes of their tasks is no fault of the restart.
        """
        names = set(machines)
        cases = self.world.rules.jobs
        rows = self._kept | self.before.silent | self.before.missing
        touched = {row.job for row in rows if row.machine in names}
        # A gang that lost one of its tasks is to be stopped whole.
        gangs = {name for name in touched if is_gang(cases[name].body)}
        self._kept = frozenset(
            row for row in self._kept if row.machine not in names and row.job not in gangs
        )

    async def watch(self) -> None:
        """Compare again and again until all that differed at the return is settled."""
        while self.settled_after is None:
            await trio.sleep(COMPARE_EVERY)
            now = true_differences(self.world.state, self.world.workers())
            working = {worker.machine for worker in self.world.workers()}
            self._open &= set(self._differing(now))
            if not any(row.machine in working for row in self._open):
                self.settled_after = trio.current_time() - self.began

    def measured(self) -> Measured:
        """Return the figures up to now."""
        world, rules = self.world, self.world.rules
        received = [
            order
            for order in world.board.received[self._received :]
            if order.attempt >> ATTEMPT_BITS <= self._last_term
            and not self._ends_gang(order, rules)
        ]
        needless = self._needless_stops(received, rules)
        unrecorded = self.before.unrecorded
        stopped = {
            Placed(order.task, order.attempt, order.machine)
            for order in received
            if order.verb == KILL and order.effective
        }
        repeated = {
            verb: sum(1 for order in received if order.verb == verb and not order.effective)
            for verb in (RUN, KILL, FORGET)
        }
        return Measured(
            differences=self.before.counts(),
            machines=self.before.machines,
            matching=len(self.before.matching),
            orders=len(received),
            needed=sum(1 for order in received if order.effective) - len(needless),
            repeated=repeated,
            needless_stops=tuple(sorted(f"{row.task} on {row.machine}" for row in needless)),
            needless_restarts=tuple(sorted(self._needless_restarts(received, rules))),
            unrecorded_kept=len(unrecorded - stopped),
            unrecorded_stopped=len(unrecorded & stopped),
            settled_after=self.settled_after,
            state_requests=world.state.requests - self._state_requests,
            state_changes=max(0, world.state.revision - self._revision),
            cloud_requests=world.cloud.requests - self._cloud_requests,
            rented=len(world.cloud.creation_ids) - self._rented,
        )

    @staticmethod
    def _ends_gang(order: ReceivedOrder, rules: Rules) -> bool:
        """Whether an order stops a gang that is done.

        The first task of a gang that is done ends its job, and the others are told to stop,
        though they end by themselves. That is not due to a restart.
        """
        case = rules.jobs[_job_of(order.task)]
        return order.verb == KILL and is_gang(case.body) and case.is_complete

    def _needless_stops(self, received: list[ReceivedOrder], rules: Rules) -> list[ReceivedOrder]:
        """Return stops that nothing asked for.

        These are of tasks that worked when the controllers returned, whose users had not cancelled
        them, and whose capacity no task of a higher priority took.
        """
        return [
            order
            for order in received
            if order.verb == KILL
            and order.effective
            and Placed(order.task, order.attempt, order.machine) in self._kept
            and rules.jobs[_job_of(order.task)].cancel_requested_at is None
            and not self._made_room(order, rules)
        ]

    def _made_room(self, stop: ReceivedOrder, rules: Rules) -> bool:
        """Whether a task of a higher priority began on the machine right after the stop."""
        stopped = priority(rules.jobs[_job_of(stop.task)].body)
        return any(
            machine == stop.machine
            and 0 <= at - stop.at < MAKES_ROOM_FOR
            and priority(rules.jobs[_job_of(task)].body) > stopped
            for at, task, machine in self.world.board.starts[self._starts :]
        )

    def _needless_restarts(self, received: list[ReceivedOrder], rules: Rules) -> list[str]:
        """Return the tasks that worked when the controllers returned and have begun again since."""
        made_room = {
            order.task
            for order in received
            if order.verb == KILL and order.effective and self._made_room(order, rules)
        }
        running = {row.task: row for row in self._kept if row.task not in made_room}
        again = []
        for _, task, machine in self.world.board.starts[self._starts :]:
            row = running.get(task)
            if row is not None and rules.jobs[row.job].cancel_requested_at is None:
                again.append(f"{task} from {row.machine} to {machine}")
        return again


def _job_of(task: str) -> str:
    return task.rpartition("/")[0]
