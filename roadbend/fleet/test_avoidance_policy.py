"""When a silent leader is avoided, and where its workers go instead."""

from dataclasses import replace
from datetime import timedelta
from itertools import pairwise

import pytest

from roadbend.fakes.platform import settings_for
from roadbend.fleet import worker_timing
from roadbend.fleet.avoidance_policy import (
    avoidance_limits,
    choose_other_controller,
    next_in_ring,
)
from roadbend.fleet.machines import HEARTBEAT_JITTER
from roadbend.settings import OperatorSettings

S = timedelta(seconds=1)
SETTINGS = replace(settings_for(0, 3), lease=18 * S, heartbeat_interval=3 * S)
OPERATOR = OperatorSettings()


def test_a_worker_that_was_redirected_in_vain_is_back_before_its_lease_ends():
    """Guards against a redirect that takes longer than the worker's lease lasts."""
    limits = avoidance_limits(SETTINGS, OPERATOR)
    renewed_at_the_earliest = -SETTINGS.heartbeat_interval * HEARTBEAT_JITTER
    back_at = limits.min_silence + worker_timing.MAX_FAILED_REDIRECT
    assert back_at <= renewed_at_the_earliest + SETTINGS.lease
    assert limits.max_silence > SETTINGS.lease


def test_a_short_lease_does_not_make_a_restart_a_silence():
    """Guards against avoiding a leader that is merely restarting."""
    limits = avoidance_limits(replace(SETTINGS, lease=10 * S), OPERATOR)
    assert limits.min_silence == OPERATOR.takeover_silence


@pytest.mark.parametrize(
    "name, live, other",
    [
        ("a", "ab", "b"),
        ("b", "ab", "a"),
        ("b", "bc", "c"),
        ("c", "bc", "b"),
        ("c", "ac", "a"),
        ("a", "ac", "c"),
        ("a", "a", None),
    ],
)
def test_of_three_controllers_the_other_live_one_is_asked_next(name, live, other):
    """Guards against redirecting workers to the silent leader."""
    assert choose_other_controller(name, set(live), set("abc")) == other


@pytest.mark.parametrize(
    "name, live, other",
    [
        # The next controller is silent too, and so is the one after each of the others.
        ("a", "ac", None),
        ("c", "ac", None),
        ("b", "abde", "d"),
        ("e", "abde", "a"),
        ("c", "bc", "b"),
        ("d", "bd", None),
        ("e", "cde", "c"),
    ],
)
def test_of_five_controllers_one_is_asked_that_a_live_one_follows(name, live, other):
    """Guards against two controllers that redirect a worker to each other without a pause."""
    assert choose_other_controller(name, set(live), set("abcde")) == other


def test_whoever_a_worker_is_redirected_to_lets_it_pause():
    """Guards against a worker that tries controllers without pauses, whichever are live."""
    names = set("abcde")
    for mask in range(1, 2 ** len(names)):
        live = {name for at, name in enumerate(sorted(names)) if mask >> at & 1}
        for name in live:
            route = [name]
            while (other := choose_other_controller(route[-1], live, names)) and len(route) < 9:
                route.append(other)
            is_paused = [next_in_ring(first, names) == then for first, then in pairwise(route)]
            assert all(one or two for one, two in pairwise(is_paused))
