"""Unheld attempts: recorded attempts that their machines have not reported as held.

The start of any other recorded attempt is settled: a worker ignores it while it holds the attempt.
A machine loses its held attempts when its lease expires or it restarts. Such an attempt is unheld
again, and its start is sent again only when peers do not rely on earlier start reports any more.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.machines import ObservedTask
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.partition_records import PartitionRecords
from roadbend.placement.start_reports import StartReports, Withdrawal
from roadbend.store.records import Attempt

# How often obsolete attempts are dropped.
CLEANUP_INTERVAL = timedelta(seconds=5)


@dataclass
class _UnheldAttempt:
    """An attempt that its machine has not reported, or has lost."""

    number: int
    # For a lost attempt: the withdrawal of the start reports that called it held.
    withdrawal: Withdrawal | None = None


class UnheldAttempts:
    """The unheld attempts of one partition, under one leadership."""

    def __init__(self, records: PartitionRecords) -> None:
        self._records = records
        self._by_machine: dict[str, dict[TaskKey, _UnheldAttempt]] = {}
        self._cleaned_at = clock.ORIGIN
        for machine, attempts in records.attempts_by_machine().items():
            for key, (_, attempt) in attempts.items():
                self.mark_recorded(TaskKey(*key), Attempt(attempt.number, machine))

    def _reports(self) -> StartReports:
        return self._records.context.start_reports

    def mark_recorded(self, key: TaskKey, attempt: Attempt) -> None:
        """Record that an attempt was newly recorded in the state store."""
        unheld = self._by_machine.setdefault(attempt.machine, {})
        unheld[key] = _UnheldAttempt(attempt.number)

    def mark_held(self, machine: str, reported: Mapping[TaskKey, ObservedTask]) -> None:
        """Record the attempts that a heartbeat with our token reports as held."""
        unheld = self._by_machine.get(machine)
        if unheld is None:
            return
        for key in [key for key in unheld if key in reported]:
            if reported[key].attempt == unheld[key].number:
                del unheld[key]
        if not unheld:
            del self._by_machine[machine]

    def mark_lost(
        self, machine: str, attempts: Iterable[tuple[TaskKey, int]], now: datetime
    ) -> None:
        """Record attempts that a machine held and may have lost."""
        withdrawal = self._reports().withdraw(now)
        for key, number in attempts:
            if not self.is_unheld(machine, key, number):
                lost = _UnheldAttempt(number, withdrawal)
                self._by_machine.setdefault(machine, {})[key] = lost

    def is_unheld(self, machine: str, key: TaskKey, number: int) -> bool:
        """Return whether a recorded attempt is not known to be held by its machine."""
        unheld = self._by_machine.get(machine, {}).get(key)
        return unheld is not None and unheld.number == number

    def may_send(self, machine: str, key: TaskKey, number: int, now: datetime) -> bool:
        """Return whether the start of an attempt that its machine does not report may be sent."""
        if not self.is_unheld(machine, key, number):
            self.mark_lost(machine, [(key, number)], now)
        withdrawal = self._by_machine[machine][key].withdrawal
        return withdrawal is None or self._reports().is_complete(withdrawal, now)

    def drop_obsolete(self, now: datetime) -> None:
        """Drop obsolete attempts, once per `CLEANUP_INTERVAL`, even if no peer requests reports."""
        if now - self._cleaned_at >= CLEANUP_INTERVAL:
            self._cleaned_at = now
            self.jobs()

    def jobs(self) -> set[str]:
        """Return the jobs that have unheld attempts; drop attempts that are not recorded now."""
        jobs: set[str] = set()
        for machine, unheld in list(self._by_machine.items()):
            for key, attempt in list(unheld.items()):
                if self._records.recorded_attempt(key) == Attempt(attempt.number, machine):
                    jobs.add(key.job)
                else:
                    del unheld[key]
            if not unheld:
                del self._by_machine[machine]
        return jobs
