"""Which starts a leader reports as settled, and when it may send one again.

If a peer relies on a report while its sender sends the start again, a cancelled job may begin
(tests/scenarios/test_start_reports.py).
"""

from datetime import timedelta
from types import SimpleNamespace

import pytest

from roadbend import clock
from roadbend.fakes.platform import settings_for
from roadbend.fleet.machines import ObservedTask
from roadbend.fleet.messages import TaskState
from roadbend.fleet.terminations import TaskKey
from roadbend.partitions.election import START_FRESHNESS
from roadbend.partitions.leadership import Leadership
from roadbend.placement.partition_records import PartitionRecords
from roadbend.placement.start_reports import REPORT_LIFETIME, StartReports
from roadbend.placement.unheld_attempts import UnheldAttempts
from roadbend.settings import OperatorSettings
from roadbend.store.record_view import RecordView
from roadbend.store.records import Attempt, Resources, SliceShard

S = timedelta(seconds=1)
NOW = clock.ORIGIN + timedelta(hours=1)
JOB, KEY = "run-000001", TaskKey("run-000001", 0)
ATTEMPT = Attempt(70, "m-1")
# When no peer relies on a report sent at NOW any more.
REPORT_EXPIRED = NOW + (REPORT_LIFETIME + START_FRESHNESS) * 1.01


class PartitionFixture:
    """A partition with attempts on a machine, recorded before the leadership began."""

    def __init__(self, attempts: dict[int, Attempt] | None = None):
        self.view, self.reports = RecordView(), StartReports()
        self.record({0: ATTEMPT} if attempts is None else attempts)
        context = SimpleNamespace(
            view=self.view,
            settings=settings_for(0, 1),
            operator=OperatorSettings(),
            start_reports=self.reports,
        )
        records = PartitionRecords(context, Leadership("east", 7, 1, clock.ORIGIN))
        self.unheld = UnheldAttempts(records)

    def record(self, attempts: dict[int, Attempt], revision: int = 5) -> None:
        shard_record = SliceShard(
            JOB, "east", "red", Resources(1, 0, 1), attempts=attempts, shard=0
        )
        self.view.put(shard_record.key, shard_record.to_value(), revision)

    def report_task(self, number: int = 70, machine: str = "m-1") -> None:
        reported = ObservedTask(number, TaskState.RUNNING, NOW)
        self.unheld.mark_held(machine, {KEY: reported})

    def may_send(self, now=NOW) -> bool:
        return self.unheld.may_send("m-1", KEY, 70, now)


def test_an_attempt_is_unheld_until_its_machine_shows_it():
    fixture = PartitionFixture()
    assert fixture.unheld.jobs() == {JOB} and fixture.may_send()
    fixture.report_task(number=69)
    fixture.report_task(machine="m-2")
    assert fixture.unheld.jobs() == {JOB}
    fixture.report_task()
    assert fixture.unheld.jobs() == set()


def test_an_attempt_that_is_recorded_newly_is_unheld():
    """Guards against a report that omits a start that has just been recorded."""
    fixture = PartitionFixture({})
    assert fixture.unheld.jobs() == set()
    fixture.view.attempt_listeners.append(
        lambda _partition, job, index, attempt: fixture.unheld.mark_recorded(
            TaskKey(job, index), attempt
        )
    )
    fixture.record({0: ATTEMPT}, 6)
    assert fixture.unheld.jobs() == {JOB}
    # Replaced on another machine under the same attempt number, like a task of a gang.
    fixture.report_task()
    fixture.record({0: Attempt(70, "m-2")}, 7)
    assert fixture.unheld.jobs() == {JOB}


def test_what_the_records_no_longer_name_is_forgotten():
    fixture = PartitionFixture()
    fixture.record({}, 6)
    assert fixture.unheld.jobs() == set() and not fixture.unheld._by_machine


def test_what_is_over_is_forgotten_also_if_no_peer_asks():
    """Guards against unbounded memory use."""
    fixture = PartitionFixture()
    fixture.unheld.drop_obsolete(NOW)
    fixture.record({}, 6)
    fixture.unheld.drop_obsolete(NOW + S)
    assert fixture.unheld._by_machine
    fixture.unheld.drop_obsolete(NOW + 6 * S)
    assert not fixture.unheld._by_machine


def test_a_lost_attempt_is_unheld_again_and_waits_for_the_peers():
    """Guards against sending a start again while a peer relies on a report."""
    fixture = PartitionFixture()
    fixture.report_task()
    fixture.reports.send("node-1", NOW)
    assert not fixture.may_send() and fixture.unheld.jobs() == {JOB}
    assert not fixture.may_send(NOW + REPORT_LIFETIME)
    assert fixture.may_send(REPORT_EXPIRED)


def test_a_peer_that_has_a_later_report_is_not_waited_for():
    fixture = PartitionFixture()
    fixture.report_task()
    first = fixture.reports.send("node-1", NOW)
    assert not fixture.may_send()
    fixture.reports.acknowledge("node-1", first)
    assert not fixture.may_send()
    second = fixture.reports.send("node-1", NOW + S)
    assert not fixture.may_send()
    fixture.reports.acknowledge("node-1", second)
    assert fixture.may_send()


def test_a_peer_that_acknowledges_nothing_is_not_waited_for_anew_with_each_report():
    """Guards against a lost task held up by a peer that sends requests but no acknowledgements."""
    fixture = PartitionFixture()
    fixture.report_task()
    fixture.reports.send("node-1", NOW)
    assert not fixture.may_send()
    fixture.reports.send("node-1", REPORT_EXPIRED - S)
    assert fixture.may_send(REPORT_EXPIRED)


def test_every_peer_is_waited_for():
    """Guards against waiting for only one of the peers."""
    fixture = PartitionFixture()
    fixture.report_task()
    for peer in ("node-1", "node-2"):
        fixture.reports.send(peer, NOW)
    assert not fixture.may_send()
    fixture.reports.acknowledge("node-1", fixture.reports.send("node-1", NOW + S))
    assert not fixture.may_send(NOW + S)


def test_an_acknowledgement_that_arrives_late_takes_nothing_back():
    reports = StartReports()
    first, second = reports.send("node-1", NOW), reports.send("node-1", NOW)
    reports.acknowledge("node-1", second)
    reports.acknowledge("node-1", first)
    withdrawal = reports.withdraw(NOW)
    assert not reports.is_complete(withdrawal, NOW)
    reports.acknowledge("node-1", reports.send("node-1", NOW))
    assert reports.is_complete(withdrawal, NOW)


def test_a_lost_attempt_that_is_shown_after_all_is_held():
    fixture = PartitionFixture()
    fixture.report_task()
    fixture.reports.send("node-1", NOW)
    assert not fixture.may_send()
    fixture.report_task()
    assert fixture.unheld.jobs() == set()


def test_a_machine_that_restarted_has_lost_what_it_held():
    """Guards against a report that ignores a restart: a delayed start may still arrive."""
    fixture = PartitionFixture()
    fixture.report_task()
    fixture.reports.send("node-1", NOW)
    fixture.unheld.mark_lost("m-1", [(KEY, 70)], NOW)
    assert fixture.unheld.jobs() == {JOB} and not fixture.may_send()
    # The wait does not start over with every check.
    assert fixture.may_send(REPORT_EXPIRED)


def test_an_attempt_that_was_never_held_waits_for_nobody():
    """Guards against delaying starts at every restart or expired lease of a machine."""
    fixture = PartitionFixture()
    fixture.reports.send("node-1", NOW)
    fixture.unheld.mark_lost("m-1", [(KEY, 70)], NOW)
    assert fixture.may_send()


@pytest.mark.parametrize("held", [40, 4000])
def test_it_costs_by_what_is_unheld_not_by_the_fleet(count_calls, held):
    fixture = PartitionFixture({index: Attempt(index, f"m-{index}") for index in range(held)})
    for index in range(held - 3):
        reported = ObservedTask(index, TaskState.RUNNING, NOW)
        fixture.unheld.mark_held(f"m-{index}", {TaskKey(JOB, index): reported})
    assert count_calls(fixture.unheld.jobs) < 40
    assert count_calls(lambda: fixture.unheld.mark_held("m-0", {})) < 5
