"""Reads the cloud's list of machines, once a controller."""

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
# How often a controller without a partition looks whether it leads one: soon after it has acquired
# one, its machines are to be known.
IDLE_INTERVAL = timedelta(milliseconds=300)


class InventoryLoop:
    """Keeps the cloud inventory up to date, and finds orphaned machines in it."""

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
        """Read the list again and again, as long as this controller leads a partition."""
        while True:
            if not self._leaders:
                await clock.pause(IDLE_INTERVAL)
                continue
            try:
                machines = await self._cloud.list_machines()
                self._inventory.update(machines)
                self._note_unknown(machines)
            except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
                log.debug("machine-list-unavailable", error=str(error)[:60])
            except Exception:
                # Whatever a list shows, the next one must be read.
                log.crash("machine-list-failed")
            await clock.pause(self._cloud.list_interval(len(self._inventory.rows)))

    def _note_unknown(self, machines: list[ListedMachine]) -> None:
        """Note the machines of our partitions that their leaders don't know."""
        now = clock.now()
        for listed in machines:
            leader = self._leaders.get(listed.zone)
            if leader is None or listed.id in leader.machines:
                continue
            if listed.id in self._context.deleted_machines.ids:
                # The list lags: what was deleted still appears in it, and is not orphaned.
                continue
            self._booting.note_listed(listed, now)
