"""Decide when workers are no longer redirected to their silent leader, and where they go instead.

Pure functions, given time.
"""

from collections.abc import Collection
from datetime import timedelta
from typing import NamedTuple

from roadbend.fleet import worker_timing
from roadbend.fleet.machines import HEARTBEAT_JITTER
from roadbend.peers.links import HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT
from roadbend.settings import OperatorSettings, PlatformSettings


class AvoidanceLimits(NamedTuple):
    """Within which silence of a leader, counted from when it was last heard, it is avoided."""

    # Before, a worker that the leader does not answer is back before its lease can end.
    min_silence: timedelta
    # From then on, no lease that the leader renewed before can last.
    max_silence: timedelta
    # The leader fell silent to its workers and to us at once, if most have turned to us by then.
    max_departure: timedelta


def avoidance_limits(settings: PlatformSettings, operator: OperatorSettings) -> AvoidanceLimits:
    """Calculate the limits of a deployment.

    A leader that falls silent has renewed each worker's lease within the longest heartbeat
    interval before.
    """
    longest_interval = settings.heartbeat_interval * HEARTBEAT_JITTER
    first_expiry = settings.lease - longest_interval
    failed_heartbeat = worker_timing.WORKER_ANSWER_TIMEOUT + worker_timing.RETRY_PAUSE
    told_within = HEARTBEAT_INTERVAL + HEARTBEAT_TIMEOUT
    return AvoidanceLimits(
        min_silence=max(
            operator.takeover_silence, first_expiry - worker_timing.MAX_FAILED_REDIRECT
        ),
        max_silence=settings.lease + HEARTBEAT_INTERVAL,
        max_departure=longest_interval + failed_heartbeat + told_within,
    )


def next_in_ring(name: str, names: Collection[str]) -> str:
    """Return the controller that follows another one by name; the first follows the last.

    Workers are taken to go round in this order; where they do not, avoiding a leader saves less.
    """
    ring = sorted(names)
    return ring[(ring.index(name) + 1) % len(ring)]


def choose_other_controller(name: str, live: Collection[str], names: Collection[str]) -> str | None:
    """Choose the controller that a worker which has come to `name` is to ask next; None: no one.

    That is the next one if it is live. Else it is one after which a live one follows: the worker
    pauses there, for only an answer that redirects it to nobody makes it pause.
    """
    following = next_in_ring(name, names)
    if following in live:
        return following
    ring = sorted(names)
    start = ring.index(name)
    others = [other for other in ring[start + 1 :] + ring[:start] if other in live]
    return next((other for other in others if next_in_ring(other, names) in live), None)
