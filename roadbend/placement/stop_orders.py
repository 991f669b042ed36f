"""Tasks that a partition's leader wants stopped, until the records no longer name them."""

from collections.abc import ItemsView, Mapping
from datetime import datetime, timedelta
from types import MappingProxyType

from roadbend import clock
from roadbend.fleet.machines import StopOrder
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.machine_registry import MachineRegistry
from roadbend.placement.partition_records import PartitionRecords
from roadbend.store.records import Attempt


class StopOrders:
    """The stop orders of one partition, at most one per task."""

    def __init__(self, records: PartitionRecords, registry: MachineRegistry) -> None:
        self._records, self._registry = records, registry
        self._orders: dict[TaskKey, StopOrder] = {}
        # The orders by task, read-only.
        self.by_task: Mapping[TaskKey, StopOrder] = MappingProxyType(self._orders)

    def __contains__(self, key: tuple[str, int]) -> bool:
        return key in self._orders

    def items(self) -> ItemsView[TaskKey, StopOrder]:
        """Return the tasks and their orders."""
        return self._orders.items()

    def order(
        self, key: TaskKey, attempt: Attempt, grace: timedelta, reason: str, now: datetime
    ) -> None:
        """Order a task's attempt to be stopped; replaces an earlier order for the task."""
        previous = self._orders.get(key)
        stop = self._orders[key] = StopOrder(attempt.number, grace, reason, now, attempt.machine)
        if previous is not None:
            stop.continue_from(previous)
        self._registry.invalidate_evaluation(attempt.machine)

    def order_cancelled(self, key: TaskKey, attempt: Attempt, now: datetime) -> None:
        """Order an attempt of a finished or cancelled job to be stopped without grace."""
        stop = self._orders.get(key)
        if stop is None or stop.attempt != attempt.number or stop.grace > clock.ZERO:
            self.order(key, attempt, clock.ZERO, "cancelled", now)

    def order_all_cancelled(self, now: datetime) -> None:
        """Order all tasks of finished or cancelled jobs to be stopped: their work is useless."""
        for name, job_slice in self._records.job_slices().items():
            if job_slice.attempts and self._records.live_job(name) is None:
                for task_index, attempt in job_slice.attempts.items():
                    self.order_cancelled(TaskKey(name, task_index), attempt, now)

    def drop_unrecorded(self) -> None:
        """Drop the orders whose attempt the records no longer name on its machine."""
        recorded = self._records.recorded_attempt
        for key, stop in list(self._orders.items()):
            if recorded(key) != Attempt(stop.attempt, stop.machine):
                del self._orders[key]
