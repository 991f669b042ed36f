"""Gangs of which the records say that some tasks are done: then all are, and the job is.

Versions before gangs record the tasks' ends one by one, in the gang's slices or in its job's
record (docs/incidents/2026-12-gang-that-never-ended.md).
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
ALL, FIRST, REST = ((0, 4),), ((0, 2),), ((2, 4),)
JOB_REVISION, SLICE_REVISION = 5, 6
# Attempts at the rest, started singly.
SINGLY = {2: Attempt(70, "m-2"), 3: Attempt(71, "m-3")}
OVER = {keys.job_key(GANG), keys.job_end_key(GANG), keys.gang_key(GANG)}


class Desk:
    """The leader of the east, and the records of one gang, of four tasks by default."""

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
        row = SliceShard(
            GANG, partition, spec.team, spec.resources, done, attempts or {}, shard=shard
        )
        self.view.put(row.key, row.to_value(), revision)

    def next_revision(self) -> int:
        self._revision += 1
        return self._revision

    def step(self) -> TransactionBuilder:
        transaction = TransactionBuilder(self.view, "east", self.leadership, self.settings)
        TerminationRecorder(self.state).record(transaction, clock.ORIGIN)
        return transaction


def in_its_slice() -> Desk:
    desk = Desk({"east": ALL})
    desk.write_slice(FIRST, SINGLY)
    return desk


def in_its_slice_with_nothing_left() -> Desk:
    desk = Desk({"east": ALL})
    desk.write_slice(FIRST)
    return desk


def in_its_job() -> Desk:
    desk = Desk({"east": REST}, FIRST)
    desk.write_slice((), SINGLY)
    return desk


def in_its_job_with_nothing_recorded_here() -> Desk:
    return Desk({"east": REST}, FIRST)


def in_its_job_that_nobody_holds() -> Desk:
    return Desk({}, FIRST)


def in_another_share() -> Desk:
    desk = Desk({"east": FIRST, "west": REST}, apart=True)
    desk.write_slice(((3, 4),), partition="west")
    desk.write_slice((), {0: Attempt(70, "m-0")})
    return desk


def in_another_share_with_nothing_recorded_here() -> Desk:
    desk = Desk({"east": FIRST, "west": REST}, apart=True)
    desk.write_slice(((3, 4),), partition="west")
    return desk


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
    """Guards against a gang that waits for ever, since nobody reports its end again."""
    desk = make()
    transaction = desk.step()
    job_end = transaction.changes[keys.job_end_key(GANG)]
    assert job_end.value == {"s": "done", "n": TASKS}
    assert {key for key, change in transaction.changes.items() if isinstance(change, Delete)} >= {
        keys.job_key(GANG),
        keys.gang_key(GANG),
    }
    # Only if the records are as they were read.
    assert transaction.conditions[keys.job_key(GANG)] == JOB_REVISION
    assert transaction.conditions[keys.job_end_key(GANG)] == 0
    # What may still be on machines stays in the records, and another partition's are its own.
    kept = {
        shard.key
        for job_slices in desk.view.job_slices.values()
        for job_slice in job_slices.values()
        for shard in job_slice.shards.values()
        if shard.attempts or shard.partition != "east"
    }
    assert not kept & transaction.changes.keys()
    assert transaction.changes.keys() - OVER <= {keys.slice_key("east", GANG, 0)}
    # Nothing is left to be done once that is carried out, but for the tasks on machines.
    desk.view.apply_transaction(transaction.changes.values(), 9)
    assert not desk.step().changes


@DONE_IN_PART
def test_nothing_of_a_gang_that_is_done_in_part_waits_to_be_started(make):
    """Guards against the rest of it, which would wait on machines for what is done, in vain."""
    desk = make()
    gangs = Gangs(desk.state, ApartGangs(desk.state))
    share = desk.job.allocation.get("east", ())
    assert gangs.placeable_tasks(desk.view.jobs[GANG], share) is None


def test_a_gang_of_which_nothing_is_done_is_neither_ended_nor_kept_from_starting():
    """Guards against an end without a task that is done."""
    desk = Desk({"east": ALL})
    assert not desk.step().changes
    waiting = Gangs(desk.state, ApartGangs(desk.state)).placeable_tasks(desk.view.jobs[GANG], ALL)
    assert waiting is not None and waiting.tasks == ALL


def test_an_array_that_is_done_in_part_goes_on():
    """Guards against the rule of gangs for jobs that are none."""
    desk = Desk({"east": REST}, FIRST, is_gang=False)
    desk.write_slice((), SINGLY)
    assert not desk.step().changes


def test_a_gang_with_nothing_here_is_left_to_those_who_hold_it():
    """Guards against leaders that all write the end of one gang at a time."""
    assert not Desk({"west": REST}, FIRST).step().changes


def test_a_gang_that_is_cancelled_is_not_done():
    """Guards against an end that a user is told after another one."""
    desk = in_its_job()
    desk.context.cancellations.add([GANG])
    assert not desk.step().changes


def test_an_end_that_meets_another_writing_of_the_job_comes_with_the_next_transaction():
    """Guards against an older leader's writing that is lost, or that stops the end for ever."""
    desk = in_its_slice()
    assert desk.step().conditions[keys.job_key(GANG)] == JOB_REVISION
    # The older leader moves what is done into the job's record meanwhile.
    desk.write_job(replace(desk.job, allocation={"east": REST}, done=FIRST), 8)
    desk.write_slice((), SINGLY, revision=8)
    transaction = desk.step()
    assert transaction.conditions[keys.job_key(GANG)] == 8
    assert keys.job_end_key(GANG) in transaction.changes


def test_a_gang_wider_than_a_transaction_is_ended_at_once_and_cleared_in_several():
    """Guards against a transaction that is too large, and slices that stay for ever."""
    limits = {"value_bytes": 2048, "txn_ops": 4}
    width, shards = settings_for(0, 3, **limits).shard_width, 9
    tasks = width * shards
    last = tasks - width
    desk = Desk({"east": ((0, tasks),)}, tasks=tasks, **limits)
    for n in range(shards):
        attempts = {last: Attempt(70, "m-1")} if n == shards - 1 else {}
        desk.write_slice(((n * width + 1, n * width + 2),), attempts, shard=n)
    assert keys.job_end_key(GANG) in desk.step().changes
    carry_out_all(desk)
    # What may still be on its machine stays until it is terminated.
    assert GANG not in desk.view.jobs
    assert desk.view.job_slices["east"][GANG].attempts == {last: Attempt(70, "m-1")}
    desk.state.terminations.add((GANG, last), Termination(70, "m-1", False, "stopped"))
    carry_out_all(desk)
    assert GANG not in desk.view.job_slices["east"]


def carry_out_all(desk: Desk) -> None:
    """Carry out transactions, none too large, until nothing is left to be written."""
    while (transaction := desk.step()).changes:
        assert len(transaction.changes) <= desk.settings.txn_ops
        desk.view.apply_transaction(transaction.changes.values(), desk.next_revision())
        desk.state.terminations.keep_only(
            lambda key, _: desk.state.records.recorded_attempt(key) is not None
        )


def test_what_is_done_follows_the_records():
    """Guards against an index that keeps what the records no longer say, or loses what they do."""
    desk = Desk({"east": ALL})
    view = desk.view
    assert view.done_gangs() == [] and not view.has_done_tasks(view.jobs[GANG])
    desk.write_slice(FIRST, shard=0, revision=6)
    desk.write_slice(REST, shard=1, revision=6)
    desk.write_slice(REST, partition="west", revision=6)
    for revision, (partition, shard) in enumerate([("east", 0), ("west", 0), ("east", 1)], 7):
        assert view.done_gangs() == [GANG] and view.has_done_tasks(view.jobs[GANG])
        view.drop(keys.slice_key(partition, GANG, shard), revision)
    assert view.done_gangs() == [] and not view.has_done_tasks(view.jobs[GANG])
    desk.write_job(replace(desk.job, done=FIRST), 10)
    assert view.done_gangs() == [GANG] and view.has_done_tasks(view.jobs[GANG])
    view.drop(keys.job_key(GANG), 11)
    assert view.done_gangs() == []
