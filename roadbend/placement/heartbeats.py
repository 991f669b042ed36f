"""Evaluates the heartbeats of a partition's machines and determines the answers."""

from datetime import datetime, timedelta
from functools import partial
from threading import RLock
from typing import Any

import trio

from roadbend import clock
from roadbend.fleet import heartbeat_evaluation, messages
from roadbend.fleet.machines import Machine
from roadbend.fleet.messages import (
    ForgetTask,
    HeartbeatPosition,
    StartTask,
    WorkerHeartbeat,
    WorkerOrder,
)
from roadbend.fleet.terminations import TaskKey
from roadbend.log import Log
from roadbend.placement.gangs import Gangs
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.recovery_hooks import PartitionRecovery
from roadbend.placement.step_signal import StepSignal
from roadbend.store import records
from roadbend.store.record_view import MachineAttempts
from roadbend.store.records import Attempt

log = Log("placement")
# How long the answer to a heartbeat with changes may wait for the orders that these lead to;
# workers wait 4 s for it.
MAX_ANSWER_DELAY = timedelta(milliseconds=400)


class HeartbeatHandler:
    """Handles worker heartbeats for one partition, under its leader's lock."""

    def __init__(self, state: PartitionState, gangs: Gangs, steps: StepSignal, lock: RLock) -> None:
        self._records, self._context = state.records, state.records.context
        self._partition, self._leadership = state.records.partition, state.records.leadership
        self._registry, self._machines = state.registry, state.registry.by_id
        self._terminations, self._stops = state.terminations, state.stops
        self._starts_in_doubt, self._unheld = state.starts_in_doubt, state.unheld
        self._gangs, self._steps, self._lock = gangs, steps, lock
        # Decides about tasks that no record names.
        self.recovery = PartitionRecovery()

    def token(self, machine: Machine | None = None) -> int:
        """Return the fencing token for a machine: the term, and below it the machine's incarnation.

        It distinguishes reports of a former incarnation, however late, from those of this one.
        """
        return self._leadership.term << records.INCARNATION_BITS | (
            machine.token.incarnation if machine is not None else 0
        )

    def answer_unchanged(self, data: Any, now: datetime) -> int | None:
        """Return the token for the answer to a heartbeat without changes, as nearly all are.

        Comparing it with the last one shows that it requires no orders. None: it must be evaluated.
        """
        name = messages.sender_machine(data)
        machine = self._machines.get(name) if name is not None else None
        if machine is None:
            return None
        contact, last_evaluation = machine.contact, machine.last_evaluation
        if last_evaluation.unchanged_version is None or self._should_forget(machine, now):
            return None
        token = self.token(machine)
        position = messages.unchanged_position(
            data,
            previous=contact.position,
            token=token,
            reported_tasks=last_evaluation.reported_tasks,
            address=machine.address,
        )
        machine_versions = self._context.view.machine_versions.get(self._partition, {})
        if (
            position is None
            or machine_versions.get(machine.id, 0) != last_evaluation.unchanged_version
        ):
            return None
        contact.advance_to(position, now)
        contact.record_heartbeat(now, self._context.settings.heartbeat_interval)
        return token

    async def handle(self, heartbeat: WorkerHeartbeat) -> tuple[int, list[WorkerOrder]] | None:
        """Return token and orders for the answer; None for a heartbeat that is not admitted.

        A heartbeat may lead to new orders: capacity became free, a machine came up. Its answer
        waits briefly for the next scheduling step to record starts, so that the next task starts
        now and not a heartbeat later.
        """
        now = clock.now()
        if heartbeat.machine in self._context.deleted_machines.ids:
            # A heartbeat that was delayed on its way: the machine is deleted, and must not be
            # registered again.
            return None
        with self._lock:
            if self._follows_other_leader(heartbeat):
                return None
            machine = self._machines.get(heartbeat.machine)
            is_new = machine is None
            if machine is None:
                machine = self._registry.register(heartbeat)
                self._steps.request()
            if not machine.admit(heartbeat, self.token(machine), now):
                # A late copy, or the machine restarted: only the machine itself can tell which.
                return None
            if heartbeat.token > self.token(machine):
                machine.follow_token(heartbeat.token & records.INCARNATION_MASK)
            orders, has_changes = self._process(machine, heartbeat, now)
            if not (is_new or has_changes):
                return self._answer(machine, heartbeat, orders, now)
            self._steps.request()
            step = self._steps.next_step
        incarnation = machine.token.incarnation
        with trio.move_on_after(MAX_ANSWER_DELAY.total_seconds()):
            await self._steps.wait_for_end(step)
        with self._lock:
            if not self._is_still_valid(machine, heartbeat, incarnation):
                return None
            orders = self._orders(machine, heartbeat, clock.now())
            return self._answer(machine, heartbeat, orders, now)

    def _answer(
        self,
        machine: Machine,
        heartbeat: WorkerHeartbeat,
        orders: list[WorkerOrder],
        received_at: datetime,
    ) -> tuple[int, list[WorkerOrder]]:
        """Return token and orders for the answer, and record what is sent with it."""
        if self._should_forget(machine, received_at):
            orders = self._forget_ended(machine, orders)
        self._log_forgotten(machine, heartbeat, orders)
        self._update_last_evaluation(machine, heartbeat, orders)
        self._starts_in_doubt.record_answer(machine, heartbeat.position, received_at, orders)
        return self.token(machine), orders

    def _should_forget(self, machine: Machine, now: datetime) -> bool:
        """Return whether the ended attempts that a machine keeps are due to be forgotten."""
        lease = self._context.settings.lease
        return machine.token.replayable_starts.is_due(now, lease)

    def _forget_ended(self, machine: Machine, orders: list[WorkerOrder]) -> list[WorkerOrder]:
        """Raise a machine's token, and add the orders to forget its ended attempts.

        The answer that raises a token carries no starts. They go first, unless the machine keeps as
        many ended attempts as it may.
        """
        starts = machine.token.replayable_starts
        has_starts = any(isinstance(order, StartTask) for order in orders)
        if has_starts and not starts.is_full():
            return orders
        forgets = starts.forgets
        machine.raise_token()
        return [*(order for order in orders if not isinstance(order, StartTask)), *forgets]

    def _log_forgotten(
        self, machine: Machine, heartbeat: WorkerHeartbeat, orders: list[WorkerOrder]
    ) -> None:
        """Log which attempts a machine is ordered to forget, and under which token."""
        forgotten = [order for order in orders if isinstance(order, ForgetTask)]
        if forgotten:
            log.info(
                "attempts-forgotten",
                partition=self._partition,
                machine=machine.id,
                shown_token=heartbeat.token,
                token=self.token(machine),
                attempts=",".join(f"{o.job}/{o.task_index}@{o.attempt}" for o in forgotten),
            )

    def _follows_other_leader(self, heartbeat: WorkerHeartbeat) -> bool:
        """Return whether a heartbeat carries a term that this leader has not given its machine."""
        term = heartbeat.token >> records.INCARNATION_BITS
        # With a higher term the machine follows a newer leader, and would drop our answer. With
        # our term it is a machine that we answered in this term, and we know all of these until
        # they are deleted: so this is a late copy from a deleted machine, or the records have lost
        # a term, and ours was another leader's before.
        is_unknown = heartbeat.machine not in self._machines
        if term > self._leadership.term or (is_unknown and term == self._leadership.term):
            self.recovery.record_term_in_use(heartbeat.machine, term)
            return True
        return False

    def _process(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime
    ) -> tuple[list[WorkerOrder], bool]:
        """Evaluate an admitted heartbeat; return the orders, and whether it may require others."""
        had_notice = machine.lifecycle.reclaim_at is not None
        was_confirmed = machine.token.confirmed
        changes_before = self._terminations.changes
        machine.contact.record_heartbeat(now, self._context.settings.heartbeat_interval)
        orders = self._orders(machine, heartbeat, now)
        has_changes = (
            self._terminations.changes != changes_before or machine.token.confirmed != was_confirmed
        )
        if machine.token.confirmed and not was_confirmed:
            log.debug(
                "machine-token-confirmed",
                partition=self._partition,
                machine=machine.id,
                token=heartbeat.token,
            )
            machine.contact.acknowledged_at = now
            self._starts_in_doubt.mark_confirmed(machine.id)
        if machine.lifecycle.reclaim_at is not None and not had_notice:
            log.info(
                "machine-reclaim-announced",
                partition=self._partition,
                machine=machine.id,
                notice_s=heartbeat.notice,
            )
            self._evacuate(machine, self._records.attempts_by_machine().get(machine.id, {}), now)
            has_changes = True
        return orders, has_changes

    def _is_still_valid(
        self, machine: Machine, heartbeat: WorkerHeartbeat, incarnation: int
    ) -> bool:
        """Return whether a heartbeat whose answer was delayed may still be evaluated.

        Meanwhile the partition may have been lost, the machine deleted or restarted, or a newer
        heartbeat answered with start orders: a task missing in this one would then prove nothing.
        """
        return (
            self._records.is_leading()
            and self._machines.get(machine.id) is machine
            and machine.token.incarnation == incarnation
            and machine.contact.is_latest(heartbeat)
        )

    def _update_last_evaluation(
        self, machine: Machine, heartbeat: WorkerHeartbeat, orders: list[WorkerOrder]
    ) -> None:
        machine.last_evaluation.reported_tasks = heartbeat.reported_tasks
        recorded = self._records.attempts_by_machine().get(machine.id, {})
        is_settled = (
            not orders
            and machine.token.confirmed
            and machine.lifecycle.reclaim_at is None
            # Tasks that no record names are evaluated with every heartbeat.
            and machine.unrecorded_tasks == 0
            and machine.tasks.keys() == recorded.keys()
        )
        # So are tasks that are to end, until they have ended.
        if is_settled and not any(
            key in self._terminations or key in self._stops for key in recorded
        ):
            machine.last_evaluation.unchanged_version = self._context.view.machine_versions.get(
                self._partition, {}
            ).get(machine.id, 0)
        else:
            machine.last_evaluation.invalidate()

    def _orders(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime
    ) -> list[WorkerOrder]:
        recorded = self._records.attempts_by_machine().get(machine.id, {})
        for key, (_, attempt) in recorded.items():
            if self._records.live_job(key[0]) is None:
                self._stops.order_cancelled(TaskKey(*key), attempt, now)
        shows_our_token = heartbeat.token == self.token(machine)
        # Whoever raises the machine's token relies on no start carrying a higher token than the
        # machine has shown.
        may_start = (
            self._context.election.may_start(now)
            and not machine.lifecycle.fencing
            and (shows_our_token or machine.token.newly_created)
        )
        jobs = {
            key[0]: job for key in recorded if (job := self._records.live_job(key[0])) is not None
        }
        expected = heartbeat_evaluation.MachineExpectation(
            self._partition,
            recorded,
            jobs,
            self._stops.by_task,
            self._terminations,
            may_start,
            self._records.recorded_attempt,
            partial(self.recovery.keeps_unrecorded, machine, now=now),
            partial(self._may_send, machine.id, now),
            self._context.recorded_ends.recorded_at,
        )
        orders = heartbeat_evaluation.evaluate(
            machine, heartbeat, self.token(machine), expected, now
        )
        if shows_our_token:
            self._unheld.mark_held(machine.id, machine.tasks)
        self.recovery.record_heartbeat(machine, heartbeat, now)
        self._update_machine(machine, recorded, now)
        return orders

    def _may_send(self, machine: str, now: datetime, key: TaskKey, attempt: Attempt) -> bool:
        return self._unheld.may_send(machine, key, attempt.number, now)

    def begin_incarnation(self, machine: Machine, position: HeartbeatPosition) -> None:
        """Record that a machine itself has shown that it restarted.

        Reports of its former incarnation no longer prove anything, and its tasks count as
        terminated only once a heartbeat of this incarnation, with its own token, lacks them.
        """
        with self._lock:
            log.info(
                "machine-restarted",
                partition=self._partition,
                machine=machine.id,
                incarnation=machine.token.incarnation + 1,
            )
            machine.record_restart(position)
            self._starts_in_doubt.mark_restarted(machine.id)
            recorded = self._records.attempts_by_machine().get(machine.id, {})
            lost = [(TaskKey(*key), attempt.number) for key, (_, attempt) in recorded.items()]
            self._unheld.mark_lost(machine.id, lost, clock.now())
        self._steps.request()

    def _evacuate(self, machine: Machine, recorded: MachineAttempts, now: datetime) -> None:
        """Stop the tasks that can save before the machine is reclaimed; others run until then."""
        remaining = (machine.lifecycle.reclaim_at or now) - now
        for key, (_, attempt) in recorded.items():
            job = self._records.live_job(key[0])
            if job is None or key in self._stops:
                continue
            if job.spec.checkpoint > clock.ZERO:
                grace = min(
                    max(remaining - timedelta(seconds=1), clock.ZERO),
                    job.spec.save + timedelta(seconds=2),
                )
                if job.spec.gang:
                    # A gang saves as a whole, or nothing of it is saved.
                    self._gangs.stop_gang(job, "notice", now)
                else:
                    self._stops.order(TaskKey(*key), attempt, grace, "notice", now)

    def _update_machine(self, machine: Machine, recorded: MachineAttempts, now: datetime) -> None:
        machine_type = self._context.machine_types.get(machine.machine_type)
        for key, reported in machine.tasks.items():
            job = self._context.view.jobs.get(key[0])
            if job is None or machine_type is None:
                continue
            if reported.state == "running":
                machine.record_image(job.spec.image, job.spec.image_gb, machine_type.cache_gb)
        if recorded or machine.tasks:
            machine.empty_since = None
        elif machine.empty_since is None:
            machine.empty_since = now
