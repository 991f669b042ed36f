"""A leader's work on its partition, for one term: queue, placement, records, silent machines.

The truth about attempts is in the slice records as the view shows them. What is kept here besides
is what can be lost: what machines last showed, the terminations not yet recorded, stops that were
decided."""

import threading
from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial

import trio

from roadbend import clock
from roadbend.fleet.terminations import TaskKey, Termination, TerminationEvidence, Terminations
from roadbend.log import Log
from roadbend.partitions.leadership import Leadership
from roadbend.placement import ends, gangs, quotas, starts
from roadbend.placement.aging import JobAging
from roadbend.placement.attempt_numbers import AttemptNumbers
from roadbend.placement.context import ControllerContext
from roadbend.placement.direct_starts import DirectStarts
from roadbend.placement.exclusions import PlacementExclusions
from roadbend.placement.failure_backoff import FailureBackoff
from roadbend.placement.gang_attempts import GangAttempts
from roadbend.placement.heartbeats import HeartbeatHandler
from roadbend.placement.machine_registry import MachineRegistry
from roadbend.placement.partition_records import PartitionRecords
from roadbend.placement.pending_queue import PendingQueue
from roadbend.placement.queue_projection import QueueProjections
from roadbend.placement.recovery_hooks import PartitionRecovery
from roadbend.placement.reservations import Reservations
from roadbend.placement.step_signal import StepSignal
from roadbend.placement.stop_orders import StopOrders
from roadbend.placement.transaction_sender import TransactionSender
from roadbend.placement.usable_machines import UsableMachines
from roadbend.store.client import UnavailableError
from roadbend.store.records import Attempt

log = Log("placement")
# A transaction gathers what comes within this time.
STEP_GAP = timedelta(milliseconds=90)
# For how many times as long as a step took to work out the next one waits at the least, and how
# long that may be: where steps take long, heartbeats are to be answered between them.
STEP_REST_FACTOR = 2
MAX_STEP_REST = timedelta(seconds=1)
# Sends a machine its starts, for a leader.
SendLeaderStarts = Callable[["PartitionLeader", str, list[tuple[TaskKey, Attempt]]], None]


class PartitionLeader:
    """A leader's work on one partition for one term."""

    def __init__(
        self,
        context: ControllerContext,
        leadership: Leadership,
        send_starts: SendLeaderStarts | None = None,
    ):
        self.lock = threading.RLock()
        self.context, self.leadership, self.partition = context, leadership, leadership.partition
        self.records = PartitionRecords(context, leadership)
        self.registry = MachineRegistry(self.partition)
        self.machines = self.registry.by_id
        self.usable_machines = UsableMachines(self.records, self.registry)
        self.terminations = Terminations()
        self.stops = StopOrders(self.records, self.registry)
        self.aging = JobAging()
        self.backoff = FailureBackoff()
        self.exclusions = PlacementExclusions()
        self.reservations = Reservations()
        self.gang_attempts = GangAttempts()
        self.attempt_numbers = AttemptNumbers(leadership.term)
        self.steps = StepSignal()
        self._step_took = clock.ZERO
        self.direct_starts = DirectStarts(partial(send_starts, self) if send_starts else None)
        self.transactions = TransactionSender(self.records, self.terminations, self.direct_starts)
        self.queue = PendingQueue(self)
        self.projections = QueueProjections(self)
        self.heartbeats = HeartbeatHandler(self)
        self.reserved_at: dict[str, datetime] = {}
        # Asked before the records are acted on; answers otherwise where recovery is switched on.
        self.recovery = PartitionRecovery()

    # The loop.

    async def run(self) -> None:
        while self.records.is_leading():
            with trio.move_on_after(0.5):
                await self.steps.requested()
            again = True
            while again and self.records.is_leading():
                # Together with what comes in the next moment: fewer and fuller transactions.
                await clock.pause(
                    max(STEP_GAP, min(MAX_STEP_REST, self._step_took * STEP_REST_FACTOR))
                )
                self.steps.begin()
                try:
                    again = await self.step()
                except UnavailableError:
                    # Whether it was carried out shows in the records; every later write is
                    # conditional.
                    await clock.pause(timedelta(milliseconds=200))
                    again = False
                except Exception:
                    log.crash("scheduling-step-failed", partition=self.partition)
                    await clock.pause(timedelta(seconds=1))
                    again = False
                finally:
                    self.steps.end()

    async def step(self) -> bool:
        """Carry one step out: one transaction at most.

        Return whether the next one is to come at once."""
        if not self.context.election.may_start(clock.now()):
            return False
        if self.transactions.in_doubt and not await self.transactions.resolve_in_doubt():
            return False
        # The budget comes first: what waits for it then goes out in one transaction, not in many.
        await self.context.state.ready()
        now = clock.now()
        if not self.context.election.may_start(now):
            return False
        with self.lock:
            self.stops.order_all_cancelled(now)
            gangs.keep_whole(self, now)
            self._tidy(now)
            transaction = self.transactions.new_transaction()
            more = ends.record_ends(self, transaction, now)
            more = self.recovery.adopt(transaction, now) or more
            more = starts.start(self, transaction, now) or more
            quotas.reserve(self, transaction, now)
            self._step_took = clock.now() - now
        if not transaction.changes:
            return False
        return await self.transactions.send(transaction, more)

    def _tidy(self, now: datetime) -> None:
        """Drop what no longer matters by the records and the time."""
        recorded = self.records.recorded_attempt
        self.terminations.keep_only(
            # The tasks of a gang are replaced under one number, so that the machine counts too.
            lambda key, end: recorded(key) == Attempt(end.attempt, end.machine)
        )
        self.stops.drop_unrecorded()
        self.gang_attempts.drop_over(
            lambda job: self.records.live_job(job) is not None,
            lambda job, attempt: gangs.filled(self, job, attempt),
            lambda job: gangs.number(self, job),
        )
        self.exclusions.drop_expired(now)
        self.reservations.drop_stale({item.job.id for item in self.queue.not_placed}, now)
        self.backoff.drop_expired(now)

    def terminate_attempts(self, machine: str, evidence: TerminationEvidence) -> None:
        """Note as terminated all that is recorded on a machine.

        The evidence is from outside a heartbeat: the cloud's answer to a deletion, or a worker
        lease that ran out."""
        with self.lock:
            for key, (_, attempt) in self.records.attempts_by_machine().get(machine, {}).items():
                self.terminations.note(key, Termination(attempt.number, machine, False, evidence))
            self.registry.expect_change(machine)
            if evidence == TerminationEvidence.DELETED:
                self.registry.remove(machine)
                self.context.deleted_machines.add(machine)
        self.steps.request()
