"""What reports of a partition's machines bring, and what they are answered."""

from __future__ import annotations

from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from roadbend import clock
from roadbend.fleet import heartbeat_evaluation, messages
from roadbend.fleet.machines import Machine
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat, WorkerOrder
from roadbend.log import Log
from roadbend.placement import gangs
from roadbend.store import records
from roadbend.store.record_view import MachineAttempts

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

log = Log("placement")
# How long a report that brought news may wait for what it calls for; workers wait 4 s.
ANSWER_WAIT = timedelta(milliseconds=400)


class HeartbeatHandler:
    """Takes reports in for one partition, under its leader's lock."""

    def __init__(self, leader: PartitionLeader):
        self._leader = leader

    def token(self, machine: Machine | None = None) -> int:
        """What goes out as the token: the term, and below it which of the machine's lives this is,
        so that what a former life said, however late it comes, is told from what this one says."""
        leader = self._leader
        return leader.leadership.term << records.INCARNATION_BITS | (
            machine.token.incarnation if machine is not None else 0
        )

    def answer_unchanged(self, data: Any, now: datetime) -> int | None:
        """A report that brings nothing new, which nearly all do: known to be answered with no
        orders by comparing it with the last one. Gives the token to answer with; None: it must be
        looked at."""
        leader = self._leader
        name = messages.sender_machine(data)
        machine = leader.machines.get(name) if name is not None else None
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
        machine_versions = leader.context.view.machine_versions.get(leader.partition, {})
        if (
            position is None
            or machine_versions.get(machine.id, 0) != last_evaluation.unchanged_version
        ):
            return None
        contact.take_in(position, now)
        contact.note_heartbeat(now, leader.context.settings.heartbeat_interval)
        return token

    async def handle(self, heartbeat: WorkerHeartbeat) -> tuple[int, list[WorkerOrder]] | None:
        """Token and orders for the response; None for a report that is not newer than what we had.

        What a report brings may call for orders: room came free, a machine came up. Its response
        waits the little while that recording takes, so that the next task starts now and not a
        report later."""
        leader = self._leader
        now = clock.now()
        if heartbeat.machine in leader.context.deleted_machines.ids:
            # A report that was held back on its way: the machine is gone, and must not come to life
            # here.
            return None
        with leader.lock:
            machine = leader.machines.get(heartbeat.machine)
            fresh = machine is None
            if heartbeat.token >> records.INCARNATION_BITS > leader.leadership.term:
                # It follows a newer owner; our answer would be dropped.
                term = heartbeat.token >> records.INCARNATION_BITS
                leader.recovery.note_term_in_use(heartbeat.machine, term)
                return None
            if machine is None:
                if heartbeat.token >> records.INCARNATION_BITS == leader.leadership.term:
                    # Only machines that we answered in this term carry its token, and we know them
                    # all until they are deleted: a late copy from a machine that is no more; or
                    # the records have lost a term, and ours was another owner's before.
                    leader.recovery.note_term_in_use(heartbeat.machine, leader.leadership.term)
                    return None
                machine = Machine(
                    heartbeat.machine,
                    heartbeat.address,
                    heartbeat.machine_type,
                    heartbeat.zone,
                    heartbeat.spot,
                )
                machine.token.newly_created = (
                    heartbeat.machine in leader.rented
                    and heartbeat.epoch == 1
                    and not heartbeat.tasks
                )
                leader.rented.discard(heartbeat.machine)
                leader.machines[machine.id] = machine
                log.info(
                    "machine-registered",
                    partition=leader.partition,
                    machine=machine.id,
                    machine_type=machine.machine_type,
                    spot=machine.spot,
                )
                leader.wake_up.set()
            if not machine.admit(heartbeat, self.token(machine), now):
                # A late copy, or a machine that began anew: only the machine itself can tell.
                return None
            had_notice, was_ours = machine.lifecycle.reclaim_at is not None, machine.token.confirmed
            before = leader.ended.changes
            machine.contact.note_heartbeat(now, leader.context.settings.heartbeat_interval)
            orders = self._orders(machine, heartbeat, now)
            news = fresh or leader.ended.changes != before or machine.token.confirmed != was_ours
            if machine.token.confirmed and not was_ours:
                machine.contact.acknowledged_at = now
            if machine.lifecycle.reclaim_at is not None and not had_notice:
                log.info(
                    "machine-reclaim-announced",
                    partition=leader.partition,
                    machine=machine.id,
                    notice_s=heartbeat.notice,
                )
                self._evacuate(machine, leader.by_machine().get(machine.id, {}), now)
                news = True
            if not news:
                self._note_unchanged(machine, heartbeat, orders)
                return self.token(machine), orders
            leader.wake_up.set()
            want = leader.steps_begun + 1
        incarnation = machine.token.incarnation
        with trio.move_on_after(ANSWER_WAIT.total_seconds()):
            while leader.steps_ended < want:
                await leader.step_ended.wait()
        with leader.lock:
            if not self._still_counts(machine, heartbeat, incarnation):
                return None
            orders = self._orders(machine, heartbeat, clock.now())
            self._note_unchanged(machine, heartbeat, orders)
            return self.token(machine), orders

    def _still_counts(self, machine: Machine, heartbeat: WorkerHeartbeat, incarnation: int) -> bool:
        """Whether a report that waited may still be read and answered. Meanwhile the partition may
        have been lost, the machine deleted or begun anew, and a newer report of it answered with
        orders to start: what this one lacks would then prove nothing."""
        leader = self._leader
        return (
            leader.context.election.leadership(leader.partition) == leader.leadership
            and leader.machines.get(machine.id) is machine
            and machine.token.incarnation == incarnation
            and machine.contact.is_latest(heartbeat)
        )

    def _note_unchanged(
        self, machine: Machine, heartbeat: WorkerHeartbeat, orders: list[WorkerOrder]
    ) -> None:
        leader = self._leader
        machine.last_evaluation.reported_tasks = heartbeat.reported_tasks
        recorded = leader.by_machine().get(machine.id, {})
        still = (
            not orders
            and machine.token.confirmed
            and machine.lifecycle.reclaim_at is None
            # What no record names is judged anew with every report.
            and machine.unrecorded_tasks == 0
            and machine.tasks.keys() == recorded.keys()
        )
        if still and not any(key in leader.ended for key in recorded):
            machine.last_evaluation.unchanged_version = leader.context.view.machine_versions.get(
                leader.partition, {}
            ).get(machine.id, 0)
        else:
            machine.last_evaluation.invalidate()

    def _orders(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: datetime
    ) -> list[WorkerOrder]:
        leader = self._leader
        recorded = leader.by_machine().get(machine.id, {})
        for key, (_, attempt) in recorded.items():
            if leader.live(key[0]) is None:
                leader._stop_useless(key, attempt, now)
        may_start = leader.context.election.may_start(now) and not machine.lifecycle.fencing
        jobs = {key[0]: job for key in recorded if (job := leader.live(key[0])) is not None}
        expected = heartbeat_evaluation.MachineExpectation(
            leader.partition,
            recorded,
            jobs,
            leader.stops,
            leader.ended,
            may_start,
            leader.recorded_attempt,
            partial(leader.recovery.keeps_unrecorded, machine, now=now),
        )
        orders = heartbeat_evaluation.read(machine, heartbeat, self.token(machine), expected, now)
        leader.recovery.note_heartbeat(machine, heartbeat, now)
        self._learn(machine, recorded, now)
        return orders

    def begin_incarnation(self, machine: Machine, position: HeartbeatPosition) -> None:
        """The machine itself has shown that it began anew: what its former life said proves nothing
        any more, and what it held is gone only once a report of this life under its own token lacks
        it."""
        leader = self._leader
        with leader.lock:
            log.info(
                "machine-restarted",
                partition=leader.partition,
                machine=machine.id,
                incarnation=machine.token.incarnation + 1,
            )
            machine.restart(position)
        leader.wake_up.set()

    def _evacuate(self, machine: Machine, recorded: MachineAttempts, now: datetime) -> None:
        """A spot notice: let tasks run as long as it pays, then save and go."""
        leader = self._leader
        left = (machine.lifecycle.reclaim_at or now) - now
        for key, (_, attempt) in recorded.items():
            job = leader.live(key[0])
            if job is None or key in leader.stops:
                continue
            if job.spec.checkpoint > clock.ZERO:
                grace = min(
                    max(left - timedelta(seconds=1), clock.ZERO),
                    job.spec.save + timedelta(seconds=2),
                )
                if job.spec.gang:
                    # All of it saves together, or nothing is saved.
                    gangs.stop_whole(leader, job, "notice", now)
                else:
                    leader.stop(key, attempt, grace, "notice", now)

    def _learn(self, machine: Machine, recorded: MachineAttempts, now: datetime) -> None:
        leader = self._leader
        machine_type = leader.context.machine_types.get(machine.machine_type)
        for key, seen in machine.tasks.items():
            job = leader.context.view.jobs.get(key[0])
            if job is None or machine_type is None:
                continue
            if seen.state == "running":
                machine.note_image(job.spec.image, job.spec.image_gb, machine_type.cache_gb)
        if recorded or machine.tasks:
            machine.empty_since = None
        elif machine.empty_since is None:
            machine.empty_since = now
