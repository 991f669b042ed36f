"""Runs workloads in an in-memory deployment and records all of its requests and frames."""

import json
import re
from collections.abc import Awaitable, Callable
from typing import Any

import cbor2
import trio

from tests.compatibility import adapter
from tests.compatibility.http_exchange import RecordedRequest, Traffic, exchange, request_bytes

SETTLE_S = 40.0
IDLE_S = 60.0
ADDRESS = "node-0:80"
SERVICE = {"shape": "daemon", "expectedS": 0.0, "dueS": None, "loaners": False}
Workload = Callable[[adapter.Deployment], Awaitable[None]]


async def _post(deployment: adapter.Deployment, path: str, body: Any) -> None:
    stream = await deployment.connect(ADDRESS)
    head, _ = await exchange(stream, request_bytes("POST", path, cbor2.dumps(body)))
    assert head.split(" ")[1] in ("200", "201"), head
    await stream.aclose()


async def submit(deployment: adapter.Deployment, body: Any, seconds: float | None) -> None:
    """Submit a job as a user; its tasks run for `seconds`, or until stopped if that is None."""
    deployment.set_task_duration(body["id"], seconds)
    await _post(deployment, "/v1/jobs", body)


async def work_of_every_kind(deployment: adapter.Deployment) -> None:
    """Run an array, a service that is cancelled and a gang; then let idle machines be returned."""
    service = adapter.submission(2, legs=2, apart=False, **SERVICE)
    await submit(deployment, adapter.submission(1, legs=2, loaners=False), 6.0)
    await submit(deployment, service, None)
    await trio.sleep(SETTLE_S)
    await submit(deployment, adapter.gang_submission(3, 2), 4.0)
    await trio.sleep(SETTLE_S)
    await _post(deployment, f"/v1/jobs/{service['id']}/withdraw", {})
    await trio.sleep(IDLE_S)


async def a_restart_that_lost_records(deployment: adapter.Deployment) -> None:
    """Restart all controllers after the records of a job and its attempts were lost."""
    service = adapter.submission(1, legs=1, **SERVICE)
    await submit(deployment, service, None)
    await trio.sleep(SETTLE_S)
    assert deployment.running(service["id"])
    deployment.stop_controllers()
    deployment.lose_records("r/slice/", "r/job/")
    await deployment.start_controllers()
    await trio.sleep(SETTLE_S)


def record_traffic(workload: Workload, controllers: int, recovery: bool = False) -> Traffic:
    """Run a workload in a new deployment and return all of its network traffic."""
    traffic = Traffic()

    async def scenario() -> None:
        with adapter.intercept_network(traffic.record_data):
            async with adapter.deployment(controllers, recovery) as deployment:
                await workload(deployment)

    adapter.run_scenario(scenario, workload.__name__)
    return traffic


def receiver_kind(request: RecordedRequest) -> str:
    """Return which service a request went to; all machines count as one."""
    return "machine" if request.receiver.startswith("m-") else request.receiver.partition(":")[0]


def write_requests(traffic: Traffic) -> list[list[str]]:
    """Return receiver, method, target and exact body of the controllers' writes, in order."""
    return [
        [receiver_kind(request), request.method, request.target, json.dumps(request.body)]
        for request in traffic.requests
        if request.sender.startswith("node-") and request.method != "GET"
    ]


def read_requests(traffic: Traffic) -> list[tuple[str, str]]:
    """Return the distinct receivers and targets of the controllers' reads; positions become `N`."""
    return sorted(
        {
            (receiver_kind(request), re.sub(r"after=\d+", "after=N", request.target))
            for request in traffic.requests
            if request.sender.startswith("node-") and request.method == "GET"
        }
    )


def worker_orders(traffic: Traffic) -> list[str]:
    """Return the orders in the responses to workers' heartbeats, in order."""
    return [
        json.dumps(order)
        for request in traffic.requests
        if request.target == "/hello" and request.status == 200
        for order in request.response["orders"]
    ]


def frame_kinds(traffic: Traffic) -> list[int]:
    """Return the distinct kinds of frames sent between controllers."""
    kinds = set()
    for _sender, _receiver, data in traffic.frames:
        kinds |= {kind for kind, _number, _payload in adapter.split_frames(data)}
    return sorted(kinds)
