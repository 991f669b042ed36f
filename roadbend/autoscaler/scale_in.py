"""Deletes empty machines: those that are not needed, and those on which tasks keep failing."""

from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.cloud.client import MAX_DELETIONS, Cloud, Precondition
from roadbend.fleet.machines import Machine
from roadbend.fleet.terminations import TerminationEvidence
from roadbend.log import Log
from roadbend.placement import free_capacity, machine_options
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.store.records import Job

log = Log("autoscaler")
# Deletions are batched: for this long, or until there are this many.
DELETION_BATCH_INTERVAL = timedelta(seconds=2)
MIN_DELETION_BATCH = MAX_DELETIONS // 4


class IdleMachine(NamedTuple):
    """A machine without tasks, and how many tasks of the warm pool's service fit on it."""

    id: str
    empty_since: datetime
    warm_tasks: int


class ScaleIn:
    """Deletes the machines that partitions do not need."""

    def __init__(self, context: ControllerContext, cloud: Cloud) -> None:
        self._context, self._cloud = context, cloud
        # When machines were last deleted, by partition.
        self._deleted_at: dict[str, datetime] = {}

    async def delete_unneeded(
        self,
        leader: PartitionLeader,
        now: datetime,
        warm_service: Job | None,
        warm_surplus: int,
        precondition: Precondition,
    ) -> None:
        """Delete machines that a partition does not need now, in batches.

        `warm_service` is the service that the warm pool is for; capacity for `warm_surplus` of its
        tasks may be deleted. `precondition` is checked right before the request is sent. Raises the
        errors of `Cloud.delete_machines`.
        """
        machine_ids = self._drained_or_faulty(leader) + self._unneeded(
            leader, now, warm_service, warm_surplus
        )
        if not machine_ids or not self._is_worth_a_request(leader, machine_ids, now):
            return
        machine_ids = machine_ids[:MAX_DELETIONS]
        self._deleted_at[leader.partition] = now
        for machine_id in machine_ids:
            # Marked before the request is sent, so that no task starts on it meanwhile.
            if leader.machines[machine_id].lifecycle.draining is None:
                leader.machines[machine_id].lifecycle.draining = "returned"
        machine_ids = [
            machine_id
            for machine_id in machine_ids
            if machine_id not in leader.records.attempts_by_machine()
        ]
        if not machine_ids:
            return
        await self._cloud.delete_machines(machine_ids, precondition=precondition)
        log.info(
            "machines-deleted",
            partition=leader.partition,
            count=len(machine_ids),
            machines=",".join(machine_ids),
        )
        for machine_id in machine_ids:
            leader.mark_attempts_terminated(machine_id, TerminationEvidence.DELETED)

    def _is_worth_a_request(
        self, leader: PartitionLeader, machine_ids: list[str], now: datetime
    ) -> bool:
        """Return whether to delete now or to wait for a larger batch, which saves requests."""
        last = self._deleted_at.get(leader.partition, clock.ORIGIN)
        return len(machine_ids) >= MIN_DELETION_BATCH or now - last >= DELETION_BATCH_INTERVAL

    def _drained_or_faulty(self, leader: PartitionLeader) -> list[str]:
        """Return the ids of the draining machines, and those to be replaced, without tasks."""
        return [
            machine.id
            for machine in leader.machines.values()
            if (
                machine.lifecycle.draining is not None
                or leader.quarantine.should_replace(machine.id)
            )
            and not _is_busy(leader, machine)
        ]

    def _unneeded(
        self,
        leader: PartitionLeader,
        now: datetime,
        warm_service: Job | None,
        warm_surplus: int,
    ) -> list[str]:
        """Return the ids of the machines that have been idle for long enough.

        Machines that the warm pool or a pending gang needs are kept.
        """
        idle = [
            IdleMachine(
                machine.id,
                machine.empty_since,
                self._warm_tasks(leader, machine, warm_service),
            )
            for machine in leader.machines.values()
            if machine.lifecycle.draining is None
            and machine.token.confirmed
            and machine.empty_since is not None
            and not leader.quarantine.should_replace(machine.id)
            and machine.lifecycle.reclaim_at is None
            and not _is_busy(leader, machine)
        ]
        idle.sort(key=lambda machine: machine.empty_since)
        kept = self._kept_for_gangs(leader, [machine.id for machine in idle])
        free = [machine for machine in idle if machine.id not in kept]
        return machines_to_delete(free, now, self._context.operator.idle_return, warm_surplus)

    def _warm_tasks(
        self, leader: PartitionLeader, machine: Machine, warm_service: Job | None
    ) -> int:
        """Return how many tasks of the warm pool's service fit on an empty machine."""
        if warm_service is None or not free_capacity.allowed(
            warm_service, machine.machine_type, machine.zone, machine.spot
        ):
            return 0
        return self._fitting_tasks(leader, machine, warm_service)

    def _fitting_tasks(self, leader: PartitionLeader, machine: Machine, job: Job) -> int:
        """Return how many of a job's tasks fit on an empty machine."""
        machine_type = self._context.machine_types.get(machine.machine_type)
        if machine_type is None:
            return 0
        option = machine_options.MachineOption(machine_type, machine.spot, price=0.0)
        empty = machine_options.new_machine("", option, leader.partition)
        return empty.count(job.spec.resources)

    def _kept_for_gangs(self, leader: PartitionLeader, idle: list[str]) -> set[str]:
        """Return the ids of the idle machines that pending gangs need.

        A gang starts once the last of its machines is up; the earlier ones would be deleted as idle
        before that, again and again.
        """
        kept: set[str] = set()
        for item in leader.queue.not_placed:
            unplaced_count = item.count if item.job.spec.gang else 0
            for machine_id in idle:
                if unplaced_count <= 0:
                    break
                machine = leader.machines[machine_id]
                if (
                    machine.machine_type not in self._context.machine_types
                    or not free_capacity.allowed(
                        item.job, machine.machine_type, machine.zone, machine.spot
                    )
                ):
                    continue
                unplaced_count -= self._fitting_tasks(leader, machine, item.job)
                kept.add(machine_id)
        return kept


def _is_busy(leader: PartitionLeader, machine: Machine) -> bool:
    """Return whether a machine has tasks, may have some, or is being fenced."""
    return bool(
        machine.id in leader.records.attempts_by_machine()
        or machine.unrecorded_tasks
        or machine.id in leader.transactions.machines_in_flight
        or machine.lifecycle.fencing
    )


def machines_to_delete(
    idle: list[IdleMachine], now: datetime, idle_time: timedelta, warm_surplus: int
) -> list[str]:
    """Return the ids of the machines that have been idle for `idle_time`, the longest idle first.

    The warm pool keeps what it needs: capacity for only `warm_surplus` of its tasks may be deleted.
    """
    chosen = []
    for machine in sorted(idle, key=lambda machine: machine.empty_since):
        if now - machine.empty_since < idle_time or machine.warm_tasks > max(0, warm_surplus):
            continue
        warm_surplus -= machine.warm_tasks
        chosen.append(machine.id)
    return chosen
