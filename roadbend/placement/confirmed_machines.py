"""Whether a new leader has heard the machines of its partition that run something."""

from datetime import datetime

from roadbend.placement.partition_state import PartitionState

# For so many heartbeat intervals after it began a leader waits for machines that it has not heard:
# a worker whose leader has changed comes after one, and a try elsewhere.
MAX_WAIT_INTERVALS = 1.5


class ConfirmedMachines:
    """The machines of one leadership, from its beginning until they have been heard.

    What is lost by stopping work can only be compared on machines that were heard. Before that the
    first one to come would be cleared for whatever waits.
    """

    def __init__(self, state: PartitionState) -> None:
        self._records = state.records
        self._machines = state.registry.by_id
        interval = state.records.context.settings.heartbeat_interval
        self._waits_until = state.records.leadership.acquired_at + interval * MAX_WAIT_INTERVALS
        self._complete = False

    def are_complete(self, now: datetime) -> bool:
        """Tell whether all have shown our token, or have been waited for long enough."""
        if not self._complete:
            self._complete = now >= self._waits_until or all(
                self._is_heard(name) for name in self._records.attempts_by_machine()
            )
        return self._complete

    def _is_heard(self, name: str) -> bool:
        machine = self._machines.get(name)
        return machine is not None and machine.token.confirmed
