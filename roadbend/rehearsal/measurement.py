"""Measures a restart of all controllers by the orders that reach the workers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

import trio

from roadbend.checkers.differences import (
    ATTEMPT_BITS,
    PlacedAttempt,
    TrueDifferences,
    true_differences,
)
from roadbend.checkers.protocol_rules import Rules
from roadbend.fakes.board import Board, ReceivedOrder
from roadbend.fakes.cloud import FakeCloud
from roadbend.fakes.state import FakeStateService
from roadbend.fakes.worker import FakeWorker
from roadbend.rehearsal.messages import is_gang, priority

# How often records and workers are compared, in seconds.
COMPARE_INTERVAL_S = 0.5
# A stop counts as preemption if a task of higher priority starts on the machine within this time,
# in seconds.
PREEMPTION_WINDOW_S = 15.0
# Verbs of orders to workers, as on the wire.
RUN = "run"
KILL = "kill"
FORGET = "forget"


@dataclass(frozen=True)
class Measurement:
    """The figures of one restart, as they are printed in the report."""

    differences: dict[str, int]
    machines: int
    matching: int
    # Orders about attempts from before the restart: all received, and the needed ones.
    orders: int
    needed: int
    repeated: dict[str, int]
    needless_stops: tuple[str, ...]
    needless_restarts: tuple[str, ...]
    # Unrecorded attempts of live jobs: kept running, or stopped.
    unrecorded_kept: int
    unrecorded_stopped: int
    settled_after: float | None
    state_requests: int
    state_changes: int
    cloud_requests: int
    rented: int

    @property
    def excess(self) -> float:
        """Orders in excess of the needed ones, as a share of the latter."""
        surplus = self.orders - self.needed
        return surplus / self.needed if self.needed else float(surplus)


class Deployment(Protocol):
    """The deployment that is measured, in memory or on loopback."""

    state: FakeStateService
    cloud: FakeCloud
    board: Board
    rules: Rules

    def workers(self) -> list[FakeWorker]:
        """Return the workers of the running machines."""


@dataclass
class RestartMeasurement:
    """Measures a deployment from the moment at which the first controller starts again."""

    world: Deployment
    faulted: set[str]
    began: float = field(default_factory=trio.current_time)
    settled_after: float | None = None
    # Attempts that run when the first controller starts, including those whose records the state
    # store lost: to stop one of them is needless.
    _running_attempts: frozenset[PlacedAttempt] = frozenset()
    _unsettled: set[PlacedAttempt] = field(default_factory=set)

    def __post_init__(self) -> None:
        world = self.world
        self.initial = true_differences(world.state, world.workers())
        self._orders_before = len(world.board.received)
        self._state_requests_before, self._revision_before = (
            world.state.requests,
            world.state.revision,
        )
        self._cloud_requests_before, self._creations_before = (
            world.cloud.requests,
            len(world.cloud.creation_ids),
        )
        self._starts_before = len(world.board.starts)
        recorded_term = max(
            (value["n"] for value in world.state.values_with_prefix("r/term/").values()), default=0
        )
        max_attempt = max((placed.attempt for placed in self._all_attempts()), default=0)
        self._last_term = max(recorded_term, max_attempt >> ATTEMPT_BITS)
        self._unsettled = set(self._differing(self.initial))
        self._running_attempts = self.initial.matching | self.initial.unrecorded
        self.exclude_machines(self.faulted)

    def _all_attempts(self) -> Iterable[PlacedAttempt]:
        initial = self.initial
        return initial.matching | initial.missing | initial.unrecorded | initial.cancelled

    @staticmethod
    def _differing(differences: TrueDifferences) -> Iterable[PlacedAttempt]:
        return (
            differences.missing
            | differences.ended
            | differences.cancelled
            | differences.unrecorded
            | differences.leftovers
        )

    def exclude_machines(self, machines: Iterable[str]) -> None:
        """Exclude machines with an injected fault.

        What becomes of their tasks is not due to the restart.
        """
        machine_ids = set(machines)
        jobs = self.world.rules.jobs
        attempts = self._running_attempts | self.initial.silent | self.initial.missing
        affected = {attempt.job for attempt in attempts if attempt.machine in machine_ids}
        # A gang that has lost one task has to be stopped as a whole.
        gangs = {job_id for job_id in affected if is_gang(jobs[job_id].body)}
        self._running_attempts = frozenset(
            attempt
            for attempt in self._running_attempts
            if attempt.machine not in machine_ids and attempt.job not in gangs
        )

    async def watch(self) -> None:
        """Compare periodically until every initial difference is settled."""
        while self.settled_after is None:
            await trio.sleep(COMPARE_INTERVAL_S)
            current = true_differences(self.world.state, self.world.workers())
            running = {worker.machine for worker in self.world.workers()}
            self._unsettled &= set(self._differing(current))
            if not any(attempt.machine in running for attempt in self._unsettled):
                self.settled_after = trio.current_time() - self.began

    def measure(self) -> Measurement:
        """Return the figures up to now."""
        world, rules = self.world, self.world.rules
        received = [
            order
            for order in world.board.received[self._orders_before :]
            if order.attempt >> ATTEMPT_BITS <= self._last_term
            and not self._stops_completed_gang(order, rules)
        ]
        needless_stops = self._needless_stops(received, rules)
        unrecorded = self.initial.unrecorded
        stopped = {
            PlacedAttempt(order.task, order.attempt, order.machine)
            for order in received
            if order.verb == KILL and order.effective
        }
        repeated = {
            verb: sum(1 for order in received if order.verb == verb and not order.effective)
            for verb in (RUN, KILL, FORGET)
        }
        return Measurement(
            differences=self.initial.counts(),
            machines=self.initial.machines,
            matching=len(self.initial.matching),
            orders=len(received),
            needed=sum(1 for order in received if order.effective) - len(needless_stops),
            repeated=repeated,
            needless_stops=tuple(
                sorted(f"{order.task} on {order.machine}" for order in needless_stops)
            ),
            needless_restarts=tuple(sorted(self._needless_restarts(received, rules))),
            unrecorded_kept=len(unrecorded - stopped),
            unrecorded_stopped=len(unrecorded & stopped),
            settled_after=self.settled_after,
            state_requests=world.state.requests - self._state_requests_before,
            state_changes=max(0, world.state.revision - self._revision_before),
            cloud_requests=world.cloud.requests - self._cloud_requests_before,
            rented=len(world.cloud.creation_ids) - self._creations_before,
        )

    @staticmethod
    def _stops_completed_gang(order: ReceivedOrder, rules: Rules) -> bool:
        """Return whether an order stops a task of a gang that is done.

        The first task of a gang that is done ends the job. The other tasks are then ordered to
        stop, although they end by themselves. That is not due to the restart.
        """
        job = rules.jobs[_job_id_of(order.task)]
        return order.verb == KILL and is_gang(job.body) and job.is_complete

    def _needless_stops(self, received: list[ReceivedOrder], rules: Rules) -> list[ReceivedOrder]:
        """Return the stops that had no reason.

        Their tasks ran when the controllers returned, were not cancelled by a user, and were not
        preempted by a task of higher priority.
        """
        return [
            order
            for order in received
            if order.verb == KILL
            and order.effective
            and PlacedAttempt(order.task, order.attempt, order.machine) in self._running_attempts
            and rules.jobs[_job_id_of(order.task)].cancel_requested_at is None
            and not self._is_preemption(order, rules)
        ]

    def _is_preemption(self, stop: ReceivedOrder, rules: Rules) -> bool:
        """Return whether a higher-priority task started on the machine right after the stop."""
        stopped_priority = priority(rules.jobs[_job_id_of(stop.task)].body)
        return any(
            machine == stop.machine
            and 0 <= started_at - stop.at < PREEMPTION_WINDOW_S
            and priority(rules.jobs[_job_id_of(task)].body) > stopped_priority
            for started_at, task, machine in self.world.board.starts[self._starts_before :]
        )

    def _needless_restarts(self, received: list[ReceivedOrder], rules: Rules) -> list[str]:
        """Return the tasks that ran when the controllers returned and were started again."""
        preempted = {
            order.task
            for order in received
            if order.verb == KILL and order.effective and self._is_preemption(order, rules)
        }
        running = {
            attempt.task: attempt
            for attempt in self._running_attempts
            if attempt.task not in preempted
        }
        restarts = []
        for _, task, machine in self.world.board.starts[self._starts_before :]:
            attempt = running.get(task)
            if attempt is not None and rules.jobs[attempt.job].cancel_requested_at is None:
                restarts.append(f"{task} from {attempt.machine} to {machine}")
        return restarts


def _job_id_of(task: str) -> str:
    return task.rpartition("/")[0]
