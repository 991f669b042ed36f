"""What heartbeats of a partition's machines bring, and what they are answered."""

from datetime import datetime, timedelta
from functools import partial
from threading import RLock
from typing import Any

import trio

from roadbend import clock
from roadbend.fleet import heartbeat_evaluation, messages
from roadbend.fleet.machines import Machine
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat, WorkerOrder
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
# How long a heartbeat that brought news may wait for what it calls for; workers wait 4 s.
ANSWER_WAIT = timedelta(milliseconds=400)


class HeartbeatHandler:
    """Takes heartbeats in for one partition, under its leader's lock."""

    def __init__(self, state: PartitionState, gangs: Gangs, steps: StepSignal, lock: RLock) -> None:
        self._records, self._context = state.records, state.records.context
        self._partition, self._leadership = state.records.partition, state.records.leadership
        self._registry, self._machines = state.registry, state.registry.by_id
        self._terminations, self._stops = state.terminations, state.stops
        self._starts_in_doubt, self._unheld = state.starts_in_doubt, state.unheld
        self._gangs, self._steps, self._lock = gangs, steps, lock
        # Asked about tasks that no record names.
        self.recovery = PartitionRecovery()

    def token(self, machine: Machine | None = None) -> int:
        """Return the fencing token for a machine: the term, and below it the machine's incarnation.

        So what a former incarnation said, however late it comes, is told from what this one says.
        """
        return self._leadership.term << records.INCARNATION_BITS | (
            machine.token.incarnation if machine is not None else 0
        )

    def answer_unchanged(self, data: Any, now: datetime) -> int | None:
        """Return the token to answer a heartbeat with that brings nothing new, as nearly all do.

        It is known to call for no orders by comparing it with the last one. None: it must be read.
        """
        name = messages.sender_machine(data)
        machine = self._machines.get(name) if name is not None else None
        if machine is None:
            return None
        contact, last_evaluation = machine.contact, machine.last_evaluation
        if last_evaluation.unchanged_version is None:
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

        What a heartbeat brings may call for orders: capacity came free, a machine came up. Its
        answer waits the little while that recording takes, so that the next task starts now and not
        a heartbeat later.
        """
        now = clock.now()
        if heartbeat.machine in self._context.deleted_machines.ids:
            # A heartbeat that was held back on its way: the machine is gone, and must not come to
            # life here.
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
                # A late copy, or a machine that began anew: only the machine itself can tell.
                return None
            if heartbeat.token > self.token(machine):
                machine.follow_token(heartbeat.token & records.INCARNATION_MASK)
            orders, news = self._take_in(machine, heartbeat, now)
            if not (is_new or news):
                return self._answer(machine, heartbeat, orders, now)
            self._steps.request()
            step = self._steps.next_step
        incarnation = machine.token.incarnation
        with trio.move_on_after(ANSWER_WAIT.total_seconds()):
            await self._steps.wait_for_end(step)
        with self._lock:
            if not self._still_counts(machine, heartbeat, incarnation):
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
        """Return token and orders for the answer, and note what goes out with it."""
        self._note_unchanged(machine, heartbeat, orders)
        self._starts_in_doubt.record_answer(machine, heartbeat.position, received_at, orders)
        return self.token(machine), orders

    def _follows_other_leader(self, heartbeat: WorkerHeartbeat) -> bool:
        """Whether a heartbeat carries a term that this leader has not given its machine."""
        term = heartbeat.token >> records.INCARNATION_BITS
        # With a higher term it follows a newer leader, and our answer would be dropped. With ours,
        # it is from a machine that we answered in this term, and we know them all until they are
        # deleted: a late copy from a machine that is no more; or the records have lost a term, and
        # ours was another leader's before.
        is_unknown = heartbeat.machine not in self._machines
        if term > self._leadership.term or (is_unknown and term == self._leadership.term):
            self.recovery.record_term_in_use(heartbeat.machine, term)
            return True
        return False

    def _take_in(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime
    ) -> tuple[list[WorkerOrder], bool]:
        """Read an admitted heartbeat; return the orders, and whether it may call for others."""
        had_notice = machine.lifecycle.reclaim_at is not None
        was_confirmed = machine.token.confirmed
        before = self._terminations.changes
        machine.contact.record_heartbeat(now, self._context.settings.heartbeat_interval)
        orders = self._orders(machine, heartbeat, now)
        news = self._terminations.changes != before or machine.token.confirmed != was_confirmed
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
            news = True
        return orders, news

    def _still_counts(self, machine: Machine, heartbeat: WorkerHeartbeat, incarnation: int) -> bool:
        """Whether a heartbeat that waited may still be read and answered.

        Meanwhile the partition may have been lost, the machine deleted or restarted, and a newer
        heartbeat of it answered with orders to start: what this one lacks would then prove nothing.
        """
        return (
            self._records.is_leading()
            and self._machines.get(machine.id) is machine
            and machine.token.incarnation == incarnation
            and machine.contact.is_latest(heartbeat)
        )

    def _note_unchanged(
        self, machine: Machine, heartbeat: WorkerHeartbeat, orders: list[WorkerOrder]
    ) -> None:
        machine.last_evaluation.reported_tasks = heartbeat.reported_tasks
        recorded = self._records.attempts_by_machine().get(machine.id, {})
        still = (
            not orders
            and machine.token.confirmed
            and machine.lifecycle.reclaim_at is None
            # What no record names is judged anew with every heartbeat.
            and machine.unrecorded_tasks == 0
            and machine.tasks.keys() == recorded.keys()
        )
        # What is to end is judged anew, too, until it has.
        if still and not any(key in self._terminations or key in self._stops for key in recorded):
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
        # Whoever raises the machine's token relies on it that no start carries a higher one than it
        # has shown.
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
        )
        orders = heartbeat_evaluation.evaluate(
            machine, heartbeat, self.token(machine), expected, now
        )
        if shows_our_token:
            self._unheld.mark_held(machine.id, machine.tasks)
        self.recovery.record_heartbeat(machine, heartbeat, now)
        self._learn(machine, recorded, now)
        return orders

    def _may_send(self, machine: str, now: datetime, key: TaskKey, attempt: Attempt) -> bool:
        return self._unheld.may_send(machine, key, attempt.number, now)

    def begin_incarnation(self, machine: Machine, position: HeartbeatPosition) -> None:
        """Note that a machine itself has shown that it restarted.

        What its former incarnation said proves nothing any more, and what it held is terminated
        only once a heartbeat of this incarnation under its own token lacks it.
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
        """Let tasks on a machine run as long as it pays before it is reclaimed, then save."""
        left = (machine.lifecycle.reclaim_at or now) - now
        for key, (_, attempt) in recorded.items():
            job = self._records.live_job(key[0])
            if job is None or key in self._stops:
                continue
            if job.spec.checkpoint > clock.ZERO:
                grace = min(
                    max(left - timedelta(seconds=1), clock.ZERO),
                    job.spec.save + timedelta(seconds=2),
                )
                if job.spec.gang:
                    # All of it saves together, or nothing is saved.
                    self._gangs.stop_gang(job, "notice", now)
                else:
                    self._stops.order(TaskKey(*key), attempt, grace, "notice", now)

    def _learn(self, machine: Machine, recorded: MachineAttempts, now: datetime) -> None:
        machine_type = self._context.machine_types.get(machine.machine_type)
        for key, seen in machine.tasks.items():
            job = self._context.view.jobs.get(key[0])
            if job is None or machine_type is None:
                continue
            if seen.state == "running":
                machine.record_image(job.spec.image, job.spec.image_gb, machine_type.cache_gb)
        if recorded or machine.tasks:
            machine.empty_since = None
        elif machine.empty_since is None:
            machine.empty_since = now
