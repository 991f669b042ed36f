"""What users send, and what they are answered, byte for byte."""

import pytest
import trio

from tests.compatibility import adapter
from tests.compatibility.http_exchange import exchange, request_bytes
from tests.compatibility.interface_steps import answer_of, body_of, play_steps
from tests.compatibility.recorded import case_name, exact, load

DATA = load("users_interface")
STORM = 60


@pytest.mark.parametrize("case", DATA["read"], ids=case_name)
def test_a_submission_is_read_with_its_meaning(case):
    """Fields that may be null or missing, all shapes and ranks, and the largest values."""
    assert exact(adapter.read_submission(case["body"])) == exact(case["meaning"])


@pytest.fixture(scope="module")
def answers(mock_time_of_day):
    """The answers to all steps by name, from one deployment of one controller."""
    played = play_steps(DATA["steps"], 1, "users")
    return {step["name"]: answer for step, answer in zip(DATA["steps"], played, strict=True)}


@pytest.mark.parametrize("step", [s for s in DATA["steps"] if "answer" in s], ids=case_name)
def test_a_request_of_a_user_is_answered_as_before(answers, step):
    """Status, headers and body."""
    assert answers[step["name"]] == step["answer"]


def test_whoever_comes_while_all_places_are_taken_is_told_when_to_come_back(mock_time_of_day):
    """Submissions that come at once: some are accepted, the rest is busy."""
    answers = []

    async def submit(deployment: adapter.Deployment, number: int) -> None:
        stream = await deployment.connect("node-0:80")
        body = body_of({"body": adapter.submission(number)})
        answers.append(await exchange(stream, request_bytes("POST", "/v1/jobs", body)))

    async def scenario() -> None:
        async with adapter.deployment(1) as deployment, trio.open_nursery() as nursery:
            for number in range(STORM):
                nursery.start_soon(submit, deployment, number)

    adapter.run_scenario(scenario, "storm")
    busy = [answer_of(*row) for row in answers if row[0].startswith("HTTP/1.1 429")]
    assert len(answers) == STORM and 0 < len(busy) < STORM
    assert all(answer == DATA["busy"] for answer in busy)
