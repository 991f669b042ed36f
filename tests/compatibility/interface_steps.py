"""Replays recorded steps one by one against controllers in memory."""

from typing import Any

import cbor2
import trio

from tests.compatibility import adapter
from tests.compatibility.http_exchange import exchange, request_bytes

Step = dict[str, Any]
Response = dict[str, Any]


def step_body(step: Step) -> bytes:
    """Return the request body of a step: encoded values, or recorded bytes that aren't CBOR."""
    if "body_hex" in step:
        return bytes.fromhex(step["body_hex"])
    return cbor2.dumps(step["body"]) if "body" in step else b""


def recorded_form(head: str, body: bytes) -> Response:
    """Return a response in recorded form: the exact head and body, and the decoded body."""
    return {
        "head": head.split("\r\n"),
        "body_hex": body.hex(),
        "says": cbor2.loads(body) if body else None,
    }


async def replay_step(deployment: adapter.Deployment, step: Step) -> Response | None:
    """Carry out one step; return the response if it is a request."""
    await trio.sleep(step.get("after_s", 0.0))
    if "outage" in step:
        deployment.outage(step["outage"])
        return None
    if "stop" in step:
        deployment.stop_controller(step["stop"])
        return None
    if "runs_for" in step:
        deployment.set_task_duration(*step["runs_for"])
        return None
    stream = await deployment.connect(step.get("to", "node-0:80"))
    with trio.fail_after(30):
        head, body = await exchange(
            stream, request_bytes(step["method"], step["path"], step_body(step))
        )
    await stream.aclose()
    return recorded_form(head, body)


def replay_steps(steps: list[Step], controllers: int, name: str) -> list[Response | None]:
    """Replay all steps in a new deployment; return their responses."""
    responses: list[Response | None] = []

    async def scenario() -> None:
        async with adapter.deployment(controllers) as deployment:
            for step in steps:
                responses.append(await replay_step(deployment, step))

    adapter.run_scenario(scenario, name)
    return responses
