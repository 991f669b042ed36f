"""A part's machines as its owner and the cloud's list show them, beside its records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING

from roadbend import clock
from roadbend.fleet.listing import MachineList
from roadbend.fleet.machines import Machine
from roadbend.recovery.differences import (
    Comparison,
    DesiredState,
    ObservedState,
    Presence,
    Recorded,
    Reported,
    TaskId,
    compare,
)
from roadbend.recovery.phases import Evidence
from roadbend.recovery.unrecorded import HeldAttempt
from roadbend.store.view import Rows

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime

ATTEMPT_TERM_BITS = 32
# How often a part that settles is compared anew: with thousands of machines that takes a while.
COMPARE_EVERY = timedelta(seconds=1)


class PartMachines:
    """Compares a part's records with its machines."""

    def __init__(self, runtime: PartRuntime, listing: MachineList) -> None:
        self._runtime, self._listing = runtime, listing
        self._compare_at = clock.ORIGIN

    def may_compare(self, now: datetime) -> bool:
        """Whether it is time to compare again."""
        return now >= self._compare_at

    def is_present(self, name: str) -> bool:
        """Whether the cloud lists a machine as running, or the records name it."""
        row = self._listing.rows.get(name)
        listed = row is not None and row.status == "running"
        return listed or name in self._runtime.by_machine()

    def evidence(self, lost_writes: bool) -> Evidence:
        """What is known of the part's machines now. Where writes are lost a machine that is listed
        as booting may be up and hold something."""
        presence = self._presences()
        heard = frozenset(name for name, p in presence.items() if p is Presence.HEARD)
        known = {Presence.GONE} if lost_writes else {Presence.GONE, Presence.BOOTING}
        explained = frozenset(name for name, p in presence.items() if p in known)
        return Evidence(frozenset(presence), heard, explained, self._listing.reads > 0)

    def _presences(self) -> dict[str, Presence]:
        runtime, listing = self._runtime, self._listing
        listed = {row.id for row in listing.rows.values() if row.zone == runtime.part}
        names = listed | runtime.by_machine().keys() | runtime.machines.keys()
        return {name: self._presence(name) for name in names}

    def _presence(self, name: str) -> Presence:
        runtime, listing = self._runtime, self._listing
        if name in runtime.shared.deleted:
            return Presence.GONE
        machine = runtime.machines.get(name)
        if machine is not None and machine.ours:
            return Presence.HEARD
        row = listing.rows.get(name)
        if row is None:
            return Presence.GONE if listing.has_left(name) else Presence.SILENT
        return {"failed": Presence.GONE, "booting": Presence.BOOTING}.get(
            row.status, Presence.SILENT
        )

    def compare(self, held: Iterable[HeldAttempt]) -> Comparison:
        """Machines on which everything matches are left out of the sets: of thousands nearly all
        do, and a controller with a small share of a core has reports to answer meanwhile."""
        began, runtime = clock.now(), self._runtime
        differing, matching = [], 0
        for name, rows in runtime.by_machine().items():
            machine = runtime.machines.get(name)
            if machine is not None and machine.ours and self._matches(machine, rows):
                matching += len(rows)
            else:
                differing.append(name)
        found = self._compare_machines(differing, held)
        self._compare_at = clock.now() + max(
            COMPARE_EVERY, runtime.shared.rest(clock.now() - began)
        )
        return replace(found, matching=found.matching + matching)

    def _matches(self, machine: Machine, rows: Rows) -> bool:
        tasks, live = machine.tasks, self._runtime.live
        if len(tasks) != len(rows) or machine.foreign:
            return False
        for key, (_, attempt) in rows.items():
            seen = tasks.get(key)
            if seen is None or seen.attempt != attempt.number or seen.state == "ended":
                return False
            if live(key[0]) is None:
                return False
        return True

    def _compare_machines(self, names: list[str], held: Iterable[HeldAttempt]) -> Comparison:
        """Only attempts from before this term: later ones may be on their way."""
        runtime, term = self._runtime, self._runtime.tenure.term
        recorded, live, shown = set(), set(), set()
        for name in names:
            for (job, index), (_, attempt) in runtime.by_machine()[name].items():
                if attempt.number >> ATTEMPT_TERM_BITS < term:
                    recorded.add(Recorded(TaskId(job, index), attempt.number, name))
                if runtime.live(job) is not None:
                    live.add(job)
            machine = runtime.machines.get(name)
            for (job, index), seen in machine.tasks.items() if machine is not None else ():
                ended = seen.state == "ended"
                shown.add(Reported(TaskId(job, index), seen.attempt, name, ended))
        for row in held:
            shown.add(Reported(TaskId(row.job, row.index), row.attempt, row.machine, False))
        return compare(
            DesiredState(frozenset(recorded), frozenset(live)),
            ObservedState(
                frozenset(row for row in shown if row.attempt >> ATTEMPT_TERM_BITS < term),
                self._presences(),
            ),
        )
