"""Plays a scenario in memory. The same scenario gives the same report on every run."""

import random
from collections.abc import Callable
from datetime import timedelta

import trio
import trio.testing

from roadbend.checkers.search_runs import use_simulated_time_of_day
from roadbend.controller import Controller
from roadbend.fakes.world import World, world
from roadbend.rehearsal.measurement import Measured
from roadbend.rehearsal.report import Report
from roadbend.rehearsal.scenario import Scenario
from roadbend.rehearsal.stage import Stage
from roadbend.rehearsal.verdict import judge
from roadbend.settings import Team

# The fake deployment: teams without limits but for a small one, so that limits take partition.
TEAMS = {"red": Team("red", 0, 0, 0, 0), "blue": Team("blue", 0, 0, 4, 12)}
# How long the end may take in which every job must run or get its final answer.
END_WITHIN = timedelta(seconds=180)
# How often users ask then, in seconds.
ASK_EVERY = 5.0
# Spare machines a zone, over its share of the workers: one for so many, and at least some.
SPARE_SHARE, SPARE_LEAST = 10, 4
BOOT_SECONDS = 5.0

Equip = Callable[[Controller], None]


def play(scenario: Scenario, equip: Equip | None = None) -> Report:
    """Plays a scenario on a clock of its own, in an order that its seed draws. `equip` switches on
    further parts of each controller."""
    use_simulated_time_of_day()
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(f"rehearsal {scenario.name} {scenario.seed}")
    mock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(play_here, scenario, equip, clock=mock)


async def play_here(scenario: Scenario, equip: Equip | None = None) -> Report:
    """Plays a scenario on the clock that runs."""
    broken: list[str] = []
    async with world(
        capacity=scenario.workers // 3 + max(SPARE_LEAST, scenario.workers // SPARE_SHARE),
        judge=broken.extend,
        caches_images=True,
        previous_version=scenario.previous_version,
        equip=equip if scenario.recovery else None,
        teams=TEAMS,
        cloud_rps=30.0,
        state_rps=500.0,
        state_write_rps=200.0,
    ) as w:
        w.cloud.boot_seconds = BOOT_SECONDS
        stage = Stage(w, random.Random(f"rehearsal {scenario.seed}"), scenario.workers)
        for action in scenario.actions:
            await action.play(stage)
        measured = _measured(stage)
        open_jobs = await _end(w)
        broken.extend(w.rules.broken)
        stage.note("end")
        verdict = judge(measured, sorted(set(broken)), open_jobs, scenario.limits)
        events = tuple((round(at, 2), event) for at, event in stage.events)
    return Report(
        scenario.name,
        scenario.summary,
        scenario.seed,
        scenario.workers,
        scenario.recovery,
        events,
        measured,
        verdict,
    )


def _measured(stage: Stage) -> Measured:
    assert stage.restart is not None, "the controllers never returned"
    return stage.restart.measured()


async def _end(w: World) -> list[str]:
    """All troubles are over: users ask after every job. Gives those that neither run whole nor
    have their final answer."""
    w.rules.troubles_over()
    end = trio.current_time() + END_WITHIN.total_seconds()
    while trio.current_time() < end:
        open_jobs = [c for c in w.rules.cases.values() if c.accepted is not None and not c.over]
        for number, case in enumerate(open_jobs):
            await w.status(number % w.count, case.name)
        waiting = [case.name for case in open_jobs if not _is_settled(w, case.name)]
        if not waiting:
            return []
        await trio.sleep(ASK_EVERY)
    return waiting


def _is_settled(w: World, name: str) -> bool:
    case = w.rules.cases[name]
    if case.over:
        return True
    runs_on = w.board.lengths.get(name, 0) is None
    return runs_on and len(w.board.running(name)) == case.body["legs"]
