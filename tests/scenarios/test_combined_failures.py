"""Faults in a large fleet, single and in pairs, in any order and with any delay between them."""

import random
from datetime import timedelta

import pytest
import trio

from roadbend.fakes.platform import ZONES
from roadbend.fakes.submission import job
from roadbend.fakes.world import World, world
from roadbend.settings import OperatorSettings, Team
from roadbend.store import keys

TEAMS = {"red": Team("red", 0, 0, 60, 400), "blue": Team("blue", 0, 0, 60, 400)}
SERVICE = dict(shape="daemon", dueS=None, loaners=False)


def set_hung(w: World, machines, hung: bool) -> None:
    """Disconnect machines from all controllers, so that they seem to hang, or reconnect them."""
    for machine in machines:
        for host in ("node-0", "node-1", "node-2"):
            (w.network.block if hung else w.network.unblock)(host, machine)


async def cancel(w: World, name: str) -> None:
    """Cancel a job, and repeat the request until a controller confirms it."""

    async def is_confirmed():
        answers = [await w.call(at, "POST", f"/v1/jobs/{name}/withdraw", {}) for at in range(3)]
        return 200 in [status for status, _ in answers]

    assert await w.until(is_confirmed, 30, 1.0)


async def is_done(w: World, name: str, within: float = 200) -> bool:
    async def is_reported_done():
        return "done" in [
            await w.status(at, name) for at in range(3) if f"node-{at}" in w.controllers
        ]

    return await w.until(is_reported_done, within, 1.0)


@pytest.mark.parametrize("length", [11, 45])
async def test_dozens_of_machines_hang_and_go_on_later(length):
    """Half of the machines hang, for less than their lease and for much longer.

    Their tasks are started elsewhere only once there is evidence of termination, a job cancelled
    meanwhile is stopped in time, and none of the machines is lost permanently.
    """
    async with world(capacity=30, teams=TEAMS) as w:
        assert await w.submit(0, job(1, legs=24, apart=True, **SERVICE), None) == 201
        assert await w.submit(2, job(3, legs=24, **{**SERVICE, "rank": "high"}), None) == 201
        assert await w.until(
            lambda: sum(len(w.board.running(f"run-{n:06d}")) for n in (1, 3)) == 48, 90
        )
        assert await w.submit(1, job(2, legs=12, dueS=30.0, loaners=False), 40.0) == 201
        assert await w.until(lambda: len(w.board.running("run-000002")) == 12, 60)
        machines = sorted(w.cloud.machines)
        hung = machines[::2]
        assert len(hung) >= 12
        set_hung(w, hung, True)
        await trio.sleep(2)
        await cancel(w, "run-000003")
        async with trio.open_nursery() as nursery:

            async def check_cancelled_job_stops():
                assert await w.until(lambda: not w.board.running("run-000003"), 38)

            nursery.start_soon(check_cancelled_job_stops)
            await trio.sleep(length)
            set_hung(w, hung, False)
        assert await w.until(lambda: len(w.board.running("run-000001")) == 24, 90)
        assert await is_done(w, "run-000002")
        await trio.sleep(30)
        machines_in_use = {
            m for task_machines in w.board.machines_by_task.values() for m in task_machines
        }
        assert (
            machines_in_use == set(w.cloud.machines)
            or len(set(w.cloud.machines) - machines_in_use) <= 3
        )


async def test_all_controllers_end_twice_around_an_outage_and_are_then_restarted_one_by_one():
    """Arrays are submitted meanwhile; no job is lost or forgotten, and no task starts twice."""
    async with world(capacity=20, teams=TEAMS) as w:
        accepted: list[str] = []
        stop_submitting = trio.Event()

        async def submit_arrays():
            n = 100
            while not stop_submitting.is_set():
                if await w.submit(n % 3, job(n, legs=1 + n % 5, dueS=60.0), 8.0) in (200, 201):
                    accepted.append(f"run-{n:06d}")
                n += 1
                await trio.sleep(1.0)

        def crash_all_controllers():
            for at in range(3):
                w.crash(at)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_arrays)
            assert await w.submit(0, job(1, legs=9, apart=True, **SERVICE), None) == 201
            assert await w.until(lambda: len(w.board.running("run-000001")) == 9, 60)
            crash_all_controllers()
            await trio.sleep(5)
            for at in range(3):
                w.start(at)
            await trio.sleep(4)
            w.state.down = True
            await trio.sleep(10)
            crash_all_controllers()
            await trio.sleep(0.3)
            for at in range(3):
                w.start(at)
            await trio.sleep(4)
            w.state.end_outage()
            await trio.sleep(15)
            for at in range(3):
                w.crash(at)
                await trio.sleep(5)
                w.start(at)
                await trio.sleep(12)
            stop_submitting.set()
        assert await w.until_ready()
        assert len(accepted) > 20
        for name in accepted:
            assert await is_done(w, name), name
        assert await w.until(lambda: len(w.board.running("run-000001")) == 9, 60)


class Faults:
    """Faults to draw from; each one lasts for a while and ends by itself."""

    def __init__(self, w: World, rng: random.Random):
        self.w, self.rng = w, rng

    async def _wait(self, low: float, high: float) -> None:
        await trio.sleep(self.rng.uniform(low, high))

    async def crash_controller(self) -> None:
        at = self.rng.randrange(3)
        if f"node-{at}" in self.w.controllers:
            self.w.crash(at)
            await self._wait(0.05, 8)
            self.w.start(at)

    async def crash_all_controllers(self) -> None:
        ended = [at for at in range(3) if f"node-{at}" in self.w.controllers]
        for at in ended:
            self.w.crash(at)
        for at in ended:
            await self._wait(0.05, 2)
            self.w.start(at)

    async def state_store_outage(self) -> None:
        self.w.state.down = True
        await self._wait(3, 20)
        self.w.state.end_outage()

    async def state_store_refuses_controller(self) -> None:
        host = f"node-{self.rng.randrange(3)}"
        self.w.state.refused.add(host)
        await self._wait(5, 30)
        self.w.state.refused.discard(host)

    async def block_peer_links(self) -> None:
        pairs = [("node-0", "node-1"), ("node-0", "node-2"), ("node-1", "node-2")]
        for pair in pairs:
            self.w.network.block(*pair)
        await self._wait(5, 30)
        for pair in pairs:
            self.w.network.unblock(*pair)

    async def isolate_zone(self) -> None:
        at = self.rng.randrange(3)
        zone_machines = [m.id for m in self.w.cloud.machines.values() if m.zone == ZONES[at]]
        others = [f"node-{n}" for n in range(3) if n != at]
        pairs = [(f"node-{at}", o) for o in ("state", "cloud", *others)] + [
            (m, o) for m in zone_machines for o in others
        ]
        for pair in pairs:
            self.w.network.block(*pair)
        await self._wait(10, 40)
        for pair in pairs:
            self.w.network.unblock(*pair)

    async def hang_machines(self) -> None:
        machines = self.rng.sample(sorted(self.w.cloud.machines), len(self.w.cloud.machines) // 2)
        set_hung(self.w, machines, True)
        await self._wait(5, 40)
        set_hung(self.w, machines, False)

    async def restart_machines(self) -> None:
        up = [
            m
            for m in self.w.cloud.machines.values()
            if m.worker is not None and m.status == "running"
        ]
        heartbeats = [m.worker.heartbeat() for m in up]
        for machine in self.rng.sample(up, len(up) // 3):
            self.w.cloud.reboot(machine.id)
        await self._wait(0.1, 25)
        for body in heartbeats:
            await self.w.call(self.rng.randrange(3), "POST", "/hello", body)

    async def pause_all_processes(self) -> None:
        trio.lowlevel.current_clock().jump(self.rng.uniform(2, 25))

    async def kill_machines(self) -> None:
        up = [m for m in self.w.cloud.machines.values() if m.status == "running"]
        for machine in self.rng.sample(up, len(up) // 3):
            self.w.cloud.kill(machine.id)


FAULT_NAMES = [name for name in vars(Faults) if not name.startswith("_")]


@pytest.mark.parametrize("seed", range(6))
async def test_pairs_of_troubles_in_any_order_and_delay_break_no_rule(seed):
    rng = random.Random(seed)
    operator = OperatorSettings(reoffer_every=timedelta(seconds=2))
    async with world(capacity=10, operator=operator, teams=TEAMS) as w:
        assert await w.submit(0, job(1, legs=6, apart=True, **SERVICE), None) == 201
        jobs = []
        for n in range(10, 16):
            assert (
                await w.submit(n % 3, job(n, legs=rng.randint(1, 6), dueS=60.0, crew="blue"), 12.0)
                == 201
            )
            jobs.append(f"run-{n:06d}")
        assert await w.submit(1, job(20, legs=4, **SERVICE), None) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) == 6, 60)
        faults = Faults(w, rng)
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                for fault_name in rng.sample(FAULT_NAMES, 2):
                    nursery.start_soon(getattr(faults, fault_name))
                    await trio.sleep(rng.uniform(0, 12))
        assert await w.until_ready()
        await cancel(w, "run-000020")
        assert await w.until(lambda: not w.board.running("run-000020"), 38)
        for name in jobs:
            assert await is_done(w, name), name
        assert await w.until(lambda: len(w.board.running("run-000001")) == 6, 90)
        # A repeated submission of a known job gets the job's current state.
        assert (await w.call(0, "POST", "/v1/jobs", job(20, legs=4, **SERVICE)))[1][
            "status"
        ] == "aborted"
        assert keys.job_end_key("run-000020") in w.state.values_with_prefix("fin/")
