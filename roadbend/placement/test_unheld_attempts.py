"""Which starts a leader reports as settled, and when it may send one anew.

A report that is relied on while its sender sends the start anew lets a cancelled job begin
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
# When a report that was sent now is relied on by nobody any more.
UNUSED = NOW + (REPORT_LIFETIME + START_FRESHNESS) * 1.01


class Desk:
    """A partition with attempts on a machine, recorded before the leader began."""

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
        row = SliceShard(JOB, "east", "red", Resources(1, 0, 1), attempts=attempts, shard=0)
        self.view.put(row.key, row.to_value(), revision)

    def show(self, number: int = 70, machine: str = "m-1") -> None:
        shown = ObservedTask(number, TaskState.RUNNING, NOW)
        self.unheld.mark_shown(machine, {KEY: shown})

    def may_send(self, now=NOW) -> bool:
        return self.unheld.may_send("m-1", KEY, 70, now)


def test_an_attempt_is_unheld_until_its_machine_shows_it():
    desk = Desk()
    assert desk.unheld.jobs() == {JOB} and desk.may_send()
    desk.show(number=69)
    desk.show(machine="m-2")
    assert desk.unheld.jobs() == {JOB}
    desk.show()
    assert desk.unheld.jobs() == set()


def test_an_attempt_that_is_recorded_newly_is_unheld():
    """Guards against a report that names no start that has just been recorded."""
    desk = Desk({})
    assert desk.unheld.jobs() == set()
    desk.view.attempt_listeners.append(
        lambda _partition, job, index, attempt: desk.unheld.mark_recorded(
            TaskKey(job, index), attempt
        )
    )
    desk.record({0: ATTEMPT}, 6)
    assert desk.unheld.jobs() == {JOB}
    # Replaced on another machine under the same number, as a task of a gang is.
    desk.show()
    desk.record({0: Attempt(70, "m-2")}, 7)
    assert desk.unheld.jobs() == {JOB}


def test_what_the_records_no_longer_name_is_forgotten():
    desk = Desk()
    desk.record({}, 6)
    assert desk.unheld.jobs() == set() and not desk.unheld._by_machine


def test_what_is_over_is_forgotten_also_if_no_peer_asks():
    """Guards against a set that grows without bound."""
    desk = Desk()
    desk.unheld.tidy(NOW)
    desk.record({}, 6)
    desk.unheld.tidy(NOW + S)
    assert desk.unheld._by_machine
    desk.unheld.tidy(NOW + 6 * S)
    assert not desk.unheld._by_machine


def test_a_lost_attempt_is_unheld_again_and_waits_for_the_peers():
    """Guards against a start that is sent anew while a peer relies on a report."""
    desk = Desk()
    desk.show()
    desk.reports.send("node-1", NOW)
    assert not desk.may_send() and desk.unheld.jobs() == {JOB}
    assert not desk.may_send(NOW + REPORT_LIFETIME)
    assert desk.may_send(UNUSED)


def test_a_peer_that_has_a_later_report_is_not_waited_for():
    desk = Desk()
    desk.show()
    first = desk.reports.send("node-1", NOW)
    assert not desk.may_send()
    desk.reports.acknowledge("node-1", first)
    assert not desk.may_send()
    second = desk.reports.send("node-1", NOW + S)
    assert not desk.may_send()
    desk.reports.acknowledge("node-1", second)
    assert desk.may_send()


def test_a_peer_that_acknowledges_nothing_is_not_waited_for_anew_with_each_report():
    """Guards against a lost task that a peer keeps waiting whose requests come, and no answers."""
    desk = Desk()
    desk.show()
    desk.reports.send("node-1", NOW)
    assert not desk.may_send()
    desk.reports.send("node-1", UNUSED - S)
    assert desk.may_send(UNUSED)


def test_every_peer_is_waited_for():
    """Guards against a leader that asks only one of them."""
    desk = Desk()
    desk.show()
    for peer in ("node-1", "node-2"):
        desk.reports.send(peer, NOW)
    assert not desk.may_send()
    desk.reports.acknowledge("node-1", desk.reports.send("node-1", NOW + S))
    assert not desk.may_send(NOW + S)


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
    desk = Desk()
    desk.show()
    desk.reports.send("node-1", NOW)
    assert not desk.may_send()
    desk.show()
    assert desk.unheld.jobs() == set()


def test_a_machine_that_restarted_has_lost_what_it_held():
    """Guards against a restart that a report does not show: a held-up start may yet arrive."""
    desk = Desk()
    desk.show()
    desk.reports.send("node-1", NOW)
    desk.unheld.mark_lost("m-1", [(KEY, 70)], NOW)
    assert desk.unheld.jobs() == {JOB} and not desk.may_send()
    # It does not begin to wait anew with every look.
    assert desk.may_send(UNUSED)


def test_an_attempt_that_was_never_held_waits_for_nobody():
    """Guards against starts that are delayed at every machine's restart or lease."""
    desk = Desk()
    desk.reports.send("node-1", NOW)
    desk.unheld.mark_lost("m-1", [(KEY, 70)], NOW)
    assert desk.may_send()


@pytest.mark.parametrize("held", [40, 4000])
def test_it_costs_by_what_is_unheld_not_by_the_fleet(calls, held):
    desk = Desk({index: Attempt(index, f"m-{index}") for index in range(held)})
    for index in range(held - 3):
        shown = ObservedTask(index, TaskState.RUNNING, NOW)
        desk.unheld.mark_shown(f"m-{index}", {TaskKey(JOB, index): shown})
    assert calls(desk.unheld.jobs) < 40
    assert calls(lambda: desk.unheld.mark_shown("m-0", {})) < 5
