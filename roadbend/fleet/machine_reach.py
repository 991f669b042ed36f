"""Whether the machines of a partition that another controller leads can be reached from here."""

from collections.abc import Sequence
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machine_probe import inspect_machine
from roadbend.http.net import Net
from roadbend.store.record_view import RecordView

# Machines of a partition that are asked; a cut of the network shows on any few.
MAX_ASKED = 8
# How long a partition that was found out of reach is not asked again.
RETRY_INTERVAL = timedelta(seconds=20)


class MachineReach:
    """Asks a few of a partition's machines whether they answer."""

    def __init__(self, net: Net, inventory: CloudInventory, view: RecordView) -> None:
        self._net, self._inventory, self._view = net, inventory, view
        # By partition, until when it counts as out of reach.
        self._out_of_reach: dict[str, datetime] = {}

    async def is_reached(self, partition: str) -> bool:
        """Tell whether most of those machines answer that run something by the records.

        False, too, while the cloud's list has not been read.
        """
        now = clock.now()
        if now < self._out_of_reach.get(partition, now):
            return False
        addresses = self._addresses(partition)
        if not addresses:
            return False
        answered = await self._count_answers(addresses)
        if 2 * answered > len(addresses):
            return True
        self._out_of_reach[partition] = clock.now() + RETRY_INTERVAL
        return False

    def _addresses(self, partition: str) -> dict[str, str]:
        """Return the addresses of some machines, spread over all of a partition's, by name."""
        listed = self._inventory.rows
        running = self._view.attempts_by_machine.get(partition, {})
        known = sorted(name for name in running if name in listed)
        return {name: listed[name].address for name in _spread(known, MAX_ASKED)}

    async def _count_answers(self, addresses: dict[str, str]) -> int:
        answered = 0

        async def ask(name: str, address: str) -> None:
            nonlocal answered
            if await inspect_machine(self._net, address, name) is not None:
                answered += 1

        async with trio.open_nursery() as nursery:
            for name, address in addresses.items():
                nursery.start_soon(ask, name, address)
        return answered


def _spread(names: Sequence[str], most: int) -> Sequence[str]:
    """Return at most so many of some names, evenly spread."""
    if len(names) <= most:
        return names
    return [names[at * len(names) // most] for at in range(most)]
