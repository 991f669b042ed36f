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

# Machines that are asked about one job at the most; for more its leader is waited for.
MAX_MACHINES = 64
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
            wanted = (TaskKey(job, task_index), attempt.number)
            by_machine.setdefault(attempt.machine, set()).add(wanted)
        if len(by_machine) > MAX_MACHINES:
            return False
        missing: list[str] = []
        async with trio.open_nursery() as nursery:
            for machine, wanted_here in by_machine.items():
                nursery.start_soon(self._note_missing, machine, wanted_here, missing)
        return not missing

    async def _note_missing(
        self, machine: str, wanted: set[tuple[TaskKey, int]], missing: list[str]
    ) -> None:
        """Add a machine to `missing` unless it holds all that is wanted."""
        listed = self._inventory.rows.get(machine)
        heartbeat = None
        if listed is not None:
            async with self._connections:
                heartbeat = await inspect_machine(self._net, listed.address, machine)
        held = {
            (TaskKey(task.job, task.task_index), task.attempt)
            for task in (heartbeat.tasks if heartbeat is not None else ())
        }
        if not wanted <= held:
            missing.append(machine)
