"""Recorded attempts that their machines have not shown to hold.

The start of any other recorded attempt is settled: a worker ignores it while it holds the attempt.
A machine loses what it holds with its lease, or as it restarts; then the attempt is unheld again,
and its start is sent anew only once peers do not rely on earlier reports any more.
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

# How often attempts that are over are looked for.
TIDY_INTERVAL = timedelta(seconds=5)


@dataclass
class _UnheldAttempt:
    """An attempt that its machine has not shown, or has lost."""

    number: int
    # For one that was lost: of the reports that called it held.
    withdrawal: Withdrawal | None = None


class UnheldAttempts:
    """The unheld attempts of one partition, under one leadership."""

    def __init__(self, records: PartitionRecords) -> None:
        self._records = records
        self._by_machine: dict[str, dict[TaskKey, _UnheldAttempt]] = {}
        self._tidied_at = clock.ORIGIN
        for machine, attempts in records.attempts_by_machine().items():
            for key, (_, attempt) in attempts.items():
                self.mark_recorded(TaskKey(*key), Attempt(attempt.number, machine))

    def _reports(self) -> StartReports:
        return self._records.context.start_reports

    def mark_recorded(self, key: TaskKey, attempt: Attempt) -> None:
        """Note that the records name an attempt newly."""
        unheld = self._by_machine.setdefault(attempt.machine, {})
        unheld[key] = _UnheldAttempt(attempt.number)

    def mark_shown(self, machine: str, shown: Mapping[TaskKey, ObservedTask]) -> None:
        """Note the recorded attempts that a heartbeat with our token shows."""
        unheld = self._by_machine.get(machine)
        if unheld is None:
            return
        for key in [key for key in unheld if key in shown]:
            if shown[key].attempt == unheld[key].number:
                del unheld[key]
        if not unheld:
            del self._by_machine[machine]

    def mark_lost(
        self, machine: str, attempts: Iterable[tuple[TaskKey, int]], now: datetime
    ) -> None:
        """Note attempts that a machine held, and may have lost."""
        withdrawal = self._reports().withdraw(now)
        for key, number in attempts:
            if not self.is_unheld(machine, key, number):
                lost = _UnheldAttempt(number, withdrawal)
                self._by_machine.setdefault(machine, {})[key] = lost

    def is_unheld(self, machine: str, key: TaskKey, number: int) -> bool:
        """Whether a recorded attempt is not known to be held by its machine."""
        known = self._by_machine.get(machine, {}).get(key)
        return known is not None and known.number == number

    def may_send(self, machine: str, key: TaskKey, number: int, now: datetime) -> bool:
        """Whether the start of an attempt may be sent that its machine does not show now."""
        if not self.is_unheld(machine, key, number):
            self.mark_lost(machine, [(key, number)], now)
        withdrawal = self._by_machine[machine][key].withdrawal
        return withdrawal is None or self._reports().is_complete(withdrawal, now)

    def tidy(self, now: datetime) -> None:
        """Forget attempts that are over, every now and then, also if no peer asks for reports."""
        if now - self._tidied_at >= TIDY_INTERVAL:
            self._tidied_at = now
            self.jobs()

    def jobs(self) -> set[str]:
        """Return the jobs that have unheld attempts; forget those that are over."""
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
