"""Observe partitions: leader, time without a leader, and machines that no leader serves."""

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
    """Gathers what this controller knows about each partition from the records and machines."""

    def __init__(
        self,
        operator: OperatorSettings,
        view: RecordView,
        hold_offs: HoldOffs,
        unconfirmed_terms: Mapping[str, int] = MappingProxyType({}),
    ) -> None:
        # Replaced by the component that receives the workers' heartbeats.
        self.count_unserved: CountUnserved = count_none
        self._operator, self._view, self._hold_offs = operator, view, hold_offs
        # By partition, the term that we may have written without leading under it.
        self._unconfirmed_terms = unconfirmed_terms
        # Since when each leaderless partition has had no leader.
        self._leaderless_since: dict[str, datetime] = {}
        # Partitions for which the records have ever named a leader.
        self._led: set[str] = set()
        # Since when partitions with gangs have had a leader that does not support gangs.
        self._gangs_at_risk_since: dict[str, datetime] = {}
        # By partition, the highest term that machines have seen but the records have lost.
        self._lost_terms: dict[str, int] = {}

    def record_lost_term(self, partition: str, term: int) -> None:
        """Record in memory a term that machines have seen but the records have lost."""
        self._lost_terms[partition] = max(term, self._lost_terms.get(partition, 0))

    def has_lost_term(self, partition: str) -> bool:
        """Return whether machines have seen a term of the partition that the records have lost."""
        return partition in self._lost_terms

    def observe(
        self,
        partition: str,
        leadership: Leadership | None,
        controllers: ControllersState,
        now: datetime,
    ) -> PartitionState:
        """Return what is known about a partition; `leadership` is ours, if we lead it."""
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
            acquisition_held=self._hold_offs.is_acquisition_held(partition, now),
            held_failbacks=self._hold_offs.held_failbacks(partition, now),
            was_led=partition in self._led,
            machines=self._count_machines(partition, controllers, now),
            holds_gangs=holds_gangs,
            gangs_at_risk_since=self._update_gangs_at_risk(partition, holds_gangs, now),
            was_unreachable=self._hold_offs.was_unreachable(partition),
            is_unconfirmed=self._is_unconfirmed(partition),
        )

    def _is_unconfirmed(self, partition: str) -> bool:
        """Return whether we wrote the leader record without leading under its term."""
        recorded = self._view.partition_leaders.get(partition)
        return recorded is not None and recorded.term == self._unconfirmed_terms.get(partition)

    def _holds_gangs(self, partition: str, controllers: ControllersState) -> bool:
        """Return whether gangs are assigned to a partition or run in it.

        Always False while no controller without support for gangs leads it or may acquire it, since
        nothing depends on the answer then.
        """
        if not controllers.without_gangs and not self._is_led_without_gangs(partition):
            return False
        view = self._view
        slices = view.job_slices.get(partition, {})
        assigned = view.assigned_jobs.get(partition, {})
        return any(name in slices or name in assigned for name in view.gangs)

    def _is_led_without_gangs(self, partition: str) -> bool:
        """Return whether a partition's leader is of a version that does not support gangs."""
        recorded = self._view.partition_leaders.get(partition)
        return recorded is not None and not supports(recorded.incarnation, GANGS_EXTENSION)

    def _update_gangs_at_risk(
        self, partition: str, holds_gangs: bool, now: datetime
    ) -> datetime | None:
        """Return since when a partition with gangs has had a leader that does not support them."""
        if holds_gangs and self._is_led_without_gangs(partition):
            return self._gangs_at_risk_since.setdefault(partition, now)
        self._gangs_at_risk_since.pop(partition, None)
        return None

    def _count_machines(
        self, partition: str, controllers: ControllersState, now: datetime
    ) -> MachineCounts:
        """Count the machines of a partition with a silent leader; none for other partitions."""
        recorded = self._view.partition_leaders.get(partition)
        if recorded is None:
            return NO_MACHINES
        silent_since = silent_leader.silent_since(recorded, controllers, self._operator, now)
        if silent_since is None:
            return NO_MACHINES
        machines = self._view.attempts_by_machine.get(partition, {})
        query = UnservedMachinesQuery(partition, recorded.term, silent_since, machines)
        return MachineCounts(len(machines), self.count_unserved(query, now))
