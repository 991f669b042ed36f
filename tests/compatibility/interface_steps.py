"""Plays recorded steps against a controller in memory, one after the other."""

from typing import Any

import cbor2
import trio

from tests.compatibility import adapter
from tests.compatibility.http_exchange import exchange, request_bytes

Step = dict[str, Any]
Answer = dict[str, Any]


def body_of(step: Step) -> bytes:
    """A step's body: plain values, or the bytes themselves where it is not CBOR."""
    if "body_hex" in step:
        return bytes.fromhex(step["body_hex"])
    return cbor2.dumps(step["body"]) if "body" in step else b""


def answer_of(head: str, body: bytes) -> Answer:
    """An answer as it is recorded: the exact head, the exact bytes of the body, and what they
    say."""
    return {
        "head": head.split("\r\n"),
        "body_hex": body.hex(),
        "says": cbor2.loads(body) if body else None,
    }


async def play_step(deployment: adapter.Deployment, step: Step) -> Answer | None:
    """Carries out one step; gives the answer of a request."""
    await trio.sleep(step.get("after_s", 0.0))
    if "outage" in step:
        deployment.outage(step["outage"])
        return None
    if "stop" in step:
        deployment.stop_controller(step["stop"])
        return None
    if "runs_for" in step:
        deployment.runs_for(*step["runs_for"])
        return None
    stream = await deployment.connect(step.get("to", "node-0:80"))
    with trio.fail_after(30):
        head, body = await exchange(
            stream, request_bytes(step["method"], step["path"], body_of(step))
        )
    await stream.aclose()
    return answer_of(head, body)


def play_steps(steps: list[Step], controllers: int, name: str) -> list[Answer | None]:
    """The answers to all steps, in a deployment of their own."""
    answers: list[Answer | None] = []

    async def scenario() -> None:
        async with adapter.deployment(controllers) as deployment:
            for step in steps:
                answers.append(await play_step(deployment, step))

    adapter.run_scenario(scenario, name)
    return answers
