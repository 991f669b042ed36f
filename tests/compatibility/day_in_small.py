"""A deployment whose every request is written down: work of all kinds comes and ends."""

import json
import re
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import trio

from tests.compatibility import adapter
from tests.compatibility.http_exchange import Sent, Traffic, exchange, request_bytes

SETTLE_S = 40.0
IDLE_S = 60.0
ADDRESS = "node-0:80"
SERVICE = {"shape": "daemon", "expectedS": 0.0, "dueS": None, "loaners": False}
Play = Callable[[adapter.Deployment], Awaitable[None]]


async def _ask(deployment: adapter.Deployment, path: str, body: Any) -> None:
    stream = await deployment.connect(ADDRESS)
    head, _ = await exchange(stream, request_bytes("POST", path, cbor2.dumps(body)))
    assert head.split(" ")[1] in ("200", "201"), head
    await stream.aclose()


async def submit(deployment: adapter.Deployment, body: Any, seconds: float | None) -> None:
    """A user submits a job whose tasks run for so long."""
    deployment.runs_for(body["id"], seconds)
    await _ask(deployment, "/v1/jobs", body)


async def work_of_every_kind(deployment: adapter.Deployment) -> None:
    """An array ends, a service is cancelled, a gang runs where there is room, and the machines are
    given back."""
    service = adapter.submission(2, legs=2, apart=False, **SERVICE)
    await submit(deployment, adapter.submission(1, legs=2, loaners=False), 6.0)
    await submit(deployment, service, None)
    await trio.sleep(SETTLE_S)
    await submit(deployment, adapter.gang_submission(3, 2), 4.0)
    await trio.sleep(SETTLE_S)
    await _ask(deployment, f"/v1/jobs/{service['id']}/withdraw", {})
    await trio.sleep(IDLE_S)


async def a_restart_that_lost_records(deployment: adapter.Deployment) -> None:
    """All controllers begin anew, and neither a job nor its attempts are in the records."""
    service = adapter.submission(1, legs=1, **SERVICE)
    await submit(deployment, service, None)
    await trio.sleep(SETTLE_S)
    assert deployment.running(service["id"])
    deployment.stop_controllers()
    deployment.lose_records("r/slice/", "r/job/")
    await deployment.start_controllers()
    await trio.sleep(SETTLE_S)


def play(play_in: Play, controllers: int, recovery: bool = False) -> Traffic:
    """Everything that went over the network."""
    traffic = Traffic()

    async def scenario() -> None:
        with adapter.watched_network(traffic.note):
            async with adapter.deployment(controllers, recovery) as deployment:
                await play_in(deployment)

    adapter.run_scenario(scenario, play_in.__name__)
    return traffic


def receiver_kind(sent: Sent) -> str:
    """Which service a request went to; machines are alike."""
    return "machine" if sent.receiver.startswith("m-") else sent.receiver.partition(":")[0]


def changes(traffic: Traffic) -> list[list[str]]:
    """Receiver, method, target and exact body of every request of the controllers that changes
    something, in order."""
    return [
        [receiver_kind(sent), sent.method, sent.target, json.dumps(sent.body)]
        for sent in traffic.sent
        if sent.sender.startswith("node-") and sent.method != "GET"
    ]


def reads(traffic: Traffic) -> list[tuple[str, str]]:
    """Receiver and target of the controllers' reading requests, once each; counts are `N`."""
    return sorted(
        {
            (receiver_kind(sent), re.sub(r"after=\d+", "after=N", sent.target))
            for sent in traffic.sent
            if sent.sender.startswith("node-") and sent.method == "GET"
        }
    )


def orders(traffic: Traffic) -> list[str]:
    """The orders in the answers to workers' reports, in order."""
    return [
        json.dumps(order)
        for sent in traffic.sent
        if sent.target == "/hello" and sent.status == 200
        for order in sent.answer["orders"]
    ]


def kinds_of_frames(traffic: Traffic) -> list[int]:
    """The kinds of frames that went between controllers, once each."""
    kinds = set()
    for _sender, _receiver, data in traffic.frames:
        kinds |= {kind for kind, _number, _payload in adapter.split_frames(data)}
    return sorted(kinds)
