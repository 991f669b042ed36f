"""Whether the machines with recorded attempts have sent a heartbeat to a new leader."""

from datetime import datetime

from roadbend.placement.partition_state import PartitionState

# A new leader waits this many heartbeat intervals for machines without a heartbeat: a worker whose
# leader has changed reaches the new one after one interval and a failed try elsewhere.
MAX_WAIT_INTERVALS = 1.5


class ConfirmedMachines:
    """Tracks whether all machines with attempts have confirmed the token of a new leadership.

    The work that preemption would lose is only known for machines that have sent a heartbeat. If
    preemption began earlier, tasks would be stopped on whichever machine reported first.
    """

    def __init__(self, state: PartitionState) -> None:
        self._records = state.records
        self._machines = state.registry.by_id
        interval = state.records.context.settings.heartbeat_interval
        self._wait_until = state.records.leadership.acquired_at + interval * MAX_WAIT_INTERVALS
        self._complete = False

    def are_complete(self, now: datetime) -> bool:
        """Return whether all have confirmed our token, or the wait for them is over."""
        if not self._complete:
            self._complete = now >= self._wait_until or all(
                self._is_confirmed(machine_id) for machine_id in self._records.attempts_by_machine()
            )
        return self._complete

    def _is_confirmed(self, machine_id: str) -> bool:
        machine = self._machines.get(machine_id)
        return machine is not None and machine.token.confirmed
