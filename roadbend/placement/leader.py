"""A leader's work on its partition, for one term: queue, placement, records, silent machines.

The truth about attempts is in the slice records as the view shows them. What is kept here besides
is what can be lost: what machines last showed, the terminations not yet recorded, stops that were
decided.
"""

import threading
from collections.abc import Callable, Mapping
from datetime import datetime, timedelta
from functools import partial

import trio

from roadbend import clock
from roadbend.fleet.machines import Machine
from roadbend.fleet.terminations import TaskKey, Termination, TerminationEvidence, Terminations
from roadbend.log import Log
from roadbend.partitions.leadership import Leadership
from roadbend.placement.aging import JobAging
from roadbend.placement.apart_gangs import ApartGangs
from roadbend.placement.context import ControllerContext
from roadbend.placement.exclusions import PlacementExclusions
from roadbend.placement.gang_attempts import GangAttempts
from roadbend.placement.gang_reservations import GangReservations
from roadbend.placement.gangs import Gangs
from roadbend.placement.heartbeats import HeartbeatHandler
from roadbend.placement.machine_registry import MachineRegistry
from roadbend.placement.partition_records import PartitionRecords
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.pending_queue import PendingQueue
from roadbend.placement.preemption import Preemption
from roadbend.placement.queue_projection import QueueProjections
from roadbend.placement.quotas import Quotas
from roadbend.placement.recovery_hooks import PartitionRecovery
from roadbend.placement.reservations import Reservations
from roadbend.placement.start_recorder import StartRecorder
from roadbend.placement.starts import StartScheduler
from roadbend.placement.starts_in_doubt import StartsInDoubt
from roadbend.placement.step_signal import StepSignal
from roadbend.placement.stop_orders import StopOrders
from roadbend.placement.termination_recorder import TerminationRecorder
from roadbend.placement.transaction_sender import TransactionSender
from roadbend.placement.unheld_attempts import UnheldAttempts
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
    ) -> None:
        send = partial(send_starts, self) if send_starts else None
        self.lock = threading.RLock()
        self.state = state = PartitionState.create(context, leadership, send)
        # The registered machines by id; kept here, for others look into them in long loops.
        self.machines: Mapping[str, Machine] = state.registry.by_id
        self.usable_machines = UsableMachines(state.records, state.registry)
        self.steps = StepSignal()
        self.transactions = TransactionSender(
            state.records, state.terminations, state.direct_starts
        )
        self.apart_gangs = ApartGangs(state)
        self.gangs = Gangs(state, self.apart_gangs)
        self.quotas = Quotas(state)
        self.queue = PendingQueue(state, self.gangs)
        self.projections = QueueProjections(state, self.usable_machines, self.queue)
        self.heartbeats = HeartbeatHandler(state, self.gangs, self.steps, self.lock)
        self._recorder = TerminationRecorder(state)
        self._scheduler = self._make_scheduler()
        # Asked before the records are acted on; answers otherwise where recovery is switched on.
        self.recovery = PartitionRecovery()

    def _make_scheduler(self) -> StartScheduler:
        gang_reservations = GangReservations(self.state, self.usable_machines)
        return StartScheduler(
            self.state,
            queue=self.queue,
            usable_machines=self.usable_machines,
            gangs=self.gangs,
            quotas=self.quotas,
            gang_reservations=gang_reservations,
            preemption=Preemption(self.state, self.usable_machines, self.gangs),
            recorder=StartRecorder(self.state, self.gangs, self.apart_gangs, self.quotas),
        )

    def use_recovery(self, recovery: PartitionRecovery) -> None:
        """Ask this before the records are acted on."""
        self.recovery = self.queue.recovery = self.heartbeats.recovery = recovery

    # What others read, of the objects of the state.

    @property
    def context(self) -> ControllerContext:
        """What all partitions of the controller share."""
        return self.state.records.context

    @property
    def leadership(self) -> Leadership:
        """The leadership under which the partition is led."""
        return self.state.records.leadership

    @property
    def partition(self) -> str:
        """The partition's name."""
        return self.state.records.partition

    @property
    def records(self) -> PartitionRecords:
        """The partition's records."""
        return self.state.records

    @property
    def registry(self) -> MachineRegistry:
        """The partition's machines, and those that are to become so."""
        return self.state.registry

    @property
    def terminations(self) -> Terminations:
        """The terminated attempts that are not recorded yet."""
        return self.state.terminations

    @property
    def starts_in_doubt(self) -> StartsInDoubt:
        """The starts that were sent and may still be carried out."""
        return self.state.starts_in_doubt

    @property
    def unheld(self) -> UnheldAttempts:
        """The recorded attempts that their machines have not shown to hold."""
        return self.state.unheld

    @property
    def stops(self) -> StopOrders:
        """The tasks that are to be stopped."""
        return self.state.stops

    @property
    def aging(self) -> JobAging:
        """How long jobs have waited."""
        return self.state.aging

    @property
    def exclusions(self) -> PlacementExclusions:
        """What jobs are kept from."""
        return self.state.exclusions

    @property
    def reservations(self) -> Reservations:
        """The machines that are kept for jobs."""
        return self.state.reservations

    @property
    def gang_attempts(self) -> GangAttempts:
        """The attempts of gangs."""
        return self.state.gang_attempts

    # The loop.

    async def run(self) -> None:
        """Carry steps out, as they are called for, until the leadership ends."""
        while self.records.is_leading():
            with trio.move_on_after(0.5):
                await self.steps.wait_for_request()
            again = True
            while again and self.records.is_leading():
                # Together with what comes in the next moment: fewer and fuller transactions.
                await clock.pause(
                    max(STEP_GAP, min(MAX_STEP_REST, self.steps.last_duration * STEP_REST_FACTOR))
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

        Return whether the next one is to come at once.
        """
        if not self.context.election.may_start(clock.now()):
            return False
        if self.transactions.in_doubt and not await self.transactions.resolve_in_doubt():
            return False
        # The budget comes first: what waits for it then goes out in one transaction, not in many.
        await self.context.state.wait_until_ready()
        now = clock.now()
        if not self.context.election.may_start(now):
            return False
        with self.lock:
            self.stops.order_all_cancelled(now)
            self.gangs.keep_whole(now)
            self._tidy(now)
            transaction = self.transactions.new_transaction()
            more = self._recorder.record(transaction, now)
            more = self.recovery.adopt(transaction, now) or more
            more = self._scheduler.start(transaction, now) or more
            self.quotas.release_unneeded(self.queue.pending(), transaction, now)
            self.steps.record_duration(clock.now() - now)
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
        self.starts_in_doubt.tidy(now)
        self.unheld.tidy(now)
        self.gang_attempts.drop_over(
            lambda job: self.records.live_job(job) is not None,
            self.gangs.filled,
            self.gangs.number,
        )
        self.exclusions.drop_expired(now)
        self.reservations.drop_stale({item.job.id for item in self.queue.not_placed}, now)
        self.state.backoff.drop_expired(now)

    def mark_attempts_terminated(self, machine: str, evidence: TerminationEvidence) -> None:
        """Note as terminated all that is recorded on a machine.

        The evidence is from outside a heartbeat: the cloud's answer to a deletion, or a worker
        lease that ran out.
        """
        with self.lock:
            for key, (_, attempt) in self.records.attempts_by_machine().get(machine, {}).items():
                self.terminations.add(key, Termination(attempt.number, machine, False, evidence))
            self.registry.invalidate_evaluation(machine)
            if evidence == TerminationEvidence.DELETED:
                self.registry.remove(machine)
                self.context.deleted_machines.add(machine)
        self.steps.request()
