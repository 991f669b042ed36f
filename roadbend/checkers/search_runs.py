"""Runs of the search for broken rules: a small deployment with jobs and faults from a seed."""

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

# When the first and the last fault may begin, and how long a run continues after the last fault has
# ended, in seconds.
FIRST_FAULT_S, LAST_FAULT_S, QUIET_S = 25.0, 75.0, 30.0
# Faults are drawn in clusters, so that they overlap: the largest distance from a cluster's centre,
# in seconds.
CLUSTER_RADIUS_S = 12.0
# The bounds for the clusters and faults of a run, and how many machines of each kind a zone has at
# most.
MAX_CLUSTERS, MIN_FAULTS, MAX_FAULTS, CAPACITY = 2, 3, 12, 8
# In a run with requested kinds of faults: how many faults are the seed's own, and how many are of
# these kinds.
OWN_FAULT_COUNT, REQUESTED_FAULT_COUNT = 2, 3
# The number of jobs submitted at the beginning, at most a second apart, and the longest pause
# before each later job, in seconds.
INITIAL_JOBS, MAX_PAUSE_S = 12, 6.0
IMAGES = ("img-1", "img-2")
# Shares of gangs, and of gangs and services together, among all jobs; and the share of arrays that
# may use spot machines.
GANG_SHARE, GANG_AND_SERVICE_SHARE, SPOT_SHARE = 0.3, 0.45, 0.5


@dataclass(frozen=True)
class Fault:
    """A fault: when it begins, how long it lasts, and the seed for its other random draws."""

    at: float
    kind: str
    length: float
    seed: int

    def __str__(self) -> str:
        return f"{self.at:.2f} s {self.kind} for {self.length:.2f} s (seed {self.seed})"


@dataclass(frozen=True)
class Run:
    """One run, which these values determine completely."""

    seed: int
    site: str
    faults: tuple[Fault, ...]
    # Whether recovery is enabled on the controllers.
    recovery: bool = False


def draw_with(seed: int, kinds: tuple[str, ...]) -> Run:
    """Return the run of a seed with some of its own faults and some of the requested kinds."""
    run, rng = draw(seed), random.Random(f"kinds {seed}")
    faults = list(run.faults[:OWN_FAULT_COUNT])
    for _ in range(REQUESTED_FAULT_COUNT):
        kind = rng.choice(kinds)
        length = rng.uniform(*FAULTS[kind].length)
        at = rng.uniform(FIRST_FAULT_S, LAST_FAULT_S - CLUSTER_RADIUS_S)
        faults.append(Fault(at, kind, length, rng.randrange(1 << 30)))
    return Run(seed, run.site, tuple(sorted(faults, key=lambda fault: fault.at)))


def draw(seed: int) -> Run:
    """Return the run of a seed."""
    rng = random.Random(f"run {seed}")
    site = rng.choice(sorted(SITES))
    clusters = [
        rng.uniform(FIRST_FAULT_S + CLUSTER_RADIUS_S, LAST_FAULT_S - CLUSTER_RADIUS_S)
        for _ in range(rng.randint(1, MAX_CLUSTERS))
    ]
    faults = []
    for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
        kind = rng.choice(sorted(FAULTS.keys() - ONLY_ON_REQUEST))
        shortest, longest = FAULTS[kind].length
        length = shortest * (longest / shortest) ** rng.random()
        at = rng.choice(clusters) + rng.uniform(-CLUSTER_RADIUS_S, CLUSTER_RADIUS_S)
        faults.append(Fault(at, kind, length, rng.randrange(1 << 30)))
    return Run(seed, site, tuple(sorted(faults, key=lambda fault: fault.at)))


def submission(number: int, rng: random.Random, zones: tuple[str, ...]) -> dict[str, Any]:
    """Draw a job of any class with one to six tasks."""
    image, zone = rng.choice(IMAGES), rng.choice((None, *zones))
    crew, rank = rng.choice(("red", "blue")), rng.choice(("high", "normal", "best_effort"))
    common = {"bundle": image, "crew": crew, "yard": zone, "rank": rank}
    drawn_class = rng.random()
    if drawn_class < GANG_SHARE:
        return gang(number, rng.randint(2, 5), **common)
    if drawn_class < GANG_AND_SERVICE_SHARE:
        return job(number, legs=rng.randint(1, 3), **{**common, **SERVICE})
    spot = rng.random() < SPOT_SHARE
    return job(number, legs=rng.randint(1, 6), dueS=60.0, loaners=spot, **common)


async def submit_jobs(w: World, rng: random.Random) -> None:
    """Submit jobs until the run ends: a dozen quickly, then one every few seconds."""
    for number in range(1, 1000):
        body = submission(number, rng, w.zones)
        length = None if body["shape"] == "daemon" else rng.uniform(2, 60)
        w.nursery.start_soon(submit, w, body, length, rng.randrange(w.count))
        pause = 1.0 if number < INITIAL_JOBS else MAX_PAUSE_S
        await trio.sleep(rng.uniform(0.1, pause))


async def submit(w: World, body: dict[str, Any], length: float | None, first_index: int) -> None:
    """Submit a job to one controller after the other until it is accepted, as users do."""
    for offset in range(20):
        if await w.submit((first_index + offset) % w.count, body, length) in (200, 201):
            return
        await trio.sleep(2)


def _enable_recovery(controller: Controller) -> None:
    install(controller, RecoverySettings())


async def play_run(run: Run) -> list[str]:
    """Execute a run and return the rules that it breaks."""
    world_settings: dict[str, Any] = {"teams": TEAMS, "objectives": OBJECTIVES, **SITES[run.site]}
    rng = random.Random(f"work {run.seed}")
    broken: list[str] = []
    world_settings["caches_images"] = True
    world_settings["equip"] = _enable_recovery if run.recovery else None
    async with world(
        capacity=CAPACITY, operator=OPERATOR, on_broken_rules=broken.extend, **world_settings
    ) as w:
        deployment = Deployment(w)
        w.nursery.start_soon(submit_jobs, w, rng)
        began = trio.current_time()
        for fault in run.faults:
            await trio.sleep_until(began + fault.at)
            begin = FAULTS[fault.kind].begin
            w.nursery.start_soon(begin, deployment, fault.length, random.Random(fault.seed))
        last_end = max((fault.at + fault.length for fault in run.faults), default=FIRST_FAULT_S)
        await trio.sleep_until(began + last_end + QUIET_S)
    return broken


def play_alone(run: Run) -> list[str]:
    """Execute a run on a mock clock, with a task order that its seed determines."""
    scheduler: Any = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(f"order {run.seed}")
    return trio.run(play_run, run, clock=trio.testing.MockClock(autojump_threshold=0))


def use_simulated_time_of_day() -> None:
    """Derive the time of day from the simulated clock."""
    base = datetime(2026, 1, 1, tzinfo=UTC)

    def wall() -> datetime:
        return base + timedelta(seconds=trio.current_time())

    clock.wall = wall
