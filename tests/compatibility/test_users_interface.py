"""Tests what users send and the responses to it, byte for byte."""

import pytest
import trio

from tests.compatibility import adapter
from tests.compatibility.http_exchange import exchange, request_bytes
from tests.compatibility.interface_steps import recorded_form, replay_steps, step_body
from tests.compatibility.recorded import case_name, exact, load

DATA = load("users_interface")
SUBMISSION_COUNT = 60


@pytest.mark.parametrize("case", DATA["read"], ids=case_name)
def test_a_submission_is_read_with_its_meaning(case):
    """Covers fields that may be null or missing, all shapes and ranks, and the largest values."""
    assert exact(adapter.read_submission(case["body"])) == exact(case["meaning"])


@pytest.fixture(scope="module")
def responses(mock_time_of_day):
    """Return the responses to all steps by name, from a deployment with one controller."""
    replayed = replay_steps(DATA["steps"], 1, "users")
    return {step["name"]: response for step, response in zip(DATA["steps"], replayed, strict=True)}


@pytest.mark.parametrize("step", [s for s in DATA["steps"] if "answer" in s], ids=case_name)
def test_a_request_of_a_user_is_answered_as_before(responses, step):
    """Compares status, headers and body."""
    assert responses[step["name"]] == step["answer"]


def test_whoever_comes_while_all_places_are_taken_is_told_when_to_come_back(mock_time_of_day):
    """Of many concurrent submissions some are accepted; the others get status 429."""
    responses = []

    async def submit(deployment: adapter.Deployment, number: int) -> None:
        stream = await deployment.connect("node-0:80")
        body = step_body({"body": adapter.submission(number)})
        responses.append(await exchange(stream, request_bytes("POST", "/v1/jobs", body)))

    async def scenario() -> None:
        async with adapter.deployment(1) as deployment, trio.open_nursery() as nursery:
            for number in range(SUBMISSION_COUNT):
                nursery.start_soon(submit, deployment, number)

    adapter.run_scenario(scenario, "storm")
    busy = [recorded_form(*row) for row in responses if row[0].startswith("HTTP/1.1 429")]
    assert len(responses) == SUBMISSION_COUNT and 0 < len(busy) < SUBMISSION_COUNT
    assert all(response == DATA["busy"] for response in busy)
