"""What settles a start that was sent, and the cost of determining that.

A cancellation may be confirmed to the user only when no start of the job is in doubt any more.
Otherwise a cancelled job may begin (tests/scenarios/test_confirmed_cancellations.py).
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
# When a lease that began at NOW, and one that a former leader may have renewed, have expired.
LEASE_EXPIRED = NOW + SETTINGS.lease + 3 * S
FORMER_LEASE_EXPIRED = NOW + SETTINGS.cancel_within + 3 * S


def shard(job: str, attempts: dict[int, Attempt]) -> SliceShard:
    return SliceShard(job, "east", "red", Resources(1, 0, 1), attempts=attempts, shard=0)


class PartitionFixture:
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
        shard_record = shard(JOB, {0: Attempt(70, "m-1")})
        self.view.put(shard_record.key, shard_record.to_value(), 5)

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


def its_answer_comes(fixture, start):
    start.acknowledged_position = HeartbeatPosition(1, 6)


def it_is_refused(fixture, start):
    start.refused = True


def its_machine_shows_the_raised_token(fixture, start):
    fixture.machine.raise_token()
    assert fixture.in_doubt(), "it has not confirmed the token yet"
    fixture.machine.token.confirmed = True


def its_epoch_is_over(fixture, start):
    fixture.machine.contact.advance_to(HeartbeatPosition(2, 1), NOW)


def its_machines_lease_expires(fixture, start):
    fixture.now = LEASE_EXPIRED - 4 * S
    assert fixture.in_doubt(), "the lease may not have expired yet"
    fixture.now = LEASE_EXPIRED


def its_machine_is_deleted(fixture, start):
    fixture.machines.clear()


def its_end_is_recorded(fixture, start):
    fixture.view.drop(shard(JOB, {}).key, 9)


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
    fixture = PartitionFixture()
    start = fixture.send_directly()
    assert fixture.in_doubt() and not fixture.in_doubt(OTHER)
    settle(fixture, start)
    assert not fixture.in_doubt()


def test_a_newer_heartbeat_of_the_same_epoch_does_not_settle_a_direct_start():
    fixture = PartitionFixture()
    fixture.send_directly()
    fixture.machine.contact.advance_to(HeartbeatPosition(1, 9), NOW)
    assert fixture.in_doubt()


def test_a_direct_start_to_a_machine_that_restarts_is_in_doubt_until_it_shows_the_new_token():
    """It numbers its epochs from the beginning, so the start may fall into its present epoch."""
    fixture = PartitionFixture()
    fixture.send_directly()
    fixture.machine.record_restart(HeartbeatPosition(1, 1))
    fixture.starts.mark_restarted("m-1")
    fixture.machine.contact.advance_to(HeartbeatPosition(2, 1), NOW)
    assert fixture.in_doubt()
    fixture.machine.token.confirmed = True
    fixture.starts.mark_confirmed("m-1")
    assert not fixture.in_doubt()


def test_an_answered_start_is_in_doubt_until_a_newer_heartbeat_comes():
    fixture = PartitionFixture()
    fixture.answer()
    assert fixture.in_doubt() and not fixture.in_doubt(OTHER)
    fixture.machine.contact.advance_to(HeartbeatPosition(1, 6), NOW)
    assert not fixture.in_doubt()


def test_an_answered_start_is_in_doubt_until_the_worker_has_dropped_the_answer():
    fixture = PartitionFixture()
    fixture.answer()
    fixture.now = NOW + WORKER_ANSWER_TIMEOUT
    assert fixture.in_doubt()
    fixture.now += 0.2 * S
    assert not fixture.in_doubt()


@pytest.mark.parametrize("known", [True, False], ids=["registered", "not-registered"])
def test_what_a_former_leader_may_have_sent_is_in_doubt_until_the_machine_shows_our_token(known):
    fixture = PartitionFixture(acquired_at=NOW, recorded_before=True)
    if not known:
        fixture.machines.clear()
    assert fixture.in_doubt() and not fixture.in_doubt(OTHER)
    fixture.machines["m-1"] = fixture.machine
    fixture.starts.mark_confirmed("m-1")
    assert not fixture.in_doubt()


def test_what_a_former_leader_may_have_sent_is_in_doubt_until_its_leases_have_expired():
    fixture = PartitionFixture(acquired_at=NOW, recorded_before=True)
    fixture.machines.clear()
    fixture.now = FORMER_LEASE_EXPIRED - 4 * S
    assert fixture.in_doubt()
    fixture.now = FORMER_LEASE_EXPIRED
    assert not fixture.in_doubt()


def test_a_restarted_machine_may_carry_out_what_a_former_leader_sent():
    fixture = PartitionFixture(acquired_at=NOW, recorded_before=True)
    fixture.starts.mark_confirmed("m-1")
    fixture.starts.mark_restarted("m-1")
    assert fixture.in_doubt()


def test_what_the_former_leader_reported_as_settled_is_not_in_doubt():
    """Guards against a cancellation that waits for a machine only because the leader changed."""
    fixture = PartitionFixture(acquired_at=NOW, recorded_before=True)
    fixture.starts.inherit(5, (OTHER,))
    assert not fixture.in_doubt()


@pytest.mark.parametrize(
    "revision, unsettled", [(4, ()), (5, (JOB,))], ids=["recorded-later", "named"]
)
def test_what_the_former_leader_did_not_report_as_settled_is_in_doubt(revision, unsettled):
    """Guards against ignoring starts sent after the former leader's report, or named in it."""
    fixture = PartitionFixture(acquired_at=NOW, recorded_before=True)
    fixture.starts.inherit(revision, unsettled)
    assert fixture.in_doubt()


def test_an_inherited_attempt_whose_machine_restarts_is_in_doubt():
    """Guards against trusting a restarted machine that has no token yet."""
    fixture = PartitionFixture(acquired_at=NOW, recorded_before=True)
    fixture.starts.inherit(5, ())
    fixture.starts.mark_restarted("m-1")
    assert fixture.in_doubt()
    fixture.starts.mark_confirmed("m-1")
    assert not fixture.in_doubt()


def test_an_own_start_of_an_inherited_attempt_is_in_doubt():
    """Guards against treating a lost attempt as settled that this leader starts again."""
    fixture = PartitionFixture(acquired_at=NOW, recorded_before=True)
    fixture.starts.inherit(5, ())
    fixture.send_directly()
    assert fixture.in_doubt()


def test_settled_starts_are_dropped_though_nobody_asks():
    fixture = PartitionFixture()
    fixture.answer()
    fixture.starts.drop_obsolete(NOW)
    assert fixture.starts._by_job
    fixture.starts.drop_obsolete(NOW + 10 * S)
    assert not fixture.starts._by_job


def record_wide_job(fixture: PartitionFixture, tasks: int) -> None:
    """Record tasks of a job, each on a machine of its own that has confirmed our token."""
    attempts = {n: Attempt(70 + n, f"m-1{n:04}") for n in range(tasks)}
    shard_record = shard(OTHER, attempts)
    fixture.view.put(shard_record.key, shard_record.to_value(), 6)
    for attempt in attempts.values():
        machine = Machine(attempt.machine, f"{attempt.machine}:1", "g2", "east", False)
        machine.token.confirmed = True
        machine.contact.advance_to(HeartbeatPosition(1, 5), NOW)
        fixture.machines[machine.id] = machine


@pytest.mark.parametrize("confirmed", [True, False], ids=["own", "former"])
def test_it_costs_by_the_starts_in_doubt_not_by_the_job_or_the_fleet(count_calls, confirmed):
    """Jobs have thousands of tasks, and cancellations must be confirmed quickly."""
    costs = []
    for tasks in (10, 4000):
        fixture = PartitionFixture(acquired_at=NOW, recorded_before=not confirmed)
        record_wide_job(fixture, tasks)
        fixture.send_directly()
        costs.append([count_calls(partial(fixture.in_doubt, job)) for job in (JOB, OTHER)])
        assert fixture.in_doubt() and not fixture.in_doubt(OTHER)
    assert costs[0] == costs[1]
    assert max(costs[1]) < 100
