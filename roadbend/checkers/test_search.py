"""The search finds a planted fault, its runs are reproducible, and earlier findings stay fixed."""

import random

import pytest
import trio

from roadbend.checkers import search, search_runs
from roadbend.checkers.search_faults import FAULTS, Deployment, Kind
from roadbend.checkers.search_runs import Fault, Run
from roadbend.fakes.scenario import SITES
from roadbend.fakes.submission import job
from roadbend.fakes.world import world


async def start_again_elsewhere(
    deployment: Deployment, _length: float, _rng: random.Random
) -> None:
    """Plant a double start: order another machine to start a running task."""
    board = deployment.world.board
    task, machines = next((t, ids) for t, ids in board.machines_by_task.items() if ids)
    other = next(worker for worker in deployment.world.workers() if worker.machine not in machines)
    # Start at once, because the controllers would stop the task at its machine's next heartbeat.
    other.settings.fetch_s = 0.0
    other.execute([{"verb": "run", "leg": task, "try": 1}])


def test_a_planted_double_start_is_found_and_the_run_made_small(monkeypatch):
    monkeypatch.setitem(FAULTS, "planted", Kind(start_again_elsewhere, (0.1, 0.2)))
    monkeypatch.setattr(search_runs, "QUIET_S", 5.0)
    faults = (Fault(30.0, "cancel", 0.1, 1), Fault(40.0, "planted", 0.1, 2))
    run = Run(0, sorted(SITES)[0], faults)
    broken = search_runs.play_alone(run)
    assert broken and broken[0].startswith("ran_twice")
    assert search_runs.play_alone(run) == broken, "the same every time"
    assert [fault.kind for fault in search.shrink(run, "ran_twice").faults] == ["planted"]


@pytest.mark.parametrize("seed", range(4))
def test_a_few_runs_of_the_search_break_no_rule(seed):
    run = search_runs.draw(seed)
    assert search_runs.play_alone(run) == [], [str(fault) for fault in run.faults]


@pytest.mark.parametrize("seed", [0, 2, 4, 5])
def test_runs_in_which_late_copies_started_ended_attempts_break_no_rule_any_more(seed):
    run = search_runs.draw_with(seed, ("late-copies",))
    assert search_runs.play_alone(run) == [], [str(fault) for fault in run.faults]


@pytest.mark.parametrize("seed", range(3))
def test_runs_with_faulty_machines_and_mistaken_jobs_break_no_rule(seed):
    """Guards against quarantines, which begin and end at any time, that let a task run twice."""
    run = search_runs.draw_with(seed, ("broken-machines", "mistaken-jobs"))
    assert search_runs.play_alone(run) == [], [str(fault) for fault in run.faults]


def test_the_run_that_showed_a_task_in_two_places_breaks_no_rule_any_more():
    """Guards against a double start that the search found in 0.6.0 (seed 53).

    The shrunk run broke `ran_twice` at 51.9 s.
    """
    faults = (
        Fault(28.40, "lease-edge", 4.03, 466052218),
        Fault(29.95, "hold-packets", 13.38, 446364384),
        Fault(34.36, "outage", 4.36, 723354304),
    )
    assert search_runs.play_alone(Run(53, "pet", faults)) == []


def test_the_run_in_which_completed_tasks_ran_again_breaks_no_rule_any_more():
    """Guards against second runs of completed tasks, found at 61282d6 (seed 60, eleven kinds).

    The shrunk run broke `quota` at 105.4 s.
    """
    faults = (
        Fault(49.47013577795059, "refuse", 1.8381475396874043, 327856009),
        Fault(55.66522703305958, "slow-state", 24.83392636577453, 703291634),
        Fault(61.14618323636588, "hold-packets", 43.363010224978204, 814169489),
    )
    assert search_runs.play_alone(Run(60, "pet", faults)) == []


async def test_a_controller_that_stands_still_does_nothing_meanwhile_and_then_goes_on():
    async with world() as w:
        answered_at = []

        async def send_request() -> None:
            await w.call(0, "POST", "/v1/jobs", job(1), within=9)
            answered_at.append(trio.current_time())

        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(w.stalls.stall, "node-0", 4.0)
            await trio.sleep(0.5)
            nursery.start_soon(send_request)
            assert (await w.call(1, "GET", "/v1/jobs/run-000009"))[0] == 404
            assert trio.current_time() - began < 2
        assert answered_at[0] - began >= 4.0
