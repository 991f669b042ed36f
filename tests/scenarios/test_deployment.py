"""Tests basic operation with three controllers against fakes, which check the rules throughout."""

from datetime import timedelta

import trio

from roadbend import clock
from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.intake.messages import read_submission
from roadbend.settings import OperatorSettings, Team
from roadbend.store import keys
from roadbend.store.client import put
from roadbend.store.records import Attempt, Job, SliceShard


async def test_an_array_runs_to_its_end_and_every_node_says_so():
    async with world() as w:
        assert await w.submit(0, job(1, legs=5)) == 201
        assert await w.submit(1, job(1, legs=5)) == 200
        assert await w.until(lambda: w.status(2, "run-000001"), 3)
        assert await w.until(lambda: has_status(w, 2, 1, "done"), 120)
        for at in range(3):
            assert await w.status(at, "run-000001") == "done"
        assert await w.submit(0, job(1, legs=5)) == 200
        assert len({task for _, task, _ in w.board.starts}) == 5
        # Its quota is released, and none of its records is left among the live ones.
        assert await w.until(lambda: w.state.value(keys.team_key("red")) == {}, 20)
        assert (
            w.state.values_with_prefix("r/job/") == {}
            and w.state.values_with_prefix("r/slice/") == {}
        )


async def has_status(w, at, number, status):
    return await w.status(at, f"run-{number:06d}") == status


async def test_a_service_runs_until_it_is_withdrawn_and_stays_cancelled():
    async with world() as w:
        assert (
            await w.submit(
                0, job(2, shape="daemon", legs=3, apart=True, expectedS=0.0, dueS=None), None
            )
            == 201
        )
        assert await w.until(lambda: len(w.board.running("run-000002")) == 3, 60)
        zones = [
            w.cloud.machines[next(iter(w.board.machines_by_task[t]))].zone
            for t in w.board.running("run-000002")
        ]
        assert max(zones.count(z) for z in zones) <= 2
        status, answer = await w.call(1, "POST", "/v1/jobs/run-000002/withdraw", {})
        assert (status, answer["status"]) == (200, "aborted")
        # Every controller reports it at once, never an older status.
        for at in range(3):
            assert await w.status(at, "run-000002") == "aborted"
        assert await w.until(lambda: not w.board.running("run-000002"), 5)
        assert await w.until(lambda: w.state.value(keys.team_key("red")) == {}, 20)


async def test_a_job_outlives_the_node_that_accepted_it():
    async with world() as w:
        assert await w.submit(0, job(3, legs=2)) == 201
        w.crash(0)
        assert await w.until(lambda: has_status(w, 1, 3, "done"), 120)


async def test_all_controllers_restart_at_once_and_nothing_runs_twice():
    async with world() as w:
        assert await w.submit(0, job(4, legs=4, dueS=40), 30) == 201
        assert await w.submit(1, job(5, shape="daemon", dueS=None, crew="blue"), None) == 201
        assert await w.until(
            lambda: len(w.board.running("run-000004")) == 4 and w.board.running("run-000005"), 60
        )
        terms = {
            partition: row["n"] for partition, row in w.state.values_with_prefix("r/term/").items()
        }
        for at in range(3):
            w.crash(at)
        await trio.sleep(5)
        for at in range(3):
            w.start(at)
        assert await w.until_ready()
        assert await w.until(lambda: has_status(w, 2, 4, "done"), 90)
        assert w.board.running("run-000005") == ["run-000005/0"]
        # No task was started again, and every partition has a new term.
        assert len(w.board.starts) == 5
        assert all(
            row["n"] > terms[partition]
            for partition, row in w.state.values_with_prefix("r/term/").items()
        )


async def test_a_dead_owners_part_is_taken_over_and_handed_back():
    async with world() as w:
        assert w.leader_of("east") == "node-0"
        assert await w.submit(1, job(6, shape="daemon", yard="east", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000006"), 60)
        w.crash(0)
        assert await w.until(lambda: w.leader_of("east") in ("node-1", "node-2"), 20)
        await trio.sleep(30)
        assert w.board.running("run-000006") and len(w.board.starts) == 1
        w.start(0)
        assert await w.until(lambda: w.leader_of("east") == "node-0", 60)
        await trio.sleep(20)
        assert w.board.running("run-000006") and len(w.board.starts) == 1


async def test_a_dead_machine_is_deleted_before_its_task_starts_elsewhere():
    async with world() as w:
        assert await w.submit(0, job(7, shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000007"), 60)
        machine = next(iter(w.board.machines_by_task["run-000007/0"]))
        w.cloud.kill(machine)
        assert await w.until(lambda: not w.board.running("run-000007"), 1)
        assert await w.until(lambda: w.board.running("run-000007"), 60)
        assert machine not in w.cloud.machines


async def test_without_deletion_only_the_workers_lease_proves_a_task_gone():
    async with world() as w:
        assert await w.submit(0, job(8, shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000008"), 60)
        machine = next(iter(w.board.machines_by_task["run-000008/0"]))
        w.cloud.refuse_deletion = True
        # The machine is unreachable but runs the task until its lease expires; the fakes detect a
        # second start before that.
        for host in ("node-0", "node-1", "node-2"):
            w.network.block(host, machine)
        cut_at = trio.current_time()
        assert await w.until(
            lambda: w.board.running("run-000008") and w.board.starts[-1][0] > cut_at, 90
        )
        assert w.board.starts[-1][0] - cut_at > 18


async def test_an_outage_of_the_state_service_kills_nothing():
    async with world() as w:
        assert await w.submit(0, job(9, shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000009"), 60)
        w.state.down = True
        await trio.sleep(60)
        # Longer than cancel_s: every controller receives heartbeats of all others, so none can miss
        # a cancellation.
        assert w.board.running("run-000009") and len(w.board.starts) == 1
        for at in range(3):
            assert (await w.call(at, "GET", "/up"))[0] == 200
            began = trio.current_time()
            assert (await w.call(at, "GET", "/v1/jobs/run-000009"))[0] == 503
            assert trio.current_time() - began < 0.5
        w.state.end_outage()
        assert await w.until(lambda: has_status(w, 0, 9, "running"), 20)
        assert len(w.board.starts) == 1


async def test_a_node_refused_alone_steps_aside():
    async with world() as w:
        assert await w.submit(1, job(10, shape="daemon", yard="east", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000010"), 60)
        w.state.refused.add("node-0")
        assert await w.until(lambda: is_down(w, 0), 10)
        assert await w.until(lambda: w.leader_of("east") in ("node-1", "node-2"), 30)
        await trio.sleep(30)
        assert w.board.running("run-000010") and len(w.board.starts) == 1
        assert (await w.call(1, "POST", "/v1/jobs/run-000010/withdraw", {}))[0] == 200
        assert await w.until(lambda: not w.board.running("run-000010"), 38)


async def test_a_refused_node_sends_its_users_elsewhere_at_once():
    async with world() as w:
        w.state.refused.add("node-0")
        await trio.sleep(2.5)
        stream = await w.network.port("user").connect("node-0:80")
        began = trio.current_time()
        await stream.send_all(b"GET /v1/jobs/run-1 HTTP/1.1\r\nhost: x\r\n\r\n")
        answer = await stream.receive_some(1000)
        assert answer.startswith(b"HTTP/1.1 503") and b"connection: close" in answer.lower()
        assert trio.current_time() - began < 0.1
        assert await w.submit(0, job(13)) == 503
        assert trio.current_time() - began < 0.2
        assert await w.submit(1, job(13)) == 201


async def is_down(w, at):
    return (await w.call(at, "GET", "/up"))[0] == 503


async def test_a_node_cut_off_from_everyone_stops_renewing_in_time():
    """Its workers reach it, but cancellations accepted elsewhere don't; cancel_s still holds."""
    async with world() as w:
        assert await w.submit(1, job(11, shape="daemon", yard="east", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000011"), 60)
        machine = next(iter(w.board.machines_by_task["run-000011/0"]))
        for other in ("state", "cloud", "node-1", "node-2"):
            w.network.block("node-0", other)
        for other in ("node-1", "node-2"):
            w.network.block(machine, other)
            w.network.block(other, machine)
        await trio.sleep(1)
        w.cloud.refuse_deletion = True
        assert (await w.call(1, "POST", "/v1/jobs/run-000011/withdraw", {}))[0] == 200
        assert await w.until(lambda: not w.board.running("run-000011"), 38)


async def test_a_withdrawal_whose_answer_got_lost_is_answered_when_repeated():
    async with world() as w:
        assert await w.submit(0, job(12, shape="daemon", dueS=None), None) == 201
        w.state.unanswered_hosts.add("node-1")
        status, _ = await w.call(1, "POST", "/v1/jobs/run-000012/withdraw", {})
        assert status in (0, 503)
        w.state.unanswered_hosts.clear()
        status, answer = await w.call(2, "POST", "/v1/jobs/run-000012/withdraw", {})
        assert (status, answer["status"]) == (200, "aborted")
        status, answer = await w.call(1, "POST", "/v1/jobs/run-000012/withdraw", {})
        assert (status, answer["status"]) == (200, "aborted")


async def test_a_teams_limit_holds_across_parts():
    async with world() as w:
        for n in range(20, 24):
            assert await w.submit(n % 3, job(n, legs=4, dueS=None), 15) == 201
        max_running = 0
        end = trio.current_time() + 150
        while trio.current_time() < end:
            max_running = max(
                max_running, sum(len(w.board.running(f"run-{n:06d}")) for n in range(20, 24))
            )
            await trio.sleep(0.2)
        assert max_running == 6
        assert await w.until(lambda: has_status(w, 0, 23, "done"), 60)


async def test_urgent_work_displaces_lesser_work():
    async with world(capacity=1) as w:
        for n in range(30, 36):
            zone = ("east", "north", "west")[n % 3]
            assert (
                await w.submit(0, job(n, legs=2, rank="best_effort", yard=zone, crew="blue"), 600)
                == 201
            )
        assert await w.until(
            lambda: sum(len(w.board.running(f"run-{n:06d}")) for n in range(30, 36)) >= 6, 90
        )
        assert (
            await w.submit(
                1, job(40, shape="daemon", rank="production", loaners=False, dueS=None), None
            )
            == 201
        )
        assert await w.until(lambda: w.board.running("run-000040"), 15)


async def test_a_machine_that_fails_every_task_is_replaced():
    async with world() as w:
        w.broken_machines.add("m-000000")
        for n in range(50, 54):
            assert await w.submit(0, job(n, yard="east"), 10) == 201
        for n in range(50, 54):
            assert await w.until(lambda n=n: has_status(w, 1, n, "done"), 150), n
        assert await w.until(lambda: "m-000000" not in w.cloud.machines, 60)


async def test_empty_machines_are_given_back():
    async with world() as w:
        assert await w.submit(0, job(60, legs=4), 10) == 201
        assert await w.until(lambda: has_status(w, 0, 60, "done"), 90)
        assert await w.until(lambda: not w.cloud.machines, 60)


async def test_a_hire_whose_answer_is_lost_rents_no_second_machine():
    async with world(count=1) as w:
        original_handle, lost = w.cloud.handle, []

        async def handle(request, host=""):
            response = await original_handle(request, host)
            if request.path == "/machines" and request.method == "POST" and not lost:
                lost.append(1)
                await trio.sleep(3600)
            return response

        w.cloud.handle = handle
        assert await w.submit(0, job(61), 10) == 201
        assert await w.until(lambda: has_status(w, 0, 61, "done"), 90)
        assert lost and len(w.cloud.creation_ids) == 1


async def test_controllers_start_while_the_cloud_is_out():
    async with world() as w:
        assert await w.until(lambda: w.state.value(keys.CATALOG_KEY) is not None, 10)
        w.cloud.down = True
        for at in range(3):
            w.crash(at)
        for at in range(3):
            w.start(at)
        assert await w.until_ready()
        assert await w.submit(0, job(62)) == 201
        w.cloud.down = False
        assert await w.until(lambda: has_status(w, 0, 62, "done"), 120)


async def test_a_job_that_waits_too_long_moves_to_a_part_with_room():
    """Each zone has capacity for one machine; a job queued behind long ones is rescheduled."""
    operator = OperatorSettings(reoffer_every=timedelta(seconds=2), dear=100.0)
    async with world(capacity=1, operator=operator) as w:
        for n in (70, 71):
            assert (
                await w.submit(
                    0, job(n, legs=2, yard="east", loaners=n == 70, crew="blue", dueS=30), 200
                )
                == 201
            )
        assert await w.until(
            lambda: all(len(w.board.running(f"run-{n:06d}")) == 2 for n in (70, 71)), 60
        )
        # Recorded as assigned to the full partition, as if the others had not been up.
        assert await w.submit(0, job(72, legs=2, dueS=60, crew="red"), 10) == 201
        for controller in w.controllers.values():
            controller.bidding.requester.submit = lambda name: None
        key = keys.job_key("run-000072")
        value = {**w.state.value(key), "a": {"east": [[0, 2]]}}
        w.state.compare_and_swap({"apply": [{"write": key, "value": value}]})
        assert await w.until(lambda: has_status(w, 1, 72, "done"), 100)
        assert {
            machine_zone(w, m) for _, task, m in w.board.starts if task.startswith("run-000072")
        } <= {
            "north",
            "west",
        }


def machine_zone(w, machine):
    return w.cloud.machines[machine].zone if machine in w.cloud.machines else "north"


async def test_machines_that_fall_silent_together_are_not_deleted():
    """Guards against deletion of healthy machines.

    In an incident of the visa deployment, a network partition of 12 s between machines and
    controllers cost eight machines.
    """
    async with world(teams={"red": Team("red", 0, 0, 4, 40)}) as w:
        assert await w.submit(0, job(80, legs=8, yard="east", dueS=20), 200) == 201
        assert await w.until(lambda: len(w.board.running("run-000080")) == 8, 60)
        machines = sorted(
            {next(iter(w.board.machines_by_task[t])) for t in w.board.running("run-000080")}
        )
        assert len(machines) == 4
        # Other machines keep reporting, so that less than half of the partition is silent.
        assert await w.submit(0, job(81, legs=8, yard="east", dueS=20, loaners=False), 200) == 201
        assert await w.until(lambda: len(w.board.running("run-000081")) == 8, 60)
        others = sorted(
            {next(iter(w.board.machines_by_task[t])) for t in w.board.running("run-000081")}
        )
        for machine in [*machines[:1], *others[:2]]:
            for n in range(3):
                w.network.block(f"node-{n}", machine)
        await trio.sleep(9)
        for machine in [*machines[:1], *others[:2]]:
            for n in range(3):
                w.network.unblock(f"node-{n}", machine)
        await trio.sleep(15)
        assert set(machines + others) <= set(w.cloud.machines)
        assert len(w.board.starts) == 16


async def test_a_late_report_of_a_deleted_machine_does_not_bring_it_back():
    async with world(count=1) as w:
        controller = w.controllers["node-0"]
        controller.context.deleted_machines.add("m-7")
        body = {
            "hitch": "m-7",
            "address": "m-7:1",
            "rig": "g2",
            "yard": "east",
            "loaners": False,
            "stint": 1,
            "tick": 9,
            "baton": 0,
            "recallS": None,
            "legs": [],
        }
        assert (await w.call(0, "POST", "/hello", body))[0] == 503
        assert "m-7" not in controller.leaders["east"].machines


async def test_a_crash_between_the_write_ahead_and_the_order_starts_the_task_once():
    async with world(count=1) as w:
        assert await w.submit(0, job(90, shape="daemon", dueS=None), None) == 201
        assert await w.until(lambda: w.board.running("run-000090"), 60)
        machine = next(iter(w.board.machines_by_task["run-000090/0"]))
        w.crash(0)
        # Records that the crashed leader wrote before it sent the order to the machine.
        w.rules.record_submission(job(91))
        name, spec = read_submission(job(91))
        new_job = Job(name, spec, clock.wall(), {"east": ((0, 1),)})
        shard = SliceShard(
            name, "east", "red", spec.resources, attempts={0: Attempt((1 << 32) | 77, machine)}
        )
        cpus, gpus = w.state.value(keys.team_key("red"))["east"]
        rows = [
            put(keys.job_key(name), new_job.to_value()),
            put(keys.slice_key("east", name, 0), shard.to_value()),
            put(keys.team_key("red"), {"east": [cpus, max(gpus, 2)]}),
        ]
        assert w.state.compare_and_swap({"apply": [row.to_map() for row in rows]}).status == 200
        w.board.lengths[name] = 5.0
        await trio.sleep(4)
        w.start(0)
        assert await w.until_ready()
        assert await w.until(lambda: has_status(w, 0, 91, "done"), 60)
        assert [(task, home) for _, task, home in w.board.starts if task == "run-000091/0"] == [
            ("run-000091/0", machine)
        ]
        # None of its records is left, and the reserved quota still covers the running task.
        assert w.state.values_with_prefix("r/slice/").keys() == {
            keys.slice_key("east", "run-000090", 0)
        }
        assert w.state.value(keys.team_key("red"))["east"][1] >= 1
