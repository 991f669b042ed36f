"""Creates and deletes the machines of the partitions that a controller leads."""

import random
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.autoscaler.booting_machines import BootingMachines
from roadbend.autoscaler.capacity_refusals import CapacityRefusals
from roadbend.autoscaler.catalog import Catalog
from roadbend.autoscaler.inventory_loop import InventoryLoop
from roadbend.autoscaler.machine_creation import MachineCreation, while_leading
from roadbend.autoscaler.scale_in import ScaleIn
from roadbend.autoscaler.scale_out_planner import ScaleOutPlanner, ScalingPlan
from roadbend.autoscaler.warm_pool import WarmPool
from roadbend.cloud.client import Cloud, CloudBusyError
from roadbend.cloud.messages import MachineKind
from roadbend.fleet.service import Fleet
from roadbend.fleet.terminations import TerminationEvidence
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader

log = Log("autoscaler")
# The minimum pause between a partition's rounds, and the pause after a failed round.
ROUND_INTERVAL = timedelta(milliseconds=900)
RETRY_PAUSE = timedelta(seconds=1)
# How many of the machines that never registered one log line names at most.
MAX_LOGGED = 5


class Autoscaler:
    """Scales out for the pending queues, and scales in machines that are not needed.

    `catalog` and `inventory` each run once for the controller, `run` once for each partition.
    """

    def __init__(
        self,
        context: ControllerContext,
        cloud: Cloud,
        fleet: Fleet,
        leaders: dict[str, PartitionLeader],
        rng: random.Random,
    ) -> None:
        self._context, self._cloud, self._fleet = context, cloud, fleet
        self._booting = BootingMachines(context)
        self._refusals = CapacityRefusals(context.operator, rng)
        self._planner = ScaleOutPlanner(context, self._booting, WarmPool(context))
        self._creation = MachineCreation(context, cloud, self._booting, self._refusals, rng)
        self._scale_in = ScaleIn(context, cloud)
        self.catalog = Catalog(context, cloud)
        self.inventory = InventoryLoop(context, cloud, fleet.inventory, leaders, self._booting)

    async def run(self, leader: PartitionLeader) -> None:
        """Scale one partition, round by round, until its leader loses leadership."""
        partition, pause = leader.partition, ROUND_INTERVAL
        while self._context.election.leadership(partition) == leader.leadership:
            await clock.pause(pause)
            pause = ROUND_INTERVAL
            try:
                now = clock.now()
                if self._context.election.may_start(now) and self._context.machine_types:
                    plan = self._planner.plan(leader, now, self.unavailable_kinds(partition, now))
                    # If planning takes long, it is done less often.
                    planning_time = clock.now() - now
                    pause = max(ROUND_INTERVAL, self._context.reuse_window(planning_time))
                    await self._carry_out(leader, now, plan)
            except (NoAnswerError, CloudBusyError) as error:
                log.debug("cloud-unavailable", partition=partition, error=str(error)[:60])
                await clock.pause(RETRY_PAUSE)
            except Exception:
                # An unexpected error in one round must not end the autoscaling of the partition.
                log.crash("autoscaling-failed", partition=partition)
                await clock.pause(RETRY_PAUSE)

    def unavailable_kinds(self, partition: str, now: datetime) -> set[MachineKind]:
        """Return the kinds of machines that can't be created in a partition now."""
        if self._fleet.reachability.is_unreachable(partition, now):
            # The heartbeats of machines created behind a network partition would not be received.
            return {
                MachineKind(machine_type, spot)
                for machine_type in self._context.machine_types
                for spot in (True, False)
            }
        return self._refusals.refused_kinds(partition, now)

    async def _carry_out(self, leader: PartitionLeader, now: datetime, plan: ScalingPlan) -> None:
        for kind, count in plan.machines.items():
            await self._creation.create_all(leader, kind, count)
        await self._scale_in.delete_unneeded(
            leader,
            now,
            plan.warm_service,
            plan.warm_surplus,
            while_leading(self._context, leader),
        )
        await self._delete_never_registered(leader, now)

    async def _delete_never_registered(self, leader: PartitionLeader, now: datetime) -> None:
        partition = leader.partition
        late = self._booting.never_registered(leader, now)
        if not late or self._fleet.reachability.is_unreachable(partition, now):
            return
        log.info(
            "machines-never-registered",
            partition=partition,
            machines=",".join(late[:MAX_LOGGED]),
            count=len(late),
        )
        await self._cloud.delete_machines(late, precondition=while_leading(self._context, leader))
        self._booting.remove(partition, late)
        for machine in late:
            leader.mark_attempts_terminated(machine, TerminationEvidence.DELETED)
