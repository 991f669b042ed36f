"""What a heartbeat proves, and what it doesn't."""

from dataclasses import replace
from datetime import timedelta

import pytest

from roadbend import clock
from roadbend.fakes.submission import job
from roadbend.fleet import heartbeat_evaluation, messages
from roadbend.fleet.machines import DirectStart, Machine, StopOrder, StopReceipt
from roadbend.fleet.messages import HeartbeatPosition
from roadbend.fleet.terminations import Termination, Terminations
from roadbend.http.server import MalformedError
from roadbend.intake.messages import read_submission
from roadbend.store.record_view import JobSlice
from roadbend.store.records import Attempt, Job, Resources

TERM = 7
NOW = clock.ORIGIN + timedelta(seconds=100)
KEY = ("run-000001", 0)


def heartbeat(token=TERM, sequence=5, epoch=1, tasks=(), **more):
    rows = [
        {"leg": task_index, "try": attempt, "status": state, "cause": cause, "colour": "ignored"}
        for task_index, attempt, state, cause in tasks
    ]
    body = {
        "hitch": "m-1",
        "address": "m-1:1",
        "rig": "g2",
        "yard": "east",
        "loaners": False,
        "stint": epoch,
        "tick": sequence,
        "baton": token,
        "recallS": None,
        "legs": rows,
        **more,
    }
    return messages.parse_heartbeat(body)


class Harness:
    """One machine with one recorded attempt, of run-000001/0."""

    def __init__(self):
        name, spec = read_submission(job(1))
        self.job = Job(name, spec, clock.wall(), {"east": ((0, 1),)})
        self.recorded = {
            KEY: (JobSlice(name, "east", "red", Resources(8, 1, 40)), Attempt(70, "m-1"))
        }
        self.machine = Machine("m-1", "m-1:1", "g2", "east", False)
        self.stops, self.terminations = {}, Terminations()
        self.jobs = {name: self.job}
        self.may_start = True
        self.elsewhere: dict = {}
        self.ended: dict = {}

    def evaluate(self, *args, **kwargs):
        seen = heartbeat(*args, **kwargs)
        assert self.machine.admit(seen, 0, NOW)
        expected = heartbeat_evaluation.MachineExpectation(
            "east",
            self.recorded,
            self.jobs,
            self.stops,
            self.terminations,
            self.may_start,
            self.elsewhere.get,
            end_recorded_at=lambda key, attempt: self.ended.get((key, attempt)),
        )
        return heartbeat_evaluation.evaluate(self.machine, seen, TERM, expected, NOW)


def verbs(orders):
    rows = [messages.order_to_wire(order) for order in orders]
    return [(row["verb"], row["leg"], row["try"]) for row in rows]


def test_what_was_ordered_directly_is_gone_only_when_the_order_is_settled():
    """While the outcome of a direct start is unknown, an attempt's absence proves nothing.

    The machine may still execute the start.
    """
    machine = Machine("m-1", "m-1:1", "g2", "east", False)

    def settled(sequence: int, epoch: int = 1, current: bool = True) -> bool:
        seen = heartbeat(sequence=sequence, epoch=epoch)
        return machine.is_settled(KEY, 70, seen, current)

    assert settled(5)
    machine.token.direct_starts[KEY] = DirectStart(70, 1)
    assert not settled(5) and settled(1, epoch=2)
    # Acknowledged: heartbeats sent before that response prove nothing yet.
    machine.token.direct_starts[KEY].acknowledged_position = (1, 7)
    assert not settled(6) and not settled(7) and settled(8)
    # Never acknowledged: the machine must report the higher token first.
    machine.token.direct_starts[KEY].acknowledged_position = None
    incarnation = machine.token.incarnation
    machine.raise_token()
    assert machine.token.incarnation == incarnation + 1 and not machine.token.confirmed
    assert settled(9) and not settled(9, current=False)


def test_a_recorded_attempt_is_ordered_again_until_it_shows():
    harness = Harness()
    assert verbs(harness.evaluate()) == [("run", "run-000001/0", 70)]
    assert verbs(harness.evaluate(sequence=6, tasks=[("run-000001/0", 70, "fetching", None)])) == []
    assert not harness.terminations


def test_nothing_is_started_without_the_records():
    harness = Harness()
    harness.may_start = False
    assert harness.evaluate() == [] and not harness.terminations


def test_an_old_token_proves_presence_but_never_absence():
    harness = Harness()
    harness.jobs = {}
    assert harness.evaluate(token=TERM - 1) == [] and not harness.terminations
    # The same heartbeat under the leader's token does: no order is still in transit.
    harness.evaluate(sequence=6)
    assert harness.terminations[KEY].cause == "absent" and not harness.terminations[KEY].done


def test_an_end_under_an_old_token_counts_only_when_it_is_done():
    harness = Harness()
    harness.evaluate(token=TERM - 1, tasks=[("run-000001/0", 70, "ended", "stopped")])
    assert not harness.terminations
    harness.evaluate(token=TERM - 1, sequence=6, tasks=[("run-000001/0", 70, "ended", "done")])
    assert harness.terminations[KEY].done


def test_an_end_is_forgotten_only_once_it_is_recorded():
    harness = Harness()
    ended = [("run-000001/0", 70, "ended", "done")]
    assert harness.evaluate(tasks=ended) == []
    harness.recorded = {}
    assert verbs(harness.evaluate(sequence=6, tasks=ended)) == [("forget", "run-000001/0", 70)]


def test_a_task_that_the_records_do_not_know_is_killed():
    harness = Harness()
    orders = harness.evaluate(tasks=[("run-000001/0", 69, "running", None)])
    assert ("kill", "run-000001/0", 69) in verbs(orders)
    assert harness.machine.unrecorded_tasks == 1


def test_a_saving_task_is_ended_by_a_kill_without_grace_when_it_takes_too_long():
    harness = Harness()
    harness.stops[KEY] = StopOrder(70, timedelta(seconds=3), "preempted", NOW, "m-1")
    first = harness.evaluate(tasks=[("run-000001/0", 70, "flushing", None)])
    assert messages.order_to_wire(first[0])["windDownS"] == 3.0
    harness.machine.tasks[KEY].since -= timedelta(seconds=10)
    again = harness.evaluate(sequence=6, tasks=[("run-000001/0", 70, "flushing", None)])
    assert messages.order_to_wire(again[0])["windDownS"] == 0.0


@pytest.mark.parametrize(
    "receipt, sent",
    [
        (None, True),
        (StopReceipt(0, HeartbeatPosition(1, 5)), True),
        (StopReceipt(0, HeartbeatPosition(1, 6)), False),
        # The machine has restarted since, and its positions start over.
        (StopReceipt(1, HeartbeatPosition(1, 6)), True),
    ],
    ids=["lost", "before", "after", "former-incarnation"],
)
def test_a_stop_that_was_carried_out_after_a_heartbeat_does_not_go_with_its_answer(receipt, sent):
    """Guards against a stop sent twice, and against a lost one that is not sent again."""
    harness = Harness()
    harness.stops[KEY] = StopOrder(70, clock.ZERO, "cancelled", NOW, "m-1", receipt=receipt)
    orders = harness.evaluate(tasks=[("run-000001/0", 70, "running", None)])
    assert (("kill", "run-000001/0", 70) in verbs(orders)) == sent
    # The next heartbeat still shows it running.
    orders = harness.evaluate(sequence=7, tasks=[("run-000001/0", 70, "running", None)])
    assert ("kill", "run-000001/0", 70) in verbs(orders)


@pytest.mark.parametrize(
    "change, known",
    [({}, True), ({"attempt": 71}, False), ({"grace": clock.ZERO}, False), ({"machine": 2}, False)],
    ids=["same", "other-attempt", "less-grace", "other-machine"],
)
def test_an_order_that_replaces_one_like_it_knows_when_that_went_out(change, known):
    """Guards against a stop that is sent twice because it was decided twice."""
    former = StopOrder(70, timedelta(seconds=3), "peers", NOW, "m-1", NOW, NOW)
    stop = replace(former, sent_at=None, sent_directly_at=None, **change)
    stop.continue_from(former)
    assert (stop.sent_at == NOW, stop.sent_directly_at == NOW) == (known, known)


def test_a_task_moved_elsewhere_is_not_ordered_again():
    harness = Harness()
    harness.jobs = {"run-000001": replace(harness.job, allocation={})}
    assert harness.evaluate() == []
    assert KEY in harness.terminations


def test_an_attempt_is_neither_started_in_quarantine_nor_after_its_absence_was_proven():
    """Guards against a quarantine whose end starts an attempt that counts as terminated."""
    harness = Harness()
    harness.machine.lifecycle.quarantined_until = NOW + timedelta(seconds=1)
    assert harness.evaluate() == []
    assert harness.terminations[KEY] == Termination(70, "m-1", False, "absent")
    harness.machine.lifecycle.quarantined_until = NOW
    assert harness.evaluate(sequence=6) == [] and harness.terminations[KEY].cause == "absent"


def test_an_attempt_that_is_started_directly_is_not_proven_gone_by_a_quarantine():
    """Guards against a task that begins elsewhere while its start is on its way."""
    harness = Harness()
    harness.machine.token.direct_starts[KEY] = DirectStart(70, 1)
    harness.machine.lifecycle.quarantined_until = NOW + timedelta(seconds=1)
    assert harness.evaluate() == [] and not harness.terminations


def test_an_attempt_that_is_proven_gone_is_not_ordered_while_the_records_name_it():
    for cause in ("lease", "absent", "error", "deleted"):
        harness = Harness()
        harness.terminations.add(KEY, Termination(70, "m-1", False, cause))
        assert (
            harness.evaluate(epoch=2, sequence=6) == [] and harness.terminations[KEY].cause == cause
        )


def test_a_later_report_that_shows_an_attempt_alive_withdraws_the_proof_but_not_a_result(caplog):
    harness = Harness()
    harness.terminations.add(KEY, Termination(70, "m-1", False, "lease"))
    with caplog.at_level("WARNING"):
        assert harness.evaluate(tasks=[("run-000001/0", 70, "running", None)]) == []
    assert KEY not in harness.terminations
    for word in ("termination-contradicted", "run-000001", "index=0", "attempt=70", "machine=m-1"):
        assert word in caplog.text
    harness.evaluate(sequence=6, tasks=[("run-000001/0", 70, "ended", "done")])
    harness.evaluate(sequence=7, tasks=[("run-000001/0", 70, "running", None)])
    assert harness.terminations[KEY].done


def test_a_task_that_two_machines_show_is_killed_where_the_records_do_not_name_it(caplog):
    harness = Harness()
    harness.elsewhere = {KEY: Attempt(71, "m-2")}
    harness.recorded = {}
    with caplog.at_level("WARNING"):
        orders = harness.evaluate(tasks=[("run-000001/0", 70, "running", None)])
    assert verbs(orders) == [("kill", "run-000001/0", 70)] and not harness.terminations
    for word in ("task-unrecorded", "machine=m-1", "recorded_machine=m-2", "recorded_attempt=71"):
        assert word in caplog.text


def test_an_attempt_that_runs_after_its_end_was_recorded_is_stopped_and_logged_with_its_age(caplog):
    harness = Harness()
    harness.elsewhere = {KEY: Attempt(71, "m-2")}
    harness.recorded = {}
    harness.ended = {(KEY, Attempt(70, "m-1")): NOW - timedelta(seconds=11)}
    with caplog.at_level("WARNING"):
        orders = harness.evaluate(tasks=[("run-000001/0", 70, "running", None)])
    assert verbs(orders) == [("kill", "run-000001/0", 70)]
    for word in ("ended-attempt-shown", "attempt=70", f"token={TERM}", "since_end_s=11.0"):
        assert word in caplog.text


def test_a_report_that_is_not_newer_is_not_taken_in_and_renews_nothing():
    machine = Machine("m-1", "m-1:1", "g2", "east", False)
    assert (
        machine.admit(heartbeat(sequence=5), TERM, NOW) and machine.contact.lease_started_at == NOW
    )
    later = NOW + timedelta(seconds=9)
    for sequence in (5, 4):
        machine.contact.suspected = False
        assert (
            not machine.admit(heartbeat(sequence=sequence), TERM, later)
            and machine.contact.suspected
        )
    assert (
        machine.contact.is_latest(heartbeat(sequence=5)) and machine.contact.lease_started_at == NOW
    )
    # A lower token than the machine has reported: it restarted, or the heartbeat is a late
    # copy of a former incarnation.
    machine.token.confirmed = True
    assert not machine.admit(heartbeat(token=TERM - 1, sequence=9), TERM, later)
    assert machine.admit(heartbeat(sequence=6), TERM, later) and not machine.contact.is_latest(
        heartbeat(sequence=5)
    )


@pytest.mark.parametrize(
    "change",
    [
        {"stint": -1},
        {"tick": "x"},
        {"baton": None},
        {"legs": {}},
        {"legs": [{"leg": "x"}]},
        {"yard": 3},
        {"loaners": "yes"},
        {"recallS": float("nan")},
        {"hitch": ""},
    ],
)
def test_malformed_reports_are_refused(change):
    with pytest.raises(MalformedError):
        heartbeat(**change)
