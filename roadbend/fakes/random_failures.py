"""Faults that are drawn at random, for scenarios that combine two of them.

Each function takes a deployment and a random generator, lasts for some seconds, and leaves the
deployment able to continue.
"""

import random
from collections.abc import Awaitable, Callable

import trio

from roadbend.fakes.world import World

Failure = Callable[[World, random.Random], Awaitable[None]]


async def crash_all_controllers(w: World, rng: random.Random) -> None:
    """Crash all controllers, and start them again later."""
    for at in range(3):
        w.crash(at)
    await trio.sleep(rng.uniform(0.3, 8))
    for at in range(3):
        w.start(at)


async def crash_one_controller(w: World, rng: random.Random) -> None:
    """Crash one controller, and start it again later."""
    at = rng.randrange(3)
    w.crash(at)
    await trio.sleep(rng.uniform(0.2, 14))
    w.start(at)


async def state_store_outage(w: World, rng: random.Random) -> None:
    """Take the state store down."""
    await w.outage(rng.uniform(4, 50))


async def late_writes(w: World, rng: random.Random) -> None:
    """Let the state store commit some transactions late and never answer them."""
    w.state.late_writes(0.3, rng)
    await trio.sleep(20)
    w.state.late_writes(0.0, None)


async def machines_die(w: World, rng: random.Random) -> None:
    """End a third of the machines."""
    for worker in rng.sample(w.workers(), max(1, len(w.workers()) // 3)):
        w.cloud.kill(worker.machine)


async def machines_hang(w: World, rng: random.Random) -> None:
    """Hang half of the machines."""
    await w.hang(
        [x.machine for x in rng.sample(w.workers(), max(1, len(w.workers()) // 2))],
        rng.uniform(4, 25),
    )


async def machines_are_deaf(w: World, rng: random.Random) -> None:
    """Block all inbound traffic of a third of the machines."""
    await w.block_inbound(
        [x.machine for x in rng.sample(w.workers(), max(1, len(w.workers()) // 3))],
        rng.uniform(4, 25),
    )


async def hold_direct_commands(w: World, rng: random.Random) -> None:
    """Hold direct commands back until long after their senders have given up."""
    directions = [(f"node-{at}", x.machine) for at in range(3) for x in w.workers()]
    await w.hold(rng.sample(directions, len(directions) // 2), rng.uniform(3, 25))


async def copies_of_heartbeats(w: World, rng: random.Random) -> None:
    """Deliver copies of heartbeats after newer heartbeats."""
    await w.replay_heartbeats(0.4, 20, rng)


async def reclaim_notices(w: World, rng: random.Random) -> None:
    """Send reclaim notices for a third of the machines."""
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
