"""The catalog of machine types: read from the cloud, kept in the records."""

from datetime import timedelta

from roadbend import clock
from roadbend.cloud.client import Cloud, CloudBusyError, NoCapacityError
from roadbend.cloud.messages import (
    MachineType,
    catalog_value,
    is_same_but_for_spot_prices,
    read_machine_types,
)
from roadbend.http.client import NoAnswerError
from roadbend.http.server import MalformedError
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.store import keys
from roadbend.store.client import ConflictError, LeaseEndedError, UnavailableError, commit, put

log = Log("autoscaler")
READ_INTERVAL = timedelta(seconds=20)
# Until the catalog is in the records, a controller that starts in a cloud outage would not know it.
READ_INTERVAL_UNRECORDED = timedelta(seconds=1)
RETRY_INTERVAL = timedelta(seconds=4)
# Without any catalog nothing can be placed.
RETRY_INTERVAL_UNKNOWN = timedelta(seconds=1)
RECORD_TIMEOUT = timedelta(seconds=3)


class Catalog:
    """Keeps the context's machine types up to date, once a controller."""

    def __init__(self, context: ControllerContext, cloud: Cloud) -> None:
        self._context, self._cloud = context, cloud

    async def run(self) -> None:
        """Read the catalog again and again."""
        while True:
            self._load_recorded()
            try:
                machine_types = await self._cloud.read_catalog()
                self._context.machine_types = machine_types
                await self._record(machine_types)
                recorded = self._context.view.catalog is not None
                await clock.pause(READ_INTERVAL if recorded else READ_INTERVAL_UNRECORDED)
            except (NoAnswerError, CloudBusyError, NoCapacityError) as error:
                log.info("catalog-unavailable", error=str(error)[:60])
                known = bool(self._context.machine_types)
                await clock.pause(RETRY_INTERVAL if known else RETRY_INTERVAL_UNKNOWN)

    def _load_recorded(self) -> None:
        """Take what any controller saw last, for a start while the cloud is out."""
        recorded = self._context.view.catalog
        if self._context.machine_types or recorded is None:
            return
        try:
            self._context.machine_types = read_machine_types(recorded)
            log.info("catalog-loaded", machine_types=len(self._context.machine_types))
        except MalformedError as error:
            log.error("record-unreadable", key=keys.CATALOG_KEY, error=error)

    async def _record(self, machine_types: dict[str, MachineType]) -> None:
        """Write the catalog into the records if it has changed but for prices of spot machines."""
        view = self._context.view
        if not view.loaded:
            return
        value = catalog_value(machine_types.values())
        if view.catalog is not None and is_same_but_for_spot_prices(view.catalog, value):
            return
        changes = [put(keys.CATALOG_KEY, value)]
        conditions = {keys.CATALOG_KEY: view.catalog_mod_revision}
        try:
            revision = await commit(self._context.state, conditions, changes, within=RECORD_TIMEOUT)
            view.applied(changes, revision)
        except (ConflictError, LeaseEndedError, UnavailableError):
            # Another controller wrote it, or the next round will.
            pass
