"""Scenarios run on trio's mock clock: no wall-clock luck, and waiting costs nothing."""

import inspect
import os
import sys
from datetime import UTC, datetime, timedelta

import pytest
import trio
import trio.testing

from roadbend import clock


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    arguments = {name: pyfuncitem.funcargs[name] for name in names}

    async def run():
        with trio.fail_after(3600):
            await pyfuncitem.obj(**arguments)

    # The order in which trio lets tasks go on is drawn; a scenario's is drawn from its name, so
    # that it goes the same way every time. ROADBEND_DRAW gives other orders.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(f"{os.environ.get('ROADBEND_DRAW', '')} {pyfuncitem.nodeid}")

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return True


@pytest.fixture(autouse=True)
def time_of_day(monkeypatch):
    """The time of day goes with the steady clock."""
    base = datetime(2026, 1, 1, tzinfo=UTC)

    def wall():
        try:
            return base + timedelta(seconds=trio.current_time())
        except RuntimeError:
            return base

    monkeypatch.setattr(clock, "wall", wall)


def count_calls(function) -> int:
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
def calls():
    return count_calls
