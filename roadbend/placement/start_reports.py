"""Which peers may still rely on a controller's start reports.

A controller reports to each peer which attempts its machines hold. A peer that confirms a
cancellation may rely on a report for `REPORT_LIFETIME`, even while the sender is unreachable. So
the start of an attempt that was reported as held may be sent again only when no peer relies on
those reports any more: each has acknowledged a later one, or the lifetime of the last report sent
to it has expired. docs/meetings.md, "When a user is told", has the argument.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.partitions.election import START_FRESHNESS

# How long a report may be relied on after it was requested.
REPORT_LIFETIME = timedelta(seconds=10)
# A report is irrelevant after this time, which includes clock drift: cancellations are confirmed by
# it within REPORT_LIFETIME, and every leader that may start tasks knows them START_FRESHNESS later,
# since its records are no older than that.
_IRRELEVANT_AFTER = (REPORT_LIFETIME + START_FRESHNESS) * (1 + 2 * clock.DRIFT)


class Withdrawal(NamedTuple):
    """A withdrawal of all reports up to a number, made at a point in time."""

    number: int
    at: datetime


@dataclass
class _Recipient:
    """When a peer was last sent a report, and the latest one that it acknowledged."""

    sent_at: datetime
    acknowledged: int = 0


class StartReports:
    """The numbered reports that this controller has sent in one incarnation."""

    def __init__(self) -> None:
        self._last_number = 0
        self._recipients: dict[str, _Recipient] = {}

    def send(self, peer: str, now: datetime) -> int:
        """Record that a report is sent to a peer now; return its number."""
        self._last_number += 1
        self._recipients.setdefault(peer, _Recipient(now)).sent_at = now
        return self._last_number

    def acknowledge(self, peer: str, number: int) -> None:
        """Record that a peer has received a report and relies on no earlier one any more."""
        recipient = self._recipients.get(peer)
        if recipient is not None:
            recipient.acknowledged = max(number, recipient.acknowledged)

    def withdraw(self, now: datetime) -> Withdrawal:
        """Withdraw all reports sent so far; those sent from now on have new contents."""
        return Withdrawal(self._last_number, now)

    def is_complete(self, withdrawal: Withdrawal, now: datetime) -> bool:
        """Return whether no peer relies on the withdrawn reports any more."""
        return all(
            recipient.acknowledged > withdrawal.number
            or now - min(recipient.sent_at, withdrawal.at) > _IRRELEVANT_AFTER
            for recipient in self._recipients.values()
        )
