"""Which stops are sent to machines as direct commands."""

import threading
from datetime import timedelta
from types import SimpleNamespace

import pytest

from roadbend import clock
from roadbend.fleet.direct_commands import DirectCommands
from roadbend.fleet.machines import StopOrder
from roadbend.fleet.terminations import TaskKey, Termination, Terminations

NOW = clock.ORIGIN + timedelta(hours=1)
KEY = TaskKey("run-000001", 0)
STOP = StopOrder(70, clock.ZERO, "cancelled", NOW, "m-1")


@pytest.mark.parametrize("is_terminated, machines", [(False, ["m-1"]), (True, [])])
def test_no_stop_goes_to_a_task_that_is_proven_gone_and_not_recorded_yet(is_terminated, machines):
    """Guards against direct stops for tasks that their machines have just reported as absent."""
    ended = Terminations()
    if is_terminated:
        ended.add(KEY, Termination(70, "m-1", False, "absent"))
    leader = SimpleNamespace(
        lock=threading.RLock(),
        leadership=SimpleNamespace(term=7),
        stops=SimpleNamespace(order_all_cancelled=lambda _now: None, items={KEY: STOP}.items),
        terminations=ended,
        recovery=SimpleNamespace(should_delay_stop=lambda *_arguments: False),
        machines={"m-1": object()},
    )
    commands = DirectCommands(SimpleNamespace(), None, {})
    assert list(commands._due_stops(leader, {}, NOW)) == machines
