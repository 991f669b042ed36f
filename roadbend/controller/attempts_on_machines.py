"""Ask machines themselves about the attempts of a cancelled job.

This is for partitions whose leader can't be asked. A worker ignores the start of an attempt that it
holds, in whatever state, and refuses or drops what was sent in an earlier epoch. One that does not
hold an attempt can be shown a higher token, and then refuses what was sent under a lower one.
"""

from collections import OrderedDict
from collections.abc import Mapping

import trio

from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machine_probe import inspect_machine
from roadbend.fleet.terminations import TaskKey
from roadbend.fleet.token_raise import raise_token
from roadbend.http.net import Net
from roadbend.log import Log
from roadbend.store.records import Attempt

log = Log("controller")

# Machines asked at once, for all jobs together.
MAX_CONNECTIONS = 16
# Machines, each with a job whose starts it refuses, that are remembered.
MAX_REFUSING = 4096

Attempts = set[tuple[TaskKey, int]]


class AttemptsOnMachines:
    """Asks machines which attempts they hold."""

    def __init__(self, net: Net, inventory: CloudInventory) -> None:
        self._net, self._inventory = net, inventory
        self._connections = trio.CapacityLimiter(MAX_CONNECTIONS)
        # Machines that have followed a raised token, by job. Each is raised once for it: no start
        # of the job is sent any more.
        self._refusing: OrderedDict[tuple[str, str], None] = OrderedDict()

    async def are_all_held(self, job: str, attempts: Mapping[int, Attempt]) -> bool:
        """Whether the machines hold all these attempts of a job now."""
        return await self._are_all_settled(job, attempts, None)

    async def are_all_settled(self, job: str, attempts: Mapping[int, Attempt], term: int) -> bool:
        """Whether the machines hold these attempts, or refuse their starts from now on.

        `term`: the latest term of their partition, whose leader goes on from raised tokens. To be
        asked once no leader sends starts of the job any more.
        """
        return await self._are_all_settled(job, attempts, term)

    async def _are_all_settled(
        self, job: str, attempts: Mapping[int, Attempt], term: int | None
    ) -> bool:
        by_machine: dict[str, Attempts] = {}
        for task_index, attempt in attempts.items():
            task = (TaskKey(job, task_index), attempt.number)
            by_machine.setdefault(attempt.machine, set()).add(task)
        for machine in [machine for machine in by_machine if (machine, job) in self._refusing]:
            del by_machine[machine]
        all_settled = True

        async def ask(machine: str, wanted: Attempts) -> None:
            nonlocal all_settled
            if not await self._settles(job, machine, wanted, term):
                # The rest need not be asked.
                all_settled = False
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for machine, wanted in by_machine.items():
                nursery.start_soon(ask, machine, wanted)
        return all_settled

    async def _settles(self, job: str, machine: str, wanted: Attempts, term: int | None) -> bool:
        """Whether a machine answers that it holds all these attempts, or follows a higher token."""
        listed = self._inventory.rows.get(machine)
        if listed is None:
            _log_in_doubt(machine, wanted, "machine-not-listed")
            return False
        async with self._connections:
            heartbeat = await inspect_machine(self._net, listed.address, machine)
            if heartbeat is None:
                _log_in_doubt(machine, wanted, "machine-silent")
                return False
            held = {(TaskKey(task.job, task.task_index), task.attempt) for task in heartbeat.tasks}
            if wanted <= held:
                return True
            if term is None:
                _log_in_doubt(machine, wanted - held, "not-held")
                return False
            if not await raise_token(self._net, heartbeat, listed.address, term):
                _log_in_doubt(machine, wanted - held, "token-not-raised")
                return False
        log.info("token-raised", machine=machine, job=job)
        self._refusing[machine, job] = None
        if len(self._refusing) > MAX_REFUSING:
            self._refusing.popitem(last=False)
        return True


def _log_in_doubt(machine: str, attempts: Attempts, missing: str) -> None:
    """Log a start that may still be carried out, and the evidence against it that is missing."""
    key, number = min(attempts)
    log.info(
        "start-in-doubt",
        job=key.job,
        task=key.task_index,
        attempt=number,
        machine=machine,
        missing=missing,
    )
