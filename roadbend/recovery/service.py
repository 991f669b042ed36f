"""Recovery of a controller: runs that of its partitions, the gate, and lost-write detection."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import trio

from roadbend import clock
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.placement import recovery_hooks
from roadbend.placement.leader import PartitionLeader
from roadbend.recovery.environment import RecoveryEnvironment
from roadbend.recovery.gate import Gate
from roadbend.recovery.partition import PartitionRecovery
from roadbend.recovery.records import MAX_LOGGED_ERROR_CHARS, RecoveryRecords
from roadbend.recovery.settings import RecoverySettings
from roadbend.store import keys
from roadbend.store.client import RefusedError, UnavailableError

if TYPE_CHECKING:
    from roadbend.controller import Controller

log = Log("recovery")

# How often the phases and the held attempts are updated.
POLL_INTERVAL = timedelta(milliseconds=250)
# How many final states of jobs are read from the state store in one poll.
MAX_READS_PER_POLL = 8
READ_BARRIER_TIMEOUT_S = 2.0


def install(controller: Controller, settings: RecoverySettings) -> RecoveryService:
    """Enable recovery in a controller that has not started yet."""
    service = RecoveryService(controller, settings)
    controller.context.recovery = service
    controller.partition_leaders.recovery_of = service.for_partition
    controller.background.append(service.run)
    return service


class RecoveryService(recovery_hooks.Recovery):
    """Runs the recovery of all partitions that this controller leads."""

    def __init__(self, controller: Controller, settings: RecoverySettings) -> None:
        self._controller, self._context = controller, controller.context
        self._partitions: dict[str, PartitionRecovery] = {}
        self._gate = Gate(controller, settings, self._partitions)
        self._records = RecoveryRecords(controller.context)
        self._environment = RecoveryEnvironment(
            settings=settings,
            inventory=controller.fleet.inventory,
            records_read_at=lambda: controller.reader.last_read_at,
            peer_states_as_of=self._peer_states_as_of,
            can_place=self._gate.is_open_for,
            report_lost_writes=self._handle_lost_writes,
        )

    # Called by the core.

    def for_partition(self, leader: PartitionLeader) -> PartitionRecovery:
        """Start the recovery of a partition that was just acquired."""
        self._gate.record_acquisition()
        partition = PartitionRecovery(
            leader,
            self._environment,
            cold=self._gate.is_cold(),
            lost_writes=self._gate.has_lost_writes(leader.partition),
        )
        self._partitions[leader.partition] = partition
        log.info(
            "recovery-started",
            partition=leader.partition,
            term=leader.leadership.term,
            cold=partition.cold,
            held_jobs=len(self._context.view.assigned_jobs.get(leader.partition, ())),
        )
        return partition

    def defers_allocation(self, job: str) -> bool:
        """Return whether a job that no partition holds must wait: a machine may already run it."""
        return not self._gate.is_open_for(job) or any(
            partition.held_attempts.indexes(job) for partition in self._partitions.values()
        )

    def knows_jobs(self) -> bool:
        """Return whether a job that no record names is known not to exist.

        It is not while the gate is closed: a machine may run a job that the records have lost.
        """
        return self._gate.is_open

    def can_place(self, job: str) -> bool:
        """Return whether the tasks of a job may be placed on machines."""
        return self._gate.is_open_for(job)

    # The loop.

    async def run(self) -> None:
        """Run the recovery of the partitions for as long as the controller runs."""
        while True:
            await clock.pause(POLL_INTERVAL)
            try:
                await self._poll(clock.now())
            except (RefusedError, NoAnswerError, UnavailableError) as error:
                log.debug("state-store-unavailable", error=str(error)[:MAX_LOGGED_ERROR_CHARS])
            except Exception:  # inherited jobs wait for this loop, so it must not end
                log.crash("recovery-failed")

    async def _poll(self, now: datetime) -> None:
        for name in [name for name, row in self._partitions.items() if not self._is_led_here(row)]:
            del self._partitions[name]
        for partition in list(self._partitions.values()):
            with partition.leader.lock:
                partition.advance(now)
                partition.decide_held_attempts(now)
        self._gate.update(now)
        for partition in list(self._partitions.values()):
            await self._check_for_lost_terms(partition)
            await self._read_final_states(partition)
            await self._records.publish_unrecorded(partition)
            await self._records.record_progress(
                partition, has_inherited_jobs=self._gate.has_inherited_jobs
            )

    def _is_led_here(self, partition: PartitionRecovery) -> bool:
        leader = partition.leader
        return self._context.election.leadership(leader.partition) == leader.leadership

    def _peer_states_as_of(self) -> datetime | None:
        """Return the earliest request time of the latest heartbeats of live peers.

        That is now if there are none.
        """
        now = clock.now()
        requested_at = [
            link.peer_state.requested_at
            for link in self._controller.peers.links.values()
            if link.alive(now) and link.peer_state.requested_at is not None
        ]
        return min(requested_at, default=now)

    # Lost writes.

    def _handle_lost_writes(self, partition: str) -> None:
        self._gate.record_lost_writes(partition)
        for recovery in self._partitions.values():
            recovery.gather_again()

    async def _check_for_lost_terms(self, partition: PartitionRecovery) -> None:
        """Check whether the records have lost a term that machines have seen.

        They have if a read that began after the machines' reports still shows this leader's term as
        the latest. Then the partition is acquired again, under a term above all those seen.
        """
        if partition.terms_in_use.since is None:
            return
        with trio.move_on_after(READ_BARRIER_TIMEOUT_S) as scope:
            await self._context.reader.read_barrier()
        if scope.cancelled_caught or not self._is_led_here(partition):
            return
        leader = partition.leader
        term = self._context.view.terms.get(leader.partition)
        if term is None or term.number != leader.leadership.term:
            return
        highest = partition.terms_in_use.pop_highest()
        log.error(
            "lost-term-detected", partition=leader.partition, term=term.number, seen_term=highest
        )
        self._handle_lost_writes(leader.partition)
        self._context.election.raise_term_above(leader.partition, highest)

    async def _read_final_states(self, partition: PartitionRecovery) -> None:
        """Read whether the jobs of held attempts that are not live have a recorded final state."""
        queried_jobs: set[str] = set()
        for held in partition.held_attempts.all():
            if held.job_ended is not None or held.job in self._context.view.jobs:
                continue
            if held.job not in queried_jobs and len(queried_jobs) >= MAX_READS_PER_POLL:
                return
            queried_jobs.add(held.job)
            held.job_ended = await self._context.state.get(keys.job_end_key(held.job)) is not None
