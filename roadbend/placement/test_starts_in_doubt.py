"""What settles a start that was sent, and what finding that out costs.

A user may be told of a cancellation only when no start of the job is in doubt any more; a guard
that is missing here lets a cancelled job begin (tests/scenarios/test_confirmed_cancellations.py).
"""

from datetime import timedelta
from functools import partial
from types import SimpleNamespace

import pytest

from roadbend import clock
from roadbend.fakes.platform import settings_for
from roadbend.fleet.machines import DirectStart, Machine
from roadbend.fleet.messages import HeartbeatPosition, StartTask, StopTask
from roadbend.fleet.terminations import TaskKey
from roadbend.partitions.leadership import Leadership
from roadbend.placement.partition_records import PartitionRecords
from roadbend.placement.starts_in_doubt import WORKER_ANSWER_TIMEOUT, StartsInDoubt
from roadbend.settings import OperatorSettings
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Resources, SliceShard

S = timedelta(seconds=1)
JOB, OTHER = "run-000001", "run-000002"
KEY = TaskKey(JOB, 0)
NOW = clock.ORIGIN + timedelta(hours=1)
SETTINGS = settings_for(0, 1)
# When a lease that began now, and one that a former leader may have renewed, have expired.
LEASE_OVER = NOW + SETTINGS.lease + 3 * S
FORMER_LEASE_OVER = NOW + SETTINGS.cancel_within + 3 * S


def shard(job: str, attempts: dict[int, Attempt]) -> SliceShard:
    return SliceShard(job, "east", "red", Resources(1, 0, 1), attempts=attempts, shard=0)


class Desk:
    """A partition with machine m-1, on which an attempt of a job is recorded."""

    def __init__(self, acquired_at=clock.ORIGIN, recorded_before=False):
        self.view = RecordView()
        context = SimpleNamespace(view=self.view, settings=SETTINGS, operator=OperatorSettings())
        records = PartitionRecords(context, Leadership("east", 7, 1, acquired_at))
        self.machine = Machine("m-1", "m-1:1", "g2", "east", False)
        self.machine.contact.advance_to(HeartbeatPosition(1, 5), NOW)
        self.machine.token.confirmed = not recorded_before
        self.machines = {"m-1": self.machine}
        if recorded_before:
            self.record()
        self.starts = StartsInDoubt(records, self.machines)
        if not recorded_before:
            self.record()
        self.now = NOW

    def record(self) -> None:
        row = shard(JOB, {0: Attempt(70, "m-1")})
        self.view.put(row.key, row.to_value(), 5)

    def send_directly(self) -> DirectStart:
        start = DirectStart(70, 1)
        self.machine.token.direct_starts[KEY] = start
        self.starts.record_direct_start(self.machine, KEY, start)
        return start

    def answer(self) -> None:
        position = self.machine.contact.position
        orders = [StopTask(OTHER, 3, 9), StartTask(JOB, 0, 70)]
        self.starts.record_answer(self.machine, position, self.now, orders)

    def in_doubt(self, job: str = JOB) -> bool:
        return self.starts.has_any(job, self.now)


def its_answer_comes(desk, start):
    start.acknowledged_position = HeartbeatPosition(1, 6)


def it_is_refused(desk, start):
    start.refused = True


def its_machine_shows_the_raised_token(desk, start):
    desk.machine.raise_token()
    assert desk.in_doubt(), "it has not shown the token yet"
    desk.machine.token.confirmed = True


def its_epoch_is_over(desk, start):
    desk.machine.contact.advance_to(HeartbeatPosition(2, 1), NOW)


def its_machines_lease_expires(desk, start):
    desk.now = LEASE_OVER - 4 * S
    assert desk.in_doubt(), "the lease may last"
    desk.now = LEASE_OVER


def its_machine_is_deleted(desk, start):
    desk.machines.clear()


def its_end_is_recorded(desk, start):
    desk.view.drop(shard(JOB, {}).key, 9)


SETTLED_BY = [
    its_answer_comes,
    it_is_refused,
    its_machine_shows_the_raised_token,
    its_epoch_is_over,
    its_machines_lease_expires,
    its_machine_is_deleted,
    its_end_is_recorded,
]


@pytest.mark.parametrize("settle", SETTLED_BY, ids=lambda settle: settle.__name__)
def test_a_direct_start_is_in_doubt_until(settle):
    desk = Desk()
    start = desk.send_directly()
    assert desk.in_doubt() and not desk.in_doubt(OTHER)
    settle(desk, start)
    assert not desk.in_doubt()


def test_a_newer_heartbeat_of_the_same_epoch_does_not_settle_a_direct_start():
    desk = Desk()
    desk.send_directly()
    desk.machine.contact.advance_to(HeartbeatPosition(1, 9), NOW)
    assert desk.in_doubt()


def test_a_direct_start_to_a_machine_that_restarts_is_in_doubt_until_it_shows_the_new_token():
    """It counts its epochs anew, so the held start could be of its present one."""
    desk = Desk()
    desk.send_directly()
    desk.machine.record_restart(HeartbeatPosition(1, 1))
    desk.starts.mark_restarted("m-1")
    desk.machine.contact.advance_to(HeartbeatPosition(2, 1), NOW)
    assert desk.in_doubt()
    desk.machine.token.confirmed = True
    desk.starts.mark_confirmed("m-1")
    assert not desk.in_doubt()


def test_an_answered_start_is_in_doubt_until_a_newer_heartbeat_comes():
    desk = Desk()
    desk.answer()
    assert desk.in_doubt() and not desk.in_doubt(OTHER)
    desk.machine.contact.advance_to(HeartbeatPosition(1, 6), NOW)
    assert not desk.in_doubt()


def test_an_answered_start_is_in_doubt_until_the_worker_has_dropped_the_answer():
    desk = Desk()
    desk.answer()
    desk.now = NOW + WORKER_ANSWER_TIMEOUT
    assert desk.in_doubt()
    desk.now += 0.2 * S
    assert not desk.in_doubt()


@pytest.mark.parametrize("known", [True, False], ids=["registered", "not-registered"])
def test_what_a_former_leader_may_have_sent_is_in_doubt_until_the_machine_shows_our_token(known):
    desk = Desk(acquired_at=NOW, recorded_before=True)
    if not known:
        desk.machines.clear()
    assert desk.in_doubt() and not desk.in_doubt(OTHER)
    desk.machines["m-1"] = desk.machine
    desk.starts.mark_confirmed("m-1")
    assert not desk.in_doubt()


def test_what_a_former_leader_may_have_sent_is_in_doubt_until_its_leases_have_expired():
    desk = Desk(acquired_at=NOW, recorded_before=True)
    desk.machines.clear()
    desk.now = FORMER_LEASE_OVER - 4 * S
    assert desk.in_doubt()
    desk.now = FORMER_LEASE_OVER
    assert not desk.in_doubt()


def test_a_restarted_machine_may_carry_out_what_a_former_leader_sent():
    desk = Desk(acquired_at=NOW, recorded_before=True)
    desk.starts.mark_confirmed("m-1")
    desk.starts.mark_restarted("m-1")
    assert desk.in_doubt()


def test_what_the_former_leader_reported_as_settled_is_not_in_doubt():
    """Guards against a cancellation that waits for a machine because its leader has changed."""
    desk = Desk(acquired_at=NOW, recorded_before=True)
    desk.starts.inherit(5, (OTHER,))
    assert not desk.in_doubt()


@pytest.mark.parametrize(
    "revision, unsettled", [(4, ()), (5, (JOB,))], ids=["recorded-later", "named"]
)
def test_what_the_former_leader_did_not_report_as_settled_is_in_doubt(revision, unsettled):
    """Guards against a start that the former leader sent after its report, or that it named."""
    desk = Desk(acquired_at=NOW, recorded_before=True)
    desk.starts.inherit(revision, unsettled)
    assert desk.in_doubt()


def test_an_inherited_attempt_whose_machine_restarts_is_in_doubt():
    """Guards against a restarted machine that knows no token yet."""
    desk = Desk(acquired_at=NOW, recorded_before=True)
    desk.starts.inherit(5, ())
    desk.starts.mark_restarted("m-1")
    assert desk.in_doubt()
    desk.starts.mark_confirmed("m-1")
    assert not desk.in_doubt()


def test_an_own_start_of_an_inherited_attempt_is_in_doubt():
    """Guards against a lost attempt that we start anew and call settled."""
    desk = Desk(acquired_at=NOW, recorded_before=True)
    desk.starts.inherit(5, ())
    desk.send_directly()
    assert desk.in_doubt()


def test_settled_starts_are_dropped_though_nobody_asks():
    desk = Desk()
    desk.answer()
    desk.starts.tidy(NOW)
    assert desk.starts._by_job
    desk.starts.tidy(NOW + 10 * S)
    assert not desk.starts._by_job


def wide(desk: Desk, tasks: int) -> None:
    """Record so many tasks of a job, each on a machine of its own, and have them started."""
    attempts = {n: Attempt(70 + n, f"m-1{n:04}") for n in range(tasks)}
    row = shard(OTHER, attempts)
    desk.view.put(row.key, row.to_value(), 6)
    for attempt in attempts.values():
        machine = Machine(attempt.machine, f"{attempt.machine}:1", "g2", "east", False)
        machine.token.confirmed = True
        machine.contact.advance_to(HeartbeatPosition(1, 5), NOW)
        desk.machines[machine.id] = machine


@pytest.mark.parametrize("confirmed", [True, False], ids=["own", "former"])
def test_it_costs_by_the_starts_in_doubt_not_by_the_job_or_the_fleet(calls, confirmed):
    """Jobs have thousands of tasks, and users cancel at once."""
    costs = []
    for tasks in (10, 4000):
        desk = Desk(acquired_at=NOW, recorded_before=not confirmed)
        wide(desk, tasks)
        desk.send_directly()
        costs.append([calls(partial(desk.in_doubt, job)) for job in (JOB, OTHER)])
        assert desk.in_doubt() and not desk.in_doubt(OTHER)
    assert costs[0] == costs[1]
    assert max(costs[1]) < 100
