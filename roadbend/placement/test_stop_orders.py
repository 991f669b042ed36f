"""Stop orders that replace an earlier order for the same attempt."""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from roadbend import clock
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.stop_orders import StopOrders
from roadbend.store.records import Attempt

NOW = clock.ORIGIN + timedelta(hours=1)
KEY, GRACE = TaskKey("run-000001", 0), timedelta(seconds=3)


@pytest.mark.parametrize("grace, known", [(GRACE, True), (clock.ZERO, False)])
def test_a_stop_that_is_decided_again_knows_that_it_went_out(grace, known):
    """Guards against a stop being sent twice; one with a shorter grace is sent again at once."""
    registry = SimpleNamespace(invalidate_evaluation=lambda _machine: None)
    stops = StopOrders(SimpleNamespace(), registry)
    stops.order(KEY, Attempt(70, "m-1"), GRACE, "preempted", NOW)
    stops.by_task[KEY].sent_directly_at = NOW
    stops.order(KEY, Attempt(70, "m-1"), grace, "peers", NOW)
    assert (stops.by_task[KEY].sent_directly_at == NOW) == known
