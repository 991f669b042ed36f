"""Policy of the failure detector: pure functions of a machine's known state and of times."""

from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.machines import Machine
from roadbend.partitions.leadership import Leadership
from roadbend.settings import OperatorSettings, PlatformSettings

# A reclaimed machine counts as silent after this many heartbeat intervals.
RECLAIMED_SILENT_INTERVALS = 2
# A probed machine is not judged if it was acknowledged within this many heartbeat intervals.
RECENT_INTERVALS = 1.3
# A machine whose heartbeats arrive but which does not receive the responses is left running for
# this share of its lease.
UNACKNOWLEDGED_LEASE_SHARE = 0.8
# For how many leases a machine counts as alive that answers probes, or whose heartbeats reach a
# peer.
ANSWERING_LEASES = 1.5
# If heartbeats still arrive this long after the last acknowledged response, the responses to them
# do not reach the machine.
UNACKNOWLEDGED_AFTER = timedelta(seconds=4)


def is_reclaimed(machine: Machine | None, now: datetime) -> bool:
    """Return whether the time at which the cloud was to reclaim a machine has passed."""
    reclaim_at = machine.lifecycle.reclaim_at if machine is not None else None
    return reclaim_at is not None and now > reclaim_at


def was_recently_acknowledged(
    machine: Machine, acknowledged_before: datetime | None, silence: timedelta, interval: timedelta
) -> bool:
    """Return whether a machine was acknowledged while it was probed, or shortly before.

    `acknowledged_before`: when a response had last reached it before the probe; `silence`: how long
    ago that was.
    """
    if machine.contact.acknowledged_at != acknowledged_before:
        return True
    return acknowledged_before is not None and silence < interval * RECENT_INTERVALS


@dataclass(frozen=True)
class UnreachableMachine:
    """What is known of a machine that did not answer a probe."""

    # Time since a response last reached it, or else since the leadership was acquired.
    silence: timedelta
    # The cloud lists it as failed, or was due to reclaim it by now.
    failed: bool
    reclaimed: bool
    # Its heartbeats arrive here, but the responses don't reach it.
    unacknowledged: bool
    reaches_peers: bool
    # The network is more likely at fault than the machine.
    common_cause: bool


def may_be_alive(machine: UnreachableMachine, lease: timedelta) -> bool:
    """Return whether a machine that did not answer may be alive and merely unreachable."""
    if machine.failed or machine.reclaimed:
        return False
    if machine.unacknowledged:
        # It runs its tasks until its lease expires; then it is replaced.
        return machine.silence < lease * UNACKNOWLEDGED_LEASE_SHARE or machine.common_cause
    # A machine whose heartbeats reach peers is alive; it is this controller that is unreachable.
    reaches_only_peers = machine.reaches_peers and machine.silence < lease * ANSWERING_LEASES
    return reaches_only_peers or machine.common_cause


@dataclass(frozen=True)
class LeaseTimes:
    """Times that decide when a worker's lease has expired."""

    acquired_at: datetime
    lease: timedelta
    cancel_within: timedelta
    margin: timedelta

    @classmethod
    def of(
        cls, leadership: Leadership, settings: PlatformSettings, operator: OperatorSettings
    ) -> "LeaseTimes":
        """Return the times for the machines of a partition."""
        return cls(
            leadership.acquired_at, settings.lease, settings.cancel_within, operator.state_margin
        )

    def expires_at(self, started_at: datetime, length: timedelta) -> datetime:
        """Return when a span has certainly passed on the machine's clock too, despite drift."""
        return started_at + length * (1 + 2 * clock.DRIFT) + self.margin


def is_lease_expired(machine: Machine | None, times: LeaseTimes, now: datetime) -> bool:
    """Return whether the worker's lease has certainly expired, so that it has stopped its tasks."""
    started_at = machine.contact.lease_started_at if machine is not None else None
    if machine is not None and machine.token.confirmed:
        # It has reported this leader's token, so only this leader's responses renew its lease.
        return started_at is not None and now > times.expires_at(started_at, times.lease)
    # After leadership was acquired here, a former leader may go on renewing leases for at most
    # `cancel_within` minus one lease.
    return now > max(
        times.expires_at(times.acquired_at, times.cancel_within),
        times.expires_at(started_at or times.acquired_at, times.lease),
    )
