"""Plays a scenario in memory. The same scenario gives the same report on every run."""

import random
from collections.abc import Callable
from datetime import timedelta

import trio
import trio.testing

from roadbend.checkers.search_runs import use_simulated_time_of_day
from roadbend.controller import Controller
from roadbend.fakes.world import World, world
from roadbend.rehearsal.events import Event
from roadbend.rehearsal.measurement import Measured
from roadbend.rehearsal.messages import task_count
from roadbend.rehearsal.report import Report
from roadbend.rehearsal.scenario import Scenario
from roadbend.rehearsal.stage import Stage
from roadbend.rehearsal.verdict import judge
from roadbend.settings import Team

# The fake deployment: teams without quotas but for a small one, so that quotas take part.
TEAMS = {"red": Team("red", 0, 0, 0, 0), "blue": Team("blue", 0, 0, 4, 12)}
# How long the end may take in which every job must run or get its final answer.
END_WITHIN = timedelta(seconds=180)
# How often users ask then, in seconds.
ASK_EVERY = 5.0
# Spare machines a zone, over its share of the workers: one for so many, and at least some.
SPARE_SHARE = 10
SPARE_LEAST = 4
# How long a machine of the fake cloud boots, in seconds.
BOOT_SECONDS = 5.0

Equip = Callable[[Controller], None]


def play(scenario: Scenario, equip: Equip | None = None) -> Report:
    """Play a scenario on a clock of its own, in an order that its seed draws.

    `equip` switches on further parts of each controller.
    """
    use_simulated_time_of_day()
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]  # trio has no other way
    trio._core._run._r.seed(f"rehearsal {scenario.name} {scenario.seed}")
    mock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(play_here, scenario, equip, clock=mock)


async def play_here(scenario: Scenario, equip: Equip | None = None) -> Report:
    """Play a scenario on the clock that runs."""
    broken: list[str] = []
    async with world(
        capacity=scenario.workers // 3 + max(SPARE_LEAST, scenario.workers // SPARE_SHARE),
        on_broken_rules=broken.extend,
        caches_images=True,
        previous_version=scenario.previous_version,
        equip=equip if scenario.recovery else None,
        teams=TEAMS,
        cloud_rps=30.0,
        state_rps=500.0,
        state_write_rps=200.0,
    ) as deployment:
        deployment.cloud.boot_seconds = BOOT_SECONDS
        stage = Stage(deployment, random.Random(f"rehearsal {scenario.seed}"), scenario.workers)
        for action in scenario.actions:
            await action.play(stage)
        measured = _measured(stage)
        open_jobs = await _end(deployment)
        broken.extend(deployment.rules.broken)
        stage.note("end")
        verdict = judge(measured, sorted(set(broken)), open_jobs, scenario.limits)
        events = tuple(Event(round(event.at, 2), event.text) for event in stage.events)
    return Report(
        scenario=scenario.name,
        summary=scenario.summary,
        seed=scenario.seed,
        workers=scenario.workers,
        recovery=scenario.recovery,
        events=events,
        measured=measured,
        verdict=verdict,
    )


def _measured(stage: Stage) -> Measured:
    assert stage.restart is not None, "the controllers never returned"
    return stage.restart.measured()


async def _end(deployment: World) -> list[str]:
    """Let users ask after every job, now that all troubles are over.

    Return those that at the end neither run whole nor have their final answer.
    """
    deployment.rules.mark_faults_ended()
    end = trio.current_time() + END_WITHIN.total_seconds()
    while trio.current_time() < end:
        open_jobs = [
            case
            for case in deployment.rules.jobs.values()
            if case.accepted_at is not None and not case.has_ended
        ]
        for number, case in enumerate(open_jobs):
            await deployment.status(number % deployment.count, case.name)
        waiting = [case.name for case in open_jobs if not _is_settled(deployment, case.name)]
        if not waiting:
            return []
        await trio.sleep(ASK_EVERY)
    return waiting


def _is_settled(deployment: World, job: str) -> bool:
    case = deployment.rules.jobs[job]
    if case.has_ended:
        return True
    runs_on = deployment.board.lengths.get(job, 0) is None
    return runs_on and len(deployment.board.running(job)) == task_count(case.body)
