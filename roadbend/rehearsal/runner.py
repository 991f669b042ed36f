"""Runs a scenario in memory. The same scenario gives the same report on every run."""

import random
from collections.abc import Callable
from datetime import timedelta

import trio
import trio.testing

from roadbend.checkers.search_runs import use_simulated_time_of_day
from roadbend.controller import Controller
from roadbend.fakes.world import World, world
from roadbend.rehearsal.events import Event
from roadbend.rehearsal.measurement import Measurement
from roadbend.rehearsal.messages import task_count
from roadbend.rehearsal.report import Report
from roadbend.rehearsal.scenario import Scenario
from roadbend.rehearsal.stage import Stage
from roadbend.rehearsal.verdict import judge
from roadbend.settings import Team

# The teams of the deployment: one without a quota, and one with a small quota, so that quotas are
# exercised as well.
TEAMS = {"red": Team("red", 0, 0, 0, 0), "blue": Team("blue", 0, 0, 4, 12)}
# How long it may take at the end until every job runs or has a final state.
SETTLE_TIMEOUT = timedelta(seconds=180)
# How often users query their jobs meanwhile, in seconds.
POLL_INTERVAL_S = 5.0
# Spare machines per zone in addition to its share of the workers: one per so many workers, and at
# least this number.
WORKERS_PER_SPARE = 10
MIN_SPARES = 4
# Boot time of a machine of the fake cloud, in seconds.
BOOT_TIME_S = 5.0

Equip = Callable[[Controller], None]


def play(scenario: Scenario, equip: Equip | None = None) -> Report:
    """Run a scenario on a mock clock, with a task order that its seed determines.

    `equip` is called with each new controller of the current version and installs optional parts,
    such as recovery.
    """
    use_simulated_time_of_day()
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]  # trio has no other interface for it
    trio._core._run._r.seed(f"rehearsal {scenario.name} {scenario.seed}")
    mock_clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(play_here, scenario, equip, clock=mock_clock)


async def play_here(scenario: Scenario, equip: Equip | None = None) -> Report:
    """Run a scenario on the clock of the running event loop."""
    broken: list[str] = []
    async with world(
        capacity=scenario.workers // 3 + max(MIN_SPARES, scenario.workers // WORKERS_PER_SPARE),
        on_broken_rules=broken.extend,
        caches_images=True,
        previous_version=scenario.previous_version,
        equip=equip if scenario.recovery else None,
        teams=TEAMS,
        cloud_rps=30.0,
        state_rps=500.0,
        state_write_rps=200.0,
    ) as deployment:
        deployment.cloud.boot_seconds = BOOT_TIME_S
        stage = Stage(deployment, random.Random(f"rehearsal {scenario.seed}"), scenario.workers)
        for action in scenario.actions:
            await action.play(stage)
        measured = _measure(stage)
        open_jobs = await _find_open_jobs(deployment)
        broken.extend(deployment.rules.broken)
        stage.record_event("end")
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


def _measure(stage: Stage) -> Measurement:
    assert stage.restart is not None, "the scenario did not restart the controllers"
    return stage.restart.measure()


async def _find_open_jobs(deployment: World) -> list[str]:
    """Let users query every job after the last fault has ended.

    Return the jobs that, after `SETTLE_TIMEOUT`, neither run with all their tasks nor have a final
    state.
    """
    deployment.rules.mark_faults_ended()
    end = trio.current_time() + SETTLE_TIMEOUT.total_seconds()
    while trio.current_time() < end:
        open_jobs = [
            job
            for job in deployment.rules.jobs.values()
            if job.accepted_at is not None and not job.has_ended
        ]
        for number, job in enumerate(open_jobs):
            await deployment.status(number % deployment.count, job.id)
        unsettled = [job.id for job in open_jobs if not _is_settled(deployment, job.id)]
        if not unsettled:
            return []
        await trio.sleep(POLL_INTERVAL_S)
    return unsettled


def _is_settled(deployment: World, job_id: str) -> bool:
    job = deployment.rules.jobs[job_id]
    if job.has_ended:
        return True
    runs_until_stopped = deployment.board.lengths.get(job_id, 0) is None
    return runs_until_stopped and len(deployment.board.running(job_id)) == task_count(job.body)
