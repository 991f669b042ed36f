"""Failures drawn at random, for scenarios in which two of them meet.

Each takes a deployment and a generator, lasts for some seconds, and leaves the deployment able to
go on.
"""

import random
from collections.abc import Awaitable, Callable

import trio

from roadbend.fakes.world import World

Failure = Callable[[World, random.Random], Awaitable[None]]


async def crash_all_controllers(w: World, rng: random.Random) -> None:
    """End all controllers and start them again."""
    for at in range(3):
        w.crash(at)
    await trio.sleep(rng.uniform(0.3, 8))
    for at in range(3):
        w.start(at)


async def crash_one_controller(w: World, rng: random.Random) -> None:
    """End one controller and start it again."""
    at = rng.randrange(3)
    w.crash(at)
    await trio.sleep(rng.uniform(0.2, 14))
    w.start(at)


async def state_store_outage(w: World, rng: random.Random) -> None:
    """Let the state store answer nobody."""
    await w.outage(rng.uniform(4, 50))


async def late_writes(w: World, rng: random.Random) -> None:
    """Let the state store carry out some transactions after their answer is lost."""
    w.state.late_writes(0.3, rng)
    await trio.sleep(20)
    w.state.late_writes(0.0, None)


async def machines_die(w: World, rng: random.Random) -> None:
    """End a third of the machines."""
    for worker in rng.sample(w.workers(), max(1, len(w.workers()) // 3)):
        w.cloud.kill(worker.machine)


async def machines_hang(w: World, rng: random.Random) -> None:
    """Let half of the machines stand still."""
    await w.hang(
        [x.machine for x in rng.sample(w.workers(), max(1, len(w.workers()) // 2))],
        rng.uniform(4, 25),
    )


async def machines_are_deaf(w: World, rng: random.Random) -> None:
    """Let nothing reach a third of the machines."""
    await w.block_inbound(
        [x.machine for x in rng.sample(w.workers(), max(1, len(w.workers()) // 3))],
        rng.uniform(4, 25),
    )


async def hold_direct_commands(w: World, rng: random.Random) -> None:
    """Let direct commands arrive long after they were given up."""
    ways = [(f"node-{at}", x.machine) for at in range(3) for x in w.workers()]
    await w.hold(rng.sample(ways, len(ways) // 2), rng.uniform(3, 25))


async def copies_of_heartbeats(w: World, rng: random.Random) -> None:
    """Let copies of heartbeats arrive after newer ones."""
    await w.replay_heartbeats(0.4, 20, rng)


async def reclaim_notices(w: World, rng: random.Random) -> None:
    """Announce to a third of the machines that the cloud takes them back."""
    for worker in rng.sample(w.workers(), max(1, len(w.workers()) // 3)):
        worker.reclaim_in_s = rng.uniform(6, 15)


FAILURES: list[Failure] = [
    crash_all_controllers,
    crash_one_controller,
    state_store_outage,
    late_writes,
    machines_die,
    machines_hang,
    machines_are_deaf,
    hold_direct_commands,
    copies_of_heartbeats,
    reclaim_notices,
]
