"""Runs coroutine tests on trio's mock clock: no dependence on wall-clock time, no real sleeps."""

import inspect
import os
import sys
from datetime import UTC, datetime, timedelta

import pytest
import trio
import trio.testing

from roadbend import clock


def pytest_configure(config):
    """Register the marker with which a renamed test keeps its former scheduling order."""
    config.addinivalue_line(
        "markers", "task_order_of(test): seed trio's task scheduling as if the test had this name"
    )


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run a coroutine test on a mock clock, with trio's task scheduling seeded by its name."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    arguments = {name: pyfuncitem.funcargs[name] for name in names}

    async def run():
        with trio.fail_after(3600):
            await pyfuncitem.obj(**arguments)

    marker = pyfuncitem.get_closest_marker("task_order_of")
    own_name = f"{pyfuncitem.path.name}::{pyfuncitem.name}"
    _seed_scheduler(marker.args[0] if marker else own_name)
    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return True


def _seed_scheduler(test: str) -> None:
    """Seed the order in which trio schedules runnable tasks with the name of a test.

    A test takes the same course in every run, also after a move to another directory: `test` holds
    the file name without its directory. The environment variable `ROADBEND_DRAW` selects other
    orders.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(f"{os.environ.get('ROADBEND_DRAW', '')} {test}")


@pytest.fixture(autouse=True)
def time_of_day(monkeypatch):
    """Derive the time of day from trio's clock."""
    base = datetime(2026, 1, 1, tzinfo=UTC)

    def wall():
        try:
            return base + timedelta(seconds=trio.current_time())
        except RuntimeError:
            return base

    monkeypatch.setattr(clock, "wall", wall)


def _count_calls(function) -> int:
    """Return how many Python functions a call runs: a measure of cost that needs no clock."""
    count = 0

    def count_event(_frame, event, _arg):
        nonlocal count
        count += event == "call"

    sys.setprofile(count_event)
    try:
        function()
    finally:
        sys.setprofile(None)
    return count


@pytest.fixture
def count_calls():
    """Return a function that counts the Python function calls of a callable."""
    return _count_calls
