"""Cold restarts: all controllers stop and start again with recovery enabled, in memory."""

from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
import trio

from roadbend import clock
from roadbend.checkers.differences import recorded_attempts, true_differences
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.fleet.machines import DirectStart, Machine, StopOrder
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat
from roadbend.fleet.terminations import TaskKey
from roadbend.placement.leader import PartitionLeader
from roadbend.recovery.partition import KILL_RETRY_DELAY
from roadbend.recovery.service import install
from roadbend.recovery.settings import RecoverySettings, load
from roadbend.recovery.unrecorded import HeldAttempt
from roadbend.rehearsal.cold_restart import HARD_CASES, scenario
from roadbend.rehearsal.runner import play_here
from roadbend.settings import SettingsError, Team
from roadbend.store.records import Job, RecoveryProgress

TEAMS = {"red": Team("red", 0, 0, 0, 0), "blue": Team("blue", 0, 0, 4, 4)}
SERVICE = dict(shape="daemon", dueS=None, loaners=False)


def equip(controller):
    install(controller, RecoverySettings())


@asynccontextmanager
async def running(*bodies, **changes):
    """Start a deployment with recovery enabled, and wait until these jobs run on it."""
    async with world(equip=equip, teams=TEAMS, caches_images=True, **changes) as w:
        for n, body in enumerate(bodies):
            assert await w.submit(n % 3, body, None) == 201
        names = {body["id"]: body["legs"] for body in bodies}
        assert await w.until(
            lambda: all(len(w.board.running(name)) == n for name, n in names.items()), 90
        )
        yield w


def stop_all(w):
    for at in range(3):
        w.crash(at)


def start_all(w):
    for at in range(3):
        w.start(at)


def isolate_machines(w, machines, seconds):
    """Make machines unreachable for all controllers for a while."""
    controllers = [f"node-{at}" for at in range(3)]
    pairs = [(machine, controller) for machine in machines for controller in controllers]
    w.nursery.start_soon(w.block_pairs, pairs, seconds)


def lose_records(w, *prefixes):
    """Remove the records with these key prefixes from the state store."""
    for key in [key for key in w.state.keys if key.startswith(prefixes)]:
        del w.state.keys[key]


@pytest.mark.parametrize("case", sorted(HARD_CASES))
async def test_each_hard_case_passes_and_happens(case):
    report = await play_here(scenario(5, 18, True, (case,)), equip)
    assert report.verdict.passed, report.text()
    expected = {
        "cancelled": "cancelled",
        "starts-on-their-way": "missing",
        "gangs-gathering": "missing",
        "lost-writes": "unrecorded",
        "machines-begin-anew": "missing",
        "machines-end": "silent",
        "machines-hang": "silent",
    }
    if case in expected:
        assert report.measured.differences[expected[case]], report.text()


async def test_an_unrecorded_attempt_is_adopted_where_it_runs():
    """If it is not held, it is stopped at the first heartbeat and started again elsewhere."""
    async with running(job(1, legs=3, **SERVICE), job(2, legs=2, **SERVICE)) as w:
        before = {task: set(homes) for task, homes in w.board.machines_by_task.items()}
        starts = len(w.board.starts)
        stop_all(w)
        lose_records(w, "r/slice/")
        start_all(w)
        assert await w.until(lambda: len(recorded_attempts(w.state)) == 5, 30)
        await trio.sleep(10)
        assert len(w.board.starts) == starts
        assert {task: set(homes) for task, homes in w.board.machines_by_task.items()} == before


async def test_a_task_that_completed_unrecorded_is_recorded_as_done():
    async with running(job(1, legs=1, dueS=None)) as w:
        (worker,) = [x for x in w.workers() if x.tasks]
        task = next(iter(worker.tasks.values()))
        stop_all(w)
        lose_records(w, "r/slice/")
        worker.end(task, "done")
        starts = len(w.board.starts)
        start_all(w)

        async def done():
            return await w.status(0, "run-000001") == "done"

        assert await w.until(done, 40) and len(w.board.starts) == starts


async def test_a_gang_in_no_record_is_stopped_whole_and_begins_again():
    async with running(gang(1, 4)) as w:
        w.board.lengths["run-000001"] = None
        stop_all(w)
        lose_records(w, "r/slice/")
        starts = len(w.board.starts)
        start_all(w)
        assert await w.until(lambda: len(w.board.starts) == starts + 4, 90)


async def test_a_team_at_its_limit_is_not_taken_beyond_it_by_an_adoption():
    """The checker of the rules verifies the limit; other starts meanwhile count first."""
    async with running(job(1, legs=4, crew="blue", **SERVICE)) as w:
        stop_all(w)
        lose_records(w, "r/slice/", "r/team/")
        start_all(w)
        assert await w.until(lambda: len(recorded_attempts(w.state)) == 4, 60)


async def test_a_job_in_no_record_is_not_accepted_anew_before_it_has_stopped():
    """Otherwise its tasks could be started on other machines while the old attempts still run."""
    async with running(job(1, legs=2, **SERVICE)) as w:
        stop_all(w)
        lose_records(w, "r/slice/", "r/job/run-000001")
        start_all(w)

        async def published():
            # Before the machines are known no controller may answer that the job does not exist; a
            # checker verifies that.
            for at in range(3):
                await w.call(at, "GET", "/v1/jobs/run-000001")
            return "r/unrecorded/run-000001" in w.state.keys

        assert await w.until(published, 30)
        assert w.board.running("run-000001")
        status, _ = await w.call(1, "POST", "/v1/jobs", job(1, legs=2, **SERVICE))
        assert status == 503
        assert (await w.call(2, "GET", "/v1/jobs/run-000001"))[0] == 503

        async def accepted():
            return await w.submit(0, job(1, legs=2, **SERVICE), None) == 201

        assert await w.until(accepted, 60, 1.0)
        assert "r/unrecorded/run-000001" not in w.state.keys
        assert await w.until(lambda: len(w.board.running("run-000001")) == 2, 60)


async def test_a_machine_that_began_anew_does_not_keep_a_job_in_no_record_from_being_accepted():
    async with running(job(1, legs=1, **SERVICE)) as w:
        stop_all(w)
        lose_records(w, "r/slice/", "r/job/run-000001")
        start_all(w)
        assert await w.until(lambda: "r/unrecorded/run-000001" in w.state.keys, 30)
        (machine,) = w.board.machines_by_task["run-000001/0"]
        w.cloud.reboot(machine)
        assert await w.until(lambda: "r/unrecorded/run-000001" not in w.state.keys, 10)
        assert await w.submit(0, job(1, legs=1, **SERVICE), None) == 201


async def test_a_job_cancelled_while_nobody_listened_is_stopped_though_no_record_names_its_task():
    async with running(job(1, legs=1, **SERVICE)) as w:
        stop_all(w)
        lose_records(w, "r/slice/", "r/job/run-000001")
        w.state.compare_and_swap(
            {"apply": [{"write": "fin/run-000001", "value": {"s": "aborted", "n": 0}}]}
        )
        w.rules.jobs["run-000001"].cancel_requested_at = trio.current_time()
        start_all(w)
        assert await w.until(lambda: not w.board.running("run-000001"), 10)


async def test_a_term_that_the_records_lost_is_not_used_again():
    """Machines refuse fencing tokens below the highest that they have seen.

    If a lower term were used, all of them would end their tasks when their leases expire.
    """
    async with running(job(1, legs=4, **SERVICE)) as w:
        copy = w.state.take_snapshot()
        for at in range(3):
            w.crash(at)
            await trio.sleep(0.5)
            w.start(at)
            await trio.sleep(8)
        highest = {zone: w._term(zone) for zone in w.zones}
        assert min(highest.values()) > 1
        stop_all(w)
        w.state.restore_records(copy)
        starts = len(w.board.starts)
        await trio.sleep(6)
        start_all(w)
        # In a zone without machines nothing has seen the lost term. Without the detection a peer
        # takes the partition over after some ten seconds, when leases have expired.
        zones = {x.place.zone for x in w.workers()}
        assert await w.until(lambda: all(w._term(z) > highest[z] for z in zones), 4)
        await trio.sleep(25)
        assert len(w.board.starts) == starts


async def test_nonsense_terms_change_nothing():
    async with running(job(1, legs=1, **SERVICE)) as w:
        term = w._term("east")
        body = {
            "hitch": "m-999999",
            "address": "m-999999:1",
            "rig": "g2",
            "yard": "east",
            "loaners": False,
            "stint": 1,
            "tick": 1,
            "baton": (1 << 64) - 1,
            "legs": [],
        }
        for at in range(3):
            await w.call(at, "POST", "/hello", body)
        await trio.sleep(5)
        assert w._term("east") == term
        # A plausible higher term is accepted from a single machine; it costs a term, but no task.
        await w.call(0, "POST", "/hello", {**body, "baton": (term + 5) << 16})
        await trio.sleep(5)
        assert w._term("east") in (term, term + 6)
        assert len(w.board.running("run-000001")) == 1


async def test_work_from_before_waits_for_machines_and_new_work_does_not():
    """A machine whose first heartbeat is late may run a task that the records have lost."""
    async with running(job(1, legs=2, yard="east", **SERVICE)) as w:
        w.cloud.boot_seconds = 0.5
        stop_all(w)
        lose_records(w, "r/slice/")
        isolate_machines(w, {m for homes in w.board.machines_by_task.values() for m in homes}, 6.0)
        start_all(w)
        starts = len(w.board.starts)
        assert await w.until_ready()
        assert await w.submit(0, job(2, legs=1, **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 5)
        await trio.sleep(15)
        assert len(w.board.starts) == starts + 1
        assert len(w.board.running("run-000001")) == 2


async def test_once_writes_are_known_to_be_lost_a_machine_is_waited_for_until_its_lease_is_over():
    """Its heartbeat arrives long after the usual limit, and reports a task that no record names."""
    async with running(job(1, legs=2, yard="east", gpus=2.0, **SERVICE)) as w:
        w.cloud.boot_seconds = 0.5
        stop_all(w)
        lose_records(w, "r/slice/")
        isolate_machines(w, [sorted(w.board.machines_by_task["run-000001/1"])[0]], 12.5)
        starts = len(w.board.starts)
        start_all(w)
        await trio.sleep(30)
        assert len(w.board.starts) == starts
        assert len(recorded_attempts(w.state)) == 2


async def test_the_bound_on_gathering_does_not_make_machines_known():
    """Guards against adopting an attempt that a machine without a heartbeat may run as well."""
    async with running(job(1, legs=2, yard="east", **SERVICE)) as w:
        stop_all(w)
        isolate_machines(w, {m for homes in w.board.machines_by_task.values() for m in homes}, 30.0)
        start_all(w)
        await trio.sleep(11)
        partition = w.controllers["node-0"].leaders["east"].recovery
        assert partition.phase.name != "gathering"
        assert not partition.are_machines_known(clock.now())
        assert partition.are_machines_known(partition.leases_end_at())


async def test_the_gate_is_shut_again_where_another_part_learns_of_lost_writes():
    async with running(job(1, legs=1, yard="east", **SERVICE)) as w:
        stop_all(w)
        start_all(w)
        recovery = w.controllers["node-0"].context.recovery
        assert not recovery.can_place("run-000001")
        assert await w.until(lambda: recovery.can_place("run-000001"), 20)
        term = w._term("north")
        lost = RecoveryProgress(term, "gathering", True).to_value()
        w.state.compare_and_swap({"apply": [{"write": "r/recovery/north", "value": lost}]})
        assert await w.until(lambda: not recovery.can_place("run-000001"), 2)
        settled = RecoveryProgress(term, "settled", True).to_value()
        w.state.compare_and_swap({"apply": [{"write": "r/recovery/north", "value": settled}]})
        assert await w.until(lambda: recovery.can_place("run-000001"), 2)


async def test_a_task_that_a_machine_shows_is_placed_nowhere_else():
    async with running(job(1, legs=1, yard="east", **SERVICE)) as w:
        controller = w.controllers["node-0"]
        leader = controller.leaders["east"]
        held = HeldAttempt(
            job="run-000002",
            index=1,
            attempt=7,
            machine="m-000000",
            since=clock.now(),
            reported_done=False,
        )
        pending = Job("run-000002", controller.view.jobs["run-000001"].spec, clock.wall())
        pending = pending.with_partition("east", ((0, 3),))
        assert leader.queue.unplaced(pending) == ((0, 3),)
        leader.recovery.held_attempts.add(held)
        assert leader.queue.unplaced(pending) == ((0, 1), (2, 3))
        assert leader.queue.unplaced(pending.as_gang()) == ()
        assert controller.context.recovery.defers_allocation("run-000002")


async def test_what_a_current_report_no_longer_shows_is_not_held_any_more():
    async with running(job(1, legs=1, yard="east", **SERVICE)) as w:
        leader = w.controllers["node-0"].leaders["east"]
        (machine,) = [m for m in leader.machines.values() if m.tasks]
        partition, now = leader.recovery, clock.now()
        partition.held_attempts.add(
            HeldAttempt(
                job="run-000009",
                index=0,
                attempt=7,
                machine=machine.id,
                since=now,
                reported_done=False,
            )
        )
        heartbeat = WorkerHeartbeat(
            machine.id, "", "g2", "east", False, HeartbeatPosition(1, 1), 0, None, (), []
        )
        # A heartbeat with an older token only proves that the machine is up.
        machine.token.confirmed = False
        partition.record_heartbeat(machine, heartbeat, now)
        assert len(partition.held_attempts) == 1
        machine.token.confirmed = True
        partition.record_heartbeat(machine, heartbeat, now)
        assert len(partition.held_attempts) == 0


async def test_a_submission_is_conditional_on_the_mark_of_an_unrecorded_job():
    """The record of an unrecorded job may be written while a submission is in flight."""
    async with running(job(1, legs=1, **SERVICE)) as w:
        # Written without a change notification, so no record view has it.
        w.state.keys["r/unrecorded/run-000002"] = ({"v": 1, "part": "east"}, 1, None)
        assert await w.submit(0, job(2), 5.0) not in (200, 201)


def make_stop_order(w: World) -> tuple[PartitionLeader, Machine, TaskKey, StopOrder]:
    """Return a stop order for the only task in zone east, with its leader, machine and key."""
    leader = w.controllers["node-0"].leaders["east"]
    (machine,) = [m for m in leader.machines.values() if m.tasks]
    ((key, observed),) = machine.tasks.items()
    stop = StopOrder(observed.attempt, clock.ZERO, "cancelled", clock.now(), machine.id)
    return leader, machine, key, stop


async def test_no_direct_kill_goes_to_what_was_just_told_or_has_ended():
    """Without this rule every cancelled task received two kills after a restart."""
    async with running(job(1, legs=1, yard="east", **SERVICE)) as w:
        leader, machine, key, stop = make_stop_order(w)
        observed, now = machine.tasks[key], stop.decided_at
        assert not leader.recovery.should_delay_stop(key, stop, now)
        stop.sent_at = now - KILL_RETRY_DELAY
        assert not leader.recovery.should_delay_stop(key, stop, now)
        stop.sent_at = now
        assert leader.recovery.should_delay_stop(key, stop, now)
        stop.sent_at = None
        assert leader.recovery.should_delay_stop(key, replace(stop, attempt=1), now)
        observed.state = "ended"
        assert leader.recovery.should_delay_stop(key, stop, now)
        observed.state = "running"


async def test_a_direct_kill_waits_for_a_machine_that_lacks_the_task_to_show_our_token():
    """A direct kill would be redundant here.

    A start was recorded, but its order was never sent; then its job was cancelled and all
    controllers stopped. The machine's first heartbeat lacks the task, the response to it carries
    the new fencing token, and the next heartbeat proves that the attempt has terminated.
    """
    async with running(job(1, legs=1, yard="east", **SERVICE)) as w:
        leader, machine, key, stop = make_stop_order(w)
        observed, now = machine.tasks[key], stop.decided_at
        machine.tasks, machine.token.confirmed = {}, False
        assert leader.recovery.should_delay_stop(key, stop, now)
        assert not leader.recovery.should_delay_stop(key, stop, now + KILL_RETRY_DELAY)
        # If this leader's own start may still be in flight, the kill follows it.
        machine.token.direct_starts[key] = DirectStart(observed.attempt, 1)
        assert not leader.recovery.should_delay_stop(key, stop, now)
        del machine.token.direct_starts[key]
        machine.tasks, machine.token.confirmed = {key: observed}, True


async def test_without_differences_nobody_is_told_anything():
    async with running(job(1, legs=6, **SERVICE)) as w:
        stop_all(w)
        await trio.sleep(3)
        received = len(w.board.received)
        start_all(w)
        await trio.sleep(20)
        assert w.board.received[received:] == []
        assert true_differences(w.state, w.workers()).total == 0


async def test_progress_is_recorded_once_a_phase_and_ignored_by_the_version_in_production():
    async with running(job(1, legs=2, **SERVICE)) as w:
        stop_all(w)
        w.start(0, previous_version=True)
        w.start(1)
        w.start(2)
        key = "r/recovery/north"
        assert await w.until(lambda: key in w.state.keys, 30)
        await trio.sleep(15)
        value = w.state.value(key)
        assert RecoveryProgress.from_value(value, 1).phase == "settled"
        writes = [row for name, row in w.state.log if name == key]
        assert len(writes) <= 2
        assert await w.submit(0, job(2, legs=1, **SERVICE), None) == 201


async def test_a_record_of_an_unknown_version_is_left_as_it_is():
    async with running(job(1, legs=1, **SERVICE)) as w:
        stop_all(w)
        value = {"v": 99, "x": 1}
        w.state.compare_and_swap({"apply": [{"write": "r/recovery/east", "value": value}]})
        start_all(w)
        await trio.sleep(15)
        assert w.state.value("r/recovery/east") == value
        assert len(w.board.running("run-000001")) == 1


@pytest.mark.parametrize(
    "text, word",
    [
        ("(recovery (gather 8))", "gather"),
        ("(recovery (gather-most 0))", "gather-most"),
        ("(recovery (gather-most 8) (gather-most 9))", "twice"),
        ("(tracing)", "recovery"),
        ("(recovery", "S-expression"),
    ],
)
def test_bad_settings_are_refused_by_name(tmp_path, text, word):
    path = tmp_path / "recovery.sexp"
    path.write_text(text)
    with pytest.raises(SettingsError, match=word):
        load(path)
