"""Observe partitions: who leads each, since when nobody does, and whom its machines turn to."""

from collections.abc import Mapping
from datetime import datetime
from types import MappingProxyType

from roadbend.partitions import silent_leader
from roadbend.partitions.election_state import ControllersState, PartitionState
from roadbend.partitions.hold_offs import HoldOffs
from roadbend.partitions.leadership import Leadership
from roadbend.partitions.unserved import (
    NO_MACHINES,
    CountUnserved,
    MachineCounts,
    UnservedMachinesQuery,
    count_none,
)
from roadbend.peers.frames import GANGS_EXTENSION, supports
from roadbend.settings import OperatorSettings
from roadbend.store.record_view import RecordView


class PartitionObserver:
    """What this controller knows of each partition, from the records and from machines."""

    def __init__(
        self,
        operator: OperatorSettings,
        view: RecordView,
        hold_offs: HoldOffs,
        unconfirmed_terms: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        # Set by who hears the machines.
        self.count_unserved: CountUnserved = count_none
        self._operator, self._view, self._hold_offs = operator, view, hold_offs
        # The terms that we may have written without leading under them, by partition.
        self._unconfirmed_terms = unconfirmed_terms
        # Since when partitions have had no leader.
        self._leaderless_since: dict[str, datetime] = {}
        # Partitions of which the records have named a leader.
        self._led: set[str] = set()
        # Since when partitions with gangs have had a leader of a version without gangs.
        self._gangs_at_risk_since: dict[str, datetime] = {}
        # Terms that machines have seen and the records have lost, by partition.
        self._lost_terms: dict[str, int] = {}

    def note_lost_term(self, partition: str, term: int) -> None:
        """Note a term that machines have seen and the records have lost."""
        self._lost_terms[partition] = max(term, self._lost_terms.get(partition, 0))

    def has_lost_term(self, partition: str) -> bool:
        """Tell whether machines have seen a term of the partition that the records have lost."""
        return partition in self._lost_terms

    def observe(
        self,
        partition: str,
        leadership: Leadership | None,
        controllers: ControllersState,
        now: datetime,
    ) -> PartitionState:
        """Return what is known of a partition; `leadership` is ours, if we lead it."""
        recorded = self._view.partition_leaders.get(partition)
        if recorded is None:
            leaderless_since = self._leaderless_since.setdefault(partition, now)
        else:
            leaderless_since = now
            self._leaderless_since.pop(partition, None)
            self._led.add(partition)
        holds_gangs = self._holds_gangs(partition, controllers)
        return PartitionState(
            name=partition,
            recorded=recorded,
            leadership=leadership,
            leaderless_since=leaderless_since,
            lost_term=self._lost_terms.get(partition, 0),
            acquisition_held=self._hold_offs.holds_acquisition(partition, now),
            held_failbacks=self._hold_offs.held_failbacks(partition, now),
            was_led=partition in self._led,
            machines=self._count_machines(partition, controllers, now),
            holds_gangs=holds_gangs,
            gangs_at_risk_since=self._note_gangs_at_risk(partition, holds_gangs, now),
            was_unreachable=self._hold_offs.was_unreachable(partition),
            is_unconfirmed=self._is_unconfirmed(partition),
        )

    def _is_unconfirmed(self, partition: str) -> bool:
        """Tell whether the leader record is one that we wrote without leading under its term."""
        recorded = self._view.partition_leaders.get(partition)
        return recorded is not None and recorded.term == self._unconfirmed_terms.get(partition)

    def _holds_gangs(self, partition: str, controllers: ControllersState) -> bool:
        """Tell whether a partition holds or runs tasks of gangs.

        Only while a controller that knows none may lead it: else it makes no difference.
        """
        if not controllers.without_gangs and not self._is_led_without_gangs(partition):
            return False
        view = self._view
        slices = view.job_slices.get(partition, {})
        assigned = view.assigned_jobs.get(partition, {})
        return any(name in slices or name in assigned for name in view.gangs)

    def _is_led_without_gangs(self, partition: str) -> bool:
        """Tell whether a partition's leader is of a version without gangs."""
        recorded = self._view.partition_leaders.get(partition)
        return recorded is not None and not supports(recorded.incarnation, GANGS_EXTENSION)

    def _note_gangs_at_risk(
        self, partition: str, holds_gangs: bool, now: datetime
    ) -> datetime | None:
        """Return since when a partition with gangs has had a leader that knows none."""
        if holds_gangs and self._is_led_without_gangs(partition):
            return self._gangs_at_risk_since.setdefault(partition, now)
        self._gangs_at_risk_since.pop(partition, None)
        return None

    def _count_machines(
        self, partition: str, controllers: ControllersState, now: datetime
    ) -> MachineCounts:
        """Count the machines of a partition whose leader is silent: none for any other."""
        recorded = self._view.partition_leaders.get(partition)
        if recorded is None:
            return NO_MACHINES
        silent = silent_leader.silent_since(recorded, controllers, self._operator, now)
        if silent is None:
            return NO_MACHINES
        machines = self._view.attempts_by_machine.get(partition, {})
        question = UnservedMachinesQuery(partition, recorded.term, silent, machines)
        return MachineCounts(len(machines), self.count_unserved(question, now))
