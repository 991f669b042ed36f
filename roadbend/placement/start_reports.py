"""Which peers may rely on what they were last told about a controller's starts.

A controller reports to each peer which attempts its machines hold. Whoever confirms a cancellation
may rely on a report for `REPORT_LIFETIME`, also while its sender can't be asked. So before the
start of an attempt that reports called held is sent again, no peer may rely on those reports any
more: it has acknowledged a later one, or the lifetime of the last one that it got is over.
docs/meetings.md, "When a user is told", has the argument.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.partitions.election import START_FRESHNESS

# For how long after it was asked for a report may be relied on.
REPORT_LIFETIME = timedelta(seconds=10)
# After so long no cancellation that was confirmed by a report is unknown to a leader that may start
# tasks: its records are no older than START_FRESHNESS.
_FORGOTTEN_AFTER = (REPORT_LIFETIME + START_FRESHNESS) * (1 + 2 * clock.DRIFT)


class Withdrawal(NamedTuple):
    """The reports up to a number are not to be relied on any more."""

    number: int
    at: datetime


@dataclass
class _Recipient:
    """What a peer was sent, and the latest report that it has acknowledged."""

    sent_at: datetime
    acknowledged: int = 0


class StartReports:
    """The reports that this controller has sent, by number, in one incarnation."""

    def __init__(self) -> None:
        self._last_number = 0
        self._recipients: dict[str, _Recipient] = {}

    def send(self, peer: str, now: datetime) -> int:
        """Note that a peer gets a report now; return its number."""
        self._last_number += 1
        self._recipients.setdefault(peer, _Recipient(now)).sent_at = now
        return self._last_number

    def acknowledge(self, peer: str, number: int) -> None:
        """Note that a peer has got a report, and relies on no earlier one any more."""
        recipient = self._recipients.get(peer)
        if recipient is not None:
            recipient.acknowledged = max(number, recipient.acknowledged)

    def withdraw(self, now: datetime) -> Withdrawal:
        """Withdraw all reports that were sent before now; those sent later say something else."""
        return Withdrawal(self._last_number, now)

    def is_complete(self, withdrawal: Withdrawal, now: datetime) -> bool:
        """Whether no peer relies on withdrawn reports any more."""
        return all(
            recipient.acknowledged > withdrawal.number
            or now - min(recipient.sent_at, withdrawal.at) > _FORGOTTEN_AFTER
            for recipient in self._recipients.values()
        )
