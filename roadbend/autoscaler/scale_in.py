"""Machines that are given back: the empty ones, and those on which tasks keep failing."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.autoscaler import policy
from roadbend.autoscaler.cloud import MAX_NAMES, Cloud, Still
from roadbend.fleet.machines import Machine
from roadbend.log import Log
from roadbend.placement import free_capacity
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.store.records import Job

log = Log("autoscaler")
# Returns of machines are gathered for this long.
GATHER = timedelta(seconds=2)


class ScaleIn:
    """Gives machines of all partitions back to the cloud."""

    def __init__(self, context: ControllerContext, cloud: Cloud):
        self._context, self._cloud = context, cloud
        # When machines of each partition were last given back.
        self._returned: dict[str, datetime] = {}

    async def give_back(
        self,
        leader: PartitionLeader,
        now: datetime,
        model: Job | None,
        surplus: int,
        still: Still,
    ) -> None:
        """`model`: the service that warm room is kept for, of which `surplus` places may go.
        `still`: whether the partition is still ours when the call goes out."""
        names = self._faulty(leader) + self._unneeded(leader, now, model, surplus)
        if not names or not self._is_worth_a_call(leader, names, now):
            return
        names = names[:MAX_NAMES]
        self._returned[leader.partition] = now
        for name in names:
            # Marked before the call: nothing is started on it while the answer is out.
            if leader.machines[name].lifecycle.draining is None:
                leader.machines[name].lifecycle.draining = "returned"
        names = [name for name in names if name not in leader.by_machine()]
        if not names:
            return
        await self._cloud.delete(names, still=still)
        log.info(
            "machines-deleted",
            partition=leader.partition,
            count=len(names),
            machines=",".join(names),
        )
        for name in names:
            leader.gone(name, "deleted")

    def _is_worth_a_call(self, leader: PartitionLeader, names: list[str], now: datetime) -> bool:
        """A few at a time would take a call each."""
        last = self._returned.get(leader.partition, clock.ORIGIN)
        return len(names) >= MAX_NAMES // 4 or now - last >= GATHER

    def _faulty(self, leader: PartitionLeader) -> list[str]:
        """Machines that are being drained and hold nothing any more; those on which the tasks of
        several jobs failed are drained from here on."""
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
        self, leader: PartitionLeader, now: datetime, model: Job | None, surplus: int
    ) -> list[str]:
        """Machines that have been empty for long enough, as far as warm room and gangs that wait
        don't need them."""
        idle = [
            (machine.id, machine.empty_since, self._warm_places(leader, machine, model))
            for machine in leader.machines.values()
            if machine.lifecycle.draining is None
            and machine.token.confirmed
            and machine.empty_since is not None
            and machine.lifecycle.reclaim_at is None
            and not _is_busy(leader, machine)
        ]
        idle.sort(key=lambda row: row[1])
        kept = self._kept_for_gangs(leader, [name for name, _, _ in idle])
        free = [row for row in idle if row[0] not in kept]
        return policy.to_return(free, now, self._context.operator.idle_return, surplus)

    def _warm_places(self, leader: PartitionLeader, machine: Machine, model: Job | None) -> int:
        """How many places of warm room an empty machine is."""
        if model is None or not free_capacity.allowed(
            model, machine.machine_type, machine.zone, machine.spot
        ):
            return 0
        return self._places(leader, machine, model)

    def _places(self, leader: PartitionLeader, machine: Machine, job: Job) -> int:
        """How many of a job's tasks an empty machine takes."""
        machine_type = self._context.machine_types.get(machine.machine_type)
        if machine_type is None:
            return 0
        option = policy.MachineOption(machine_type, machine.spot, 0.0)
        return policy.empty_room("", option, leader.partition).count(job.spec.resources)

    def _kept_for_gangs(self, leader: PartitionLeader, idle: list[str]) -> set[str]:
        """Empty machines that a waiting gang needs: it begins when the last one is up, and those
        that came up before would be returned meanwhile, again and again."""
        kept: set[str] = set()
        for item in leader.left:
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
    """Whether a machine holds work, or may, or is being deleted."""
    return bool(
        machine.id in leader.by_machine()
        or machine.unrecorded_tasks
        or machine.id in leader.in_flight
        or machine.lifecycle.fencing
    )
