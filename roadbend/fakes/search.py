"""A search for broken rules: many short runs of a small deployment, each with faults drawn from its
seed, judged by `fakes.rules`. A run that breaks a rule is made as small as it gets.

    python -m roadbend.fakes.search --seeds 0-999 --processes 4

It prints one line for each run that breaks a rule, with the faults that are left of it."""

import argparse
import logging
import multiprocessing
import random
import sys
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, replace
from datetime import UTC, datetime, timedelta
from functools import partial
from typing import Any

import trio
import trio.testing

from roadbend import clock
from roadbend.controller import Controller
from roadbend.fakes.scenario import AIMS, OP, SERVICE, SITES, TEAMS
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
    """The run of a seed with a few of its own faults, and some of the given kinds."""
    run, rng = draw(seed), random.Random(f"kinds {seed}")
    faults = list(run.faults[:OWN_FAULTS])
    for _ in range(GIVEN_FAULTS):
        kind = rng.choice(kinds)
        length = rng.uniform(*FAULTS[kind].length)
        at = rng.uniform(FIRST_FAULT, LAST_FAULT - CLUSTER)
        faults.append(Fault(at, kind, length, rng.randrange(1 << 30)))
    return Run(seed, run.site, tuple(sorted(faults, key=lambda fault: fault.at)))


def draw(seed: int) -> Run:
    """The run of a seed."""
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


class Deployment:
    """What a run's faults act on."""

    def __init__(self, w: World):
        self.world = w

    def node(self, rng: random.Random) -> int:
        return rng.randrange(self.world.count)

    def some_machines(self, rng: random.Random) -> list[str]:
        """One machine, some, or all of a zone."""
        zone = rng.choice(self.world.zones)
        rows = sorted(m.id for m in self.world.cloud.machines.values() if m.zone == zone)
        rows = [row for row in rows if self.world.cloud.machines[row].status == "running"]
        if not rows:
            return []
        return rng.sample(rows, rng.choice((1, (len(rows) + 1) // 2, len(rows))))

    # Faults of controllers.

    async def crash(self, length: float, rng: random.Random) -> None:
        at = self.node(rng)
        if f"node-{at}" not in self.world.controllers:
            return
        self.world.crash(at)
        await trio.sleep(length)
        self._return(at)

    async def crash_all(self, length: float, rng: random.Random) -> None:
        """All controllers end at once, and return one after the other."""
        down = [at for at in range(self.world.count) if f"node-{at}" in self.world.controllers]
        for at in down:
            self.world.crash(at)
        await trio.sleep(length)
        for at in down:
            self._return(at)
            await trio.sleep(rng.uniform(0.0, 2.0))

    def _return(self, at: int) -> None:
        """Starts a controller, unless another fault has ended and started it meanwhile."""
        if f"node-{at}" not in self.world.controllers:
            self.world.start(at)

    async def stall(self, length: float, rng: random.Random) -> None:
        await self.world.stalls.stall(f"node-{self.node(rng)}", length)

    async def slow(self, length: float, rng: random.Random) -> None:
        """A controller that stands still again and again."""
        host, end = f"node-{self.node(rng)}", trio.current_time() + length
        while trio.current_time() < end:
            await self.world.stalls.stall(host, rng.uniform(0.1, 1.5))
            await trio.sleep(rng.uniform(0.01, 0.3))

    async def hand_over(self, _length: float, rng: random.Random) -> None:
        node = self.world.controllers.get(f"node-{self.node(rng)}")
        for partition in list(node.leaders) if node is not None else ():
            try:
                await node.election.fail_over(partition)
            except Exception:
                logging.getLogger("search").info("no hand-over", exc_info=True)

    async def cut_controller(self, length: float, rng: random.Random) -> None:
        await self.world.cut_controller(self.node(rng), length)

    async def cut_zone(self, length: float, rng: random.Random) -> None:
        await self.world.cut_zone(self.node(rng), length)

    # Faults of the state service and the cloud.

    async def outage(self, length: float, _rng: random.Random) -> None:
        await self.world.outage(length)

    async def refuse(self, length: float, rng: random.Random) -> None:
        await self.world.refuse(self.node(rng), length)

    async def slow_state(self, length: float, rng: random.Random) -> None:
        self.world.state.slow = rng.uniform(0.05, 1.2)
        await trio.sleep(length)
        self.world.state.slow = 0.0

    async def late_writes(self, length: float, rng: random.Random) -> None:
        self.world.state.late_writes(rng.uniform(0.1, 0.5), rng)
        await trio.sleep(length)
        self.world.state.late_writes(0.0, None)

    async def lost_answers(self, length: float, rng: random.Random) -> None:
        self.world.state.lose_answers(rng.uniform(0.1, 0.5), rng)
        await trio.sleep(length)
        self.world.state.lose_answers(0.0, None)

    async def no_cloud(self, length: float, _rng: random.Random) -> None:
        self.world.cloud.down = True
        await trio.sleep(length)
        self.world.cloud.down = False

    # Faults of machines and of the network.

    async def cut_machines(self, length: float, rng: random.Random) -> None:
        """No controller reaches them, and they reach none."""
        machines = self.some_machines(rng)
        controllers = [f"node-{n}" for n in range(self.world.count)]
        await self.world.cut_pairs([(m, node) for m in machines for node in controllers], length)

    async def flap(self, length: float, rng: random.Random) -> None:
        """Machines are cut off for about as long as a lease, and are back for moments only."""
        machines, end = self.some_machines(rng), trio.current_time() + length
        controllers = [f"node-{n}" for n in range(self.world.count)]
        pairs = [(machine, node) for machine in machines for node in controllers]
        while trio.current_time() < end:
            await self.world.cut_pairs(pairs, rng.uniform(14.0, 24.0))
            await trio.sleep(rng.uniform(0.2, 4.0))

    async def lease_edge(self, length: float, rng: random.Random) -> None:
        """Machines are cut off until their leases end, and are back for a moment while the records
        can't be reached, or have just come back; none can be deleted meanwhile."""
        machines = self.some_machines(rng)
        pairs = [(m, f"node-{n}") for m in machines for n in range(self.world.count)]
        self.world.cloud.refuse_deletion = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.world.cut_pairs, pairs, rng.uniform(19.0, 26.0))
            await trio.sleep(rng.uniform(14.0, 20.0))
            nursery.start_soon(self.world.outage, rng.uniform(1.0, length))
        await trio.sleep(rng.uniform(0.1, 2.0))
        await self.world.cut_pairs(pairs, rng.uniform(2.0, 17.0))
        self.world.cloud.refuse_deletion = False

    async def held_burst(self, length: float, rng: random.Random) -> None:
        """Reports of machines are held back and come all at once, while transactions are carried
        out and their answers lost; then the machines are out of reach."""
        machines, at = self.some_machines(rng), self.node(rng)
        self.world.cloud.refuse_deletion = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.world.hold, [(m, f"node-{at}") for m in machines], length)
            await trio.sleep(length * 0.9)
            nursery.start_soon(self.lost_answers, 4.0, rng)
        pairs = [(m, f"node-{n}") for m in machines for n in range(self.world.count)]
        await self.world.cut_pairs(pairs, rng.uniform(2.0, 17.0))
        self.world.cloud.refuse_deletion = False

    async def hold_packets(self, length: float, rng: random.Random) -> None:
        """Packets between some machines and a controller are held back, one way or both."""
        node = f"node-{self.node(rng)}"
        out = [(machine, node) for machine in self.some_machines(rng)]
        back = [(node, machine) for machine, _ in out]
        await self.world.hold(rng.choice((out, back, out + back)), length)

    async def hold_state(self, length: float, rng: random.Random) -> None:
        node = f"node-{self.node(rng)}"
        way = rng.choice(((node, "state"), ("state", node)))
        await self.world.hold([way], length)

    async def reset(self, length: float, rng: random.Random) -> None:
        """Connections of some machines break, again and again."""
        machines, end = self.some_machines(rng), trio.current_time() + length
        while trio.current_time() < end:
            for machine in machines:
                for at in range(self.world.count):
                    self.world.network.reset(machine, f"node-{at}")
            await trio.sleep(rng.uniform(0.05, 2.0))

    async def hang(self, length: float, rng: random.Random) -> None:
        await self.world.hang(self.some_machines(rng), length)

    async def deafen(self, length: float, rng: random.Random) -> None:
        await self.world.deafen(self.some_machines(rng), length)

    async def mute(self, length: float, rng: random.Random) -> None:
        await self.world.mute(self.some_machines(rng), length)

    async def reboot(self, _length: float, rng: random.Random) -> None:
        for machine in self.some_machines(rng):
            self.world.cloud.reboot(machine)

    async def die(self, _length: float, rng: random.Random) -> None:
        for machine in self.some_machines(rng):
            self.world.cloud.kill(machine)

    async def notice(self, length: float, rng: random.Random) -> None:
        """A spot notice; the machine is taken at its end."""
        machines = self.some_machines(rng)
        for worker in self.world.workers():
            if worker.machine in machines:
                worker.recall = length
        await trio.sleep(length)
        for machine in machines:
            if machine in self.world.cloud.machines:
                self.world.cloud.kill(machine)

    async def late_reports(self, length: float, rng: random.Random) -> None:
        await self.world.late_reports(rng.uniform(0.1, 0.6), length, rng)

    async def late_reports_for_next_owner(self, length: float, rng: random.Random) -> None:
        await self.world.late_reports_for_next_owner(rng.uniform(0.1, 0.6), length, rng)

    async def late_commands(self, length: float, rng: random.Random) -> None:
        await self.world.late_commands(rng.uniform(0.1, 0.6), length, rng)

    # What users do.

    async def cancel(self, _length: float, rng: random.Random) -> None:
        cases = [c.name for c in self.world.rules.cases.values() if c.accepted and not c.over]
        async with trio.open_nursery() as nursery:
            for called in rng.sample(cases, min(len(cases), 4)):
                path, at = f"/v1/jobs/{called}/withdraw", self.node(rng)
                nursery.start_soon(self.world.call, at, "POST", path, {})


@dataclass(frozen=True)
class Kind:
    """A kind of fault, and between which lengths it is drawn, in seconds."""

    begin: Callable[[Deployment, float, random.Random], Awaitable[None]]
    length: tuple[float, float]


FAULTS = {
    "crash": Kind(Deployment.crash, (0.05, 12.0)),
    "crash-all": Kind(Deployment.crash_all, (0.1, 12.0)),
    "stall": Kind(Deployment.stall, (0.2, 25.0)),
    "slow": Kind(Deployment.slow, (2.0, 40.0)),
    "hand-over": Kind(Deployment.hand_over, (0.1, 0.2)),
    "cut-controller": Kind(Deployment.cut_controller, (1.0, 45.0)),
    "cut-zone": Kind(Deployment.cut_zone, (1.0, 60.0)),
    "outage": Kind(Deployment.outage, (1.0, 70.0)),
    "refuse": Kind(Deployment.refuse, (1.0, 50.0)),
    "slow-state": Kind(Deployment.slow_state, (1.0, 30.0)),
    "late-writes": Kind(Deployment.late_writes, (2.0, 40.0)),
    "lost-answers": Kind(Deployment.lost_answers, (2.0, 40.0)),
    "no-cloud": Kind(Deployment.no_cloud, (5.0, 70.0)),
    "cut-machines": Kind(Deployment.cut_machines, (1.0, 45.0)),
    "flap": Kind(Deployment.flap, (10.0, 60.0)),
    "lease-edge": Kind(Deployment.lease_edge, (2.0, 10.0)),
    "held-burst": Kind(Deployment.held_burst, (2.0, 12.0)),
    "hold-packets": Kind(Deployment.hold_packets, (0.1, 45.0)),
    "hold-state": Kind(Deployment.hold_state, (0.1, 20.0)),
    "reset": Kind(Deployment.reset, (0.5, 20.0)),
    "hang": Kind(Deployment.hang, (0.5, 40.0)),
    "deaf": Kind(Deployment.deafen, (1.0, 45.0)),
    "mute": Kind(Deployment.mute, (1.0, 45.0)),
    "reboot": Kind(Deployment.reboot, (0.1, 0.2)),
    "die": Kind(Deployment.die, (0.1, 0.2)),
    "notice": Kind(Deployment.notice, (3.0, 30.0)),
    "late-reports": Kind(Deployment.late_reports, (5.0, 60.0)),
    "late-reports-next": Kind(Deployment.late_reports_for_next_owner, (5.0, 60.0)),
    "late-commands": Kind(Deployment.late_commands, (5.0, 60.0)),
    "cancel": Kind(Deployment.cancel, (0.1, 0.2)),
}


# Kinds that a seed draws only where `--kinds` names them, so that seeds keep their runs.
ONLY_ON_REQUEST = {"crash-all"}


def submission(number: int, rng: random.Random, zones: tuple[str, ...]) -> dict[str, Any]:
    """A job of any kind, of one to six tasks."""
    image, zone = rng.choice(IMAGES), rng.choice((None, *zones))
    crew, rank = rng.choice(("red", "blue")), rng.choice(("high", "normal", "best_effort"))
    common = {"bundle": image, "crew": crew, "yard": zone, "rank": rank}
    draw_kind = rng.random()
    if draw_kind < 0.3:
        return gang(number, rng.randint(2, 5), **common)
    if draw_kind < 0.45:
        return job(number, legs=rng.randint(1, 3), **{**common, **SERVICE})
    spot = rng.random() < 0.5
    return job(number, legs=rng.randint(1, 6), dueS=60.0, loaners=spot, **common)


async def work(w: World, rng: random.Random) -> None:
    """Jobs for as long as the run lasts: a dozen at once, then one every few seconds."""
    for number in range(1, 1000):
        body = submission(number, rng, w.zones)
        length = None if body["shape"] == "daemon" else rng.uniform(2, 60)
        w.nursery.start_soon(submit, w, body, length, rng.randrange(w.count))
        pause = 1.0 if number < FIRST_JOBS else LONGEST_PAUSE
        await trio.sleep(rng.uniform(0.1, pause))


async def submit(w: World, body: dict[str, Any], length: float | None, at: int) -> None:
    """Submitted again elsewhere until it is accepted, as users do."""
    for turn in range(20):
        if await w.submit((at + turn) % w.count, body, length) in (200, 201):
            return
        await trio.sleep(2)


def _switch_recovery_on(node: Controller) -> None:
    install(node, RecoverySettings())


async def play(run: Run) -> list[str]:
    """The rules that a run breaks."""
    changes: dict[str, Any] = {"teams": TEAMS, "objectives": AIMS, **SITES[run.site]}
    rng = random.Random(f"work {run.seed}")
    broken: list[str] = []
    changes["caches_images"] = True
    changes["equip"] = _switch_recovery_on if run.recovery else None
    async with world(capacity=CAPACITY, operator=OP, judge=broken.extend, **changes) as w:
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
    """Plays a run on a clock of its own, in an order that its seed draws."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(f"order {run.seed}")
    return trio.run(play, run, clock=trio.testing.MockClock(autojump_threshold=0))


def shrink(run: Run, rule: str) -> Run:
    """The run without the faults that the broken rule does not need."""
    smaller = True
    while smaller:
        smaller = False
        for fault in run.faults:
            less = replace(run, faults=tuple(f for f in run.faults if f is not fault))
            if any(row.startswith(rule) for row in play_alone(less)):
                run, smaller = less, True
                break
    return run


def look(
    seed: int, kinds: tuple[str, ...] = (), recovery: bool = False
) -> tuple[int, list[str], Run]:
    """Plays a seed's run, and makes it small if it breaks a rule."""
    use_simulated_time_of_day()
    run = replace(draw_with(seed, kinds) if kinds else draw(seed), recovery=recovery)
    broken = play_alone(run)
    if broken:
        run = shrink(run, broken[0].partition(" ")[0])
    return seed, broken, run


def use_simulated_time_of_day() -> None:
    """The time of day goes with the simulated clock."""
    base = datetime(2026, 1, 1, tzinfo=UTC)

    def wall() -> datetime:
        return base + timedelta(seconds=trio.current_time())

    clock.wall = wall


def seeds(text: str) -> Iterator[int]:
    first, _, last = text.partition("-")
    return iter(range(int(first), int(last or first) + 1))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, prog="roadbend.fakes.search")
    parser.add_argument("--seeds", default="0-99", help="first-last")
    parser.add_argument("--processes", type=int, default=2)
    parser.add_argument("--kinds", default="", help="kinds of faults to have more of, by commas")
    parser.add_argument("--recovery", action="store_true", help="with recovery switched on")
    parser.add_argument("--log", default="CRITICAL")
    options = parser.parse_args()
    logging.basicConfig(level=options.log.upper(), stream=sys.stderr)
    kinds = tuple(kind for kind in options.kinds.split(",") if kind)
    if unknown := [kind for kind in kinds if kind not in FAULTS]:
        parser.error(f"--kinds: {', '.join(unknown)}; there are {', '.join(FAULTS)}")
    count = bad = 0
    with multiprocessing.Pool(options.processes) as pool:
        for seed, broken, run in pool.imap_unordered(
            partial(look, kinds=kinds, recovery=options.recovery), seeds(options.seeds)
        ):
            count += 1
            if broken:
                bad += 1
                print(f"seed {seed} ({run.site}): {broken[0]}", flush=True)
                for fault in run.faults:
                    print(f"    {fault}", flush=True)
    print(f"{count} runs, {bad} of them with a rule broken", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
