"""What reports of a part's machines bring, and what they are answered."""

from __future__ import annotations

from datetime import datetime, timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

import trio

from roadbend import clock
from roadbend.fleet import reading
from roadbend.fleet.machines import Machine
from roadbend.fleet.messages import Report
from roadbend.log import Log
from roadbend.placement import gangs
from roadbend.store import records
from roadbend.store.view import Rows

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

log = Log("placement")
# How long a report that brought news may wait for what it calls for; workers wait 4 s.
ANSWER_WAIT = timedelta(milliseconds=400)


class Reports:
    """Takes reports in for one part, under its runtime's lock."""

    def __init__(self, runtime: PartRuntime):
        self._runtime = runtime

    def token(self, machine: Machine | None = None) -> int:
        """What goes out as the token: the term, and below it which of the machine's lives this is,
        so that what a former life said, however late it comes, is told from what this one says."""
        runtime = self._runtime
        return runtime.tenure.term << records.INCARNATION_BITS | (
            machine.incarnation if machine is not None else 0
        )

    def answer_unchanged(self, data: Any, now: datetime) -> int | None:
        """A report that brings nothing new, which nearly all do: known to be answered with no
        orders by comparing it with the last one. Gives the token to answer with; None: it must be
        looked at."""
        runtime = self._runtime
        machine = (
            runtime.machines.get(data.get("hitch")) if isinstance(data.get("hitch"), str) else None
        )
        if machine is None or machine.unchanged_mark is None:
            return None
        session, seq = data.get("stint"), data.get("tick")
        marks = runtime.shared.view.marks.get(runtime.part, {})
        if (
            type(session) is not int
            or type(seq) is not int
            or not machine.order < (session, seq) < (machine.order[0], 1 << 64)
            or data.get("baton") != self.token(machine)
            or data.get("recallS") is not None
            or data.get("legs") != machine.rows
            or data.get("address") != machine.address
            or marks.get(machine.id, 0) != machine.unchanged_mark
        ):
            return None
        machine.take_in((session, seq), now)
        machine.note_report(now, runtime.shared.settings.report_every)
        return self.token(machine)

    async def handle(self, report: Report) -> tuple[int, list[dict]] | None:
        """Token and orders for the response; None for a report that is not newer than what we had.

        What a report brings may call for orders: room came free, a machine came up. Its response
        waits the little while that recording takes, so that the next task starts now and not a
        report later."""
        runtime = self._runtime
        now = clock.now()
        if report.machine in runtime.shared.deleted:
            # A report that was held back on its way: the machine is gone, and must not come to life
            # here.
            return None
        with runtime.lock:
            machine = runtime.machines.get(report.machine)
            fresh = machine is None
            if report.token >> records.INCARNATION_BITS > runtime.tenure.term:
                # It follows a newer owner; our answer would be dropped.
                term = report.token >> records.INCARNATION_BITS
                runtime.recovery.note_term_in_use(report.machine, term)
                return None
            if machine is None:
                if report.token >> records.INCARNATION_BITS == runtime.tenure.term:
                    # Only machines that we answered in this term carry its token, and we know them
                    # all until they are deleted: a late copy from a machine that is no more; or
                    # the records have lost a term, and ours was another owner's before.
                    runtime.recovery.note_term_in_use(report.machine, runtime.tenure.term)
                    return None
                machine = Machine(
                    report.machine, report.address, report.machine_type, report.zone, report.spot
                )
                machine.expected = (
                    report.machine in runtime.rented and report.session == 1 and not report.tasks
                )
                runtime.rented.discard(report.machine)
                runtime.machines[machine.id] = machine
                log.info(
                    "machine-up",
                    part=runtime.part,
                    machine=machine.id,
                    machine_type=machine.machine_type,
                    spot=machine.spot,
                )
                runtime.wake_up.set()
            if not machine.admit(report, self.token(machine), now):
                # A late copy, or a machine that began anew: only the machine itself can tell.
                return None
            had_notice, was_ours = machine.recall_at is not None, machine.ours
            before = runtime.ended.changes
            machine.note_report(now, runtime.shared.settings.report_every)
            orders = self._orders(machine, report, now)
            news = fresh or runtime.ended.changes != before or machine.ours != was_ours
            if machine.ours and not was_ours:
                machine.heard_us = now
            if machine.recall_at is not None and not had_notice:
                log.info("notice", part=runtime.part, machine=machine.id, seconds=report.notice)
                self._evacuate(machine, runtime.by_machine().get(machine.id, {}), now)
                news = True
            if not news:
                self._note_unchanged(machine, report, orders)
                return self.token(machine), orders
            runtime.wake_up.set()
            want = runtime.steps_begun + 1
        incarnation = machine.incarnation
        with trio.move_on_after(ANSWER_WAIT.total_seconds()):
            while runtime.steps_ended < want:
                await runtime.step_ended.wait()
        with runtime.lock:
            if not self._still_counts(machine, report, incarnation):
                return None
            orders = self._orders(machine, report, clock.now())
            self._note_unchanged(machine, report, orders)
            return self.token(machine), orders

    def _still_counts(self, machine: Machine, report: Report, incarnation: int) -> bool:
        """Whether a report that waited may still be read and answered. Meanwhile the part may have
        been lost, the machine deleted or begun anew, and a newer report of it answered with orders
        to start: what this one lacks would then prove nothing."""
        runtime = self._runtime
        return (
            runtime.shared.ownership.tenure(runtime.part) == runtime.tenure
            and runtime.machines.get(machine.id) is machine
            and machine.incarnation == incarnation
            and machine.is_latest(report)
        )

    def _note_unchanged(self, machine: Machine, report: Report, orders: list[dict]) -> None:
        runtime = self._runtime
        machine.rows = report.rows
        recorded = runtime.by_machine().get(machine.id, {})
        still = (
            not orders
            and machine.ours
            and machine.recall_at is None
            # What no record names is judged anew with every report.
            and machine.foreign == 0
            and machine.tasks.keys() == recorded.keys()
        )
        if still and not any(key in runtime.ended for key in recorded):
            machine.unchanged_mark = runtime.shared.view.marks.get(runtime.part, {}).get(
                machine.id, 0
            )
        else:
            machine.unchanged_mark = None

    def _orders(self, machine: Machine, report: Report, now: datetime) -> list[dict]:
        runtime = self._runtime
        recorded = runtime.by_machine().get(machine.id, {})
        for key, (_, attempt) in recorded.items():
            if runtime.live(key[0]) is None:
                runtime._stop_useless(key, attempt, now)
        may_start = runtime.shared.ownership.may_start(now) and not machine.fencing
        jobs = {key[0]: job for key in recorded if (job := runtime.live(key[0])) is not None}
        expected = reading.Expected(
            runtime.part,
            recorded,
            jobs,
            runtime.stops,
            runtime.ended,
            may_start,
            runtime.recorded_attempt,
            partial(runtime.recovery.keeps_unrecorded, machine, now=now),
        )
        orders = reading.read(machine, report, self.token(machine), expected, now)
        runtime.recovery.note_report(machine, report, now)
        self._learn(machine, recorded, now)
        return orders

    def begin_incarnation(self, machine: Machine, order: tuple[int, int]) -> None:
        """The machine itself has shown that it began anew: what its former life said proves nothing
        any more, and what it held is gone only once a report of this life under its own token lacks
        it."""
        runtime = self._runtime
        with runtime.lock:
            log.info(
                "machine-anew",
                part=runtime.part,
                machine=machine.id,
                incarnation=machine.incarnation + 1,
            )
            machine.begin_anew(order)
        runtime.wake_up.set()

    def _evacuate(self, machine: Machine, recorded: Rows, now: datetime) -> None:
        """A spot notice: let tasks run as long as it pays, then save and go."""
        runtime = self._runtime
        left = (machine.recall_at or now) - now
        for key, (_, attempt) in recorded.items():
            job = runtime.live(key[0])
            if job is None or key in runtime.stops:
                continue
            if job.spec.checkpoint > clock.ZERO:
                grace = min(
                    max(left - timedelta(seconds=1), clock.ZERO),
                    job.spec.save + timedelta(seconds=2),
                )
                if job.spec.gang:
                    # All of it saves together, or nothing is saved.
                    gangs.stop_whole(runtime, job, "notice", now)
                else:
                    runtime.stop(key, attempt, grace, "notice", now)

    def _learn(self, machine: Machine, recorded: Rows, now: datetime) -> None:
        runtime = self._runtime
        machine_type = runtime.shared.machine_types.get(machine.machine_type)
        for key, seen in machine.tasks.items():
            job = runtime.shared.view.jobs.get(key[0])
            if job is None or machine_type is None:
                continue
            if seen.state == "running":
                machine.note_image(job.spec.image, job.spec.image_gb, machine_type.cache_gb)
        if recorded or machine.tasks:
            machine.empty_since = None
        elif machine.empty_since is None:
            machine.empty_since = now
