"""Tests what controllers send to the state store, the cloud, machines and each other."""

import cbor2
import pytest
import trio
import trio.testing

from tests.compatibility import adapter, recorded_workloads
from tests.compatibility.recorded import case_name, load

DATA = load("requests")


@pytest.mark.parametrize("case", DATA["request_bytes"], ids=case_name)
def test_a_request_has_these_bytes(case):
    """Head and body are compared byte for byte."""
    sent = []

    async def scenario() -> None:
        client_stream, server_stream = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(respond, server_stream)
            status, response = await adapter.send_request(
                client_stream, case["method"], case["target"], case["body"]
            )
            assert (status, response) == (200, {"ledger": 7})
            nursery.cancel_scope.cancel()

    async def respond(stream: trio.abc.Stream) -> None:
        sent.append(await stream.receive_some(65536))
        body = cbor2.dumps({"ledger": 7})
        head = f"HTTP/1.1 200 \r\ncontent-length: {len(body)}\r\n\r\n"
        await stream.send_all(head.encode() + body)

    adapter.run_scenario(scenario, "request")
    assert sent[0].hex() == case["hex"]


@pytest.fixture(scope="module")
def traffic(mock_time_of_day):
    """Return the traffic of a deployment with one controller."""
    return recorded_workloads.record_traffic(recorded_workloads.work_of_every_kind, 1)


def test_changes_go_out_in_the_same_order_with_the_same_bodies(traffic):
    """Covers conditional transactions, leases, creation and deletion of machines, direct orders."""
    actual = recorded_workloads.write_requests(traffic)
    for index, (current, recorded) in enumerate(zip(actual, DATA["changes"], strict=False)):
        assert current == recorded, index
    assert len(actual) == len(DATA["changes"])


def test_what_is_read_is_read_from_the_same_places(traffic):
    """Covers records, their change log, the catalog and the list of machines."""
    assert [list(row) for row in recorded_workloads.read_requests(traffic)] == DATA["reads"]


def test_workers_get_the_same_orders(traffic):
    """Orders are sent in responses to heartbeats."""
    assert recorded_workloads.worker_orders(traffic) == DATA["orders"]


def test_a_recovery_writes_the_same_records(mock_time_of_day):
    """Covers its progress, and the marker of a job that machines run without a record."""
    traffic = recorded_workloads.record_traffic(
        recorded_workloads.a_restart_that_lost_records, 1, recovery=True
    )
    actual = [
        row
        for row in recorded_workloads.write_requests(traffic)
        if "r/recovery/" in row[-1] or '"write": "r/unrecorded/' in row[-1]
    ]
    assert actual == DATA["recovery_changes"]


def test_two_controllers_exchange_the_same_kinds_of_frames(mock_time_of_day):
    """Covers calls and their replies."""
    traffic = recorded_workloads.record_traffic(recorded_workloads.work_of_every_kind, 2)
    assert recorded_workloads.frame_kinds(traffic) == DATA["kinds_of_frames"]
