"""Gangs with anti-affinity: several partitions start slices of a gang under one attempt number.

The checker verifies the protocol rules, including the maximum share of each zone.
"""

import random
from datetime import timedelta

import pytest
import trio

from roadbend.fakes.gangs import NAME, SMALL, TEAMS, attempts, running, start_gang
from roadbend.fakes.random_failures import FAILURES
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.settings import OperatorSettings
from roadbend.store import keys

ANTI_AFFINITY = dict(together=False, apart=True)


def task_count_by_zone(w: World, name: str) -> dict[str, int]:
    count_by_zone: dict[str, int] = {}
    for task in w.board.running(name):
        for machine in w.board.machines_by_task[task]:
            zone = w.cloud.machines[machine].zone
            count_by_zone[zone] = count_by_zone.get(zone, 0) + 1
    return count_by_zone


@pytest.mark.parametrize("tasks", [2, 5, 16])
async def test_it_starts_whole_over_zones_under_one_number(tasks):
    async with world(teams=TEAMS) as w:
        await start_gang(w, gang(1, tasks, **ANTI_AFFINITY), 12.0, within=150)
        assert max(task_count_by_zone(w, NAME).values()) <= (tasks + 1) // 2
        assert await w.until(lambda: not w.board.running(NAME), 60)
        await w.finish()
        assert await w.until(lambda: w.state.values_with_prefix("r/slice/") == {}, 30)


async def test_it_begins_at_once_where_there_is_room_in_two_zones():
    async with world(teams=TEAMS) as w:
        for n, zone in ((50, "east"), (51, "north"), (52, "west")):
            service = job(n, shape="daemon", legs=1, yard=zone, dueS=None, loaners=False, vcpus=8.0)
            assert await w.submit(0, service, None) == 201
        assert await w.until(lambda: len(w.workers()) >= 3, 60)
        await trio.sleep(8)
        began = trio.current_time()
        await start_gang(w, gang(1, 6, **ANTI_AFFINITY), 5.0)
        assert trio.current_time() - began < 5.0
        assert len(attempts(w, NAME)) == 1
        await w.finish()


async def test_a_wide_one_starts_whole():
    async with world(teams=TEAMS, **SMALL) as w:
        await start_gang(
            w, gang(1, 240, vcpus=0.5, memoryGb=0.5, **ANTI_AFFINITY), 10.0, within=200
        )
        await w.finish()


async def test_what_one_share_loses_ends_the_attempt_and_all_begin_again():
    async with world(teams=TEAMS) as w:
        machines = await start_gang(w, gang(1, 16, **ANTI_AFFINITY), 60.0, within=150)
        attempt_count = len(attempts(w, NAME))
        await trio.sleep(25)
        w.cloud.kill(machines[0])
        assert await w.until(lambda: len(attempts(w, NAME)) > attempt_count, 120)
        assert await w.until(lambda: len(running(w, NAME)) == 16, 150)
        assert w.board.progress[NAME] >= 20.0
        await w.finish()


async def test_a_share_that_finds_no_room_is_bid_for_again():
    """Guards against a gang that waits indefinitely in a zone without machines.

    Two of the three zones have no machines at first.
    """
    async with world(teams=TEAMS) as w:
        w.cloud.unavailable_zones = {"north", "west"}
        assert await w.submit(0, gang(1, 4, **ANTI_AFFINITY), 5.0) == 201
        await trio.sleep(100)
        w.cloud.unavailable_zones = {"west"}
        await w.finish()


# The order in which trio ran tasks with seed 7 up to 0.8.0. With the order drawn from the test's
# current name, seed 7 hits the fault of question 17 in docs/questions.md (KNOWN-RED.txt); this case
# checks that the former order still passes.
TASK_ORDER_OF_0_8_0 = pytest.mark.task_order_of(
    "roadbend/test_apart_gangs.py::test_pairs_of_troubles_break_no_rule[7]"
)


@pytest.mark.parametrize(
    "seed", [*range(8), pytest.param(7, marks=TASK_ORDER_OF_0_8_0, id="7-order_of_0_8_0")]
)
async def test_pairs_of_troubles_break_no_rule(seed):
    """Run several gangs, each of which needs most of the capacity; leaders change in between."""
    rng = random.Random(seed)
    size_limits = SMALL if seed % 2 else {}
    operator = OperatorSettings(reoffer_every=timedelta(seconds=2))
    async with world(capacity=3, teams=TEAMS, operator=operator, **size_limits) as w:
        await start_gang(w, gang(1, 6, **ANTI_AFFINITY), 30.0, within=200)
        submitted_all = trio.Event()

        async def submit_gangs() -> None:
            for n in range(2, 9):
                anti_affinity = ANTI_AFFINITY if n % 2 else {}
                body = gang(n, rng.choice((2, 3, 8, 12)), loaners=n % 3 == 0, **anti_affinity)
                for at in rng.sample(range(3), 3):
                    if await w.submit(at, body, rng.uniform(3, 15)) in (200, 201):
                        break
                if rng.random() < 0.3:
                    await trio.sleep(rng.uniform(0, 4))
                    w.nursery.start_soon(w.cancel_job, body["id"], 200)
                await trio.sleep(rng.uniform(0.5, 4))
            submitted_all.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(submit_gangs)
            for fault in rng.sample(FAILURES, 2):
                nursery.start_soon(fault, w, rng)
                await trio.sleep(rng.uniform(0, 6))
            await submitted_all.wait()
        assert await w.until_ready()
        await w.finish(400)
        assert keys.job_end_key(NAME) in w.state.values_with_prefix("fin/")
