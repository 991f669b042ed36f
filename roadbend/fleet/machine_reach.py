"""Whether the machines of a partition that another controller leads can be reached from here."""

from collections.abc import Sequence
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machine_probe import inspect_machine
from roadbend.http.net import Net
from roadbend.store.record_view import RecordView

# Machines of a partition that are asked at the most; a cut of a zone's network shows on any few.
MAX_ASKED = 8
# How long a partition that was found out of reach is not asked again.
RETRY_INTERVAL = timedelta(seconds=5)


class MachineReach:
    """Asks machines of a partition with gangs whether they answer."""

    def __init__(self, net: Net, inventory: CloudInventory, view: RecordView) -> None:
        self._net, self._inventory, self._view = net, inventory, view
        # By partition, until when it counts as out of reach.
        self._out_of_reach: dict[str, datetime] = {}

    async def is_reachable(self, partition: str) -> bool:
        """Tell whether the machines that run a partition's gangs answer us, or nothing runs there.

        All that are asked have to, but for those that have failed: one that is lost to us ends its
        gang. False, too, while the cloud's list lacks one of them.
        """
        now = clock.now()
        if now < self._out_of_reach.get(partition, now):
            return False
        names = [name for name in self._choose(partition) if not self._inventory.is_failed(name)]
        if not all(name in self._inventory.rows for name in names):
            return False
        if await self._all_answer(names):
            return True
        self._out_of_reach[partition] = clock.now() + RETRY_INTERVAL
        return False

    def _choose(self, partition: str) -> Sequence[str]:
        """Choose machines that run gangs, or anything where none does, spread by name."""
        running = self._view.attempts_by_machine.get(partition, {})
        gangs = self._view.gangs
        with_gangs = [
            name for name, attempts in running.items() if any(job in gangs for job, _ in attempts)
        ]
        return _spread(sorted(with_gangs or running), MAX_ASKED)

    async def _all_answer(self, names: Sequence[str]) -> bool:
        silent = []

        async def ask(name: str) -> None:
            address = self._inventory.rows[name].address
            if await inspect_machine(self._net, address, name) is None:
                silent.append(name)

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(ask, name)
        return not silent


def _spread(names: Sequence[str], most: int) -> Sequence[str]:
    """Return at most so many of some names, evenly spread."""
    if len(names) <= most:
        return names
    return [names[at * len(names) // most] for at in range(most)]
