"""The view, the barrier, the budget, and transactions whose answers get lost."""

import random
from datetime import timedelta

import pytest
import trio

from roadbend import clock
from roadbend.fakes.network import Network
from roadbend.fakes.state import FakeStateService
from roadbend.fakes.submission import job
from roadbend.http.client import Client, NoAnswerError
from roadbend.http.server import Server
from roadbend.intake.messages import read_submission
from roadbend.settings import OperatorSettings
from roadbend.store import keys
from roadbend.store.client import ConflictError, StateStoreClient, commit, delete, put
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Job, QuotaRecord, Resources, SliceShard
from roadbend.store.request_budget import RequestBudget

S = timedelta(seconds=1)


class Desk:
    def __init__(self, nursery, host="node"):
        self.network, self.service = Network(nursery), FakeStateService()

        async def accept(stream, source):
            await Server(lambda request: self.service.handle(request, source), most=64).serve(
                stream
            )

        self.network.register("state:1", "state", accept)
        self.state = StateStoreClient(
            Client(self.network.port(host), "state:1"), RequestBudget(1000, 1000, 1)
        )


async def test_records_come_back_as_they_were_written():
    name, spec = read_submission(job(1, legs=9, rigs=["g2"], yard="east"))
    one = Job(
        name, spec, clock.from_ms(1_700_000_000_123), {"east": ((0, 4), (6, 7))}, ((4, 5),), 3
    )
    assert Job.from_value(name, one.to_value(), 3) == one
    assert one.unassigned == ((5, 6), (7, 9))
    shard = SliceShard(
        name, "a/b", "red", Resources(1, 2, 3), ((0, 2),), {5: Attempt(1 << 40, "m-1")}, 4
    )
    assert SliceShard.from_value("a/b", name, 0, shard.to_value(), 4) == shard
    use = (
        QuotaRecord("red", {"east": (1.0, 2.0)})
        .with_partition("west", 3.0, 4.0)
        .with_partition("east", 0.0, 0.0)
    )
    assert use.partitions == {"west": (3.0, 4.0)} and use.gpus == 4.0


async def test_a_transaction_whose_answer_is_lost_is_carried_out_once():
    async with trio.open_nursery() as nursery:
        desk = Desk(nursery)
        desk.service.deaf.add("node")
        rows = [put("r/job/x", {"n": 1})]

        async def heal():
            await trio.sleep(2)
            desk.service.deaf.clear()

        nursery.start_soon(heal)
        with pytest.raises(ConflictError):
            await commit(desk.state, {"r/job/x": 0}, rows, within=10 * S)
        assert desk.service.revision == 1
        nursery.cancel_scope.cancel()


async def test_the_barrier_shows_what_another_wrote_before_the_question():
    async with trio.open_nursery() as nursery:
        desk = Desk(nursery)
        view = RecordView()
        reader = RecordReader(view, desk.state, OperatorSettings())
        nursery.start_soon(reader.run)
        await reader.read_barrier()
        desk.service.compare_and_swap(
            {"apply": [put(keys.term_key("east"), {"n": 4, "node": "b"})]}
        )
        await reader.read_barrier()
        assert view.terms["east"].number == 4
        # Many who wait share one read.
        before = desk.service.requests
        async with trio.open_nursery() as many:
            for _ in range(200):
                many.start_soon(reader.read_barrier)
        assert desk.service.requests - before <= 2
        nursery.cancel_scope.cancel()


async def test_a_late_answer_does_not_bring_back_what_was_removed_since():
    view = RecordView()
    view.load([], 0)
    key = keys.term_key("east")
    view.events(
        [{"write": key, "value": {"n": 1, "node": "a"}, "stamp": 5}, {"delete": key, "stamp": 6}], 6
    )
    view.applied([put(key, {"n": 1, "node": "a"})], 5)
    assert "east" not in view.terms
    view.applied([put(key, {"n": 2, "node": "a"})], 9)
    view.events([{"delete": key, "stamp": 8}], 9)
    assert view.terms["east"].number == 2
    view.applied([delete(key)], 11)
    view.events([{"write": key, "value": {"n": 2, "node": "a"}, "stamp": 9}], 10)
    assert "east" not in view.terms


async def test_a_view_fed_in_any_order_ends_like_the_service():
    rng = random.Random(5)
    service, view = FakeStateService(clock=lambda: 0.0), RecordView()
    view.load([], 0)
    for _ in range(300):
        key = keys.term_key(f"p{rng.randrange(6)}")
        row = delete(key) if rng.random() < 0.3 else put(key, {"n": rng.randrange(99), "node": "a"})
        revision = service.compare_and_swap({"apply": [row]}).body["ledger"]
        if rng.random() < 0.5:
            view.applied([row], revision)
        if rng.random() < 0.3:
            view.events([e for _, e in service.log if e["stamp"] > view.revision], service.revision)
    view.events([e for _, e in service.log if e["stamp"] > view.revision], service.revision)
    want = {keys.term_key(partition): term.number for partition, term in view.terms.items()}
    assert want == {key: row[0]["n"] for key, row in service.keys.items()}


async def test_nonsense_from_the_service_is_no_answer():
    async with trio.open_nursery() as nursery:
        network = Network(nursery)
        answers = [
            b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n\xff\xff\xff",
            b"hello\r\n\r\n",
            b"",
        ]

        async def accept(stream, _source):
            await stream.receive_some(1000)
            await stream.send_all(answers[0])
            await stream.aclose()

        network.register("state:1", "state", accept)
        state = StateStoreClient(
            Client(network.port("node"), "state:1"), RequestBudget(1000, 1000, 1)
        )
        for _ in range(3):
            with pytest.raises(NoAnswerError):
                await state.get("x")
            answers.append(answers.pop(0))
        nursery.cancel_scope.cancel()


async def test_the_budget_keeps_to_its_share_and_lends_what_others_leave():
    budget = RequestBudget(90, 30, 3)

    async def spend(seconds):
        count, end = 0, trio.current_time() + seconds
        while trio.current_time() < end:
            await budget.take(1, False)
            count += 1
        return count / seconds

    await spend(5)
    assert 8 < await spend(20) < 10
    budget.share([(0.0, 0.0), (0.0, 0.0)])
    assert 17 < await spend(20) < 24
    budget.share([(30.0, 10.0), (30.0, 10.0)])
    await spend(5)
    assert 8 < await spend(20) < 10
    # What keeps the rules never waits.
    began = trio.current_time()
    for _ in range(50):
        await budget.take(1, True)
    assert trio.current_time() == began
