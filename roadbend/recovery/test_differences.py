"""The comparison, the settlements, the phases, and the decisions on unrecorded attempts."""

import random
from dataclasses import fields, replace
from datetime import timedelta

import pytest

from roadbend import clock
from roadbend.recovery.differences import (
    DesiredState,
    Difference,
    Kind,
    ObservedState,
    Presence,
    RecordedAttempt,
    ReportedAttempt,
    TaskId,
    compare,
)
from roadbend.recovery.pace import AdaptiveBound
from roadbend.recovery.phases import Comparing, Evidence, Gathering, Settled, Settling
from roadbend.recovery.settlement import SETTLEMENTS, Step, plan
from roadbend.recovery.unrecorded import (
    Bounds,
    Decision,
    Facts,
    HeldAttempt,
    HeldAttempts,
    decide,
)

S = timedelta(seconds=1)
TASK, OTHER = TaskId("run-000001", 0), TaskId("run-000002", 0)
RECORDED = RecordedAttempt(TASK, 7, "m-1")
RUNNING, ENDED = ReportedAttempt(TASK, 7, "m-1", False), ReportedAttempt(TASK, 7, "m-1", True)
HEARD = {"m-1": Presence.HEARD}


def kinds(recorded, reported, machines, live=("run-000001",)) -> list[Kind]:
    found = compare(
        DesiredState(frozenset(recorded), frozenset(live)),
        ObservedState(frozenset(reported), machines),
    )
    return [row.kind for row in found.differences]


@pytest.mark.parametrize(
    "recorded, reported, machines, live, expected",
    [
        ([RECORDED], [RUNNING], HEARD, ["run-000001"], []),
        ([RECORDED], [], HEARD, ["run-000001"], [Kind.MISSING]),
        # Its job has ended, and its machine lacks it: only the record is left.
        ([RECORDED], [], HEARD, [], [Kind.ENDED]),
        ([RECORDED], [ENDED], HEARD, ["run-000001"], [Kind.ENDED]),
        ([RECORDED], [RUNNING], HEARD, [], [Kind.CANCELLED]),
        ([], [RUNNING], HEARD, ["run-000001"], [Kind.UNRECORDED]),
        # An unrecorded attempt that has ended needs no settlement: its machine discards it.
        ([], [ENDED], HEARD, ["run-000001"], []),
        (
            [RECORDED],
            [RUNNING, ReportedAttempt(TASK, 3, "m-2", False)],
            {**HEARD, "m-2": Presence.HEARD},
            ["run-000001"],
            [Kind.SUPERSEDED],
        ),
        (
            [],
            [RUNNING, ReportedAttempt(TASK, 3, "m-2", False)],
            {**HEARD, "m-2": Presence.HEARD},
            ["run-000001"],
            [Kind.ON_TWO_MACHINES, Kind.ON_TWO_MACHINES],
        ),
        ([RECORDED], [], {"m-1": Presence.SILENT}, ["run-000001"], [Kind.MACHINE_SILENT]),
        # A machine that was neither listed nor sent a heartbeat is silent, not gone.
        ([RECORDED], [], {}, ["run-000001"], [Kind.MACHINE_SILENT]),
        ([RECORDED], [], {"m-1": Presence.GONE}, ["run-000001"], [Kind.MACHINE_GONE]),
        ([], [], {"m-9": Presence.SILENT}, [], [Kind.MACHINE_UNKNOWN]),
        ([], [], {"m-9": Presence.BOOTING}, [], []),
    ],
)
def test_each_difference_has_its_kind(recorded, reported, machines, live, expected):
    assert kinds(recorded, reported, machines, live) == expected


def test_the_order_of_what_is_compared_does_not_matter():
    rng = random.Random(4)
    recorded = [RecordedAttempt(TaskId("run-000001", n), n, f"m-{n % 5}") for n in range(40)]
    reported = [ReportedAttempt(*row, False) for row in recorded if row.attempt % 3]
    machines = {f"m-{n}": Presence.HEARD for n in range(5)}
    desired = DesiredState(frozenset(recorded), frozenset({"run-000001"}))
    found = compare(desired, ObservedState(frozenset(reported), machines))
    for _ in range(5):
        rng.shuffle(recorded)
        rng.shuffle(reported)
        again = DesiredState(frozenset(recorded), frozenset({"run-000001"}))
        assert compare(again, ObservedState(frozenset(reported), machines)) == found
    assert found.counts() == {"missing": 14} and found.matching == 26


def test_every_kind_has_one_settlement_and_services_come_first():
    assert set(SETTLEMENTS) == set(Kind) - {Kind.MATCHING}
    recorded = [RecordedAttempt(TASK, 7, "m-1"), RecordedAttempt(OTHER, 8, "m-1")]
    found = compare(
        DesiredState(frozenset(recorded), frozenset({"run-000001", "run-000002"})),
        ObservedState(frozenset(), HEARD),
    )
    steps = plan(found, frozenset({"run-000002"}))
    assert [row.difference.task for row in steps] == [OTHER, TASK]
    assert {row.settlement.step for row in steps} == {Step.ORDER_AGAIN}


def test_gathering_ends_by_evidence_or_at_its_bound():
    at = clock.ORIGIN
    gathering = Gathering(at, at + 8 * S)
    missing = Evidence(frozenset({"a", "b"}), frozenset({"a"}), frozenset(), True)
    assert gathering.next(missing, at + S) is gathering
    known_absent = replace(missing, known_absent=frozenset({"b"}))
    assert gathering.next(known_absent, at + S) == Comparing(at, True)
    # Without the cloud's list the expected machines are not known.
    assert gathering.next(replace(known_absent, is_list_read=False), at + S) is gathering
    assert gathering.next(missing, at + 8 * S) == Comparing(at, False)


def test_what_waits_for_its_own_proof_does_not_keep_a_recovery_open():
    at = clock.ORIGIN
    assert Comparing(at, True).next({"missing": 1}, at) == Settling(at)
    assert Settling(at).next({"machine-silent": 3}, at + S) == Settled(at, at + S)


LIVE = Facts(
    records_read=True,
    peers_replied=True,
    superseded=False,
    is_job_live=True,
    job_ended=None,
    gang=False,
    reported_done=False,
    machine_confirmed=True,
    machine_allowed=True,
    on_other_machines=False,
    higher_attempt_elsewhere=False,
    machines_known=True,
    within_quota=True,
    held_for=S,
)
UNKNOWN = replace(LIVE, is_job_live=False, job_ended=False)
BOUNDS = Bounds(answer=3 * S, late_write=12 * S)


@pytest.mark.parametrize(
    "facts, change, expected",
    [
        (LIVE, {}, Decision.ADOPT),
        (LIVE, {"records_read": False}, Decision.HOLD),
        (LIVE, {"peers_replied": False}, Decision.HOLD),
        (LIVE, {"peers_replied": False, "held_for": 3 * S}, Decision.ADOPT),
        (LIVE, {"superseded": True}, Decision.STOP),
        (LIVE, {"gang": True}, Decision.STOP),
        (LIVE, {"reported_done": True}, Decision.RECORD_DONE),
        (LIVE, {"machine_allowed": False}, Decision.STOP),
        (LIVE, {"machine_confirmed": False}, Decision.HOLD),
        # A machine without a heartbeat so far may run the same task.
        (LIVE, {"machines_known": False}, Decision.HOLD),
        (LIVE, {"on_other_machines": True}, Decision.HOLD),
        (LIVE, {"on_other_machines": True, "higher_attempt_elsewhere": True}, Decision.STOP),
        (LIVE, {"within_quota": False}, Decision.STOP),
        (UNKNOWN, {}, Decision.HOLD),
        (UNKNOWN, {"held_for": 12 * S}, Decision.STOP),
        # Its user may have been notified that it is cancelled.
        (UNKNOWN, {"job_ended": True}, Decision.STOP),
        (UNKNOWN, {"job_ended": None}, Decision.HOLD),
        (UNKNOWN, {"job_ended": None, "held_for": 3 * S}, Decision.STOP),
    ],
)
def test_an_unrecorded_attempt_is_never_stopped_at_once_or_adopted_from_a_report_alone(
    facts, change, expected
):
    assert {row.name for row in fields(Facts)} >= change.keys()
    assert decide(replace(facts, **change), BOUNDS) is expected


def test_held_attempts_are_bounded_and_know_their_tasks():
    held = HeldAttempts(2)
    rows = [
        HeldAttempt(
            job="run-000001",
            index=0,
            attempt=7,
            machine=f"m-{n}",
            since=clock.ORIGIN,
            reported_done=False,
        )
        for n in range(3)
    ]
    assert [held.add(row) for row in rows] == [True, True, False]
    assert held.others(rows[0]) == [rows[1]] and held.indexes("run-000001") == {0}
    held.remove(rows[0])
    held.remove(rows[0])
    assert held.indexes("run-000001") == {0} and len(held) == 1
    held.remove(rows[1])
    assert held.jobs() == set()


def test_the_pace_grows_while_it_succeeds_and_halves_when_it_fails():
    bound = AdaptiveBound(8, 32)
    bound.record_success(100)
    assert bound.value == 32
    bound.record_failure()
    assert bound.value == 16
    for _ in range(5):
        bound.record_failure()
    assert bound.value == 8


def test_a_watch_tells_new_settled_and_staying_and_merges_ages():
    from roadbend.recovery.watch import Watch  # noqa: PLC0415 -- an optional dependency

    at = clock.ORIGIN
    first, second = Difference(Kind.MISSING, "m-1", TASK, 7), Difference(Kind.MACHINE_SILENT, "m-2")
    watch = Watch()
    assert watch.update([first, second], at).new == (first, second)
    assert watch.update([second], at + 5 * S).settled == 1
    assert watch.update([second], at + 10 * S).persistent == (second,)
    assert watch.age_quantile(0.5) == 5.0
    other = Watch()
    other.merge_ages(watch.serialize_ages())
    assert other.age_quantile(0.99) == 5.0
