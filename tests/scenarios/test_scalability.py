"""What must hold at any size: wide arrays, full records, nobody starved, and work that follows the
change."""

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
    quotas,
)
from roadbend.placement.forecast import MachineTimeline
from roadbend.placement.quota_allowance import QuotaAllowance, QuotaAmount
from roadbend.settings import OperatorSettings, Team
from roadbend.store import keys, ranges, records
from roadbend.store.client import delete, put
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Job, Resources, SliceShard

KIB4 = 4 * 1024


def test_a_shard_of_running_tasks_fits_the_smallest_value_whatever_ends_first():
    rng = random.Random(1)
    for value in (KIB4, 32 * 1024):
        width = records.shard_width(value)
        first = 100_000 - 100_000 % width - width
        run = {
            n: Attempt((7 << 32) | 90_000 + n, f"m-{rng.randrange(10**6):06d}")
            for n in range(first, first + width)
        }
        piece = SliceShard(
            "run-000001", "east", "team-0000000001", Resources(8, 1, 43.5), attempts=run
        )
        for _ in range(width + 1):
            assert records.value_size_bound(piece.to_value()) < value * 0.95
            left = list(piece.attempts)
            if left:
                task_index = rng.choice(left[::2] or left)
                rest = {n: a for n, a in piece.attempts.items() if n != task_index}
                piece = replace(
                    piece,
                    attempts=rest,
                    done=ranges.union(piece.done, ((task_index, task_index + 1),)),
                )
        again = SliceShard.from_value("east", "run-000001", 0, piece.to_value(), 0)
        assert again == piece


def test_records_of_the_first_version_are_read():
    value = {"t": "red", "n": [8, 1, 40], "d": [[0, 2]], "r": {"5": [(3 << 32) | 7, "m-1"]}}
    view = RecordView()
    view.put("r/slice/east/run-1", value, 3)
    work = view.job_slices["east"]["run-1"]
    assert (
        work.attempts == {5: Attempt((3 << 32) | 7, "m-1")}
        and work.shard_of(5, 16) == -1
        and work.shard_of(6, 16) == 0
    )
    assert keys.slice_key("east", "run-1", -1) == "r/slice/east/run-1"


def test_the_indexes_follow_every_change_as_if_worked_out_anew():
    rng, view, mod_revision = random.Random(3), RecordView(), 0
    rows: dict[str, SliceShard] = {}
    for _ in range(600):
        mod_revision += 1
        partition, name, shard = (
            rng.choice(("east", "west")),
            f"run-{rng.randrange(6)}",
            rng.randrange(3),
        )
        key = keys.slice_key(partition, name, shard)
        if rng.random() < 0.25:
            rows.pop(key, None)
            view.drop(key, mod_revision)
            continue
        tasks = rng.sample(range(shard * 8, shard * 8 + 8), rng.randrange(6))
        run = {n: Attempt(rng.randrange(3), f"m-{rng.randrange(4)}") for n in tasks}
        rows[key] = SliceShard(
            name,
            partition,
            "red" if name < "run-3" else "blue",
            Resources(2, 1, 10),
            (),
            run,
            mod_revision,
            shard,
        )
        view.put(key, rows[key].to_value(), mod_revision)
        seen = {
            (partition, machine, key, attempt)
            for partition, machines in view.attempts_by_machine.items()
            for machine, found in machines.items()
            for key, (_, attempt) in found.items()
        }
        want = {
            (p.partition, a.machine, (p.job, task_index), a)
            for p in rows.values()
            for task_index, a in p.attempts.items()
        }
        assert seen == want
        for team in ("red", "blue"):
            count = sum(len(p.attempts) for p in rows.values() if p.team == team)
            assert view.team_usage(team) == (2.0 * count, 1.0 * count)


def lines(count, gpus=2.0):
    return [MachineTimeline(capacity(f"m-{n}", gpus=gpus)) for n in range(count)]


def test_a_wide_job_costs_a_look_at_each_machine_and_not_one_a_task(calls):
    small = calls(
        lambda: forecast.project([pending(1, 10, legs=10)], lines(100), lambda _: 30.0, 9999)
    )
    wide = calls(
        lambda: forecast.project([pending(1, 200, legs=200)], lines(100), lambda _: 30.0, 9999)
    )
    more = calls(
        lambda: forecast.project([pending(1, 10, legs=10)], lines(300), lambda _: 30.0, 9999)
    )
    assert wide - small < 190 * 16 and more < small * 3.5
    full = [capacity(f"m-{n}", gpus=0.0) for n in range(200)]
    queue = [pending(n, 50, legs=50) for n in range(100)]
    # What found no room is not looked for again by others alike.
    assert calls(lambda: bin_packing.place(queue, full)) < 200 * 10 + 100 * 20
    late = [TimedTasks(item, 20.0, 0.0) for item in queue]
    assert calls(lambda: machines_to_create(late[:2], [], choices(), "east", 1.0)) < 100 * 150


async def test_a_calm_report_costs_the_same_beside_few_machines_and_beside_many(calls):
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
                calls(
                    lambda r=leader, d=data, a=answers: a.append(
                        r.heartbeats.answer_unchanged(d, clock.now())
                    )
                )
            )
            assert answers == [leader.heartbeats.token(leader.machines[name])]
            # The same once more is a copy, and one with other tasks is no calm report.
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
        value_bytes=KIB4,
        txn_ops=8,
        state_write_rps=25.0,
    ) as w:
        assert await w.submit(0, job(1, legs=250, dueS=30.0), 100.0) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) >= 240, 90)
        assert (
            max(records.value_size_bound(v) for v in w.state.values_with_prefix("r/").values())
            < KIB4
        )

        async def over():
            return await w.status(1, "run-000001") == "done"

        assert await w.until(over, 200)
        assert len({task for _, task, _ in w.board.starts}) == 250
        assert w.state.values_with_prefix("r/slice/") == {}


async def test_the_widest_array_begins_behind_a_steady_stream_of_small_ones():
    """A team at its limit: small jobs come all the time, and their partitions hold all of the
    team's room."""
    operator = OperatorSettings(
        begin_within=timedelta(seconds=30), reoffer_every=timedelta(seconds=1e4 / 20)
    )
    async with world(capacity=4, operator=operator, teams={"red": Team("red", 0, 0, 2, 6)}) as w:
        over = trio.Event()

        async def stream():
            n = 100
            while not over.is_set():
                zone = ("east", "north")[n % 2]
                await w.submit(n % 3, job(n, legs=2, yard=zone, expectedS=8.0, dueS=1.0), 8.0)
                n += 1
                await trio.sleep(2.0)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await trio.sleep(30)
            began = trio.current_time()
            assert await w.submit(0, job(1, legs=6, yard="west", dueS=9000.0), 8.0) == 201
            assert await w.until(lambda: "run-000001/0" in {t for _, t, _ in w.board.starts}, 240)
            assert trio.current_time() - began < 150
            over.set()


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
        most = 0.0
        for n in range(1, 9):
            assert await w.submit(n % 3, job(n, legs=3, dueS=40.0), 6.0) == 201
        for _ in range(400):
            await trio.sleep(0.25)
            state_refuses_only_us = w.state.value(keys.team_key("red")) or {}
            most = max(most, sum(gpus for _, gpus in state_refuses_only_us.values()))
            running = sum(len(w.board.running(f"run-{n:06d}")) for n in range(1, 9))
            assert running <= 6
        assert most <= 6 + 1e-9
        assert await w.until(lambda: w.state.value(keys.team_key("red")) == {}, 60)


async def test_a_start_that_is_carried_out_late_does_not_come_on_top_of_others():
    """What is set aside bounds the starts, so one whose answer got lost must be settled before the
    next."""
    for delay in (5.0, 12.0, 25.0):
        async with world(count=1, capacity=9, teams={"red": Team("red", 0, 0, 0, 12)}) as w:
            # Leaves enough set aside for the next starts to leave the team's record alone.
            for n, tasks, length in ((1, 1, 300.0), (2, 7, 8.0)):
                assert await w.submit(0, job(n, legs=tasks, dueS=5.0), length) == 201
            assert await w.until(lambda w=w: len(w.board.running("run-000002")) == 7, 60)
            assert await w.until(lambda w=w: not w.board.running("run-000002"), 60)
            await trio.sleep(2)
            assert 8 <= w.state.value(keys.team_key("red"))["east"][1] <= 9
            real, held = w.state.handle, []

            async def handle(request, host="", real=real, held=held, delay=delay):
                if (
                    request.path == "/multi"
                    and b"r/slice/" in request.body
                    and b"run-000003" in request.body
                ):
                    # Lost on its way, and carried out when nobody expects it any more.
                    held.append(trio.current_time())
                    if held[-1] < held[0] + 3.5:
                        await trio.sleep(delay)
                return await real(request, host)

            w.state.handle = handle
            assert await w.submit(0, job(3, legs=7, dueS=600.0), 60.0) == 201
            assert await w.until(lambda held=held: held, 30)
            assert await w.submit(0, job(4, legs=7, dueS=5.0), 60.0) == 201
            most = 0
            for _ in range(240):
                await trio.sleep(0.25)
                most = max(most, sum(len(w.board.running(f"run-{n:06d}")) for n in range(1, 5)))
            assert 8 <= most <= 12, (delay, most)


async def test_nothing_is_forgotten_while_a_backlog_is_worked_off():
    """All controllers die at once under a backlog and a storm; every job is answered by some node
    soon."""
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
        began, answered = trio.current_time(), {}

        async def ask(name):
            at = 0
            while name not in answered:
                status = await w.status(at % 3, name)
                if status is not None:
                    answered[name] = status
                    assert (status == "aborted") == (name == "run-000007")
                at += 1
                await trio.sleep(2)

        async def storm():
            n = 1000
            while len(answered) < len(names):
                await w.call(n % 3, "POST", "/v1/jobs", job(n, legs=2, yard="east", dueS=30.0))
                n += 1
                await trio.sleep(0.05)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(storm)
            for name in names:
                nursery.start_soon(ask, name)
        assert trio.current_time() - began < 30


class Calls:
    """A cloud that only notes what it is asked."""

    def __init__(self, fail_at=None):
        self.asked, self.fail_at = [], fail_at

    async def request(self, method, target, body=None, *, within):
        await trio.sleep(0.01)
        self.asked.append((method, target, len((body or {}).get("hitches", ()))))
        if self.fail_at is not None and len(self.asked) == self.fail_at:
            raise NoAnswerError("lost")
        if target.startswith("/machines?"):
            return 200, {"hitches": [], "more": False}
        return 200, {"hitches": ["m-1"]}


async def test_more_than_a_hundred_dead_machines_are_all_deleted_or_none_counts_as_gone():
    client = Calls()
    await Cloud(client, 2.0, 3).delete_machines([f"m-{n}" for n in range(230)], urgent=True)
    assert [count for _, _, count in client.asked] == [100, 100, 30]
    with pytest.raises(NoAnswerError):
        await Cloud(Calls(fail_at=2), 2.0, 3).delete_machines(
            [f"m-{n}" for n in range(230)], urgent=True
        )


async def test_hiring_goes_before_listing():
    client = Calls()
    cloud = Cloud(client, 2.0, 3)
    async with trio.open_nursery() as nursery:
        for _ in range(6):
            nursery.start_soon(cloud.list_machines)
        await trio.sleep(0.5)
        for n in range(3):
            request = CreationRequest(f"h-{n}", MachineKind("g2", True), "east", 50)
            nursery.start_soon(cloud.create_machines, request)
    order = [method for method, _, _ in client.asked]
    assert order.index("POST") <= 2 and order[-3:] == ["GET"] * 3
    # Lists of several pages at every controller leave most calls to hiring.
    assert cloud.list_interval(700) >= timedelta(seconds=2 * 3 / (0.3 * 2.0))
    assert MAX_CREATIONS == 50


async def test_two_lives_of_a_controller_never_share_a_term_or_a_hire_name():
    """Back within a fraction of a second, also before its former life's lease has ended, and with
    that life's own registration still on its way."""
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
            late = {
                "when": [{"path": keys.controller_key("node-0"), "stamp": mod_revision}],
                "apply": [
                    put(
                        keys.controller_key("node-0"), {"boot": controller.incarnation}, lease_id
                    ).to_map()
                ],
            }
            assert w.state.compare_and_swap(late).status != 200
        assert None not in terms and len(set(terms)) == 4
        assert await w.until(lambda: len(w.board.running("run-000001")) == 2, 90)
        assert len(set(w.cloud.creation_ids)) == len(w.cloud.creation_ids)


async def test_a_controller_left_with_its_workers_only_hands_them_over_without_loss():
    """Each order of what comes back first: the state service, the peers, or both at once."""
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

            def led(w=w, machines=frozenset(machines)):
                return any(
                    (leader := controller.leaders.get("east")) is not None
                    and all(
                        m in leader.machines and leader.machines[m].token.confirmed
                        for m in machines
                    )
                    for name, controller in w.controllers.items()
                    if name != "node-0"
                )

            assert await w.until(led, 40), first
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
    """The visa desk's inc-878a: the new owner of a zone behind a cut deleted all of its machines at
    once."""
    for length in (24, 75):
        async with world(capacity=12, teams={"red": Team("red", 0, 0, 12, 12)}) as w:
            body = job(1, legs=8, yard=None, shape="daemon", dueS=None, loaners=False)
            assert await w.submit(1, {**body, "yard": "east"}, None) == 201
            assert await w.until(lambda w=w: len(w.board.running("run-000001")) == 8, 60)
            inside, outside = sorted(w.cloud.machines), ("state", "cloud", "node-1", "node-2")
            pairs = [("node-0", other) for other in outside] + [
                (m, o) for m in inside for o in ("node-1", "node-2")
            ]
            for pair in pairs:
                w.network.block(*pair)
            rented = len(w.cloud.creation_ids)
            await trio.sleep(length)
            assert set(inside) <= set(w.cloud.machines) and len(w.cloud.creation_ids) == rented
            for pair in pairs:
                w.network.unblock(*pair)
            assert await w.until(lambda w=w: len(w.board.running("run-000001")) == 8, 40)
            await trio.sleep(20)
            assert set(inside) <= set(w.cloud.machines)
            # A short cut costs nothing; after a long one the tasks, which can't go elsewhere, begin
            # again.
            assert len(w.board.starts) == (8 if length < 30 else 16)


def test_a_job_goes_on_under_its_record_however_its_ends_come():
    name, free = "run-1", Job("run-1", pending(1, legs=250).job.spec, clock.wall())
    view = RecordView()
    view.put(keys.job_key(name), free.to_value(), 1)
    held = free.with_partition("east", ((0, 250),))
    view.put(keys.job_key(name), held.to_value(), 2)
    assert list(view.assigned_jobs["east"]) == [name] and view.membership_version == 1
    view.apply_transaction([delete(keys.job_key(name))], 9)
    assert view.assigned_jobs["east"] == {} and view.membership_version == 2


async def test_a_smaller_share_of_a_core_and_more_parts_mean_fewer_looks_at_everything():
    """On a quarter of a core, forecasts that rested as on a whole one took most of it, and answers
    fell behind."""
    async with world(count=1) as w:
        context = w.controllers["node-0"].context
        whole = context.reuse_window(timedelta(milliseconds=50))
        assert set(context.election.leaderships) == {"east"}
        quarter = replace(context, settings=replace(context.settings, cpu=0.25))
        assert quarter.reuse_window(timedelta(milliseconds=50)) == whole * 4
        context.election.leaderships["west"] = replace(
            context.election.leaderships["east"], partition="west"
        )
        assert context.reuse_window(timedelta(milliseconds=50)) == whole * 2
        del context.election.leaderships["west"]


async def test_steps_that_take_long_leave_time_for_reports(monkeypatch):
    """With 4,000 machines on a seventh of a core steps followed each other after 90 ms, whatever
    they took, and answers to reports and users fell behind."""
    async with world(count=1) as w:
        leader, begun = w.controllers["node-0"].leaders["east"], []

        def slow(_transaction, _now) -> bool:
            begun.append(trio.current_time())
            trio.lowlevel.current_clock().jump(0.3)
            return True

        monkeypatch.setattr(leader._scheduler, "start", slow)
        await trio.sleep(2)
        del begun[:]
        began = trio.current_time()
        for _ in range(200):
            leader.steps.request()
            await trio.sleep(0.05)
        # A third of the time at the most; and it goes on.
        assert 5 <= len(begun) <= (trio.current_time() - began) / 0.9 + 1


def test_what_keeps_a_job_waiting_adds_up_to_less_than_users_permit():
    """Once all troubles are over, no job waits 90 s beside room that fits it: what may follow each
    other is a rest after failures, its team's limit kept for work whose machine boots, and all
    that it is passed over for: room left to a job of another partition, being made, or kept for a
    gang."""
    assert failure_backoff.MAX_BACKOFF + quotas.QUOTA_HOLD_TIME + aging.MAX_PASSED_OVER < timedelta(
        seconds=90
    )
    assert quotas.QUOTA_YIELD_TIME < aging.MAX_PASSED_OVER
    assert preemption.RESERVATION_LIFETIME < aging.MAX_PASSED_OVER
    assert gang_reservations.KEEP < aging.MAX_PASSED_OVER
    # A job that no partition can start is offered everywhere well before that, its turn among
    # others counted.
    assert (
        bid_service.LONG_WAIT + 4 * OperatorSettings().reoffer_every + OperatorSettings().cool_down
        < timedelta(seconds=60)
    )


def test_a_wide_job_without_room_keeps_its_teams_limit_from_nobody_who_would_fit():
    """A wide array that only fits a machine type that is full stood first, and took all that its
    team had left."""
    wide, small = pending(1, 10, legs=50, rigs=["big"]), pending(2, 20, legs=2)
    limits = QuotaAllowance(lambda team: QuotaAmount(1000.0, 4.0))
    placed, left, _ = bin_packing.place([wide, small], [capacity("m-1", gpus=2.0)], quota=limits)
    assert [(item.job.id, task_index) for item, task_index, _ in placed] == [
        ("run-000002", 0),
        ("run-000002", 1),
    ]
    assert left[0].job.id == "run-000001" and left[0].count == 4
    # What waits for a machine that was hired for it keeps the limit from lesser work, for a while.
    high = pending(3, 10, legs=4, rigs=["big"], rank="production")
    limits = QuotaAllowance(lambda team: QuotaAmount(1000.0, 4.0), lambda job: True)
    placed, _, _ = bin_packing.place([high, small], [capacity("m-1", gpus=2.0)], quota=limits)
    assert placed == []
