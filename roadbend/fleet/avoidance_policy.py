"""Decides when workers are no longer redirected to a silent leader, and where they go instead.

Pure functions of the settings and of the live controllers.
"""

from collections.abc import Collection
from datetime import timedelta
from typing import NamedTuple

from roadbend.fleet import worker_timing
from roadbend.fleet.machines import HEARTBEAT_JITTER
from roadbend.peers.links import HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT
from roadbend.settings import OperatorSettings, PlatformSettings


class AvoidanceLimits(NamedTuple):
    """Limits of a leader's silence, counted from its last peer heartbeat, for avoiding it."""

    # During a shorter silence, a worker that is redirected to the leader in vain returns before its
    # lease can expire.
    min_silence: timedelta
    # After a longer silence, every lease that the leader had renewed has expired.
    max_silence: timedelta
    # If most workers have turned to other controllers within this time, the leader fell silent to
    # them and to this controller at the same time.
    max_departure: timedelta


def avoidance_limits(settings: PlatformSettings, operator: OperatorSettings) -> AvoidanceLimits:
    """Calculate the limits of a deployment.

    A leader has renewed each worker's lease within the longest heartbeat interval before it falls
    silent.
    """
    longest_interval = settings.heartbeat_interval * HEARTBEAT_JITTER
    first_expiry = settings.lease - longest_interval
    failed_heartbeat = worker_timing.WORKER_ANSWER_TIMEOUT + worker_timing.RETRY_PAUSE
    peers_informed_within = HEARTBEAT_INTERVAL + HEARTBEAT_TIMEOUT
    return AvoidanceLimits(
        min_silence=max(
            operator.takeover_silence, first_expiry - worker_timing.MAX_FAILED_REDIRECT
        ),
        max_silence=settings.lease + HEARTBEAT_INTERVAL,
        max_departure=longest_interval + failed_heartbeat + peers_informed_within,
    )


def next_in_ring(name: str, names: Collection[str]) -> str:
    """Return the controller that follows another one by name; the first follows the last.

    Workers are assumed to try controllers in this order. If they do not, avoiding a leader helps
    less.
    """
    ring = sorted(names)
    return ring[(ring.index(name) + 1) % len(ring)]


def choose_other_controller(name: str, live: Collection[str], names: Collection[str]) -> str | None:
    """Choose the controller that a worker at the controller `name` is to contact next, or None.

    That is the following one if it is live. Otherwise it is a live one that is itself followed by a
    live one: it redirects the worker nowhere, and only such a response makes a worker pause.
    """
    following = next_in_ring(name, names)
    if following in live:
        return following
    ring = sorted(names)
    start = ring.index(name)
    others = [other for other in ring[start + 1 :] + ring[:start] if other in live]
    return next((other for other in others if next_in_ring(other, names) in live), None)
