"""The leader of one partition for one term: pending queue, placement, records, silent machines.

The records of the job slices, as the record view shows them, are authoritative for attempts. The
state kept in memory may be lost: what machines last reported, terminations that are not recorded
yet, and stop orders.
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
from roadbend.placement.quarantine import Quarantine
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
# Delay before a step, so that one transaction covers all that arrives in the meantime.
MIN_STEP_DELAY = timedelta(milliseconds=90)
# The delay is at least this many times the computing time of the last step, up to a maximum: where
# steps take long, heartbeats must be answered between them.
STEP_DELAY_FACTOR = 2
MAX_STEP_DELAY = timedelta(seconds=1)
# Sends a machine its starts on behalf of a leader.
SendLeaderStarts = Callable[["PartitionLeader", str, list[tuple[TaskKey, Attempt]]], None]


class PartitionLeader:
    """The leader of one partition for one term."""

    def __init__(
        self,
        context: ControllerContext,
        leadership: Leadership,
        send_starts: SendLeaderStarts | None = None,
    ) -> None:
        send = partial(send_starts, self) if send_starts else None
        self.lock = threading.RLock()
        self.state = state = PartitionState.create(context, leadership, send)
        # The registered machines by id; an attribute because others read it in long loops.
        self.machines: Mapping[str, Machine] = state.registry.by_id
        self.usable_machines = UsableMachines(state.records, state.registry)
        self.steps = StepSignal()
        self.transactions = TransactionSender(
            state.records, state.terminations, state.direct_starts
        )
        self.apart_gangs = ApartGangs(state)
        self.gangs = Gangs(state, self.apart_gangs)
        self.quotas = Quotas(state)
        self.quarantine = Quarantine(
            state.records, state.registry, state.failures, state.exclusions
        )
        self.queue = PendingQueue(state, self.gangs)
        self.projections = QueueProjections(state, self.usable_machines, self.queue)
        self.heartbeats = HeartbeatHandler(state, self.gangs, self.steps, self.lock)
        self._termination_recorder = TerminationRecorder(state)
        self._scheduler = self._create_scheduler()
        # Consulted before acting on the records; replaced by `use_recovery` if recovery is on.
        self.recovery = PartitionRecovery()

    def _create_scheduler(self) -> StartScheduler:
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
        """Consult these hooks before acting on the records."""
        self.recovery = self.queue.recovery = self.heartbeats.recovery = recovery

    # Read access to the objects of the state.

    @property
    def context(self) -> ControllerContext:
        """The context that all partitions of the controller share."""
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
        """The partition's machines, including those that are still being created or booting."""
        return self.state.registry

    @property
    def terminations(self) -> Terminations:
        """The terminated attempts that are not recorded yet."""
        return self.state.terminations

    @property
    def starts_in_doubt(self) -> StartsInDoubt:
        """The starts in doubt: sent, and possibly still to be carried out."""
        return self.state.starts_in_doubt

    @property
    def unheld(self) -> UnheldAttempts:
        """The recorded attempts that their machines have not reported as held."""
        return self.state.unheld

    @property
    def stops(self) -> StopOrders:
        """The stop orders."""
        return self.state.stops

    @property
    def aging(self) -> JobAging:
        """How long jobs have been pending."""
        return self.state.aging

    @property
    def exclusions(self) -> PlacementExclusions:
        """The machines and machine types excluded for jobs."""
        return self.state.exclusions

    @property
    def reservations(self) -> Reservations:
        """The machines reserved for jobs."""
        return self.state.reservations

    @property
    def gang_attempts(self) -> GangAttempts:
        """The state of gang attempts."""
        return self.state.gang_attempts

    # The scheduling loop.

    async def run(self) -> None:
        """Run steps as they are requested until the leadership ends."""
        while self.records.is_leading():
            with trio.move_on_after(0.5):
                await self.steps.wait_for_request()
            run_again = True
            while run_again and self.records.is_leading():
                # Batches further changes into fewer and larger transactions.
                await clock.pause(
                    max(
                        MIN_STEP_DELAY,
                        min(MAX_STEP_DELAY, self.steps.last_duration * STEP_DELAY_FACTOR),
                    )
                )
                self.steps.begin()
                try:
                    run_again = await self.step()
                except UnavailableError:
                    # The records will show whether the transaction was committed; every later write
                    # is conditional.
                    await clock.pause(timedelta(milliseconds=200))
                    run_again = False
                except Exception:
                    log.crash("scheduling-step-failed", partition=self.partition)
                    await clock.pause(timedelta(seconds=1))
                    run_again = False
                finally:
                    self.steps.end()

    async def step(self) -> bool:
        """Run one step: at most one transaction.

        Return whether the next step should follow at once.
        """
        if not self.context.election.may_start(clock.now()):
            return False
        if self.transactions.in_doubt and not await self.transactions.resolve_in_doubt():
            return False
        # Waits for the request budget first, so that all that arrives meanwhile goes into one
        # transaction instead of several.
        await self.context.state.wait_until_ready()
        now = clock.now()
        if not self.context.election.may_start(now):
            return False
        with self.lock:
            self.stops.order_all_cancelled(now)
            self.gangs.abandon_incomplete_attempts(now)
            self._drop_obsolete(now)
            self.quarantine.update(now)
            transaction = self.transactions.new_transaction()
            has_more = self._termination_recorder.record(transaction, now)
            has_more = self.recovery.adopt(transaction, now) or has_more
            has_more = self._scheduler.start(transaction, now) or has_more
            self.quotas.release_unneeded(self.queue.pending(), transaction, now)
            self.steps.record_duration(clock.now() - now)
        if not transaction.changes:
            return False
        return await self.transactions.send(transaction, has_more)

    def _drop_obsolete(self, now: datetime) -> None:
        """Drop state that is obsolete according to the records or has expired."""
        recorded = self.records.recorded_attempt
        self.terminations.keep_only(
            # A gang's task is replaced under the same attempt number, so compare the machine, too.
            lambda key, end: recorded(key) == Attempt(end.attempt, end.machine)
        )
        self.stops.drop_unrecorded()
        self.starts_in_doubt.drop_obsolete(now)
        self.unheld.drop_obsolete(now)
        self.gang_attempts.drop_obsolete(
            lambda job: self.records.live_job(job) is not None,
            self.gangs.is_fully_recorded,
            self.gangs.recorded_number,
        )
        self.exclusions.drop_expired(now)
        self.reservations.drop_obsolete({item.job.id for item in self.queue.not_placed}, now)
        self.state.backoff.drop_expired(now)

    def mark_attempts_terminated(self, machine: str, evidence: TerminationEvidence) -> None:
        """Mark all attempts recorded on a machine as terminated.

        The evidence does not come from a heartbeat: it is the cloud's answer to a deletion, or an
        expired worker lease.
        """
        with self.lock:
            for key, (_, attempt) in self.records.attempts_by_machine().get(machine, {}).items():
                self.terminations.add(key, Termination(attempt.number, machine, False, evidence))
            self.registry.invalidate_evaluation(machine)
            if evidence == TerminationEvidence.DELETED:
                self.registry.remove(machine)
                self.context.deleted_machines.add(machine)
        self.steps.request()
