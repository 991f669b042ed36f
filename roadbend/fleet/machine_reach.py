"""Checks whether the machines of another leader's partition are reachable from this controller."""

from collections.abc import Sequence
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machine_probe import inspect_machine
from roadbend.http.net import Net
from roadbend.store.record_view import RecordView

# At most so many machines of a partition are probed; a network partition of the zone shows on any
# few of them.
MAX_PROBED = 8
# For how long a partition that was found unreachable is not probed again.
RETRY_INTERVAL = timedelta(seconds=5)


class MachineReach:
    """Probes some machines of a partition, those that run gangs first."""

    def __init__(self, net: Net, inventory: CloudInventory, view: RecordView) -> None:
        self._net, self._inventory, self._view = net, inventory, view
        # By partition, until when it counts as unreachable.
        self._out_of_reach: dict[str, datetime] = {}

    async def is_reachable(self, partition: str) -> bool:
        """Return whether a partition's machines with gangs answer, or no machine runs anything.

        All probed machines have to answer, except those that have failed: a machine that this
        controller can't reach would end its gang. Also False while the cloud's list lacks one.
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
        """Choose machines that run gangs, or else any tasks, evenly spread by name."""
        running = self._view.attempts_by_machine.get(partition, {})
        gangs = self._view.gangs
        with_gangs = [
            name for name, attempts in running.items() if any(job in gangs for job, _ in attempts)
        ]
        return _spread(sorted(with_gangs or running), MAX_PROBED)

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


def _spread(names: Sequence[str], max_count: int) -> Sequence[str]:
    """Return at most `max_count` of the names, evenly spread."""
    if len(names) <= max_count:
        return names
    return [names[at * len(names) // max_count] for at in range(max_count)]
