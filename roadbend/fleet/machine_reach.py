"""Checks whether the machines of another leader's partition are reachable from this controller."""

from collections.abc import Sequence
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machine_probe import inspect_machine
from roadbend.http.net import Net
from roadbend.store.record_view import RecordView

# Machines of a partition that are probed; a network partition of the zone shows on any few of them.
MAX_PROBED = 8
# For how long a partition that was found unreachable is not probed again.
RETRY_INTERVAL = timedelta(seconds=5)


class MachineReach:
    """Probes some machines of a partition: those that run gangs, or any if none runs a gang."""

    def __init__(self, net: Net, inventory: CloudInventory, view: RecordView) -> None:
        self._net, self._inventory, self._view = net, inventory, view
        # By partition, until when it counts as unreachable.
        self._unreachable_until: dict[str, datetime] = {}

    async def is_reachable(self, partition: str) -> bool:
        """Return whether a partition's machines with gangs answer, or no machine runs anything.

        All probed machines have to answer, except those that have failed: a machine that this
        controller can't reach would end its gang. Also False while the cloud's list lacks one.
        """
        now = clock.now()
        if now < self._unreachable_until.get(partition, now):
            return False
        machine_ids = [
            machine_id
            for machine_id in self._choose(partition)
            if not self._inventory.is_failed(machine_id)
        ]
        if not all(machine_id in self._inventory.rows for machine_id in machine_ids):
            return False
        if await self._all_answer(machine_ids):
            return True
        self._unreachable_until[partition] = clock.now() + RETRY_INTERVAL
        return False

    def _choose(self, partition: str) -> Sequence[str]:
        """Choose machines that run gangs, or else any tasks, evenly spread by id."""
        running = self._view.attempts_by_machine.get(partition, {})
        gangs = self._view.gangs
        with_gangs = [
            machine_id
            for machine_id, attempts in running.items()
            if any(job in gangs for job, _ in attempts)
        ]
        return _spread(sorted(with_gangs or running), MAX_PROBED)

    async def _all_answer(self, machine_ids: Sequence[str]) -> bool:
        silent = []

        async def probe(machine_id: str) -> None:
            address = self._inventory.rows[machine_id].address
            if await inspect_machine(self._net, address, machine_id) is None:
                silent.append(machine_id)

        async with trio.open_nursery() as nursery:
            for machine_id in machine_ids:
                nursery.start_soon(probe, machine_id)
        return not silent


def _spread(machine_ids: Sequence[str], max_count: int) -> Sequence[str]:
    """Return at most `max_count` of the ids, evenly spread."""
    if len(machine_ids) <= max_count:
        return machine_ids
    return [machine_ids[at * len(machine_ids) // max_count] for at in range(max_count)]
