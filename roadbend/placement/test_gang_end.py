"""Gangs with some tasks recorded as completed: then all tasks and the job count as completed.

Versions that predate gang scheduling record the end of each task, in the gang's job slices or in
the job's record (docs/incidents/2026-12-gang-that-never-ended.md).
"""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from roadbend import clock
from roadbend.fakes.platform import settings_for
from roadbend.fakes.submission import gang
from roadbend.fleet.terminations import Termination
from roadbend.intake.messages import read_submission
from roadbend.partitions.leadership import Leadership
from roadbend.placement.apart_gangs import ApartGangs
from roadbend.placement.cancellations import Cancellations
from roadbend.placement.gangs import Gangs
from roadbend.placement.partition_state import PartitionState
from roadbend.placement.start_reports import StartReports
from roadbend.placement.termination_recorder import TerminationRecorder
from roadbend.placement.transaction import TransactionBuilder
from roadbend.store import keys
from roadbend.store.messages import Delete
from roadbend.store.ranges import Ranges
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Job, SliceShard

GANG, TASKS = "run-000001", 4
ALL_TASKS, FIRST_TASKS, LAST_TASKS = ((0, 4),), ((0, 2),), ((2, 4),)
JOB_REVISION, SLICE_REVISION = 5, 6
# Attempts at the other tasks, started one by one.
SINGLE_ATTEMPTS = {2: Attempt(70, "m-2"), 3: Attempt(71, "m-3")}
JOB_KEYS = {keys.job_key(GANG), keys.job_end_key(GANG), keys.gang_key(GANG)}


class PartitionFixture:
    """The leader of partition `east`, and the records of one gang, of four tasks by default."""

    def __init__(
        self,
        allocation: dict[str, Ranges],
        done: Ranges = (),
        tasks: int = TASKS,
        is_gang: bool = True,
        apart: bool = False,
        **limits: Any,
    ) -> None:
        self.settings, self.view = settings_for(0, 3, **limits), RecordView()
        name, spec = read_submission(gang(1, tasks, together=not apart, apart=apart))
        self.job = Job(name, spec, clock.wall(), allocation, done)
        if is_gang:
            self.view.put(keys.gang_key(name), 1, 1)
        else:
            self.job = replace(self.job, spec=replace(spec, gang=False))
        self.write_job(self.job, JOB_REVISION)
        self.leadership = Leadership("east", 7, 1, clock.ORIGIN)
        context = SimpleNamespace(
            view=self.view,
            settings=self.settings,
            cancellations=Cancellations(self.view),
            start_reports=StartReports(),
        )
        self.context = context
        self._revision = SLICE_REVISION
        self.state = PartitionState.create(context, self.leadership)

    def write_job(self, job: Job, revision: int) -> None:
        self.view.put(keys.job_key(GANG), job.to_value(), revision)

    def write_slice(
        self,
        done: Ranges = (),
        attempts: dict[int, Attempt] | None = None,
        partition: str = "east",
        shard: int = 0,
        revision: int = SLICE_REVISION,
    ) -> None:
        spec = self.job.spec
        shard_record = SliceShard(
            GANG, partition, spec.team, spec.resources, done, attempts or {}, shard=shard
        )
        self.view.put(shard_record.key, shard_record.to_value(), revision)

    def next_revision(self) -> int:
        self._revision += 1
        return self._revision

    def step(self) -> TransactionBuilder:
        transaction = TransactionBuilder(self.view, "east", self.leadership, self.settings)
        TerminationRecorder(self.state).record(transaction, clock.ORIGIN)
        return transaction


def in_its_slice() -> PartitionFixture:
    fixture = PartitionFixture({"east": ALL_TASKS})
    fixture.write_slice(FIRST_TASKS, SINGLE_ATTEMPTS)
    return fixture


def in_its_slice_with_nothing_left() -> PartitionFixture:
    fixture = PartitionFixture({"east": ALL_TASKS})
    fixture.write_slice(FIRST_TASKS)
    return fixture


def in_its_job() -> PartitionFixture:
    fixture = PartitionFixture({"east": LAST_TASKS}, FIRST_TASKS)
    fixture.write_slice((), SINGLE_ATTEMPTS)
    return fixture


def in_its_job_with_nothing_recorded_here() -> PartitionFixture:
    return PartitionFixture({"east": LAST_TASKS}, FIRST_TASKS)


def in_its_job_that_nobody_holds() -> PartitionFixture:
    return PartitionFixture({}, FIRST_TASKS)


def in_another_share() -> PartitionFixture:
    fixture = PartitionFixture({"east": FIRST_TASKS, "west": LAST_TASKS}, apart=True)
    fixture.write_slice(((3, 4),), partition="west")
    fixture.write_slice((), {0: Attempt(70, "m-0")})
    return fixture


def in_another_share_with_nothing_recorded_here() -> PartitionFixture:
    fixture = PartitionFixture({"east": FIRST_TASKS, "west": LAST_TASKS}, apart=True)
    fixture.write_slice(((3, 4),), partition="west")
    return fixture


DONE_IN_PART = pytest.mark.parametrize(
    "make",
    [
        in_its_slice,
        in_its_slice_with_nothing_left,
        in_its_job,
        in_its_job_with_nothing_recorded_here,
        in_its_job_that_nobody_holds,
        in_another_share,
        in_another_share_with_nothing_recorded_here,
    ],
)


@DONE_IN_PART
def test_a_gang_of_which_a_task_is_done_by_the_records_is_ended(make):
    """Guards against a gang that never ends, since no machine reports its end again."""
    fixture = make()
    transaction = fixture.step()
    job_end = transaction.changes[keys.job_end_key(GANG)]
    assert job_end.value == {"s": "done", "n": TASKS}
    assert {key for key, change in transaction.changes.items() if isinstance(change, Delete)} >= {
        keys.job_key(GANG),
        keys.gang_key(GANG),
    }
    # Conditional on unchanged records.
    assert transaction.conditions[keys.job_key(GANG)] == JOB_REVISION
    assert transaction.conditions[keys.job_end_key(GANG)] == 0
    # Attempts that may still be on machines stay recorded; other partitions' shards are unchanged.
    kept = {
        shard.key
        for job_slices in fixture.view.job_slices.values()
        for job_slice in job_slices.values()
        for shard in job_slice.shards.values()
        if shard.attempts or shard.partition != "east"
    }
    assert not kept & transaction.changes.keys()
    assert transaction.changes.keys() - JOB_KEYS <= {keys.slice_key("east", GANG, 0)}
    # After the commit nothing is left to be written, except for tasks on machines.
    fixture.view.apply_transaction(transaction.changes.values(), 9)
    assert not fixture.step().changes


@DONE_IN_PART
def test_nothing_of_a_gang_that_is_done_in_part_waits_to_be_started(make):
    """Guards against starting the other tasks, which would wait for the completed ones in vain."""
    fixture = make()
    gangs = Gangs(fixture.state, ApartGangs(fixture.state))
    share = fixture.job.allocation.get("east", ())
    assert gangs.placeable_tasks(fixture.view.jobs[GANG], share) is None


def test_a_gang_of_which_nothing_is_done_is_neither_ended_nor_kept_from_starting():
    """Guards against ending a gang without a completed task."""
    fixture = PartitionFixture({"east": ALL_TASKS})
    assert not fixture.step().changes
    waiting = Gangs(fixture.state, ApartGangs(fixture.state)).placeable_tasks(
        fixture.view.jobs[GANG], ALL_TASKS
    )
    assert waiting is not None and waiting.tasks == ALL_TASKS


def test_an_array_that_is_done_in_part_goes_on():
    """Guards against applying the rule for gangs to a job array."""
    fixture = PartitionFixture({"east": LAST_TASKS}, FIRST_TASKS, is_gang=False)
    fixture.write_slice((), SINGLE_ATTEMPTS)
    assert not fixture.step().changes


def test_a_gang_with_nothing_here_is_left_to_those_who_hold_it():
    """Guards against several leaders writing the end of a gang at the same time."""
    assert not PartitionFixture({"west": LAST_TASKS}, FIRST_TASKS).step().changes


def test_a_gang_that_is_cancelled_is_not_done():
    """Guards against reporting a second, different end of the job to the user."""
    fixture = in_its_job()
    fixture.context.cancellations.add([GANG])
    assert not fixture.step().changes


def test_an_end_that_meets_another_writing_of_the_job_comes_with_the_next_transaction():
    """Guards against overwriting what an older leader wrote, and a gang that never ends."""
    fixture = in_its_slice()
    assert fixture.step().conditions[keys.job_key(GANG)] == JOB_REVISION
    # The older leader moves the completed tasks into the job's record meanwhile.
    fixture.write_job(replace(fixture.job, allocation={"east": LAST_TASKS}, done=FIRST_TASKS), 8)
    fixture.write_slice((), SINGLE_ATTEMPTS, revision=8)
    transaction = fixture.step()
    assert transaction.conditions[keys.job_key(GANG)] == 8
    assert keys.job_end_key(GANG) in transaction.changes


def test_a_gang_wider_than_a_transaction_is_ended_at_once_and_cleared_in_several():
    """Guards against an oversized transaction, and against shards that are never deleted."""
    limits = {"value_bytes": 2048, "txn_ops": 4}
    width, shards = settings_for(0, 3, **limits).shard_width, 9
    tasks = width * shards
    last = tasks - width
    fixture = PartitionFixture({"east": ((0, tasks),)}, tasks=tasks, **limits)
    for n in range(shards):
        attempts = {last: Attempt(70, "m-1")} if n == shards - 1 else {}
        fixture.write_slice(((n * width + 1, n * width + 2),), attempts, shard=n)
    assert keys.job_end_key(GANG) in fixture.step().changes
    commit_all(fixture)
    # An attempt that may still be on its machine stays recorded until it has terminated.
    assert GANG not in fixture.view.jobs
    assert fixture.view.job_slices["east"][GANG].attempts == {last: Attempt(70, "m-1")}
    fixture.state.terminations.add((GANG, last), Termination(70, "m-1", False, "stopped"))
    commit_all(fixture)
    assert GANG not in fixture.view.job_slices["east"]


def commit_all(fixture: PartitionFixture) -> None:
    """Commit transactions, none too large, until nothing is left to be written."""
    while (transaction := fixture.step()).changes:
        assert len(transaction.changes) <= fixture.settings.txn_ops
        fixture.view.apply_transaction(transaction.changes.values(), fixture.next_revision())
        fixture.state.terminations.keep_only(
            lambda key, _: fixture.state.records.recorded_attempt(key) is not None
        )


def test_what_is_done_follows_the_records():
    """Guards against an index of completed tasks that differs from the records."""
    fixture = PartitionFixture({"east": ALL_TASKS})
    view = fixture.view
    assert view.done_gangs() == [] and not view.has_done_tasks(view.jobs[GANG])
    fixture.write_slice(FIRST_TASKS, shard=0, revision=6)
    fixture.write_slice(LAST_TASKS, shard=1, revision=6)
    fixture.write_slice(LAST_TASKS, partition="west", revision=6)
    for revision, (partition, shard) in enumerate([("east", 0), ("west", 0), ("east", 1)], 7):
        assert view.done_gangs() == [GANG] and view.has_done_tasks(view.jobs[GANG])
        view.drop(keys.slice_key(partition, GANG, shard), revision)
    assert view.done_gangs() == [] and not view.has_done_tasks(view.jobs[GANG])
    fixture.write_job(replace(fixture.job, done=FIRST_TASKS), 10)
    assert view.done_gangs() == [GANG] and view.has_done_tasks(view.jobs[GANG])
    view.drop(keys.job_key(GANG), 11)
    assert view.done_gangs() == []
