"""Fleets of thousands of machines: no machine is lost track of, and no work accumulates."""

import os
from datetime import timedelta

import trio

from roadbend.cloud.messages import ListedMachine
from roadbend.fakes.submission import job
from roadbend.fakes.world import world
from roadbend.fleet import cloud_inventory
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.settings import Team


def listed(numbers) -> list[ListedMachine]:
    return [
        ListedMachine(f"m-{n:06d}", f"m-{n}:1", "g2", "east", False, "running", timedelta())
        for n in numbers
    ]


def test_a_machine_that_left_a_list_of_thousands_is_known_to_be_gone(monkeypatch):
    """Guards against a list of more than 4,096 machines that forgets which ones it has listed."""
    machines = CloudInventory()
    machines.update(listed(range(6000)))
    machines.update(listed(range(100, 6000)))
    assert machines.has_left("m-000099") and not machines.has_left("m-000100")
    assert not machines.has_left("m-009999")
    # The memory is still bounded; machines that were listed first are forgotten first.
    monkeypatch.setattr(cloud_inventory, "MAX_REMEMBERED", 150)
    machines.update(listed(range(200, 6000)))
    assert machines.has_left("m-000199") and not machines.has_left("m-000049")
    assert len(machines._was_listed) == 5800 + 150


async def test_kills_for_a_machine_that_hangs_do_not_pile_up_or_hold_up_others():
    """Guards against more than one direct stop at a time waiting for a machine that hangs.

    Another one was once added every three seconds; a few dozen of them used up the connections and
    blocked the stops for all other machines.
    """
    async with world(count=1, teams={"red": Team("red", 0, 0, 4, 40)}, capacity=20) as w:
        assert await w.submit(0, job(1, legs=8, yard="east", shape="daemon", dueS=None)) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) == 8, 60)
        commands, underway = w.controllers["node-0"].fleet.commands, []

        async def hang(leader, machine, orders):
            underway.append(machine)
            await trio.sleep(60)

        commands.command = hang
        for worker in w.workers():
            w.nursery.start_soon(worker.hang, 8)
        assert (await w.call(0, "POST", "/v1/jobs/run-000001/withdraw"))[0] == 200
        await trio.sleep(8)
        assert underway and len(underway) == len(set(underway))
        # The responses to the machines' heartbeats stop the tasks nevertheless.
        assert await w.until(lambda: not w.board.running("run-000001"), 25)


# Number of machines in the test of the whole fleet; 4,000 take some minutes (docs/settings.md).
MACHINES = int(os.environ.get("ROADBEND_MACHINES", "450"))


async def test_a_fleet_starts_loses_a_controller_and_its_machines_are_returned():
    """Jobs of all classes run on all machines, and in the end the idle machines are deleted.

    Meanwhile a controller crashes and jobs are cancelled; the checker runs all the time.
    """
    tasks = MACHINES * 2
    async with world(
        capacity=MACHINES,
        teams={"red": Team("red", 0, 0, 0, 0)},
        heartbeat_interval=timedelta(seconds=20),
        lease=timedelta(seconds=144),
        cancel_within=timedelta(seconds=300),
        cloud_rps=30.0,
        state_rps=900.0,
        state_write_rps=300.0,
        # Two controllers together have fewer sockets than there are machines.
        sockets=628 + MACHINES // 4,
    ) as w:
        w.cloud.boot_seconds = 5.0
        services = [job(n, legs=tasks // 10, shape="daemon", dueS=None) for n in range(1, 9)]
        array = job(10, legs=tasks // 10, expectedS=60.0, dueS=None)
        gang = job(11, legs=24, shape="group", expectedS=60.0, dueS=None)
        for n, body in enumerate([*services, gang, array]):
            length = 60.0 if body in (array, gang) else None
            assert await w.submit(n % 3, body, length) == 201
        names = [body["id"] for body in services]
        assert await w.until(
            lambda: all(len(w.board.running(name)) == tasks // 10 for name in names), 240, 2.0
        )
        w.crash(0)
        for name in names[:3]:
            assert (await w.call(1, "POST", f"/v1/jobs/{name}/withdraw"))[0] == 200
        w.start(0)
        assert await w.until(lambda: not any(w.board.running(n) for n in names[:3]), 300, 2.0)
        # No other job was affected by the crash.
        assert all(len(w.board.running(name)) == tasks // 10 for name in names[3:])
        assert await w.until(lambda: w.status(1, array["id"]), 60)
        for name in names[3:]:
            assert (await w.call(2, "POST", f"/v1/jobs/{name}/withdraw"))[0] == 200
        await w.finish()
        assert await w.until(lambda: len(w.cloud.machines) <= 80, 400, 5.0)
