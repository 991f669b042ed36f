"""Schedules in which a task ran on two machines at once (docs/incidents)."""

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


def machine_of(w: World, task: str = "run-000001/0") -> str:
    """Return the machine that a task runs on."""
    return next(iter(w.board.machines_by_task[task]))


def disconnect(w: World, machine: str) -> None:
    for at in range(w.count):
        w.network.block(f"node-{at}", machine)


def reconnect(w: World, machine: str) -> None:
    for at in range(w.count):
        w.network.unblock(f"node-{at}", machine)


async def send_heartbeat(w: World, machine: str) -> None:
    """Send a heartbeat of a machine now, and process the response."""
    worker = w.cloud.machines[machine].worker
    sent, epoch, body = trio.current_time(), worker.epoch, worker.heartbeat()
    status, answer = await w.call(0, "POST", "/hello", body)
    assert status == 200 and worker.handle_answer(answer, sent, epoch)


async def test_an_attempt_with_a_proof_that_is_not_recorded_yet_is_not_ordered_again():
    """The lease of an unreachable machine expires, which terminates its tasks.

    Before that is recorded, the machine is reachable for a moment, without tasks. It was ordered to
    start the old attempt again and became unreachable again, and so it ran the task while the next
    attempt started elsewhere.
    """
    async with world(count=1, teams=TEAMS, caches_images=True) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.submit(0, job(2, legs=2, **SERVICE), None) == 201
        assert await w.until(
            lambda: w.board.running("run-000001") and len(w.board.running("run-000002")) == 2, 60
        )
        controller, machine = w.controllers["node-0"], machine_of(w)
        assert len(w.cloud.machines) == 2
        leader = controller.leaders["east"]
        w.cloud.down = True
        disconnect(w, machine)
        await trio.sleep(15)
        w.state.down = True
        assert await w.until(lambda: TASK in leader.terminations, 20, 0.01), (
            "lease expiry as evidence"
        )
        reconnect(w, machine)
        await trio.sleep(3)
        # The state store is available again, and the machine sends a heartbeat before the end of
        # its task is recorded.
        w.state.end_outage()
        assert await w.until(lambda: controller.election.may_start(clock.now()), 5, 0.005)
        assert TASK in leader.terminations
        await send_heartbeat(w, machine)
        disconnect(w, machine)
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        await trio.sleep(10)
        reconnect(w, machine)
        assert await w.until(lambda: w.board.running("run-000001"), 60)


async def test_a_proof_that_is_being_recorded_is_not_withdrawn_by_a_report_that_was_held_back():
    """A lease has expired, and the termination of the task is being recorded.

    Then a delayed heartbeat of the former epoch arrives, with the task, and one of the new epoch,
    without it. The attempt was started again between the two, and ran at the same time as the next
    one.
    """
    async with world(count=1, teams=TEAMS, caches_images=True) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.submit(0, job(2, legs=2, **SERVICE), None) == 201
        assert await w.until(
            lambda: w.board.running("run-000001") and len(w.board.running("run-000002")) == 2, 60
        )
        controller, machine = w.controllers["node-0"], machine_of(w)
        leader, worker = controller.leaders["east"], w.cloud.machines[machine].worker
        w.cloud.down = True
        disconnect(w, machine)
        await trio.sleep(15)
        delayed = worker.heartbeat()
        w.state.slow = 0.6
        assert await w.until(lambda: TASK in leader.terminations._in_transaction, 20, 0.005)
        assert worker.epoch == 2 and delayed["stint"] == 1
        assert (await w.call(0, "POST", "/hello", delayed))[0] == 200
        await send_heartbeat(w, machine)
        disconnect(w, machine)
        w.state.slow = 0.0
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        await trio.sleep(10)
        reconnect(w, machine)
        assert await w.until(lambda: w.board.running("run-000001"), 60)


@pytest.mark.parametrize("stopped_while_it_waits", [False, True])
async def test_a_report_that_waited_is_not_read_again_once_a_newer_one_was_answered(
    stopped_while_it_waits,
):
    """The response to a heartbeat waits for a scheduling step, and a newer heartbeat is answered.

    That response carries a start order. When the older heartbeat is processed again, it must not
    reset the machine's sequence number, as a heartbeat sent between the two would then count as
    evidence that the task is absent.
    """
    async with world(count=1, capacity=1, teams=TEAMS, caches_images=True) as w:
        controller = w.controllers["node-0"]
        assert await w.submit(0, job(2, legs=2, **SERVICE), None) == 201
        assert await w.until(lambda: len(w.board.running("run-000002")) == 2, 60)
        machine, leader = machine_of(w, "run-000002/0"), controller.leaders["east"]
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        await trio.sleep(5)
        worker = w.cloud.machines[machine].worker
        w.network.block_outbound(machine)
        w.cloud._capacity, w.cloud.refuse_deletion = 2, True
        await trio.sleep(0.1)
        # A task has failed, which frees capacity for the pending one. That is recorded, but the
        # response of the state store is lost, so the response to the heartbeat waits for its full
        # timeout.
        failed = next(task for task in worker.tasks.values() if task.name == "run-000002/0")
        worker.end(failed, "error")
        delayed, intermediate = worker.heartbeat(), worker.heartbeat()
        w.state.unanswered_hosts.add("node-0")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(leader.heartbeats.handle, parse_heartbeat(delayed))
            assert await w.until(
                lambda: TASK in leader.records.attempts_by_machine()[machine], 0.38, 0.005
            )
            await send_heartbeat(w, machine)
            attempt = leader.records.attempts_by_machine()[machine][TASK][1]
            if stopped_while_it_waits:
                disconnect(w, machine)
                leader.stops.order(TASK, attempt, timedelta(seconds=5), "test", clock.now())
        w.state.unanswered_hosts.clear()
        assert worker.tasks[(f"{TASK[0]}/0", attempt.number)].state != "ended"
        # The task is to be stopped, nothing reaches the machine, and the heartbeat that was sent
        # between the two arrives.
        disconnect(w, machine)
        leader.stops.order(TASK, attempt, timedelta(seconds=5), "test", clock.now())
        await w.call(0, "POST", "/hello", intermediate)
        await trio.sleep(17)
        reconnect(w, machine)
        w.network.outbound_blocked.clear()
        assert await w.until(lambda: w.board.running("run-000001"), 60)


async def test_a_machine_deleted_while_its_report_waits_is_not_read_again():
    async with world(count=1, teams=TEAMS) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        machine, leader = machine_of(w), w.controllers["node-0"].leaders["east"]
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
    """A heartbeat sent just before the lease expires arrives late.

    Its response waits while the lease is found to be expired. The worker drops that response, as
    its epoch has ended by then.
    """
    async with world(count=1, teams=TEAMS) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        controller, machine = w.controllers["node-0"], machine_of(w)
        leader, worker = controller.leaders["east"], w.cloud.machines[machine].worker
        w.cloud.down = True
        disconnect(w, machine)
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
    """Direct commands wait for a free connection, and meanwhile the attempt may have ended."""
    async with world(count=1, teams=TEAMS) as w:
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        controller, machine = w.controllers["node-0"], machine_of(w)
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
        # A machine that has just restarted may carry out a start that is sent, so that its lease
        # counts from then on.
        known = leader.machines[machine]
        known.contact.lease_started_at, now = clock.ORIGIN, clock.now()
        await controller.fleet.commands._start_directly(
            leader, machine, [(TaskKey(*TASK), attempt)]
        )
        assert known.contact.lease_started_at >= now


async def test_the_end_of_an_attempt_on_another_machine_ends_nothing_here():
    """The tasks of a gang may be replaced on another machine under the same attempt number."""
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
    """The conflict may be with our own transaction, whose response was lost.

    Until the records have been read, no further transaction may be written.
    """
    async with world(count=1, teams=TEAMS) as w:
        leader, sent_conditions = w.controllers["node-0"].leaders["east"], []

        async def conflict(_state, conditions, _rows, **_options):
            sent_conditions.append(conditions)
            w.state.down = True
            raise ConflictError(["r/job/run-000001"])

        monkeypatch.setattr("roadbend.placement.transaction_sender.commit", conflict)
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        assert await w.until(lambda: sent_conditions, 60)
        await trio.sleep(4)
        assert leader.transactions.in_doubt == sent_conditions[0] and len(sent_conditions) == 1
        monkeypatch.undo()
        w.state.end_outage()
        assert await w.until(lambda: w.board.running("run-000001"), 60)


def test_a_split_moves_a_task_to_another_record_and_the_view_keeps_it():
    """A split wrote the shard that receives a task before the shard that it is removed from.

    The record view then lost the task, which was started again elsewhere.
    """
    wide_shard = SliceShard(
        "run-000001",
        "east",
        "red",
        Resources(1, 1, 1),
        attempts={0: Attempt(5, "m-1"), 200: Attempt(6, "m-2")},
        shard=0,
    )
    destination = replace(wide_shard, shard=1, attempts={200: Attempt(6, "m-2")})
    source = replace(wide_shard, attempts={0: Attempt(5, "m-1")})
    for record_order in ((destination, source), (source, destination)):
        view = RecordView()
        view.put(wide_shard.key, wide_shard.to_value(), 5)
        view.apply_transaction([put(row.key, row.to_value()) for row in record_order], 9)
        job_slice = view.job_slices["east"]["run-000001"]
        assert job_slice.attempts == wide_shard.attempts and view.usage["east"]["red"] == (2, 2)
        assert view.attempts_by_machine["east"].keys() == {"m-1", "m-2"}
        assert [job_slice.shard_of(index, 102) for index in (0, 200)] == [0, 1]
        # The task is now in one record only, and is deleted with it.
        view.apply_transaction([delete(destination.key)], 10)
        assert job_slice.attempts == source.attempts and view.attempts_by_machine[
            "east"
        ].keys() == {"m-1"}


def test_a_split_into_a_shard_that_changes_too_loses_no_task():
    """Guards against a second write of a shard that loses the tasks that the first moved there.

    One transaction splits a wide shard and records the end of a task in a shard that receives tasks
    from it.
    """
    settings = settings_for(0, 1, value_bytes=1200, txn_ops=4)
    view, width = RecordView(), settings.shard_width
    # The shard that receives most tasks is also the one that changes.
    indexes = [*range(2 * width), *range(2 * width, 7 * width, 2)]
    wide_shard = SliceShard(
        "run-000001", "east", "red", Resources(1, 1, 1), attempts=create_attempts(indexes), shard=0
    )
    other = replace(wide_shard, attempts=create_attempts(range(width, width + 3)), shard=1)
    wide_shard = replace(
        wide_shard,
        attempts={n: a for n, a in wide_shard.attempts.items() if n not in other.attempts},
    )
    view.put(wide_shard.key, wide_shard.to_value(), 5)
    view.put(other.key, other.to_value(), 6)
    job_slice = view.job_slices["east"]["run-000001"]
    before = dict(job_slice.attempts)
    leadership = Leadership("east", 7, 1, clock.ORIGIN)
    transaction = TransactionBuilder(view, "east", leadership, settings)
    context = SimpleNamespace(view=view, settings=settings)
    recorder = TerminationRecorder(PartitionState.create(context, leadership))
    terminations = [
        (n, Termination(before[n].number, before[n].machine, False, "error")) for n in (3, width)
    ]
    job_ends = recorder.collect(transaction, "run-000001", job_slice, terminations)
    has_more = recorder.plan_splits(transaction, job_ends)
    recorder.write_shards(transaction, job_ends, {})
    recorded = {n for n, _ in job_ends.ended}
    view.apply_transaction(list(transaction.changes.values()), 9)
    assert job_slice.attempts == {n: a for n, a in before.items() if n not in recorded}
    reread_view = RecordView()
    for shard in job_slice.shards.values():
        reread_view.put(shard.key, shard.to_value(), 9)
    assert reread_view.job_slices["east"]["run-000001"].attempts == job_slice.attempts
    assert recorded == {3} and has_more, "the other termination waits for the next transaction"
    assert next(iter(transaction.changes)) == wide_shard.key, "the source record comes first"


def create_attempts(indexes: Iterable[int]) -> dict[int, Attempt]:
    return {n: Attempt(7 << 32 | n, f"m-{n:06d}") for n in indexes}
