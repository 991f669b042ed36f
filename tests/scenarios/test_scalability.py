"""Tests requirements at any scale: wide arrays, full records, no starvation, incremental work."""

import random
from dataclasses import replace
from datetime import timedelta

import pytest
import trio

from roadbend import clock
from roadbend.autoscaler.scale_out_policy import TimedTasks, machines_to_create
from roadbend.bidding import bid_service
from roadbend.cloud.client import MAX_CREATIONS, Cloud
from roadbend.cloud.messages import CreationRequest, MachineKind
from roadbend.fakes.scheduling import capacity, choices, pending
from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.http.client import NoAnswerError
from roadbend.placement import (
    aging,
    bin_packing,
    failure_backoff,
    forecast,
    gang_reservations,
    preemption,
    quarantine,
    quotas,
)
from roadbend.placement.forecast import MachineTimeline
from roadbend.placement.quota_allowance import QuotaAllowance, QuotaAmount
from roadbend.settings import OperatorSettings, Team
from roadbend.store import keys, ranges, records
from roadbend.store.client import delete, put
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Job, Resources, SliceShard

SMALL_VALUE_BYTES = 4 * 1024


def test_a_shard_of_running_tasks_fits_the_smallest_value_whatever_ends_first():
    rng = random.Random(1)
    for value in (SMALL_VALUE_BYTES, 32 * 1024):
        width = records.shard_width(value)
        first_task = 100_000 - 100_000 % width - width
        attempts = {
            n: Attempt((7 << 32) | 90_000 + n, f"m-{rng.randrange(10**6):06d}")
            for n in range(first_task, first_task + width)
        }
        slice_shard = SliceShard(
            "run-000001", "east", "team-0000000001", Resources(8, 1, 43.5), attempts=attempts
        )
        for _ in range(width + 1):
            assert records.value_size_bound(slice_shard.to_value()) < value * 0.95
            remaining = list(slice_shard.attempts)
            if remaining:
                task_index = rng.choice(remaining[::2] or remaining)
                remaining_attempts = {
                    n: a for n, a in slice_shard.attempts.items() if n != task_index
                }
                slice_shard = replace(
                    slice_shard,
                    attempts=remaining_attempts,
                    done=ranges.union(slice_shard.done, ((task_index, task_index + 1),)),
                )
        decoded = SliceShard.from_value("east", "run-000001", 0, slice_shard.to_value(), 0)
        assert decoded == slice_shard


def test_records_of_the_first_version_are_read():
    value = {"t": "red", "n": [8, 1, 40], "d": [[0, 2]], "r": {"5": [(3 << 32) | 7, "m-1"]}}
    view = RecordView()
    view.put("r/slice/east/run-1", value, 3)
    job_slice = view.job_slices["east"]["run-1"]
    assert (
        job_slice.attempts == {5: Attempt((3 << 32) | 7, "m-1")}
        and job_slice.shard_of(5, 16) == -1
        and job_slice.shard_of(6, 16) == 0
    )
    assert keys.slice_key("east", "run-1", -1) == "r/slice/east/run-1"


def test_the_indexes_follow_every_change_as_if_worked_out_anew():
    rng, view, mod_revision = random.Random(3), RecordView(), 0
    shards: dict[str, SliceShard] = {}
    for _ in range(600):
        mod_revision += 1
        partition, name, shard = (
            rng.choice(("east", "west")),
            f"run-{rng.randrange(6)}",
            rng.randrange(3),
        )
        key = keys.slice_key(partition, name, shard)
        if rng.random() < 0.25:
            shards.pop(key, None)
            view.drop(key, mod_revision)
            continue
        tasks = rng.sample(range(shard * 8, shard * 8 + 8), rng.randrange(6))
        attempts = {n: Attempt(rng.randrange(3), f"m-{rng.randrange(4)}") for n in tasks}
        shards[key] = SliceShard(
            name,
            partition,
            "red" if name < "run-3" else "blue",
            Resources(2, 1, 10),
            (),
            attempts,
            mod_revision,
            shard,
        )
        view.put(key, shards[key].to_value(), mod_revision)
        indexed = {
            (partition, machine, key, attempt)
            for partition, machines in view.attempts_by_machine.items()
            for machine, by_task in machines.items()
            for key, (_, attempt) in by_task.items()
        }
        expected = {
            (p.partition, a.machine, (p.job, task_index), a)
            for p in shards.values()
            for task_index, a in p.attempts.items()
        }
        assert indexed == expected
        for team in ("red", "blue"):
            count = sum(len(p.attempts) for p in shards.values() if p.team == team)
            assert view.team_usage(team) == (2.0 * count, 1.0 * count)


def timelines(count, gpus=2.0):
    return [MachineTimeline(capacity(f"m-{n}", gpus=gpus)) for n in range(count)]


def test_a_wide_job_costs_a_look_at_each_machine_and_not_one_a_task(count_calls):
    small = count_calls(
        lambda: forecast.project([pending(1, 10, legs=10)], timelines(100), lambda _: 30.0, 9999)
    )
    wide = count_calls(
        lambda: forecast.project([pending(1, 200, legs=200)], timelines(100), lambda _: 30.0, 9999)
    )
    more_machines = count_calls(
        lambda: forecast.project([pending(1, 10, legs=10)], timelines(300), lambda _: 30.0, 9999)
    )
    assert wide - small < 190 * 16 and more_machines < small * 3.5
    full = [capacity(f"m-{n}", gpus=0.0) for n in range(200)]
    queue = [pending(n, 50, legs=50) for n in range(100)]
    # Once a task fits nowhere, tasks with the same needs are not tried again.
    assert count_calls(lambda: bin_packing.place(queue, full)) < 200 * 10 + 100 * 20
    timed_tasks = [TimedTasks(item, 20.0, 0.0) for item in queue]
    assert (
        count_calls(lambda: machines_to_create(timed_tasks[:2], [], choices(), "east", 1.0))
        < 100 * 150
    )


async def test_a_calm_report_costs_the_same_beside_few_machines_and_beside_many(count_calls):
    async with world(teams={"red": Team("red", 0, 0, 4, 400)}, capacity=60) as w:
        costs = []
        for number, tasks in ((1, 2), (2, 60)):
            body = job(number, legs=tasks, yard="east", shape="daemon", dueS=None, loaners=False)
            assert await w.submit(0, body, None) == 201
            assert await w.until(
                lambda n=number, k=tasks: len(w.board.running(f"run-{n:06d}")) == k, 90
            )
            await trio.sleep(10)
            name = next(iter(w.board.machines_by_task["run-000001/0"]))
            leader, worker = w.controllers["node-0"].leaders["east"], w.cloud.machines[name].worker
            data, answers = worker.heartbeat(), []
            costs.append(
                count_calls(
                    lambda r=leader, d=data, a=answers: a.append(
                        r.heartbeats.answer_unchanged(d, clock.now())
                    )
                )
            )
            assert answers == [leader.heartbeats.token(leader.machines[name])]
            # A repeated heartbeat is a duplicate, and one with other tasks is not unchanged.
            assert leader.heartbeats.answer_unchanged(data, clock.now()) is None
            assert (
                leader.heartbeats.answer_unchanged({**worker.heartbeat(), "legs": []}, clock.now())
                is None
            )
            assert (
                leader.heartbeats.answer_unchanged(
                    {**worker.heartbeat(), "stint": [1]}, clock.now()
                )
                is None
            )
        assert costs[0] == costs[1] < 30


async def test_an_array_of_250_runs_as_widely_as_machines_allow_with_small_values():
    async with world(
        capacity=60,
        teams={"red": Team("red", 0, 0, 100, 400)},
        value_bytes=SMALL_VALUE_BYTES,
        txn_ops=8,
        state_write_rps=25.0,
    ) as w:
        assert await w.submit(0, job(1, legs=250, dueS=30.0), 100.0) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) >= 240, 90)
        assert (
            max(records.value_size_bound(v) for v in w.state.values_with_prefix("r/").values())
            < SMALL_VALUE_BYTES
        )

        async def is_done():
            return await w.status(1, "run-000001") == "done"

        assert await w.until(is_done, 200)
        assert len({task for _, task, _ in w.board.starts}) == 250
        assert w.state.values_with_prefix("r/slice/") == {}


async def test_the_widest_array_begins_behind_a_steady_stream_of_small_ones():
    """Guards against starvation in a team at its limit.

    Small jobs arrive all the time, and their partitions hold the whole quota of the team.
    """
    operator = OperatorSettings(
        begin_within=timedelta(seconds=30), reoffer_every=timedelta(seconds=1e4 / 20)
    )
    async with world(capacity=4, operator=operator, teams={"red": Team("red", 0, 0, 2, 6)}) as w:
        finished = trio.Event()

        async def submit_small_jobs():
            n = 100
            while not finished.is_set():
                zone = ("east", "north")[n % 2]
                await w.submit(n % 3, job(n, legs=2, yard=zone, expectedS=8.0, dueS=1.0), 8.0)
                n += 1
                await trio.sleep(2.0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_small_jobs)
            await trio.sleep(30)
            started_at = trio.current_time()
            assert await w.submit(0, job(1, legs=6, yard="west", dueS=9000.0), 8.0) == 201
            assert await w.until(lambda: "run-000001/0" in {t for _, t, _ in w.board.starts}, 240)
            assert trio.current_time() - started_at < 150
            finished.set()


async def test_a_wide_service_spread_over_zones_starts_in_full():
    async with world(capacity=8, teams={"red": Team("red", 0, 0, 12, 12)}) as w:
        assert (
            await w.submit(
                0, job(1, legs=12, apart=True, shape="daemon", dueS=None, loaners=False), None
            )
            == 201
        )
        assert await w.until(lambda: len(w.board.running("run-000001")) == 12, 60)


async def test_what_is_set_aside_for_a_team_never_passes_its_limit_and_comes_back():
    async with world(capacity=8) as w:
        max_reserved = 0.0
        for n in range(1, 9):
            assert await w.submit(n % 3, job(n, legs=3, dueS=40.0), 6.0) == 201
        for _ in range(400):
            await trio.sleep(0.25)
            quota_record = w.state.value(keys.team_key("red")) or {}
            max_reserved = max(max_reserved, sum(gpus for _, gpus in quota_record.values()))
            running = sum(len(w.board.running(f"run-{n:06d}")) for n in range(1, 9))
            assert running <= 6
        assert max_reserved <= 6 + 1e-9
        assert await w.until(lambda: w.state.value(keys.team_key("red")) == {}, 60)


async def test_a_start_that_is_carried_out_late_does_not_come_on_top_of_others():
    """Guards against exceeding a team's limit.

    The reserved quota bounds the starts, so a start whose response was lost must be settled before
    the next one.
    """
    for delay in (5.0, 12.0, 25.0):
        async with world(count=1, capacity=9, teams={"red": Team("red", 0, 0, 0, 12)}) as w:
            # Keeps enough quota reserved that the next starts don't write the team's record.
            for n, tasks, length in ((1, 1, 300.0), (2, 7, 8.0)):
                assert await w.submit(0, job(n, legs=tasks, dueS=5.0), length) == 201
            assert await w.until(lambda w=w: len(w.board.running("run-000002")) == 7, 60)
            assert await w.until(lambda w=w: not w.board.running("run-000002"), 60)
            await trio.sleep(2)
            assert 8 <= w.state.value(keys.team_key("red"))["east"][1] <= 9
            original_handle, delayed_at = w.state.handle, []

            async def handle(
                request,
                host="",
                original_handle=original_handle,
                delayed_at=delayed_at,
                delay=delay,
            ):
                if (
                    request.path == "/multi"
                    and b"r/slice/" in request.body
                    and b"run-000003" in request.body
                ):
                    # Delays the request, so that it is applied after its sender has given up.
                    delayed_at.append(trio.current_time())
                    if delayed_at[-1] < delayed_at[0] + 3.5:
                        await trio.sleep(delay)
                return await original_handle(request, host)

            w.state.handle = handle
            assert await w.submit(0, job(3, legs=7, dueS=600.0), 60.0) == 201
            assert await w.until(lambda delayed_at=delayed_at: delayed_at, 30)
            assert await w.submit(0, job(4, legs=7, dueS=5.0), 60.0) == 201
            max_running = 0
            for _ in range(240):
                await trio.sleep(0.25)
                max_running = max(
                    max_running, sum(len(w.board.running(f"run-{n:06d}")) for n in range(1, 5))
                )
            assert 8 <= max_running <= 12, (delay, max_running)


async def test_nothing_is_forgotten_while_a_backlog_is_worked_off():
    """All controllers crash at once, with a backlog and under a burst of submissions.

    Within 30 s some controller must report the status of every job.
    """
    async with world(
        capacity=2, state_rps=80.0, state_write_rps=25.0, teams={"red": Team("red", 0, 0, 8, 60)}
    ) as w:
        names = []
        for n in range(1, 41):
            assert await w.submit(n % 3, job(n, legs=4, dueS=50.0), 5.0) == 201
            names.append(f"run-{n:06d}")
        assert (await w.call(0, "POST", "/v1/jobs/run-000007/withdraw", {}))[0] == 200
        for at in range(3):
            w.crash(at)
        await trio.sleep(4)
        for at in range(3):
            w.start(at)
        started_at, statuses = trio.current_time(), {}

        async def poll_status(name):
            at = 0
            while name not in statuses:
                status = await w.status(at % 3, name)
                if status is not None:
                    statuses[name] = status
                    assert (status == "aborted") == (name == "run-000007")
                at += 1
                await trio.sleep(2)

        async def submit_burst():
            n = 1000
            while len(statuses) < len(names):
                await w.call(n % 3, "POST", "/v1/jobs", job(n, legs=2, yard="east", dueS=30.0))
                n += 1
                await trio.sleep(0.05)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_burst)
            for name in names:
                nursery.start_soon(poll_status, name)
        assert trio.current_time() - started_at < 30


class RecordingClient:
    """A client that records the requests to the cloud and creates nothing."""

    def __init__(self, fail_at=None):
        self.requests, self.fail_at = [], fail_at

    async def request(self, method, target, body=None, *, within):
        await trio.sleep(0.01)
        self.requests.append((method, target, len((body or {}).get("hitches", ()))))
        if self.fail_at is not None and len(self.requests) == self.fail_at:
            raise NoAnswerError("lost")
        if target.startswith("/machines?"):
            return 200, {"hitches": [], "more": False}
        return 200, {"hitches": ["m-1"]}


async def test_more_than_a_hundred_dead_machines_are_all_deleted_or_none_counts_as_gone():
    client = RecordingClient()
    await Cloud(client, 2.0, 3).delete_machines([f"m-{n}" for n in range(230)], urgent=True)
    assert [count for _, _, count in client.requests] == [100, 100, 30]
    with pytest.raises(NoAnswerError):
        await Cloud(RecordingClient(fail_at=2), 2.0, 3).delete_machines(
            [f"m-{n}" for n in range(230)], urgent=True
        )


async def test_hiring_goes_before_listing():
    client = RecordingClient()
    cloud = Cloud(client, 2.0, 3)
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(cloud.list_machines)
        await trio.sleep(0.5)
        for n in range(3):
            request = CreationRequest(f"h-{n}", MachineKind("g2", True), "east", 50)
            nursery.start_soon(cloud.create_machines, request)
    order = [method for method, _, _ in client.requests]
    assert order.index("POST") <= 2 and order[-3:] == ["GET"] * 3
    # Listing several pages at every controller leaves most of the request rate for creations.
    assert cloud.list_interval(700) >= timedelta(seconds=2 * 3 / (0.3 * 2.0))
    assert MAX_CREATIONS == 50


async def test_two_lives_of_a_controller_never_share_a_term_or_a_hire_name():
    """Guards against a registration in flight that outlasts the incarnation that sent it.

    The controller restarts within a fraction of a second, before the lease of its former
    incarnation has expired.
    """
    async with world() as w:
        terms = []
        assert (
            await w.submit(1, job(1, legs=2, yard="east", shape="daemon", dueS=None), None) == 201
        )
        for _ in range(4):
            controller = w.controllers["node-0"]
            leadership = controller.election.leadership("east")
            terms.append(leadership.term if leadership else None)
            mod_revision, lease_id = (
                controller.view.mod_revision(keys.controller_key("node-0")),
                controller.election.lease.id,
            )
            w.crash(0)
            await trio.sleep(0.1)
            w.start(0)
            assert await w.until_ready()
            late_registration = {
                "when": [{"path": keys.controller_key("node-0"), "stamp": mod_revision}],
                "apply": [
                    put(
                        keys.controller_key("node-0"), {"boot": controller.incarnation}, lease_id
                    ).to_map()
                ],
            }
            assert w.state.compare_and_swap(late_registration).status != 200
        assert None not in terms and len(set(terms)) == 4
        assert await w.until(lambda: len(w.board.running("run-000001")) == 2, 90)
        assert len(set(w.cloud.creation_ids)) == len(w.cloud.creation_ids)


async def test_a_controller_left_with_its_workers_only_hands_them_over_without_loss():
    """Covers each order of recovery: the state store first, the peers first, or both at once."""
    for first in ("state", "peers", "both"):
        async with world(capacity=8) as w:
            body = job(1, legs=4, yard="east", shape="daemon", dueS=None, loaners=False)
            assert await w.submit(1, body, None) == 201
            assert await w.until(lambda w=w: len(w.board.running("run-000001")) == 4, 60)
            machines = set(w.cloud.machines)
            for other in ("state", "cloud", "node-1", "node-2"):
                w.network.block("node-0", other)
            assert await w.until(lambda w=w: w.controllers["node-1"].up(clock.now()), 5)
            await trio.sleep(3)
            status, _ = await w.call(0, "GET", "/v1/jobs/run-000001")
            assert status == 503

            def is_taken_over(w=w, machines=frozenset(machines)):
                return any(
                    (leader := controller.leaders.get("east")) is not None
                    and all(
                        m in leader.machines and leader.machines[m].token.confirmed
                        for m in machines
                    )
                    for name, controller in w.controllers.items()
                    if name != "node-0"
                )

            assert await w.until(is_taken_over, 40), first
            for step in {
                "state": ("state", "peers"),
                "peers": ("peers", "state"),
                "both": ("both",),
            }[first]:
                for other in {"state": ("state", "cloud"), "peers": ("node-1", "node-2")}.get(
                    step, ("state", "cloud", "node-1", "node-2")
                ):
                    w.network.unblock("node-0", other)
                await trio.sleep(4)
            assert await w.until(lambda w=w: w.controllers["node-0"].up(clock.now()), 20)
            await trio.sleep(40)
            assert machines <= set(w.cloud.machines), first
            assert len(w.board.running("run-000001")) == 4 and len(w.board.starts) == 4, first


async def test_a_zone_that_is_cut_off_keeps_its_machines():
    """Guards against incident inc-878a of the visa deployment.

    The new leader of a zone behind a network partition deleted all of its machines at once.
    """
    for cut_s in (24, 75):
        async with world(capacity=12, teams={"red": Team("red", 0, 0, 12, 12)}) as w:
            body = job(1, legs=8, yard=None, shape="daemon", dueS=None, loaners=False)
            assert await w.submit(1, {**body, "yard": "east"}, None) == 201
            assert await w.until(lambda w=w: len(w.board.running("run-000001")) == 8, 60)
            zone_machines, outside = (
                sorted(w.cloud.machines),
                ("state", "cloud", "node-1", "node-2"),
            )
            cut_links = [("node-0", other) for other in outside] + [
                (m, o) for m in zone_machines for o in ("node-1", "node-2")
            ]
            for link in cut_links:
                w.network.block(*link)
            created_count = len(w.cloud.creation_ids)
            await trio.sleep(cut_s)
            assert (
                set(zone_machines) <= set(w.cloud.machines)
                and len(w.cloud.creation_ids) == created_count
            )
            for link in cut_links:
                w.network.unblock(*link)
            assert await w.until(lambda w=w: len(w.board.running("run-000001")) == 8, 40)
            await trio.sleep(20)
            assert set(zone_machines) <= set(w.cloud.machines)
            # A short network partition costs nothing. After a long one the tasks, which can't run
            # elsewhere, start again.
            assert len(w.board.starts) == (8 if cut_s < 30 else 16)


def test_a_job_goes_on_under_its_record_however_its_ends_come():
    name, unassigned = "run-1", Job("run-1", pending(1, legs=250).job.spec, clock.wall())
    view = RecordView()
    view.put(keys.job_key(name), unassigned.to_value(), 1)
    assigned = unassigned.with_partition("east", ((0, 250),))
    view.put(keys.job_key(name), assigned.to_value(), 2)
    assert list(view.assigned_jobs["east"]) == [name] and view.membership_version == 1
    view.apply_transaction([delete(keys.job_key(name))], 9)
    assert view.assigned_jobs["east"] == {} and view.membership_version == 2


async def test_a_smaller_share_of_a_core_and_more_parts_mean_fewer_looks_at_everything():
    """Guards against projections that are recomputed as often on a quarter of a core as on one.

    They took most of its time, and responses were delayed.
    """
    async with world(count=1) as w:
        context = w.controllers["node-0"].context
        full_core_window = context.reuse_window(timedelta(milliseconds=50))
        assert set(context.election.leaderships) == {"east"}
        quarter_core = replace(context, settings=replace(context.settings, cpu=0.25))
        assert quarter_core.reuse_window(timedelta(milliseconds=50)) == full_core_window * 4
        context.election.leaderships["west"] = replace(
            context.election.leaderships["east"], partition="west"
        )
        assert context.reuse_window(timedelta(milliseconds=50)) == full_core_window * 2
        del context.election.leaderships["west"]


async def test_steps_that_take_long_leave_time_for_reports(monkeypatch):
    """Guards against scheduling steps that follow each other after 90 ms, however long they take.

    With 4,000 machines on a seventh of a CPU core, this delayed responses to heartbeats and users.
    """
    async with world(count=1) as w:
        leader, step_starts = w.controllers["node-0"].leaders["east"], []

        def slow(_transaction, _now) -> bool:
            step_starts.append(trio.current_time())
            trio.lowlevel.current_clock().jump(0.3)
            return True

        monkeypatch.setattr(leader._scheduler, "start", slow)
        await trio.sleep(2)
        del step_starts[:]
        started_at = trio.current_time()
        for _ in range(200):
            leader.steps.request()
            await trio.sleep(0.05)
        # Steps take at most a third of the time, and they continue.
        assert 5 <= len(step_starts) <= (trio.current_time() - started_at) / 0.9 + 1


def test_what_keeps_a_job_waiting_adds_up_to_less_than_users_permit():
    """After all faults end, no job may wait 90 s while free capacity fits it.

    The delays that can add up are the backoff after failures, quota held for work whose machine
    boots, and the time a job is passed over, because capacity is left to a job of another
    partition, being freed, or reserved for a gang. A job whose machine is in quarantine waits in
    the queue, so that quota is not held for it in addition.
    """
    max_wait = timedelta(seconds=90)
    assert max_wait > failure_backoff.MAX_BACKOFF + quotas.QUOTA_HOLD_TIME + aging.MAX_PASSED_OVER
    assert quarantine.UNCERTAIN_QUARANTINE_TIME < quarantine.QUARANTINE_TIME
    assert (
        max_wait > quarantine.QUARANTINE_TIME + quarantine.RETRY_BY_OTHERS + aging.MAX_PASSED_OVER
    )
    assert quotas.QUOTA_YIELD_TIME < aging.MAX_PASSED_OVER
    assert preemption.RESERVATION_LIFETIME < aging.MAX_PASSED_OVER
    assert gang_reservations.RESERVATION_LIFETIME < aging.MAX_PASSED_OVER
    # A job that no partition can start is offered to all of them well before that, including the
    # wait for its turn.
    assert (
        bid_service.LONG_WAIT + 4 * OperatorSettings().reoffer_every + OperatorSettings().cool_down
        < timedelta(seconds=60)
    )


def test_a_wide_job_without_room_keeps_its_teams_limit_from_nobody_who_would_fit():
    """Guards against a wide array that takes all of its team's remaining quota and can't start.

    It is first in the queue, and fits only a machine type without free capacity.
    """
    wide, small = pending(1, 10, legs=50, rigs=["big"]), pending(2, 20, legs=2)
    limits = QuotaAllowance(lambda team: QuotaAmount(1000.0, 4.0))
    placed, unplaced, _ = bin_packing.place(
        [wide, small], [capacity("m-1", gpus=2.0)], quota=limits
    )
    assert [(item.job.id, task_index) for item, task_index, _ in placed] == [
        ("run-000002", 0),
        ("run-000002", 1),
    ]
    assert unplaced[0].job.id == "run-000001" and unplaced[0].count == 4
    # Tasks that wait for a machine created for them withhold the quota from lower-priority work for
    # a while.
    production_job = pending(3, 10, legs=4, rigs=["big"], rank="production")
    limits = QuotaAllowance(lambda team: QuotaAmount(1000.0, 4.0), lambda job: True)
    placed, _, _ = bin_packing.place(
        [production_job, small], [capacity("m-1", gpus=2.0)], quota=limits
    )
    assert placed == []
