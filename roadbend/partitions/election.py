"""Elect the leaders of partitions.

A partition is led by the controller that its leader record names; the record is attached to that
controller's lease. Every new leadership has a higher term. The term is the workers' fencing token,
and every write of a leader is conditional on the mod revision of the term record. So a former
leader's late transactions fail even if it does not know that it was deposed.
"""

import threading
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.partitions import messages, policy
from roadbend.partitions.acquisition import Acquisition, AcquisitionRequest
from roadbend.partitions.controller_lease import ControllerLease
from roadbend.partitions.election_state import Action, Decision, PartitionState
from roadbend.partitions.hold_offs import HoldOffs
from roadbend.partitions.leadership import Leadership, LossReason
from roadbend.partitions.live_controllers import LiveControllers
from roadbend.partitions.partition_observation import PartitionObserver
from roadbend.partitions.records import ElectionRecords
from roadbend.peers.links import Peers
from roadbend.settings import OperatorSettings, PlatformSettings
from roadbend.store.client import (
    LeaseEndedError,
    RefusedError,
    StateStoreClient,
    UnavailableError,
)
from roadbend.store.record_reader import RecordReader
from roadbend.store.record_view import RecordView

log = Log("partitions")

# A leader starts tasks only if it has read the records within this time. This bounds how long after
# a cancellation was recorded a leader may still start the job's tasks without knowing of it.
START_FRESHNESS = timedelta(seconds=2)
# Partitions are acquired, released and failed back only if the records were read within this time.
DECISION_FRESHNESS = timedelta(seconds=2)
ELECTION_INTERVAL = timedelta(milliseconds=300)
# How long a partition does not fail back after we acquired it while its home controller was alive.
FAILBACK_HOLD_OFF_AFTER_ACQUISITION = timedelta(seconds=25)
# The minimum time between two failbacks of a partition to the same controller.
FAILBACK_HOLD_OFF_AFTER_FAILBACK = timedelta(seconds=30)
# How long we don't acquire a partition that we gave up because its workers could not reach us.
ACQUISITION_HOLD_OFF_UNREACHABLE = timedelta(seconds=20)
# How long we don't acquire a partition that we failed back, as a multiple of the takeover grace.
ACQUISITION_HOLD_OFF_GRACES = 4


async def _reaches_none(_partition: str) -> bool:
    """Return False: the default for a controller that knows no machines."""
    return False


class LeaderElection:
    """Tracks which partitions this controller leads, and until when it may act as their leader."""

    def __init__(
        self,
        settings: PlatformSettings,
        operator: OperatorSettings,
        incarnation: str,
        state: StateStoreClient,
        view: RecordView,
        reader: RecordReader,
        peers: Peers,
    ) -> None:
        self.lock = threading.RLock()
        self.leaderships: dict[str, Leadership] = {}
        # Called with a partition's name whenever our leadership of it begins or ends.
        self.leadership_listeners: list[Callable[[str], None]] = []
        # Returns whether we can reach a partition's machines; replaced by the component that knows
        # their addresses.
        self.reaches_machines: Callable[[str], Awaitable[bool]] = _reaches_none
        self._settings, self._operator = settings, operator
        self._view, self._reader, self._peers = view, reader, peers
        records = ElectionRecords(state, view, reader)
        self.lease = ControllerLease(settings.name, incarnation, operator.own_lease, state, records)
        self._acquisition = Acquisition(settings.name, incarnation, operator.own_lease / 2, records)
        self._live_controllers = LiveControllers(settings, incarnation, view, peers)
        self._hold_offs = HoldOffs()
        self.observer = PartitionObserver(
            operator, view, self._hold_offs, self._acquisition.unconfirmed_terms
        )

    def partitions(self) -> list[str]:
        """Return all partitions: the zones of settings, controllers and machine types."""
        zones = set(self._settings.zones) | set(self._live_controllers.zones.values())
        return sorted(zones | messages.zones_of_catalog(self._view.catalog))

    def leadership(self, partition: str) -> Leadership | None:
        """Return our leadership of the partition; None if we don't lead it."""
        return self.leaderships.get(partition)

    def leader_of(self, partition: str) -> str | None:
        """Return the name of the controller that leads the partition according to the records."""
        recorded = self._view.partition_leaders.get(partition)
        return recorded.controller if recorded else None

    @property
    def records_read_at(self) -> datetime | None:
        """The beginning of the last read of the records that was answered, if there was one."""
        return self._reader.last_read_at

    def may_start(self, now: datetime) -> bool:
        """Return whether we may start tasks in partitions that we lead.

        Our lease must be valid, and the records must have been read recently, so that we learn of
        cancellations soon.
        """
        last_read_at, valid_until = self._reader.last_read_at, self.lease.valid_until
        return (
            valid_until is not None
            and now < valid_until
            and last_read_at is not None
            and now - last_read_at < START_FRESHNESS
        )

    def may_renew(self, now: datetime) -> bool:
        """Return whether we may renew the leases of workers in partitions that we lead."""
        until = policy.renew_until(
            self._reader.last_read_at,
            [link.peer_state for link in self._peers.links.values()],
            self._settings.cancel_within,
            self._settings.lease,
            self._operator.state_margin,
        )
        return until is not None and now < until

    def depose(self, partition: str, term: int) -> None:
        """Stop leading the partition at once if `term` is higher than ours, whatever its source."""
        with self.lock:
            leadership = self.leaderships.get(partition)
            if leadership is None or leadership.term >= term:
                return
            del self.leaderships[partition]
        log.info("leadership-deposed", partition=partition, term=leadership.term, higher_term=term)
        self._notify(partition)

    def raise_term_above(self, partition: str, term: int) -> None:
        """Acquire the partition again under a term above one that the records have lost.

        Machines have seen that term, and refuse our answers until ours is above it.
        """
        self.observer.record_lost_term(partition, term)

    def on_record(self, key: str) -> None:
        """Stop leading partitions for which a changed term record has a higher term."""
        if key.startswith("r/term/"):
            for partition, term in list(self._view.terms.items()):
                self.depose(partition, term.number)

    async def fail_over(self, partition: str) -> None:
        """Give up a partition whose workers reach other controllers but not this one."""
        until = clock.now() + ACQUISITION_HOLD_OFF_UNREACHABLE
        self._hold_offs.hold_acquisition(partition, until)
        self._hold_offs.mark_unreachable(partition)
        self.lose(partition, LossReason.UNREACHABLE_FOR_WORKERS)
        await self._acquisition.release(partition)

    def lose(self, partition: str, reason: LossReason) -> None:
        """Stop leading a partition; its leader record stays."""
        with self.lock:
            leadership = self.leaderships.pop(partition, None)
        if leadership is not None:
            log.info("leadership-lost", partition=partition, reason=reason)
            self._notify(partition)

    def _lose_all(self, reason: LossReason) -> None:
        with self.lock:
            partitions = list(self.leaderships)
            self.leaderships.clear()
        for partition in partitions:
            log.info("leadership-lost", partition=partition, reason=reason)
            self._notify(partition)

    def _notify(self, partition: str) -> None:
        for callback in self.leadership_listeners:
            callback(partition)

    async def run(self) -> None:
        """Keep our lease alive, and acquire, release and fail back partitions, until cancelled."""
        while True:
            try:
                if self._view.loaded:
                    await self._run_once()
            except (RefusedError, NoAnswerError, UnavailableError):
                pass
            except Exception:
                # The loop must go on after any failure: all our leaderships depend on our lease,
                # which it renews.
                log.crash("election-failed")
            await clock.pause(ELECTION_INTERVAL)

    async def _run_once(self) -> None:
        if not await self.lease.keep_alive():
            # Our records were deleted with the lease; others may already lead our partitions.
            self._lose_all(LossReason.LEASE_ENDED)
        if self.lease.id is None:
            return
        now, last_read_at = clock.now(), self._reader.last_read_at
        if last_read_at is None or now - last_read_at > DECISION_FRESHNESS:
            return
        controllers = self._live_controllers.observe(self.leaderships.keys(), now)
        for partition in self.partitions():
            leadership = self.leaderships.get(partition)
            state = self.observer.observe(partition, leadership, controllers, now)
            decision = policy.decide(state, controllers, self._operator, now)
            await self._carry_out(decision, state, now)

    async def _carry_out(self, decision: Decision, state: PartitionState, now: datetime) -> None:
        partition = state.name
        if decision.failback_to is not None:
            self._begin_failback(partition, decision.failback_to, now)
        if decision.loss_reason is not None:
            self.lose(partition, decision.loss_reason)
        match decision.action:
            case Action.RAISE_TERM:
                self._log_raised_term(state)
                await self._acquire(state, now)
            case Action.REPLACE_LEADER:
                self._log_replaced_leader(state)
                await self._acquire(state, now)
            case Action.REPLACE_LEADER_WITHOUT_GANGS:
                await self._replace_leader_without_gangs(state, now)
            case Action.ACQUIRE:
                await self._acquire(state, now)
            case Action.RELEASE | Action.FAIL_BACK:
                await self._acquisition.release(partition)
            case Action.NOTHING:
                pass

    def _log_raised_term(self, state: PartitionState) -> None:
        log.info(
            "term-raised",
            partition=state.name,
            term=state.leadership.term if state.leadership else 0,
            seen_term=state.lost_term,
        )

    def _log_replaced_leader(self, state: PartitionState) -> None:
        log.info(
            "leader-replaced",
            partition=state.name,
            leader=state.recorded.controller if state.recorded else None,
            term=state.recorded.term if state.recorded else 0,
            running_machines=state.machines.running,
            unserved_machines=state.machines.unserved,
        )

    async def _replace_leader_without_gangs(self, state: PartitionState, now: datetime) -> None:
        at_home = state.name == self._settings.zone
        if not at_home and not await self.reaches_machines(state.name):
            return
        log.info(
            "leader-without-gangs-replaced",
            partition=state.name,
            leader=state.recorded.controller if state.recorded else None,
            term=state.recorded.term if state.recorded else 0,
        )
        await self._acquire(state, now)

    def _begin_failback(self, partition: str, controller: str, now: datetime) -> None:
        log.info("failback-started", partition=partition, to_controller=controller)
        graces = self._operator.takeover_grace * ACQUISITION_HOLD_OFF_GRACES
        self._hold_offs.hold_acquisition(partition, now + graces)
        until = now + FAILBACK_HOLD_OFF_AFTER_FAILBACK
        self._hold_offs.hold_failback(partition, controller, until)

    async def _acquire(self, state: PartitionState, now: datetime) -> None:
        """Acquire a partition; `now` is the time of the decision."""
        partition = state.name
        request = AcquisitionRequest(
            partition=partition,
            leader_mod_revision=state.recorded.mod_revision if state.recorded else 0,
            lost_term=state.lost_term,
            lease_id=self.lease.id,
        )
        try:
            term = await self._acquisition.acquire(request)
        except LeaseEndedError:
            self.lease.discard()
            self._lose_all(LossReason.LEASE_ENDED)
            return
        if term is None:
            return
        for name, zone in self._live_controllers.zones.items():
            if zone == partition and name != self._settings.name and name in self._view.controllers:
                until = now + FAILBACK_HOLD_OFF_AFTER_ACQUISITION
                self._hold_offs.hold_failback(partition, name, until)
        with self.lock:
            self.leaderships[partition] = Leadership(
                partition, term.number, term.mod_revision, clock.now()
            )
        log.info("leadership-acquired", partition=partition, term=term.number)
        self._notify(partition)
