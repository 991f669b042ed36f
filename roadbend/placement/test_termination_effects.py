"""What a recorded termination tells of its job and its machine."""

from datetime import datetime, timedelta
from types import SimpleNamespace

import pytest

from roadbend import clock
from roadbend.fleet.machines import Machine, ObservedTask
from roadbend.fleet.messages import EndCause, TaskState
from roadbend.fleet.recorded_ends import RecordedEnds
from roadbend.fleet.terminations import TaskKey, Termination
from roadbend.observer import Observer
from roadbend.placement.exclusions import PlacementExclusions
from roadbend.placement.failure_backoff import FailureBackoff
from roadbend.placement.failure_history import FailureHistory
from roadbend.placement.gang_attempts import GangAttempts
from roadbend.placement.termination_effects import TerminationEffects

S = timedelta(seconds=1)
NOW = clock.ORIGIN + timedelta(hours=1)
MACHINE = "m-1"


class EffectsFixture:
    """The effects of terminations on one machine."""

    def __init__(self):
        self.machine = Machine(MACHINE, "m-1:1", "g2", "east", False)
        self.failures = FailureHistory()
        context = SimpleNamespace(
            observer=Observer(), recorded_ends=RecordedEnds(), view=SimpleNamespace(jobs={})
        )
        self.effects = TerminationEffects(
            SimpleNamespace(
                records=SimpleNamespace(context=context, partition="east"),
                registry=SimpleNamespace(by_id={MACHINE: self.machine}),
                gang_attempts=GangAttempts(),
                exclusions=PlacementExclusions(),
                backoff=FailureBackoff(),
                failures=self.failures,
            )
        )

    def end(self, job: str, cause: EndCause, began: datetime | None, ended: datetime) -> None:
        """Let a task end that was first seen running at `began`, never if that is None."""
        key = TaskKey(job, 0)
        self.machine.tasks[key] = ObservedTask(70, TaskState.ENDED, ended, began)
        termination = Termination(70, MACHINE, cause == EndCause.DONE, cause)
        self.effects.apply(key, termination, ended)


@pytest.mark.parametrize(
    ("began", "remaining"),
    [
        (NOW - 30 * S, {"run-1", "run-2"}),
        (NOW + S, set()),
        # The result of an earlier run: nothing ran on this machine.
        (None, {"run-1", "run-2"}),
    ],
)
def test_a_task_that_is_done_clears_a_machine_only_of_what_failed_before_it_began(began, remaining):
    """Guards against a faulty machine that older tasks, which still run there, keep in use."""
    fixture = EffectsFixture()
    for job in ("run-1", "run-2"):
        fixture.end(job, EndCause.ERROR, NOW - S, NOW)
    fixture.end("run-3", EndCause.DONE, began, NOW + 20 * S)
    assert set(fixture.failures.jobs_failed_on(MACHINE)) == remaining


def test_a_failed_task_is_recorded_with_the_time_for_which_it_ran():
    fixture = EffectsFixture()
    fixture.end("run-1", EndCause.ERROR, NOW - 7 * S, NOW)
    fixture.end("run-1", EndCause.ERROR, None, NOW + S)
    assert fixture.failures.of_job("run-1").longest_run == 7 * S
    assert fixture.failures.failed_at("run-1", MACHINE) == NOW + S


def test_a_job_of_which_a_task_is_done_is_known_to_run_well():
    fixture = EffectsFixture()
    fixture.end("run-1", EndCause.ERROR, NOW - S, NOW)
    assert not fixture.failures.of_job("run-1").has_succeeded
    fixture.end("run-1", EndCause.DONE, NOW - S, NOW + S)
    assert fixture.failures.of_job("run-1").has_succeeded
