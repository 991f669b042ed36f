"""What controllers send to the state service, the cloud, machines and each other."""

import cbor2
import pytest
import trio
import trio.testing

from tests.compatibility import adapter, day_in_small
from tests.compatibility.recorded import case_name, load

DATA = load("requests")


@pytest.mark.parametrize("case", DATA["request_bytes"], ids=case_name)
def test_a_request_has_these_bytes(case):
    """Its head and its body."""
    sent = []

    async def scenario() -> None:
        mine, theirs = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(answer, theirs)
            status, answered = await adapter.send_request(
                mine, case["method"], case["target"], case["body"]
            )
            assert (status, answered) == (200, {"ledger": 7})
            nursery.cancel_scope.cancel()

    async def answer(stream: trio.abc.Stream) -> None:
        sent.append(await stream.receive_some(65536))
        body = cbor2.dumps({"ledger": 7})
        head = f"HTTP/1.1 200 \r\ncontent-length: {len(body)}\r\n\r\n"
        await stream.send_all(head.encode() + body)

    adapter.run_scenario(scenario, "request")
    assert sent[0].hex() == case["hex"]


@pytest.fixture(scope="module")
def work_of_every_kind(mock_time_of_day):
    """The traffic of a deployment of one controller."""
    return day_in_small.play(day_in_small.work_of_every_kind, 1)


def test_changes_go_out_in_the_same_order_with_the_same_bodies(work_of_every_kind):
    """Transactions with their conditions, leases, hires and returns of machines, direct orders."""
    found = day_in_small.changes(work_of_every_kind)
    for at, (now, before) in enumerate(zip(found, DATA["changes"], strict=False)):
        assert now == before, at
    assert len(found) == len(DATA["changes"])


def test_what_is_read_is_read_from_the_same_places(work_of_every_kind):
    """The records, their log, the catalog and the list of machines."""
    assert [list(row) for row in day_in_small.reads(work_of_every_kind)] == DATA["reads"]


def test_workers_get_the_same_orders(work_of_every_kind):
    """In the answers to their reports."""
    assert day_in_small.orders(work_of_every_kind) == DATA["orders"]


def test_a_recovery_writes_the_same_records(mock_time_of_day):
    """Its progress, and the mark of a job that machines run and no record names."""
    traffic = day_in_small.play(day_in_small.a_restart_that_lost_records, 1, recovery=True)
    found = [
        row
        for row in day_in_small.changes(traffic)
        if "r/recovery/" in row[-1] or '"write": "r/unrecorded/' in row[-1]
    ]
    assert found == DATA["recovery_changes"]


def test_two_controllers_exchange_the_same_kinds_of_frames(mock_time_of_day):
    """Calls and their replies."""
    traffic = day_in_small.play(day_in_small.work_of_every_kind, 2)
    assert day_in_small.kinds_of_frames(traffic) == DATA["kinds_of_frames"]
