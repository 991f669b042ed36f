"""Schedules in which a task ran in two places at once; docs/incidents has them."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

import pytest
import trio

from roadbend import clock
from roadbend.fakes.platform import settings_for
from roadbend.fakes.submission import job
from roadbend.fakes.world import World, world
from roadbend.fleet.messages import parse_heartbeat
from roadbend.fleet.terminations import TaskKey, Termination, TerminationEvidence
from roadbend.partitions.leadership import Leadership
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.termination_recorder import TerminationRecorder
from roadbend.placement.transaction import TransactionBuilder
from roadbend.settings import Team
from roadbend.store.client import ConflictError, delete, put
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Resources, SliceShard

TEAMS = {"red": Team("red", 0, 0, 20, 40)}
SERVICE = dict(shape="daemon", dueS=None, loaners=False, yard="east")
TASK = ("run-000001", 0)
# As in the settings of `fakes.world`.
LEASE_S = 18.0


def home(w: World, task: str = "run-000001/0") -> str:
    """The machine that a task runs on."""
    return next(iter(w.board.machines_by_task[task]))


def cut_off(w: World, machine: str) -> None:
    for at in range(w.count):
        w.network.block(f"node-{at}", machine)


def heal(w: World, machine: str) -> None:
    for at in range(w.count):
        w.network.unblock(f"node-{at}", machine)


async def report_now(w: World, machine: str) -> None:
    """The machine reports at this very moment, and takes the answer."""
    worker = w.cloud.machines[machine].worker
    sent, epoch, body = trio.current_time(), worker.epoch, worker.heartbeat()
    status, answer = await w.call(0, "POST", "/hello", body)
    assert status == 200 and worker.handle_answer(answer, sent, epoch)


async def test_an_attempt_with_a_proof_that_is_not_recorded_yet_is_not_ordered_again():
    """The lease of a machine that was cut off is over, and with it its tasks. Before that is in the
    records the machine is back for a moment, with nothing on it. Ordered to start the old attempt
    again, and cut off again, it ran the task while the next attempt began elsewhere."""
    async with world(count=1, teams=TEAMS, caches_images=True) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.submit(0, job(2, legs=2, **SERVICE), None) == 201
        assert await w.until(
            lambda: w.board.running("run-000001") and len(w.board.running("run-000002")) == 2, 60
        )
        controller, machine = w.controllers["node-0"], home(w)
        assert len(w.cloud.machines) == 2
        leader = controller.leaders["east"]
        w.cloud.down = True
        cut_off(w, machine)
        await trio.sleep(15)
        w.state.down = True
        assert await w.until(lambda: TASK in leader.terminations, 20, 0.01), "the lease as proof"
        heal(w, machine)
        await trio.sleep(3)
        # The records are back, and the machine reports before its task's end has reached them.
        w.state.end_outage()
        assert await w.until(lambda: controller.election.may_start(clock.now()), 5, 0.005)
        assert TASK in leader.terminations
        await report_now(w, machine)
        cut_off(w, machine)
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        await trio.sleep(10)
        heal(w, machine)
        assert await w.until(lambda: w.board.running("run-000001"), 60)


async def test_a_proof_that_is_being_recorded_is_not_withdrawn_by_a_report_that_was_held_back():
    """A lease is over, and that goes out to the records. Then a report comes that was held back in
    the session that ended, and shows the task; and one of the new session, which lacks it. Ordered
    again between the two, it ran beside the next attempt."""
    async with world(count=1, teams=TEAMS, caches_images=True) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.submit(0, job(2, legs=2, **SERVICE), None) == 201
        assert await w.until(
            lambda: w.board.running("run-000001") and len(w.board.running("run-000002")) == 2, 60
        )
        controller, machine = w.controllers["node-0"], home(w)
        leader, worker = controller.leaders["east"], w.cloud.machines[machine].worker
        w.cloud.down = True
        cut_off(w, machine)
        await trio.sleep(15)
        held = worker.heartbeat()
        w.state.slow = 0.6
        assert await w.until(lambda: TASK in leader.terminations._in_transaction, 20, 0.005)
        assert worker.epoch == 2 and held["stint"] == 1
        assert (await w.call(0, "POST", "/hello", held))[0] == 200
        await report_now(w, machine)
        cut_off(w, machine)
        w.state.slow = 0.0
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        await trio.sleep(10)
        heal(w, machine)
        assert await w.until(lambda: w.board.running("run-000001"), 60)


@pytest.mark.parametrize("stopped_while_it_waits", [False, True])
async def test_a_report_that_waited_is_not_read_again_once_a_newer_one_was_answered(
    stopped_while_it_waits,
):
    """A report waits for what it calls for. Meanwhile a newer one of the same machine is answered
    with an order to start; the older one, read again, must neither set the machine's count back nor
    let a report from between the two prove that the task is absent."""
    async with world(count=1, capacity=1, teams=TEAMS, caches_images=True) as w:
        controller = w.controllers["node-0"]
        assert await w.submit(0, job(2, legs=2, **SERVICE), None) == 201
        assert await w.until(lambda: len(w.board.running("run-000002")) == 2, 60)
        machine, leader = home(w, "run-000002/0"), controller.leaders["east"]
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        await trio.sleep(5)
        worker = w.cloud.machines[machine].worker
        w.network.block_outbound(machine)
        w.cloud._capacity, w.cloud.refuse_deletion = 2, True
        await trio.sleep(0.1)
        # A task has failed: room for the one that waits. It is recorded, but the answer of the
        # state service is lost, so that the report waits to the end.
        failed = next(task for task in worker.tasks.values() if task.name == "run-000002/0")
        worker.end(failed, "error")
        first, between = worker.heartbeat(), worker.heartbeat()
        w.state.unanswered_hosts.add("node-0")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.heartbeats.handle, parse_heartbeat(first))
            assert await w.until(
                lambda: TASK in leader.records.attempts_by_machine()[machine], 0.38, 0.005
            )
            await report_now(w, machine)
            attempt = leader.records.attempts_by_machine()[machine][TASK][1]
            if stopped_while_it_waits:
                cut_off(w, machine)
                leader.stops.order(TASK, attempt, timedelta(seconds=5), "test", clock.now())
        w.state.unanswered_hosts.clear()
        assert worker.tasks[(f"{TASK[0]}/0", attempt.number)].state != "ended"
        # The task is to be stopped, nothing reaches the machine, and the report from between comes.
        cut_off(w, machine)
        leader.stops.order(TASK, attempt, timedelta(seconds=5), "test", clock.now())
        await w.call(0, "POST", "/hello", between)
        await trio.sleep(17)
        heal(w, machine)
        w.network.outbound_blocked.clear()
        assert await w.until(lambda: w.board.running("run-000001"), 60)


async def test_a_machine_deleted_while_its_report_waits_is_not_read_again():
    async with world(count=1, teams=TEAMS) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        machine, leader = home(w), w.controllers["node-0"].leaders["east"]
        worker = w.cloud.machines[machine].worker
        w.network.block_outbound(machine)
        await trio.sleep(0.1)
        worker.end(next(iter(worker.tasks.values())), "error")
        answers = []

        async def heartbeat() -> None:
            answers.append(await leader.heartbeats.handle(parse_heartbeat(worker.heartbeat())))

        w.state.slow = 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(heartbeat)
            await trio.sleep(0.05)
            leader.mark_attempts_terminated(machine, TerminationEvidence.DELETED)
        assert answers == [None]


async def test_an_answer_after_the_lease_counted_as_over_renews_nothing():
    """A report sent just within the lease comes late, and its answer waits while the lease is
    judged: the worker drops that answer, for its session is over by then."""
    async with world(count=1, teams=TEAMS) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        controller, machine = w.controllers["node-0"], home(w)
        leader, worker = controller.leaders["east"], w.cloud.machines[machine].worker
        w.cloud.down = True
        cut_off(w, machine)
        known = leader.machines[machine]
        await trio.sleep_until(worker.lease.renewed_at + LEASE_S - 0.05)
        sent, epoch, body = trio.current_time(), worker.epoch, worker.heartbeat()
        while TASK not in leader.terminations and trio.current_time() < sent + 3.9:
            controller.fleet.failure_detector._fencing.expire(leader, machine)
            await trio.sleep(0.05)
        assert TASK in leader.terminations
        heartbeat = parse_heartbeat(body)
        assert known.admit(heartbeat, leader.heartbeats.token(known), clock.now())
        answer = {"baton": leader.heartbeats.token(known), "orders": []}
        assert not worker.handle_answer(answer, sent, epoch) and not w.board.running("run-000001")


async def test_a_direct_order_that_waited_does_not_start_what_is_proven_gone():
    """Orders that go straight to machines wait for each other; meanwhile the attempt may have
    ended."""
    async with world(count=1, teams=TEAMS) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        controller, machine = w.controllers["node-0"], home(w)
        leader, worker = controller.leaders["east"], w.cloud.machines[machine].worker
        attempt = leader.records.recorded_attempt(TaskKey(*TASK))
        w.state.down = True
        leader.terminations.add(TASK, Termination(attempt.number, machine, False, "error"))
        before = len(worker.orders)
        await controller.fleet.commands._start_directly(
            leader, machine, [(TaskKey(*TASK), attempt)]
        )
        assert (
            len(worker.orders) == before
            and TASK not in leader.machines[machine].token.direct_starts
        )
        leader.terminations.withdraw(TASK, machine)
        w.state.end_outage()
        await trio.sleep(3)
        # One that goes out may be carried out by a machine that has just begun anew.
        known = leader.machines[machine]
        known.contact.lease_started_at, now = clock.ORIGIN, clock.now()
        await controller.fleet.commands._start_directly(
            leader, machine, [(TaskKey(*TASK), attempt)]
        )
        assert known.contact.lease_started_at >= now


async def test_the_end_of_an_attempt_on_another_machine_ends_nothing_here():
    """The tasks of a gang are replaced under the number that their attempt has."""
    async with world(count=1, teams=TEAMS) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        leader = w.controllers["node-0"].leaders["east"]
        attempt = leader.records.recorded_attempt(TaskKey(*TASK))
        leader.terminations.add(TASK, Termination(attempt.number, "m-before", False, "absent"))
        leader.steps.request()
        await trio.sleep(5)
        assert (
            leader.records.recorded_attempt(TaskKey(*TASK)) == attempt
            and TASK not in leader.terminations
        )
        assert len(w.board.starts) == 1


async def test_a_conflict_that_cannot_be_read_up_leaves_the_transaction_unsettled(monkeypatch):
    """It may be our own transaction, whose answer was lost: until the records have been read,
    nothing is written on top of it."""
    async with world(count=1, teams=TEAMS) as w:
        leader, tried = w.controllers["node-0"].leaders["east"], []

        async def conflict(_state, conditions, _rows, **_options):
            tried.append(conditions)
            w.state.down = True
            raise ConflictError(["r/job/run-000001"])

        monkeypatch.setattr("roadbend.placement.transaction_sender.commit", conflict)
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: tried, 60)
        await trio.sleep(4)
        assert leader.transactions.in_doubt == tried[0] and len(tried) == 1
        monkeypatch.undo()
        w.state.end_outage()
        assert await w.until(lambda: w.board.running("run-000001"), 60)


def test_a_split_moves_a_task_to_another_record_and_the_view_keeps_it():
    """A split writes the record that takes a task before the one that gives it up. The view lost
    the task, which was then started again elsewhere."""
    wide = SliceShard(
        "run-000001",
        "east",
        "red",
        Resources(1, 1, 1),
        attempts={0: Attempt(5, "m-1"), 200: Attempt(6, "m-2")},
        shard=0,
    )
    taking = replace(wide, shard=1, attempts={200: Attempt(6, "m-2")})
    giving = replace(wide, attempts={0: Attempt(5, "m-1")})
    for order in ((taking, giving), (giving, taking)):
        view = RecordView()
        view.put(wide.key, wide.to_value(), 5)
        view.apply_transaction([put(row.key, row.to_value()) for row in order], 9)
        work = view.job_slices["east"]["run-000001"]
        assert work.attempts == wide.attempts and view.usage["east"]["red"] == (2, 2)
        assert view.attempts_by_machine["east"].keys() == {"m-1", "m-2"}
        assert [work.shard_of(index, 102) for index in (0, 200)] == [0, 1]
        # It is in one record now, and gone with that one.
        view.apply_transaction([delete(taking.key)], 10)
        assert work.attempts == giving.attempts and view.attempts_by_machine["east"].keys() == {
            "m-1"
        }


def test_a_split_into_a_shard_that_changes_too_loses_no_task():
    """The transaction that splits a wide record also records the end of a task in a record that
    takes some of it. The second writing of that record lost what the first had moved there."""
    settings = settings_for(0, 1, value_bytes=1200, txn_ops=4)
    view, width = RecordView(), settings.shard_width
    # The shard that takes the most is the one that changes, too.
    indexes = [*range(2 * width), *range(2 * width, 7 * width, 2)]
    wide = SliceShard(
        "run-000001", "east", "red", Resources(1, 1, 1), attempts=attempts(indexes), shard=0
    )
    other = replace(wide, attempts=attempts(range(width, width + 3)), shard=1)
    wide = replace(
        wide, attempts={n: a for n, a in wide.attempts.items() if n not in other.attempts}
    )
    view.put(wide.key, wide.to_value(), 5)
    view.put(other.key, other.to_value(), 6)
    work = view.job_slices["east"]["run-000001"]
    before = dict(work.attempts)
    leadership = Leadership("east", 7, 1, clock.ORIGIN)
    transaction = TransactionBuilder(view, "east", leadership, settings)
    context = SimpleNamespace(view=view, settings=settings)
    recorder = TerminationRecorder(PartitionState.create(context, leadership))
    found = [
        (n, Termination(before[n].number, before[n].machine, False, "error")) for n in (3, width)
    ]
    job_ends = recorder.collect(transaction, "run-000001", work, found)
    more = recorder.plan_splits(transaction, job_ends)
    recorder.write_shards(transaction, job_ends, {})
    recorded = {n for n, _ in job_ends.ended}
    view.apply_transaction(list(transaction.changes.values()), 9)
    assert work.attempts == {n: a for n, a in before.items() if n not in recorded}
    reread = RecordView()
    for piece in work.shards.values():
        reread.put(piece.key, piece.to_value(), 9)
    assert reread.job_slices["east"]["run-000001"].attempts == work.attempts
    assert recorded == {3} and more, "the other end waits for the next transaction"
    assert next(iter(transaction.changes)) == wide.key, "the giving record comes first"


def attempts(indexes: Iterable[int]) -> dict[int, Attempt]:
    return {n: Attempt(7 << 32 | n, f"m-{n:06d}") for n in indexes}
