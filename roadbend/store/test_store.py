"""The record view, the read barrier, the request budget, and transactions with lost answers."""

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
from roadbend.store.client import (
    ConflictError,
    LeaseEndedError,
    RefusedError,
    StateStoreClient,
    commit,
    delete,
    put,
)
from roadbend.store.errors import MalformedAnswerError, Operation, Outcome, TooLargeError
from roadbend.store.messages import (
    Answer,
    ChangeLog,
    CompareAndSwap,
    DeletedRecord,
    StoredRecord,
    read_change_log,
    read_revision,
)
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Job, QuotaRecord, Resources, SliceShard
from roadbend.store.request_budget import RequestBudget

S = timedelta(seconds=1)


class Harness:
    def __init__(self, nursery, host="node"):
        self.network, self.service = Network(nursery), FakeStateService()

        async def accept(stream, source):
            await Server(
                lambda request: self.service.handle(request, source), max_connections=64
            ).serve(stream)

        self.network.register("state:1", "state", accept)
        self.state = StateStoreClient(
            Client(self.network.port(host), "state:1"), RequestBudget(1000, 1000, 1)
        )


async def test_records_come_back_as_they_were_written():
    name, spec = read_submission(job(1, legs=9, rigs=["g2"], yard="east"))
    original = Job(
        name, spec, clock.from_ms(1_700_000_000_123), {"east": ((0, 4), (6, 7))}, ((4, 5),), 3
    )
    assert Job.from_value(name, original.to_value(), 3) == original
    assert original.unassigned == ((5, 6), (7, 9))
    shard = SliceShard(
        name, "a/b", "red", Resources(1, 2, 3), ((0, 2),), {5: Attempt(1 << 40, "m-1")}, 4
    )
    assert SliceShard.from_value("a/b", name, 0, shard.to_value(), 4) == shard
    quota = (
        QuotaRecord("red", {"east": (1.0, 2.0)})
        .with_partition("west", 3.0, 4.0)
        .with_partition("east", 0.0, 0.0)
    )
    assert quota.partitions == {"west": (3.0, 4.0)} and quota.gpus == 4.0


async def test_a_transaction_whose_answer_is_lost_is_carried_out_once():
    async with trio.open_nursery() as nursery:
        harness = Harness(nursery)
        harness.service.unanswered_hosts.add("node")
        rows = [put("r/job/x", {"n": 1})]

        async def heal():
            await trio.sleep(2)
            harness.service.unanswered_hosts.clear()

        nursery.start_soon(heal)
        with pytest.raises(ConflictError):
            await commit(harness.state, {"r/job/x": 0}, rows, within=10 * S)
        assert harness.service.revision == 1
        nursery.cancel_scope.cancel()


async def test_the_barrier_shows_what_another_wrote_before_the_question():
    async with trio.open_nursery() as nursery:
        harness = Harness(nursery)
        view = RecordView()
        reader = RecordReader(view, harness.state, OperatorSettings())
        nursery.start_soon(reader.run)
        await reader.read_barrier()
        harness.service.compare_and_swap(
            {"apply": [put(keys.term_key("east"), {"n": 4, "node": "b"}).to_map()]}
        )
        await reader.read_barrier()
        assert view.terms["east"].number == 4
        # Many waiting callers share one read.
        before = harness.service.requests
        async with trio.open_nursery() as readers:
            for _ in range(200):
                readers.start_soon(reader.read_barrier)
        assert harness.service.requests - before <= 2
        nursery.cancel_scope.cancel()


async def test_a_late_answer_does_not_bring_back_what_was_removed_since():
    view = RecordView()
    view.load([], 0)
    key = keys.term_key("east")
    view.apply_events([StoredRecord(key, {"n": 1, "node": "a"}, 5), DeletedRecord(key, 6)], 6)
    view.apply_transaction([put(key, {"n": 1, "node": "a"})], 5)
    assert "east" not in view.terms
    view.apply_transaction([put(key, {"n": 2, "node": "a"})], 9)
    view.apply_events([DeletedRecord(key, 8)], 9)
    assert view.terms["east"].number == 2
    view.apply_transaction([delete(key)], 11)
    view.apply_events([StoredRecord(key, {"n": 2, "node": "a"}, 9)], 10)
    assert "east" not in view.terms


def changes_after(service: FakeStateService, revision: int) -> ChangeLog:
    """Parse the service's change log after a revision, as the client does."""
    rows = [row for _, row in service.log if row["stamp"] > revision]
    change_log = read_change_log(
        answer({"ledger": service.revision, "log": rows}, Operation.FOLLOW)
    )
    assert change_log is not None
    return change_log


def answer(body, operation=Operation.GET, status=200) -> Answer:
    return Answer(operation, ("r/",), status, body)


async def test_a_view_fed_in_any_order_ends_like_the_service():
    rng = random.Random(5)
    service, view = FakeStateService(clock=lambda: 0.0), RecordView()
    view.load([], 0)
    for _ in range(300):
        key = keys.term_key(f"p{rng.randrange(6)}")
        change = (
            delete(key) if rng.random() < 0.3 else put(key, {"n": rng.randrange(99), "node": "a"})
        )
        revision = service.compare_and_swap({"apply": [change.to_map()]}).body["ledger"]
        if rng.random() < 0.5:
            view.apply_transaction([change], revision)
        if rng.random() < 0.3:
            view.apply_events(*changes_after(service, view.revision))
    view.apply_events(*changes_after(service, view.revision))
    expected = {keys.term_key(partition): term.number for partition, term in view.terms.items()}
    assert expected == {key: stored[0]["n"] for key, stored in service.keys.items()}


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


@pytest.mark.parametrize("revision", [None, True, "7", 1.0, -1, 1 << 64, 1 << 70])
def test_what_is_no_revision_is_refused(revision):
    """Guards against a bad revision above all later ones, after which no change would be read."""
    answer = Answer(Operation.FOLLOW, ("x",), 200, {"ledger": revision})
    with pytest.raises(MalformedAnswerError):
        read_revision(answer)


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
    budget.borrow([(0.0, 0.0), (0.0, 0.0)])
    assert 17 < await spend(20) < 24
    budget.borrow([(30.0, 10.0), (30.0, 10.0)])
    await spend(5)
    assert 8 < await spend(20) < 10
    # Urgent requests never wait.
    began = trio.current_time()
    for _ in range(50):
        await budget.take(1, True)
    assert trio.current_time() == began


def test_a_transaction_is_sent_as_the_protocol_says():
    transaction = CompareAndSwap.of(
        {"a/b": 0, "c": 7}, [put("a/b", {"x": 1}, 7), put("c", None), delete("c/d")]
    )
    assert transaction.to_map() == {
        "when": [{"path": "a/b", "stamp": 0}, {"path": "c", "stamp": 7}],
        "apply": [
            {"write": "a/b", "value": {"x": 1}, "permit": 7},
            {"write": "c", "value": None},
            {"delete": "c/d"},
        ],
    }
    assert transaction.keys == ("a/b", "c", "c/d")


def test_the_change_log_is_taken_in_up_to_what_cannot_be_read():
    rows = [
        {"write": keys.term_key("east"), "value": {"n": 1, "node": "a"}, "stamp": 1},
        {"renamed": "r/term/west", "stamp": 2},
        {"write": keys.term_key("north"), "value": {"n": 1, "node": "a"}},
    ]
    view, change_log = RecordView(), read_change_log(answer({"ledger": 3, "log": rows}))
    assert change_log is not None
    with pytest.raises(MalformedAnswerError, match="malformed answer: stamp") as caught:
        view.apply_events(*change_log)
    assert caught.value.outcome is Outcome.UNKNOWN and caught.value.keys == ("r/",)
    assert view.terms.keys() == {"east"} and view.revision == 0
    assert read_change_log(answer(None, Operation.FOLLOW, 410)) is None


class FixedAnswerClient:
    """A client of a state store that gives the same answer to every request."""

    def __init__(self, status, body):
        self.answer = status, body

    async def request(self, _method, _target, _body=None, *, within):
        return self.answer


@pytest.mark.parametrize(
    "status, body, kind, outcome",
    [
        (429, None, RefusedError, Outcome.TRY_LATER),
        (503, {"error": "trouble"}, RefusedError, Outcome.TRY_LATER),
        (409, {"failed": ["r/job/x"], "ledger": 4}, ConflictError, Outcome.NOT_CARRIED_OUT),
        (400, {"error": "no such lease"}, LeaseEndedError, Outcome.NOT_CARRIED_OUT),
        (400, {"error": "too large"}, TooLargeError, Outcome.NOT_CARRIED_OUT),
        (200, {"ledger": True}, MalformedAnswerError, Outcome.UNKNOWN),
        (500, None, MalformedAnswerError, Outcome.UNKNOWN),
    ],
)
async def test_an_error_says_what_failed_and_what_is_known_of_it(status, body, kind, outcome):
    state = StateStoreClient(FixedAnswerClient(status, body), RequestBudget(1000, 1000, 1))
    with pytest.raises(kind) as caught:
        await state.compare_and_swap({"r/job/x": 0}, [put("r/job/x", 1)])
    error = caught.value
    assert type(error) is kind and error.outcome is outcome
    assert (error.operation, error.keys) == (Operation.COMPARE_AND_SWAP, ("r/job/x",))
