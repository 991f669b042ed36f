"""The catalog of machine types: read from the cloud and stored in the records."""

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
# Used while the records lack the catalog: a controller that started in a cloud outage would have no
# machine types.
READ_INTERVAL_UNRECORDED = timedelta(seconds=1)
RETRY_INTERVAL = timedelta(seconds=4)
# Used while no machine types are known at all: without them no task can be placed.
RETRY_INTERVAL_UNKNOWN = timedelta(seconds=1)
RECORD_TIMEOUT = timedelta(seconds=3)


class Catalog:
    """Keeps the context's machine types up to date; one instance runs in each controller."""

    def __init__(self, context: ControllerContext, cloud: Cloud) -> None:
        self._context, self._cloud = context, cloud

    async def run(self) -> None:
        """Read the catalog from the cloud periodically, for ever."""
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
        """Use the recorded catalog, in case this controller starts during a cloud outage."""
        recorded = self._context.view.catalog
        if self._context.machine_types or recorded is None:
            return
        try:
            self._context.machine_types = read_machine_types(recorded)
            log.info("catalog-loaded", machine_types=len(self._context.machine_types))
        except MalformedError as error:
            log.error("record-unreadable", key=keys.CATALOG_KEY, error=error)

    async def _record(self, machine_types: dict[str, MachineType]) -> None:
        """Record the catalog if anything but the prices of spot machines has changed."""
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
            view.apply_transaction(changes, revision)
        except (ConflictError, LeaseEndedError, UnavailableError):
            # Another controller has written it, or the next round tries again.
            pass
