"""Ask machines themselves whether they hold the attempts of a cancelled job.

This is for partitions whose leader can't be asked. A worker ignores the start of an attempt that it
holds, in whatever state, and refuses or drops what was sent in an earlier epoch.
"""

from collections.abc import Mapping

import trio

from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machine_probe import inspect_machine
from roadbend.fleet.terminations import TaskKey
from roadbend.http.net import Net
from roadbend.store.records import Attempt

# Machines asked at once, for all jobs together.
MAX_CONNECTIONS = 16


class AttemptsOnMachines:
    """Asks machines which attempts they hold."""

    def __init__(self, net: Net, inventory: CloudInventory) -> None:
        self._net, self._inventory = net, inventory
        self._connections = trio.CapacityLimiter(MAX_CONNECTIONS)

    async def hold_all(self, job: str, attempts: Mapping[int, Attempt]) -> bool:
        """Whether the machines hold all these attempts of a job now."""
        by_machine: dict[str, set[tuple[TaskKey, int]]] = {}
        for task_index, attempt in attempts.items():
            task = (TaskKey(job, task_index), attempt.number)
            by_machine.setdefault(attempt.machine, set()).add(task)
        all_held = True

        async def ask(machine: str, wanted: set[tuple[TaskKey, int]]) -> None:
            nonlocal all_held
            if not await self._holds(machine, wanted):
                # The rest need not be asked.
                all_held = False
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for machine, wanted in by_machine.items():
                nursery.start_soon(ask, machine, wanted)
        return all_held

    async def _holds(self, machine: str, wanted: set[tuple[TaskKey, int]]) -> bool:
        """Whether a machine answers that it holds all these attempts."""
        listed = self._inventory.rows.get(machine)
        if listed is None:
            return False
        async with self._connections:
            heartbeat = await inspect_machine(self._net, listed.address, machine)
        if heartbeat is None:
            return False
        held = {(TaskKey(task.job, task.task_index), task.attempt) for task in heartbeat.tasks}
        return wanted <= held
