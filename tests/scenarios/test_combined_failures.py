"""Troubles of a large fleet, alone and in pairs, in any order and with any delay between them."""

import random
from datetime import timedelta

import pytest
import trio

from roadbend.fakes.platform import ZONES
from roadbend.fakes.submission import job
from roadbend.fakes.world import World, world
from roadbend.settings import OperatorSettings, Team
from roadbend.store import keys

BIG = {"red": Team("red", 0, 0, 60, 400), "blue": Team("blue", 0, 0, 60, 400)}
SERVICE = dict(shape="daemon", dueS=None, loaners=False)


def hidden(w: World, machines, cut: bool) -> None:
    """Machines that hang, as the controllers see them: nothing comes from them, nothing gets to
    them."""
    for machine in machines:
        for host in ("node-0", "node-1", "node-2"):
            (w.network.block if cut else w.network.unblock)(host, machine)


async def withdrawn(w: World, name: str) -> None:
    """A user repeats it until it is answered."""

    async def told():
        answers = [await w.call(at, "POST", f"/v1/jobs/{name}/withdraw", {}) for at in range(3)]
        return 200 in [status for status, _ in answers]

    assert await w.until(told, 30, 1.0)


async def done(w: World, name: str, within: float = 200) -> bool:
    async def over():
        return "done" in [
            await w.status(at, name) for at in range(3) if f"node-{at}" in w.controllers
        ]

    return await w.until(over, within, 1.0)


@pytest.mark.parametrize("length", [11, 45])
async def test_dozens_of_machines_hang_and_go_on_later(length):
    """Within their lease, and well beyond it: what they held begins elsewhere only on proof, what
    is cancelled meanwhile is gone in time, and none of them is lost for good."""
    async with world(capacity=30, teams=BIG) as w:
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
        hidden(w, hung, True)
        await trio.sleep(2)
        await withdrawn(w, "run-000003")
        async with trio.open_nursery() as nursery:

            async def gone():
                assert await w.until(lambda: not w.board.running("run-000003"), 38)

            nursery.start_soon(gone)
            await trio.sleep(length)
            hidden(w, hung, False)
        assert await w.until(lambda: len(w.board.running("run-000001")) == 24, 90)
        assert await done(w, "run-000002")
        await trio.sleep(30)
        used = {m for homes in w.board.machines_by_task.values() for m in homes}
        assert used == set(w.cloud.machines) or len(set(w.cloud.machines) - used) <= 3


async def test_all_controllers_end_twice_around_an_outage_and_are_then_restarted_one_by_one():
    """A burst of arrays goes on meanwhile; nothing is lost, starts twice or is forgotten."""
    async with world(capacity=20, teams=BIG) as w:
        accepted: list[str] = []
        over = trio.Event()

        async def burst():
            n = 100
            while not over.is_set():
                if await w.submit(n % 3, job(n, legs=1 + n % 5, dueS=60.0), 8.0) in (200, 201):
                    accepted.append(f"run-{n:06d}")
                n += 1
                await trio.sleep(1.0)

        def end_all():
            for at in range(3):
                w.crash(at)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(burst)
            assert await w.submit(0, job(1, legs=9, apart=True, **SERVICE), None) == 201
            assert await w.until(lambda: len(w.board.running("run-000001")) == 9, 60)
            end_all()
            await trio.sleep(5)
            for at in range(3):
                w.start(at)
            await trio.sleep(4)
            w.state.down = True
            await trio.sleep(10)
            end_all()
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
            over.set()
        assert await w.until_ready()
        assert len(accepted) > 20
        for name in accepted:
            assert await done(w, name), name
        assert await w.until(lambda: len(w.board.running("run-000001")) == 9, 60)


class Troubles:
    """What may happen; each goes on for a while and ends by itself."""

    def __init__(self, w: World, rng: random.Random):
        self.w, self.rng = w, rng

    async def _for(self, low: float, high: float) -> None:
        await trio.sleep(self.rng.uniform(low, high))

    async def crash(self) -> None:
        at = self.rng.randrange(3)
        if f"node-{at}" in self.w.controllers:
            self.w.crash(at)
            await self._for(0.05, 8)
            self.w.start(at)

    async def crash_all(self) -> None:
        ended = [at for at in range(3) if f"node-{at}" in self.w.controllers]
        for at in ended:
            self.w.crash(at)
        for at in ended:
            await self._for(0.05, 2)
            self.w.start(at)

    async def outage(self) -> None:
        self.w.state.down = True
        await self._for(3, 20)
        self.w.state.end_outage()

    async def refused(self) -> None:
        host = f"node-{self.rng.randrange(3)}"
        self.w.state.refused.add(host)
        await self._for(5, 30)
        self.w.state.refused.discard(host)

    async def peers_refuse(self) -> None:
        pairs = [("node-0", "node-1"), ("node-0", "node-2"), ("node-1", "node-2")]
        for pair in pairs:
            self.w.network.block(*pair)
        await self._for(5, 30)
        for pair in pairs:
            self.w.network.unblock(*pair)

    async def zone_cut(self) -> None:
        at = self.rng.randrange(3)
        inside = [m.id for m in self.w.cloud.machines.values() if m.zone == ZONES[at]]
        others = [f"node-{n}" for n in range(3) if n != at]
        pairs = [(f"node-{at}", o) for o in ("state", "cloud", *others)] + [
            (m, o) for m in inside for o in others
        ]
        for pair in pairs:
            self.w.network.block(*pair)
        await self._for(10, 40)
        for pair in pairs:
            self.w.network.unblock(*pair)

    async def hang(self) -> None:
        machines = self.rng.sample(sorted(self.w.cloud.machines), len(self.w.cloud.machines) // 2)
        hidden(self.w, machines, True)
        await self._for(5, 40)
        hidden(self.w, machines, False)

    async def restart(self) -> None:
        up = [
            m
            for m in self.w.cloud.machines.values()
            if m.worker is not None and m.status == "running"
        ]
        copies = [m.worker.heartbeat() for m in up]
        for machine in self.rng.sample(up, len(up) // 3):
            self.w.cloud.reboot(machine.id)
        await self._for(0.1, 25)
        for body in copies:
            await self.w.call(self.rng.randrange(3), "POST", "/hello", body)

    async def stand_still(self) -> None:
        trio.lowlevel.current_clock().jump(self.rng.uniform(2, 25))

    async def dead(self) -> None:
        up = [m for m in self.w.cloud.machines.values() if m.status == "running"]
        for machine in self.rng.sample(up, len(up) // 3):
            self.w.cloud.kill(machine.id)


KINDS = [name for name in vars(Troubles) if not name.startswith("_")]


@pytest.mark.parametrize("seed", range(6))
async def test_pairs_of_troubles_in_any_order_and_delay_break_no_rule(seed):
    rng = random.Random(seed)
    operator = OperatorSettings(reoffer_every=timedelta(seconds=2))
    async with world(capacity=10, operator=operator, teams=BIG) as w:
        assert await w.submit(0, job(1, legs=6, apart=True, **SERVICE), None) == 201
        names = []
        for n in range(10, 16):
            assert (
                await w.submit(n % 3, job(n, legs=rng.randint(1, 6), dueS=60.0, crew="blue"), 12.0)
                == 201
            )
            names.append(f"run-{n:06d}")
        assert await w.submit(1, job(20, legs=4, **SERVICE), None) == 201
        assert await w.until(lambda: len(w.board.running("run-000001")) == 6, 60)
        troubles = Troubles(w, rng)
        for _ in range(2):
            async with trio.open_nursery() as nursery:
                for kind in rng.sample(KINDS, 2):
                    nursery.start_soon(getattr(troubles, kind))
                    await trio.sleep(rng.uniform(0, 12))
        assert await w.until_ready()
        await withdrawn(w, "run-000020")
        assert await w.until(lambda: not w.board.running("run-000020"), 38)
        for name in names:
            assert await done(w, name), name
        assert await w.until(lambda: len(w.board.running("run-000001")) == 6, 90)
        # A repeat of what was carried out gets the state that it has now.
        assert (await w.call(0, "POST", "/v1/jobs", job(20, legs=4, **SERVICE)))[1][
            "status"
        ] == "aborted"
        assert keys.job_end_key("run-000020") in w.state.values_with_prefix("fin/")
