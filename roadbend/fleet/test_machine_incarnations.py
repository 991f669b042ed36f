"""Machines that don't receive responses, machines that restart, and heartbeats that arrive late."""

import random
from datetime import timedelta

import trio

from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.settings import OperatorSettings
from roadbend.store import keys

SERVICE = {"shape": "daemon", "expectedS": 0.0, "dueS": None, "loaners": False}


def machine_of(w, task):
    return next(iter(w.board.machines_by_task[task]))


def late_heartbeat(name, **more):
    """Return a heartbeat that may arrive at any time, long after it was sent."""
    body = {
        "hitch": name,
        "address": f"{name}:1",
        "rig": "g2",
        "yard": "east",
        "loaners": False,
        "stint": 1,
        "tick": 9,
        "baton": 0,
        "recallS": None,
        "legs": [],
    }
    return {**body, **more}


async def test_a_late_copy_of_a_deleted_machine_makes_no_machine_that_takes_work():
    """Guards against a late heartbeat that registers a deleted machine again.

    The leader may not know of the deletion: under an earlier term another controller requested it,
    and under its own term the leader may have forgotten it.
    """
    async with world(count=1) as w:
        controller = w.controllers["node-0"]
        leader = controller.leaders["east"]
        assert (await w.call(0, "POST", "/hello", late_heartbeat("m-77")))[0] == 200
        assert (
            await w.call(
                0, "POST", "/hello", late_heartbeat("m-78", baton=leader.heartbeats.token())
            )
        )[0] == 503
        assert "m-78" not in leader.machines
        assert await w.submit(0, job(1, **SERVICE), None) == 201
        await trio.sleep(2)
        assert "m-77" not in leader.records.attempts_by_machine()
        assert await w.until(lambda: w.board.running("run-000001"), 60)
        # It never sends another heartbeat: it is probed, deleted by its id, and forgotten.
        assert await w.until(lambda: "m-77" not in leader.machines, 60)


async def test_late_copies_neither_renew_nor_count_as_a_sign_of_life():
    async with world() as w:
        assert await w.submit(0, job(2, yard="east", **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000002"), 60)
        name = machine_of(w, "run-000002/0")
        worker = w.cloud.machines[name].worker
        copies = []
        for _ in range(3):
            copies.append(worker.heartbeat())
            await trio.sleep(3)
        leader = w.controllers["node-0"].leaders["east"]
        for body in copies:
            before = leader.machines[name].contact.last_heartbeat_at
            assert (await w.call(0, "POST", "/hello", body))[0] == 503
            assert leader.machines[name].contact.last_heartbeat_at == before
        # At a controller that does not lead the partition, the newest of them counts once, and the
        # others not at all.
        fleet = w.controllers["node-1"].fleet
        for body in (copies[2], copies[2], copies[0], copies[1]):
            assert (await w.call(1, "POST", "/hello", body))[0] == 421
            last = fleet.foreign_heartbeats.latest("east", name)
            await trio.sleep(1)
        assert last.position == (copies[2]["stint"], copies[2]["tick"])
        await trio.sleep(3)
        assert w.controllers["node-1"].fleet.foreign_machines(last.at + timedelta(seconds=7)) == {}
        assert w.board.running("run-000002") and len(w.board.starts) == 1


async def test_a_machine_that_is_back_at_once_is_used_again_and_its_former_life_proves_nothing():
    async with world() as w:
        assert await w.submit(0, job(3, yard="east", **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000003"), 60)
        name = machine_of(w, "run-000003/0")
        await trio.sleep(10)
        leader = w.controllers["node-0"].leaders["east"]
        previous_version = [w.cloud.machines[name].worker.heartbeat() for _ in range(30)]
        # Heartbeats from before the restart, changed to show no tasks under the former token, as
        # if sent before the task was started.
        copies = [{**body, "legs": []} for body in previous_version]
        w.cloud.reboot(name)
        assert await w.until(
            lambda: (
                leader.machines[name].token.incarnation == 1
                and leader.machines[name].token.confirmed
            ),
            20,
        )
        for body in copies:
            assert (await w.call(0, "POST", "/hello", body))[0] == 503
        # The same attempt runs again on the same machine; no other one was given the task.
        assert await w.until(lambda: w.board.running("run-000003"), 20)
        assert {home for _, _, home in w.board.starts} == {name}
        await trio.sleep(30)
        assert w.board.running("run-000003") and name in w.cloud.machines
        assert leader.machines[name].token.incarnation <= 2, (
            "late copies must not cause ever new incarnations"
        )


async def test_a_deaf_machine_gets_nothing_new_and_is_replaced_on_proof():
    async with world() as w:
        assert await w.submit(0, job(4, yard="east", **SERVICE), None) == 201
        # Other machines of the zone receive responses, so the controller itself is reachable.
        assert await w.submit(0, job(9, legs=3, yard="east", crew="blue", **SERVICE), None) == 201
        assert await w.until(
            lambda: w.board.running("run-000004") and len(w.board.running("run-000009")) == 3, 60
        )
        name = machine_of(w, "run-000004/0")
        w.network.inbound_blocked.add(name)
        began = trio.current_time()
        await trio.sleep(8)
        assert await w.submit(1, job(5, legs=2, yard="east", **SERVICE), None) == 201
        # Its task runs on until the worker's lease expires; only then, or after the machine's
        # deletion, is it started elsewhere.
        assert await w.until(lambda: len(w.board.running("run-000005")) == 2, 60)
        assert name not in {
            home for _, task, home in w.board.starts if task.startswith("run-000005")
        }
        assert await w.until(
            lambda: w.board.running("run-000004") and machine_of(w, "run-000004/0") != name, 60
        )
        moved = next(
            at for at, task, home in w.board.starts if task == "run-000004/0" and home != name
        )
        assert moved - began < 40
        assert await w.until(lambda: name not in w.cloud.machines, 30)


async def test_a_cancelled_job_on_a_deaf_machine_is_gone_in_time_without_a_deletion_too():
    async with world() as w:
        assert await w.submit(0, job(6, yard="east", **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000006"), 60)
        w.network.inbound_blocked.add(machine_of(w, "run-000006/0"))
        w.cloud.refuse_deletion = True
        assert (await w.call(1, "POST", "/v1/jobs/run-000006/withdraw", {}))[0] == 200
        assert await w.until(lambda: not w.board.running("run-000006"), 38)


async def test_a_machine_that_hears_again_before_its_lease_ends_keeps_its_work():
    async with world() as w:
        assert await w.submit(0, job(7, yard="east", **SERVICE), None) == 201
        assert await w.until(lambda: w.board.running("run-000007"), 60)
        name = machine_of(w, "run-000007/0")
        w.network.inbound_blocked.add(name)
        await trio.sleep(8)
        w.network.inbound_blocked.discard(name)
        await trio.sleep(40)
        assert name in w.cloud.machines and len(w.board.starts) == 1


async def inject_fault(w, rng, copies):
    """Inject one fault.

    A machine restarts, a copy of a heartbeat arrives late at some controller, a controller restarts
    during an election, or the state store is briefly unavailable.
    """
    await trio.sleep(rng.uniform(0.2, 1.5))
    up = [m for m in w.cloud.machines.values() if m.worker is not None and m.status == "running"]
    choice = rng.random()
    if up and choice < 0.5:
        copies.append(rng.choice(up).worker.heartbeat())
    elif up and choice < 0.55:
        w.cloud.reboot(rng.choice(up).id)
    elif choice < 0.62:
        at = rng.randrange(3)
        w.crash(at)
        await trio.sleep(rng.choice((0.05, 0.4, 4.0)))
        w.start(at)
    elif choice < 0.66:
        w.state.down = True
        await trio.sleep(rng.uniform(0.2, 6))
        w.state.end_outage()
    elif copies:
        await w.call(rng.randrange(3), "POST", "/hello", rng.choice(copies))


async def test_reboots_late_copies_and_restarts_together_start_nothing_twice():
    """Many combined faults, seeded; see `inject_fault`."""
    for seed in range(3):
        rng = random.Random(seed)
        async with world(operator=OperatorSettings(reoffer_every=timedelta(seconds=2))) as w:
            for n in range(10, 16):
                tasks = rng.randint(1, 3)
                assert (
                    await w.submit(n % 3, job(n, legs=tasks, dueS=60.0, crew="blue"), 15.0) == 201
                )
            assert await w.submit(0, job(20, legs=2, **SERVICE), None) == 201
            copies = []
            for _ in range(60):
                await inject_fault(w, rng, copies)
            assert await w.until_ready()
            for n in range(10, 16):

                async def over(n=n):
                    return await w.status(n % 3, f"run-{n:06d}") == "done"

                assert await w.until(over, 150, 1.0), (seed, n)
            assert await w.until(lambda: len(w.board.running("run-000020")) == 2, 60)
            partitions = w.state.values_with_prefix("r/term/")
            assert (
                len({keys.term_key(z) for z in ("east", "north", "west")} & partitions.keys()) == 3
            )
