"""Scenarios run on trio's mock clock: no wall-clock luck, and waiting costs nothing."""

import inspect
import os
import sys
from datetime import UTC, datetime, timedelta

import pytest
import trio
import trio.testing

from roadbend import clock


def pytest_configure(config):
    """Register the marker by which a test keeps the order that it had under a former name."""
    config.addinivalue_line(
        "markers", "task_order_of(test): draw the order of tasks as if the test had this name"
    )


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run a coroutine test on a mock clock, with its order of tasks drawn from its name."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    arguments = {name: pyfuncitem.funcargs[name] for name in names}

    async def run():
        with trio.fail_after(3600):
            await pyfuncitem.obj(**arguments)

    pinned = pyfuncitem.get_closest_marker("task_order_of")
    own_name = f"{pyfuncitem.path.name}::{pyfuncitem.name}"
    _seed_scheduler(pinned.args[0] if pinned else own_name)
    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return True


def _seed_scheduler(test: str) -> None:
    """Draw the order in which trio lets tasks go on from the name of a test.

    A test goes the same way every time, also in another folder: `test` names its file without the
    folder. The environment variable `ROADBEND_DRAW` gives other orders.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(f"{os.environ.get('ROADBEND_DRAW', '')} {test}")


@pytest.fixture(autouse=True)
def time_of_day(monkeypatch):
    """Let the time of day go with the steady clock."""
    base = datetime(2026, 1, 1, tzinfo=UTC)

    def wall():
        try:
            return base + timedelta(seconds=trio.current_time())
        except RuntimeError:
            return base

    monkeypatch.setattr(clock, "wall", wall)


def _count_calls(function) -> int:
    """How many calls of Python functions something takes: a cost that knows no clock."""
    count = 0

    def note(_frame, event, _arg):
        nonlocal count
        count += event == "call"

    sys.setprofile(note)
    try:
        function()
    finally:
        sys.setprofile(None)
    return count


@pytest.fixture
def count_calls():
    """Give tests a count of the calls of Python functions that something makes."""
    return _count_calls
