"""Runs of the search for broken rules: a small deployment, jobs, and faults, drawn from a seed."""

import random
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

import trio
import trio.testing

from roadbend import clock
from roadbend.checkers.search_faults import FAULTS, ONLY_ON_REQUEST, Deployment
from roadbend.controller import Controller
from roadbend.fakes.scenario import OBJECTIVES, OPERATOR, SERVICE, SITES, TEAMS
from roadbend.fakes.submission import gang, job
from roadbend.fakes.world import World, world
from roadbend.recovery.service import install
from roadbend.recovery.settings import RecoverySettings

# When the first and the last fault may begin, and how long a run goes on after that, in seconds.
FIRST_FAULT, LAST_FAULT, QUIET = 25.0, 75.0, 30.0
# Faults come in clusters, so that they meet: how far around its middle, in seconds.
CLUSTER = 12.0
# How many clusters and faults a run has, and how many machines of a kind a zone has room for.
MOST_CLUSTERS, FEWEST_FAULTS, MOST_FAULTS, CAPACITY = 2, 3, 12, 8
# Of a run with faults of given kinds: how many are of the seed's own, and how many are of those.
OWN_FAULTS, GIVEN_FAULTS = 2, 3
# Jobs at the beginning, one right after the other, and the longest pause before each later one.
FIRST_JOBS, LONGEST_PAUSE = 12, 6.0
IMAGES = ("img-1", "img-2")
# Of all jobs: the share of gangs, of gangs and services, and of arrays that may use spot machines.
GANGS, GANGS_AND_SERVICES, ON_SPOT_MACHINES = 0.3, 0.45, 0.5


@dataclass(frozen=True)
class Fault:
    """A fault, when it begins, how long it lasts, and the seed of what else is drawn for it."""

    at: float
    kind: str
    length: float
    seed: int

    def __str__(self) -> str:
        return f"{self.at:.2f} s {self.kind} for {self.length:.2f} s (seed {self.seed})"


@dataclass(frozen=True)
class Run:
    """One run: everything in it follows from these."""

    seed: int
    site: str
    faults: tuple[Fault, ...]
    # Whether the controllers have recovery switched on.
    recovery: bool = False


def draw_with(seed: int, kinds: tuple[str, ...]) -> Run:
    """Return the run of a seed with a few of its own faults, and some of the given kinds."""
    run, rng = draw(seed), random.Random(f"kinds {seed}")
    faults = list(run.faults[:OWN_FAULTS])
    for _ in range(GIVEN_FAULTS):
        kind = rng.choice(kinds)
        length = rng.uniform(*FAULTS[kind].length)
        at = rng.uniform(FIRST_FAULT, LAST_FAULT - CLUSTER)
        faults.append(Fault(at, kind, length, rng.randrange(1 << 30)))
    return Run(seed, run.site, tuple(sorted(faults, key=lambda fault: fault.at)))


def draw(seed: int) -> Run:
    """Return the run of a seed."""
    rng = random.Random(f"run {seed}")
    site = rng.choice(sorted(SITES))
    clusters = [
        rng.uniform(FIRST_FAULT + CLUSTER, LAST_FAULT - CLUSTER)
        for _ in range(rng.randint(1, MOST_CLUSTERS))
    ]
    faults = []
    for _ in range(rng.randint(FEWEST_FAULTS, MOST_FAULTS)):
        kind = rng.choice(sorted(FAULTS.keys() - ONLY_ON_REQUEST))
        shortest, longest = FAULTS[kind].length
        length = shortest * (longest / shortest) ** rng.random()
        at = rng.choice(clusters) + rng.uniform(-CLUSTER, CLUSTER)
        faults.append(Fault(at, kind, length, rng.randrange(1 << 30)))
    return Run(seed, site, tuple(sorted(faults, key=lambda fault: fault.at)))


def submission(number: int, rng: random.Random, zones: tuple[str, ...]) -> dict[str, Any]:
    """Draw a job of any kind, of one to six tasks."""
    image, zone = rng.choice(IMAGES), rng.choice((None, *zones))
    crew, rank = rng.choice(("red", "blue")), rng.choice(("high", "normal", "best_effort"))
    common = {"bundle": image, "crew": crew, "yard": zone, "rank": rank}
    draw_kind = rng.random()
    if draw_kind < GANGS:
        return gang(number, rng.randint(2, 5), **common)
    if draw_kind < GANGS_AND_SERVICES:
        return job(number, legs=rng.randint(1, 3), **{**common, **SERVICE})
    spot = rng.random() < ON_SPOT_MACHINES
    return job(number, legs=rng.randint(1, 6), dueS=60.0, loaners=spot, **common)


async def work(w: World, rng: random.Random) -> None:
    """Submit jobs for as long as the run lasts: a dozen at once, then one every few seconds."""
    for number in range(1, 1000):
        body = submission(number, rng, w.zones)
        length = None if body["shape"] == "daemon" else rng.uniform(2, 60)
        w.nursery.start_soon(submit, w, body, length, rng.randrange(w.count))
        pause = 1.0 if number < FIRST_JOBS else LONGEST_PAUSE
        await trio.sleep(rng.uniform(0.1, pause))


async def submit(w: World, body: dict[str, Any], length: float | None, at: int) -> None:
    """Submit a job, again elsewhere until it is accepted, as users do."""
    for turn in range(20):
        if await w.submit((at + turn) % w.count, body, length) in (200, 201):
            return
        await trio.sleep(2)


def _switch_recovery_on(node: Controller) -> None:
    install(node, RecoverySettings())


async def play_run(run: Run) -> list[str]:
    """Play a run and return the rules that it breaks."""
    changes: dict[str, Any] = {"teams": TEAMS, "objectives": OBJECTIVES, **SITES[run.site]}
    rng = random.Random(f"work {run.seed}")
    broken: list[str] = []
    changes["caches_images"] = True
    changes["equip"] = _switch_recovery_on if run.recovery else None
    async with world(
        capacity=CAPACITY, operator=OPERATOR, on_broken_rules=broken.extend, **changes
    ) as w:
        deployment = Deployment(w)
        w.nursery.start_soon(work, w, rng)
        began = trio.current_time()
        for fault in run.faults:
            await trio.sleep_until(began + fault.at)
            begin = FAULTS[fault.kind].begin
            w.nursery.start_soon(begin, deployment, fault.length, random.Random(fault.seed))
        last = max((fault.at + fault.length for fault in run.faults), default=FIRST_FAULT)
        await trio.sleep_until(began + last + QUIET)
    return broken


def play_alone(run: Run) -> list[str]:
    """Play a run on a clock of its own, in an order that its seed draws."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(f"order {run.seed}")
    return trio.run(play_run, run, clock=trio.testing.MockClock(autojump_threshold=0))


def use_simulated_time_of_day() -> None:
    """Let the time of day go with the simulated clock."""
    base = datetime(2026, 1, 1, tzinfo=UTC)

    def wall() -> datetime:
        return base + timedelta(seconds=trio.current_time())

    clock.wall = wall
