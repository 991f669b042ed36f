"""Policy of the failure detector: pure functions of what is known of a machine, and of times."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.machines import Machine
from roadbend.partitions.leadership import Leadership
from roadbend.settings import OperatorSettings, PlatformSettings

# A reclaimed machine counts as silent after this many heartbeat intervals.
RECLAIMED_SILENCE = 2
# A machine that was asked needs no judgement if it was heard within this many intervals.
HEARD_LATELY = 1.3
# For this share of its lease a machine whose heartbeats come, but which does not receive our
# answers, is left to run what it has.
UNACKNOWLEDGED_LEASE = 0.8
# For how many leases a machine counts as alive that answers us, or that a peer hears.
ANSWERING_LEASES = 1.5
# Heartbeats that came later than this after the last answer was received were not answered.
UNACKNOWLEDGED_AFTER = timedelta(seconds=4)


def is_reclaimed(machine: Machine | None, now: datetime) -> bool:
    """Whether the time is over at which the cloud was to reclaim a machine."""
    reclaim_at = machine.lifecycle.reclaim_at if machine is not None else None
    return reclaim_at is not None and now > reclaim_at


def is_acknowledged_lately(
    machine: Machine, acknowledged_before: datetime | None, silence: timedelta, interval: timedelta
) -> bool:
    """Whether a machine was heard while it was asked, or shortly before.

    `acknowledged_before`: when it last received an answer of ours before it was asked; `silence`:
    how long ago that is.
    """
    if machine.contact.acknowledged_at != acknowledged_before:
        return True
    return acknowledged_before is not None and silence < interval * HEARD_LATELY


@dataclass(frozen=True)
class Unreachable:
    """What is known of a machine that did not answer."""

    # How long ago it last received an answer of ours, or our leadership began.
    silence: timedelta
    # The cloud lists it as failed, or was to reclaim it by now.
    failed: bool
    reclaimed: bool
    # Its heartbeats reach us, and our answers don't reach it.
    unacknowledged: bool
    heard_by_peers: bool
    # Rather the network is at fault.
    common_cause: bool


def may_be_alive(machine: Unreachable, lease: timedelta) -> bool:
    """Whether a machine that did not answer may only be out of our reach."""
    if machine.failed or machine.reclaimed:
        return False
    if machine.unacknowledged:
        # It runs what it has until its lease ends; then it is replaced.
        return machine.silence < lease * UNACKNOWLEDGED_LEASE or machine.common_cause
    # A machine that sends heartbeats to our peers is not dead: it is we who can't be reached.
    elsewhere = machine.heard_by_peers and machine.silence < lease * ANSWERING_LEASES
    return elsewhere or machine.common_cause


@dataclass(frozen=True)
class LeaseTimes:
    """Times by which a worker's lease is judged."""

    acquired_at: datetime
    lease: timedelta
    cancel_within: timedelta
    margin: timedelta

    @classmethod
    def of(
        cls, leadership: Leadership, settings: PlatformSettings, operator: OperatorSettings
    ) -> "LeaseTimes":
        """Return the times that hold for the machines of a partition."""
        return cls(
            leadership.acquired_at, settings.lease, settings.cancel_within, operator.state_margin
        )

    def end(self, started_at: datetime, length: timedelta) -> datetime:
        """Return when a span has certainly passed on the machine's clock as well."""
        return started_at + length * (1 + 2 * clock.DRIFT) + self.margin


def is_lease_expired(machine: Machine | None, terms: LeaseTimes, now: datetime) -> bool:
    """Whether the worker's own lease has certainly expired, so that it has stopped its tasks."""
    started_at = machine.contact.lease_started_at if machine is not None else None
    if machine is not None and machine.token.confirmed:
        # It has carried our token, so only our answers renew its lease.
        return started_at is not None and now > terms.end(started_at, terms.lease)
    # A former leader renews for `cancel_within` less the lease at most after we took over.
    return now > max(
        terms.end(terms.acquired_at, terms.cancel_within),
        terms.end(started_at or terms.acquired_at, terms.lease),
    )
