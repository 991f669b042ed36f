"""Which failures take a machine out of use, and what puts it back."""

from datetime import datetime, timedelta
from types import SimpleNamespace

import pytest

from roadbend import clock
from roadbend.fakes.platform import settings_for
from roadbend.fakes.submission import job
from roadbend.fleet.machines import Machine, ObservedTask
from roadbend.fleet.messages import TaskState
from roadbend.fleet.terminations import TaskKey
from roadbend.intake.messages import read_submission
from roadbend.partitions.leadership import Leadership
from roadbend.placement.exclusions import PlacementExclusions
from roadbend.placement.failure_history import RETENTION, FailureHistory
from roadbend.placement.partition_records import PartitionRecords
from roadbend.placement.quarantine import (
    HEALTHY_RUN_FACTOR,
    MIN_HEALTHY_RUN,
    MIN_REVIEW_INTERVAL,
    QUARANTINE_TIME,
    RETRY_BY_OTHERS,
    REVIEW_INTERVAL,
    UNCERTAIN_QUARANTINE_TIME,
    Quarantine,
)
from roadbend.settings import OperatorSettings
from roadbend.store import keys
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Job, Resources, SliceShard

S = timedelta(seconds=1)
NOW = clock.ORIGIN + timedelta(hours=1)
RAN_FOR = 2 * S


class PartitionFixture:
    """A partition with machines, live jobs and failures."""

    def __init__(self, machines: int = 4):
        self.view, self.history, self._revision = RecordView(), FailureHistory(), 1
        context = SimpleNamespace(
            view=self.view,
            settings=settings_for(0, 1),
            operator=OperatorSettings(),
            cancellations=SimpleNamespace(jobs=set()),
        )
        records = PartitionRecords(context, Leadership("east", 7, 1, clock.ORIGIN))
        self.machines = {
            f"m-{n}": Machine(f"m-{n}", f"m-{n}:1", "g2", "east", False) for n in range(machines)
        }
        registry = SimpleNamespace(by_id=self.machines)
        self.exclusions = PlacementExclusions()
        self.quarantine = Quarantine(records, registry, self.history, self.exclusions)

    def _next_revision(self) -> int:
        self._revision += 1
        return self._revision

    def add_job(self, number: int) -> str:
        name, spec = read_submission(job(number, legs=6))
        record = Job(name, spec, clock.wall())
        self.view.put(keys.job_key(name), record.to_value(), self._next_revision())
        return name

    def end_job(self, name: str) -> None:
        self.view.drop(keys.job_key(name), self._next_revision())

    def fail(self, number: int, *machines: str, at: datetime = NOW) -> str:
        """Let a task of a live job fail on each of these machines; return the job's id."""
        name = f"run-{number:06d}"
        if name not in self.view.jobs:
            self.add_job(number)
        for machine in machines:
            self.history.record(name, machine, RAN_FOR, at)
        return name

    def record_slice(self, name: str, attempts: dict[int, Attempt], done=()) -> None:
        shard = SliceShard(
            name, "east", "red", Resources(1, 0, 1), attempts=attempts, done=done, shard=0
        )
        self.view.put(shard.key, shard.to_value(), self._next_revision())

    def run_task(self, name: str, machine: str, since: datetime) -> None:
        """Let a task of a job run on a machine."""
        self.record_slice(name, {5: Attempt(70, machine)})
        task = ObservedTask(70, TaskState.RUNNING, since, since)
        self.machines[machine].tasks[TaskKey(name, 5)] = task

    def quarantined(self, now: datetime = NOW) -> list[str]:
        self.quarantine.update(now)
        return [m.id for m in self.machines.values() if m.lifecycle.is_quarantined(now)]


def test_a_machine_on_which_tasks_of_several_jobs_fail_is_quarantined():
    partition = PartitionFixture()
    partition.fail(1, "m-0")
    partition.fail(2, "m-0")
    assert partition.quarantined() == []
    partition.fail(3, "m-0")
    reviewed_at = NOW + MIN_REVIEW_INTERVAL
    assert partition.quarantined(reviewed_at) == ["m-0"]
    assert not partition.machines["m-0"].lifecycle.accepts_tasks(reviewed_at)


def test_jobs_that_fail_on_several_machines_take_none_out_of_use():
    """Guards against mistaken jobs that take every machine out of use."""
    partition = PartitionFixture()
    for number in range(1, 9):
        partition.fail(number, "m-0", "m-1")
    assert partition.quarantined() == []
    # They are not counted, and don't hide the failures of others.
    for number in range(11, 14):
        partition.fail(number, "m-1")
    assert partition.quarantined(NOW + MIN_REVIEW_INTERVAL) == ["m-1"]


def test_a_quarantine_ends_when_its_jobs_fail_elsewhere_too():
    partition = PartitionFixture()
    for number in range(1, 4):
        partition.fail(number, "m-0")
    assert partition.quarantined() == ["m-0"]
    partition.fail(1, "m-1", at=NOW + S)
    assert partition.quarantined(NOW + S) == []


@pytest.mark.parametrize(
    ("ran_for", "counts"),
    [
        (MIN_HEALTHY_RUN - S, False),
        (MIN_HEALTHY_RUN, True),
    ],
)
def test_failures_of_a_job_count_once_another_task_of_it_runs_well(ran_for, counts):
    """Guards against faulty machines that stay in use as each job fails on several of them."""
    partition = PartitionFixture()
    jobs = [partition.fail(number, "m-0", "m-1") for number in range(1, 4)]
    for name in jobs:
        partition.run_task(name, "m-2", NOW - ran_for)
    assert partition.quarantined() == (["m-0", "m-1"] if counts else [])


def test_a_task_runs_well_only_after_longer_than_those_that_failed():
    partition = PartitionFixture()
    longest = 30 * S
    for number in range(1, 4):
        name = partition.fail(number, "m-0", "m-1")
        partition.history.record(name, "m-1", longest, NOW)
        partition.run_task(name, "m-2", NOW - longest)
    assert partition.quarantined() == []
    assert partition.quarantined(NOW + longest * (HEALTHY_RUN_FACTOR - 1)) == ["m-0", "m-1"]


def test_failures_of_a_job_with_a_task_that_is_done_count():
    partition = PartitionFixture()
    for number in range(1, 4):
        partition.record_slice(partition.fail(number, "m-0", "m-1"), {}, done=((2, 3),))
    assert partition.quarantined() == ["m-0", "m-1"]


def test_a_job_that_ended_before_anything_of_it_ran_well_counts_no_more():
    """Guards against cancelled jobs that keep machines out of use."""
    partition = PartitionFixture()
    jobs = [partition.fail(number, "m-0") for number in range(1, 4)]
    assert partition.quarantined() == ["m-0"]
    partition.end_job(jobs[0])
    assert partition.quarantined(NOW + REVIEW_INTERVAL) == []
    assert jobs[0] not in partition.history.jobs


def test_a_job_that_ended_after_a_task_of_it_ran_well_still_counts():
    partition = PartitionFixture()
    jobs = [partition.fail(number, "m-0") for number in range(1, 4)]
    for name in jobs:
        partition.history.mark_succeeded(name)
        partition.end_job(name)
    assert partition.quarantined() == ["m-0"]


@pytest.mark.parametrize(
    ("known_to_run_well", "length"), [(True, QUARANTINE_TIME), (False, UNCERTAIN_QUARANTINE_TIME)]
)
class TestExpiry:
    """A quarantine expires, sooner if the jobs may be at fault as well."""

    def quarantine(self, known_to_run_well: bool) -> tuple[PartitionFixture, list[str]]:
        """Return a partition with a quarantined machine, and the jobs that failed on it."""
        partition = PartitionFixture()
        jobs = [partition.fail(number, "m-0") for number in range(1, 4)]
        if known_to_run_well:
            partition.history.mark_succeeded(jobs[0])
        assert partition.quarantined() == ["m-0"]
        return partition, jobs

    def test_the_next_failure_after_it_begins_another(self, known_to_run_well, length):
        """Guards against a machine with a service that is out of use for good."""
        partition, _ = self.quarantine(known_to_run_well)
        assert partition.quarantined(NOW + length - S) == ["m-0"]
        retried_at = NOW + length
        assert partition.quarantined(retried_at) == []
        partition.fail(4, "m-0", at=retried_at)
        assert partition.quarantined(retried_at + MIN_REVIEW_INTERVAL) == ["m-0"]
        assert partition.quarantined(retried_at + length) == []
        assert partition.quarantined(retried_at + RETENTION) == [] and not partition.history

    def test_other_jobs_than_those_that_failed_are_tried_first(self, known_to_run_well, length):
        """Guards against mistaken jobs that take the place of another job at each new try."""
        partition, jobs = self.quarantine(known_to_run_well)
        for now, excluded in [
            (NOW + length, ["m-0"]),
            (NOW + length + RETRY_BY_OTHERS, []),
        ]:
            partition.quarantined(now)
            partition.exclusions.drop_expired(now)
            assert [list(partition.exclusions.failed_on(name)) for name in jobs] == [excluded] * 3


def test_an_empty_machine_is_replaced_whichever_is_at_fault():
    partition = PartitionFixture()
    for number in range(1, 4):
        partition.fail(number, "m-0", "m-1")
    assert partition.quarantined() == []
    assert partition.quarantine.should_replace("m-0")
    assert not partition.quarantine.should_replace("m-2")


def test_a_review_costs_no_more_than_its_failures(count_calls):
    """Guards against steps that look at every machine because some task failed."""
    small, large = PartitionFixture(4), PartitionFixture(4000)
    for partition in (small, large):
        for number in range(1, 4):
            partition.fail(number, "m-0", "m-1")
    assert count_calls(lambda: small.quarantine.update(NOW)) == count_calls(
        lambda: large.quarantine.update(NOW)
    )
    # Nothing has changed since.
    assert count_calls(lambda: large.quarantine.update(NOW + MIN_REVIEW_INTERVAL)) < 10
