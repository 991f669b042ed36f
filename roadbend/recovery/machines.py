"""A partition's machines as its leader and the cloud's list show them, beside its records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, cast

from roadbend import clock
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.machines import Machine, ObservedTask
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
from roadbend.store.record_view import MachineAttempts

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

# The bits of an attempt's number below its term.
ATTEMPT_TERM_BITS = 32
# How often a partition that settles is compared anew: with thousands of machines that takes a
# while.
COMPARE_EVERY = timedelta(seconds=1)


class PartitionMachines:
    """Compares a partition's records with its machines."""

    def __init__(self, leader: PartitionLeader, inventory: CloudInventory) -> None:
        self._leader, self._inventory = leader, inventory
        self._compare_at = clock.ORIGIN

    def may_compare(self, now: datetime) -> bool:
        """Tell whether it is time to compare again."""
        return now >= self._compare_at

    def is_present(self, name: str) -> bool:
        """Tell whether the cloud lists a machine as running, or the records name it."""
        row = self._inventory.rows.get(name)
        listed = row is not None and row.status == "running"
        return listed or name in self._leader.records.attempts_by_machine()

    def evidence(self, lost_writes: bool) -> Evidence:
        """Return what is known of the partition's machines now.

        Where writes are lost a machine that is listed as booting may be up and hold something.
        """
        presence = self._presences()
        heard = frozenset(name for name, p in presence.items() if p is Presence.HEARD)
        known = {Presence.GONE} if lost_writes else {Presence.GONE, Presence.BOOTING}
        explained = frozenset(name for name, p in presence.items() if p in known)
        return Evidence(frozenset(presence), heard, explained, self._inventory.reads > 0)

    def _presences(self) -> dict[str, Presence]:
        leader, inventory = self._leader, self._inventory
        listed = {row.id for row in inventory.rows.values() if row.zone == leader.partition}
        names = listed | leader.records.attempts_by_machine().keys() | leader.machines.keys()
        return {name: self._presence(name) for name in names}

    def _presence(self, name: str) -> Presence:
        leader, inventory = self._leader, self._inventory
        if name in leader.context.deleted_machines.ids:
            return Presence.GONE
        machine = leader.machines.get(name)
        if machine is not None and machine.token.confirmed:
            return Presence.HEARD
        row = inventory.rows.get(name)
        if row is None:
            return Presence.GONE if inventory.has_left(name) else Presence.SILENT
        return {"failed": Presence.GONE, "booting": Presence.BOOTING}.get(
            row.status, Presence.SILENT
        )

    def compare(self, held: Iterable[HeldAttempt]) -> Comparison:
        """Compare the records with the machines, and with the unrecorded attempts that are held.

        Machines on which everything matches are left out of the sets: of thousands nearly all do,
        and a controller with a small share of a core has heartbeats to answer meanwhile.
        """
        began, leader = clock.now(), self._leader
        differing, matching = [], 0
        for name, rows in leader.records.attempts_by_machine().items():
            machine = leader.machines.get(name)
            if machine is not None and machine.token.confirmed and self._matches(machine, rows):
                matching += len(rows)
            else:
                differing.append(name)
        found = self._compare_machines(differing, held)
        self._compare_at = clock.now() + max(
            COMPARE_EVERY, leader.context.reuse_window(clock.now() - began)
        )
        return replace(found, matching=found.matching + matching)

    def _matches(self, machine: Machine, rows: MachineAttempts) -> bool:
        # The keys of both are a job and an index, whatever the type that names them.
        tasks = cast("dict[tuple[str, int], ObservedTask]", machine.tasks)
        live = self._leader.records.live_job
        if len(tasks) != len(rows) or machine.unrecorded_tasks:
            return False
        for key, (_, attempt) in rows.items():
            seen = tasks.get(key)
            if seen is None or seen.attempt != attempt.number or seen.state == "ended":
                return False
            if live(key[0]) is None:
                return False
        return True

    def _compare_machines(self, names: list[str], held: Iterable[HeldAttempt]) -> Comparison:
        """Compare some machines, by the attempts from before this term.

        Later ones may be on their way.
        """
        leader, term = self._leader, self._leader.leadership.term
        recorded, live, shown = set(), set(), set()
        for name in names:
            for (job, index), (_, attempt) in leader.records.attempts_by_machine()[name].items():
                if attempt.number >> ATTEMPT_TERM_BITS < term:
                    recorded.add(Recorded(TaskId(job, index), attempt.number, name))
                if leader.records.live_job(job) is not None:
                    live.add(job)
            machine = leader.machines.get(name)
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
