"""The state of a partition's machines by heartbeats and the cloud's list, against its records."""

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
    RecordedAttempt,
    ReportedAttempt,
    TaskId,
    compare,
)
from roadbend.recovery.phases import Evidence
from roadbend.recovery.unrecorded import HeldAttempt
from roadbend.store.record_view import MachineAttempts

if TYPE_CHECKING:
    from roadbend.placement.leader import PartitionLeader

# An attempt's number is its term shifted left by so many bits, plus a number within the term.
ATTEMPT_TERM_SHIFT = 32
# How often a partition in the settling phase is compared again: with thousands of machines one
# comparison takes a while.
COMPARE_INTERVAL = timedelta(seconds=1)


class PartitionMachines:
    """Compares a partition's records with its machines."""

    def __init__(self, leader: PartitionLeader, inventory: CloudInventory) -> None:
        self._leader, self._inventory = leader, inventory
        self._next_compare_at = clock.ORIGIN

    def may_compare(self, now: datetime) -> bool:
        """Return whether it is time for another comparison."""
        return now >= self._next_compare_at

    def is_present(self, machine_id: str) -> bool:
        """Return whether the cloud lists a machine as running, or the records name it."""
        row = self._inventory.rows.get(machine_id)
        listed = row is not None and row.status == "running"
        return listed or machine_id in self._leader.records.attempts_by_machine()

    def evidence(self, lost_writes: bool) -> Evidence:
        """Return what is known of the partition's machines now.

        If writes are lost, a machine that is listed as booting may be up and run attempts, so it
        does not count as absent.
        """
        presences = self._presences()
        reporting = frozenset(machine for machine, p in presences.items() if p is Presence.HEARD)
        absent = {Presence.GONE} if lost_writes else {Presence.GONE, Presence.BOOTING}
        known_absent = frozenset(machine for machine, p in presences.items() if p in absent)
        return Evidence(frozenset(presences), reporting, known_absent, self._inventory.reads > 0)

    def _presences(self) -> dict[str, Presence]:
        leader, inventory = self._leader, self._inventory
        listed = {row.id for row in inventory.rows.values() if row.zone == leader.partition}
        machine_ids = listed | leader.records.attempts_by_machine().keys() | leader.machines.keys()
        return {machine_id: self._presence(machine_id) for machine_id in machine_ids}

    def _presence(self, machine_id: str) -> Presence:
        leader, inventory = self._leader, self._inventory
        if machine_id in leader.context.deleted_machines.ids:
            return Presence.GONE
        machine = leader.machines.get(machine_id)
        if machine is not None and machine.token.confirmed:
            return Presence.HEARD
        row = inventory.rows.get(machine_id)
        if row is None:
            return Presence.GONE if inventory.has_left(machine_id) else Presence.SILENT
        return {"failed": Presence.GONE, "booting": Presence.BOOTING}.get(
            row.status, Presence.SILENT
        )

    def compare(self, held: Iterable[HeldAttempt]) -> Comparison:
        """Compare the records with the machines, and with the held attempts.

        Machines on which everything matches are left out of the sets: that is nearly all, also of
        thousands, and a controller with a small share of a core must answer heartbeats meanwhile.
        """
        began, leader = clock.now(), self._leader
        differing, matching = [], 0
        for machine_id, rows in leader.records.attempts_by_machine().items():
            machine = leader.machines.get(machine_id)
            if machine is not None and machine.token.confirmed and self._matches(machine, rows):
                matching += len(rows)
            else:
                differing.append(machine_id)
        found = self._compare_machines(differing, held)
        self._next_compare_at = clock.now() + max(
            COMPARE_INTERVAL, leader.context.reuse_window(clock.now() - began)
        )
        return replace(found, matching=found.matching + matching)

    def _matches(self, machine: Machine, rows: MachineAttempts) -> bool:
        # The keys of both are a job and an index, though their types differ.
        tasks = cast("dict[tuple[str, int], ObservedTask]", machine.tasks)
        live = self._leader.records.live_job
        if len(tasks) != len(rows) or machine.unrecorded_tasks:
            return False
        for key, (_, attempt) in rows.items():
            observed = tasks.get(key)
            if observed is None or observed.attempt != attempt.number or observed.state == "ended":
                return False
            if live(key[0]) is None:
                return False
        return True

    def _compare_machines(self, machine_ids: list[str], held: Iterable[HeldAttempt]) -> Comparison:
        """Compare some machines by the attempts from earlier terms.

        Orders for attempts of this term may still be in flight.
        """
        leader, term = self._leader, self._leader.leadership.term
        recorded, live, reported = set(), set(), set()
        for machine_id in machine_ids:
            for (job, index), (_, attempt) in leader.records.attempts_by_machine()[
                machine_id
            ].items():
                if attempt.number >> ATTEMPT_TERM_SHIFT < term:
                    recorded.add(RecordedAttempt(TaskId(job, index), attempt.number, machine_id))
                if leader.records.live_job(job) is not None:
                    live.add(job)
            machine = leader.machines.get(machine_id)
            for (job, index), observed in machine.tasks.items() if machine is not None else ():
                ended = observed.state == "ended"
                reported.add(
                    ReportedAttempt(TaskId(job, index), observed.attempt, machine_id, ended)
                )
        for row in held:
            reported.add(
                ReportedAttempt(TaskId(row.job, row.index), row.attempt, row.machine, False)
            )
        return compare(
            DesiredState(frozenset(recorded), frozenset(live)),
            ObservedState(
                frozenset(row for row in reported if row.attempt >> ATTEMPT_TERM_SHIFT < term),
                self._presences(),
            ),
        )
