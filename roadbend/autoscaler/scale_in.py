"""Deletes machines that are not needed: empty ones, and those on which tasks keep failing."""

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
# Deletions are gathered for this long, or until there are this many.
GATHER_INTERVAL = timedelta(seconds=2)
GATHERED_DELETIONS = MAX_DELETIONS // 4


class IdleMachine(NamedTuple):
    """A machine with no work on it, and how many tasks of the warm pool's service it takes."""

    id: str
    empty_since: datetime
    warm_tasks: int


class ScaleIn:
    """Deletes the machines that a partition does not need."""

    def __init__(self, context: ControllerContext, cloud: Cloud) -> None:
        self._context, self._cloud = context, cloud
        # When machines of each partition were last deleted.
        self._deleted_at: dict[str, datetime] = {}

    async def delete_unneeded(
        self,
        leader: PartitionLeader,
        now: datetime,
        warm_service: Job | None,
        warm_surplus: int,
        precondition: Precondition,
    ) -> None:
        """Delete what a partition does not need now, some at a time.

        `warm_service` is the service that the warm pool is for; places for `warm_surplus` of its
        tasks may go. `precondition` is asked right before the request goes out. Raises as
        `Cloud.delete_machines`.
        """
        names = self._faulty(leader) + self._unneeded(leader, now, warm_service, warm_surplus)
        if not names or not self._is_worth_a_request(leader, names, now):
            return
        names = names[:MAX_DELETIONS]
        self._deleted_at[leader.partition] = now
        for name in names:
            # Marked before the request: nothing is started on it while the answer is out.
            if leader.machines[name].lifecycle.draining is None:
                leader.machines[name].lifecycle.draining = "returned"
        names = [name for name in names if name not in leader.records.attempts_by_machine()]
        if not names:
            return
        await self._cloud.delete_machines(names, precondition=precondition)
        log.info(
            "machines-deleted",
            partition=leader.partition,
            count=len(names),
            machines=",".join(names),
        )
        for name in names:
            leader.mark_attempts_terminated(name, TerminationEvidence.DELETED)

    def _is_worth_a_request(self, leader: PartitionLeader, names: list[str], now: datetime) -> bool:
        """Return whether to delete now: a few at a time would take a request each."""
        last = self._deleted_at.get(leader.partition, clock.ORIGIN)
        return len(names) >= GATHERED_DELETIONS or now - last >= GATHER_INTERVAL

    def _faulty(self, leader: PartitionLeader) -> list[str]:
        """Return the machines that are being drained and hold nothing any more.

        Those on which the tasks of several jobs failed are drained from here on.
        """
        names = []
        for machine in leader.machines.values():
            failed = len(machine.failures) >= self._context.operator.error_limit
            if failed and machine.lifecycle.draining is None:
                machine.lifecycle.draining = "sick"
                log.info("machine-quarantined", partition=leader.partition, machine=machine.id)
            if machine.lifecycle.draining is not None and not _is_busy(leader, machine):
                names.append(machine.id)
        return names

    def _unneeded(
        self,
        leader: PartitionLeader,
        now: datetime,
        warm_service: Job | None,
        warm_surplus: int,
    ) -> list[str]:
        """Return the machines that have been empty for long enough.

        Those that the warm pool or a gang that waits needs are kept.
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
        """Return how many tasks of the warm pool's service an empty machine takes."""
        if warm_service is None or not free_capacity.allowed(
            warm_service, machine.machine_type, machine.zone, machine.spot
        ):
            return 0
        return self._places(leader, machine, warm_service)

    def _places(self, leader: PartitionLeader, machine: Machine, job: Job) -> int:
        """Return how many of a job's tasks an empty machine takes."""
        machine_type = self._context.machine_types.get(machine.machine_type)
        if machine_type is None:
            return 0
        option = machine_options.MachineOption(machine_type, machine.spot, price=0.0)
        empty = machine_options.new_machine("", option, leader.partition)
        return empty.count(job.spec.resources)

    def _kept_for_gangs(self, leader: PartitionLeader, idle: list[str]) -> set[str]:
        """Return the empty machines that a waiting gang needs.

        It starts when the last one is up, and those that came up before would be deleted
        meanwhile, again and again.
        """
        kept: set[str] = set()
        for item in leader.queue.not_placed:
            places = item.count if item.job.spec.gang else 0
            for name in idle:
                if places <= 0:
                    break
                machine = leader.machines[name]
                if (
                    machine.machine_type not in self._context.machine_types
                    or not free_capacity.allowed(
                        item.job, machine.machine_type, machine.zone, machine.spot
                    )
                ):
                    continue
                places -= self._places(leader, machine, item.job)
                kept.add(name)
        return kept


def _is_busy(leader: PartitionLeader, machine: Machine) -> bool:
    """Return whether a machine holds work, or may, or is being deleted."""
    return bool(
        machine.id in leader.records.attempts_by_machine()
        or machine.unrecorded_tasks
        or machine.id in leader.transactions.machines_in_flight
        or machine.lifecycle.fencing
    )


def machines_to_delete(
    idle: list[IdleMachine], now: datetime, after: timedelta, warm_surplus: int
) -> list[str]:
    """Return the ids of the machines that have been idle for `after`, the longest idle first.

    The warm pool keeps what it needs: places for only `warm_surplus` of its tasks may go.
    """
    chosen = []
    for machine in sorted(idle, key=lambda machine: machine.empty_since):
        if now - machine.empty_since < after or machine.warm_tasks > max(0, warm_surplus):
            continue
        warm_surplus -= machine.warm_tasks
        chosen.append(machine.id)
    return chosen
