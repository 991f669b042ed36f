"""What workers report, and what they are answered, byte for byte."""

import pytest

from tests.compatibility import adapter
from tests.compatibility.interface_steps import play_steps
from tests.compatibility.recorded import case_name, exact, load

DATA = load("workers_interface")


@pytest.mark.parametrize("case", DATA["read"], ids=case_name)
def test_a_report_is_read_with_its_meaning(case):
    """Fields that may be null or missing, and the largest values."""
    assert exact(adapter.read_report(case["body"])) == exact(case["meaning"])


@pytest.mark.parametrize("case", DATA["orders"], ids=case_name)
def test_an_order_has_its_form(case):
    """With its keys in this order."""
    order = adapter.write_order(case["verb"], *case["arguments"])
    assert exact(list(order.items())) == exact(list(case["order"].items()))


@pytest.fixture(scope="module")
def answers(mock_time_of_day):
    """The answers to all steps by name, from one deployment of two controllers."""
    played = play_steps(DATA["steps"], 2, "workers")
    return {step["name"]: answer for step, answer in zip(DATA["steps"], played, strict=True)}


@pytest.mark.parametrize("step", [s for s in DATA["steps"] if "answer" in s], ids=case_name)
def test_a_report_is_answered_as_before(answers, step):
    """Status, headers and body, with all kinds of orders."""
    assert answers[step["name"]] == step["answer"]
