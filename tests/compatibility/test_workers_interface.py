"""Tests the heartbeats of workers and the responses to them, byte for byte."""

import pytest

from tests.compatibility import adapter
from tests.compatibility.interface_steps import replay_steps
from tests.compatibility.recorded import case_name, exact, load

DATA = load("workers_interface")


@pytest.mark.parametrize("case", DATA["read"], ids=case_name)
def test_a_report_is_read_with_its_meaning(case):
    """Covers fields that may be null or missing, and the largest values."""
    assert exact(adapter.read_report(case["body"])) == exact(case["meaning"])


@pytest.mark.parametrize("case", DATA["orders"], ids=case_name)
def test_an_order_has_its_form(case):
    """The order of its keys counts."""
    order = adapter.write_order(case["verb"], *case["arguments"])
    assert exact(list(order.items())) == exact(list(case["order"].items()))


@pytest.fixture(scope="module")
def responses(mock_time_of_day):
    """Return the responses to all steps by name, from a deployment with two controllers."""
    replayed = replay_steps(DATA["steps"], 2, "workers")
    return {step["name"]: response for step, response in zip(DATA["steps"], replayed, strict=True)}


@pytest.mark.parametrize("step", [s for s in DATA["steps"] if "answer" in s], ids=case_name)
def test_a_report_is_answered_as_before(responses, step):
    """Compares status, headers and body, with all kinds of orders."""
    assert responses[step["name"]] == step["answer"]
