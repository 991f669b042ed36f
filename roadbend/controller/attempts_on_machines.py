"""Query machines directly for the attempts of a cancelled job.

This is for partitions whose leader can't be queried. A worker ignores the start of an attempt that
it holds, whatever its state, and rejects or drops commands sent in an earlier epoch. A worker that
does not hold an attempt can be sent a higher fencing token; it then rejects commands that carry a
lower one.
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

# Machines queried concurrently, for all jobs together.
MAX_CONNECTIONS = 16
# Pairs of a machine and a job whose starts it refuses that are kept in memory.
MAX_REFUSING = 4096

Attempts = set[tuple[TaskKey, int]]


class AttemptsOnMachines:
    """Checks which attempts machines hold, and raises their fencing tokens."""

    def __init__(self, net: Net, inventory: CloudInventory) -> None:
        self._net, self._inventory = net, inventory
        self._connections = trio.CapacityLimiter(MAX_CONNECTIONS)
        # Pairs of a machine that accepted a raised token and the job for which it was raised. Once
        # per job is enough, as no leader sends starts of the job any more.
        self._refusing: OrderedDict[tuple[str, str], None] = OrderedDict()

    async def are_all_held(self, job: str, attempts: Mapping[int, Attempt]) -> bool:
        """Return whether the machines hold all these attempts of a job now."""
        return await self._settle_all(job, attempts, None)

    async def settle_all(self, job: str, attempts: Mapping[int, Attempt], term: int) -> bool:
        """Have each machine hold these attempts or refuse their starts; return whether all do.

        The fencing token of a machine that does not hold its attempts is raised, so that it refuses
        their starts from now on.

        `term`: the latest term of their partition, whose leader must be able to continue from
        raised tokens. Call this only once no leader sends starts of the job any more.
        """
        return await self._settle_all(job, attempts, term)

    async def _settle_all(
        self, job: str, attempts: Mapping[int, Attempt], term: int | None
    ) -> bool:
        by_machine: dict[str, Attempts] = {}
        for task_index, attempt in attempts.items():
            task = (TaskKey(job, task_index), attempt.number)
            by_machine.setdefault(attempt.machine, set()).add(task)
        for machine in [machine for machine in by_machine if (machine, job) in self._refusing]:
            del by_machine[machine]
        all_settled = True

        async def check_machine(machine: str, expected: Attempts) -> None:
            nonlocal all_settled
            if not await self._settle(job, machine, expected, term):
                # One failure decides the result: cancel the other queries.
                all_settled = False
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for machine, expected in by_machine.items():
                nursery.start_soon(check_machine, machine, expected)
        return all_settled

    async def _settle(self, job: str, machine: str, expected: Attempts, term: int | None) -> bool:
        """Raise a machine's token unless it holds all these attempts.

        Return whether it holds them, or accepted the raised token. Without a `term` no token is
        raised.
        """
        listed = self._inventory.rows.get(machine)
        if listed is None:
            _log_in_doubt(machine, expected, "machine-not-listed")
            return False
        async with self._connections:
            heartbeat = await inspect_machine(self._net, listed.address, machine)
            if heartbeat is None:
                _log_in_doubt(machine, expected, "machine-silent")
                return False
            held = {(TaskKey(task.job, task.task_index), task.attempt) for task in heartbeat.tasks}
            if expected <= held:
                return True
            if term is None:
                _log_in_doubt(machine, expected - held, "not-held")
                return False
            if not await raise_token(self._net, heartbeat, listed.address, term):
                _log_in_doubt(machine, expected - held, "token-not-raised")
                return False
        log.info("token-raised", machine=machine, job=job)
        self._refusing[machine, job] = None
        if len(self._refusing) > MAX_REFUSING:
            self._refusing.popitem(last=False)
        return True


def _log_in_doubt(machine: str, attempts: Attempts, missing: str) -> None:
    """Log a start that may still be carried out, and what evidence against it is missing."""
    key, number = min(attempts)
    log.info(
        "start-in-doubt",
        job=key.job,
        task=key.task_index,
        attempt=number,
        machine=machine,
        missing=missing,
    )
