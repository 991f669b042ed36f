"""Reads the cloud's list of machines; one loop runs in each controller."""

from collections.abc import Mapping
from datetime import timedelta

from roadbend import clock
from roadbend.autoscaler.booting_machines import BootingMachines
from roadbend.cloud.client import Cloud, CloudBusyError, NoCapacityError
from roadbend.cloud.messages import ListedMachine
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader

log = Log("autoscaler")
# How often a controller that leads no partition checks whether it has acquired one, so that the
# list is read soon after an acquisition.
IDLE_INTERVAL = timedelta(milliseconds=300)


class InventoryLoop:
    """Keeps the cloud inventory up to date and finds orphaned machines in it."""

    def __init__(
        self,
        context: ControllerContext,
        cloud: Cloud,
        inventory: CloudInventory,
        leaders: Mapping[str, PartitionLeader],
        booting: BootingMachines,
    ) -> None:
        self._context, self._cloud, self._inventory = context, cloud, inventory
        self._leaders, self._booting = leaders, booting

    async def run(self) -> None:
        """Read the list periodically while this controller leads a partition, for ever."""
        while True:
            if not self._leaders:
                await clock.pause(IDLE_INTERVAL)
                continue
            try:
                machines = await self._cloud.list_machines()
                self._inventory.update(machines)
                self._record_unknown(machines)
            except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
                log.debug("machine-list-unavailable", error=str(error)[:60])
            except Exception:
                # An unexpected error with one list must not stop the loop.
                log.crash("machine-list-failed")
            await clock.pause(self._cloud.list_interval(len(self._inventory.rows)))

    def _record_unknown(self, machines: list[ListedMachine]) -> None:
        """Record the machines of this controller's partitions that their leaders don't know."""
        now = clock.now()
        for listed in machines:
            leader = self._leaders.get(listed.zone)
            if leader is None or listed.id in leader.machines:
                continue
            if listed.id in self._context.deleted_machines.ids:
                # The list lags behind and still shows deleted machines; these are not orphaned.
                continue
            self._booting.record_listed(listed, now)
