"""Recovery of a controller: looks after its partitions, the gate, and lost writes."""

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
from roadbend.recovery.records import MAX_LOGGED_ERROR, RecoveryRecords
from roadbend.recovery.settings import RecoverySettings
from roadbend.store import keys
from roadbend.store.client import RefusedError, UnavailableError

if TYPE_CHECKING:
    from roadbend.controller import Controller

log = Log("recovery")

# How often the phases and what is held are looked at.
LOOK_EVERY = timedelta(milliseconds=250)
# Final records that are read in one look.
MAX_READS_A_LOOK = 8
# How long a read barrier may take.
READ_BARRIER_SECONDS = 2.0


def install(controller: Controller, settings: RecoverySettings) -> RecoveryService:
    """Switch recovery on in a controller that has not started yet."""
    service = RecoveryService(controller, settings)
    controller.context.recovery = service
    controller.partition_leaders.recovery_of = service.for_partition
    controller.background.append(service.run)
    return service


class RecoveryService(recovery_hooks.Recovery):
    """Looks after the recovery of all partitions that this controller leads."""

    def __init__(self, controller: Controller, settings: RecoverySettings) -> None:
        self._controller, self._context = controller, controller.context
        self._partitions: dict[str, PartitionRecovery] = {}
        self._gate = Gate(controller, settings, self._partitions)
        self._records = RecoveryRecords(controller.context)
        self._environment = RecoveryEnvironment(
            settings=settings,
            inventory=controller.fleet.inventory,
            records_read_at=lambda: controller.reader.last_read_at,
            peers_heard_since=self._peers_heard_since,
            gate_is_open=self._gate.is_open_for,
            note_lost_writes=self._note_lost_writes,
        )

    # What the core asks.

    def for_partition(self, leader: PartitionLeader) -> PartitionRecovery:
        """Begin the recovery of a partition that was just acquired."""
        self._gate.note_partition_acquired()
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
        """Tell whether a job that nobody holds is not offered for now: a machine may have it."""
        return not self._gate.is_open_for(job) or any(
            partition.held_attempts.indexes(job) for partition in self._partitions.values()
        )

    def knows_jobs(self) -> bool:
        """Tell whether a job that no record names is known to be none.

        It is not before the machines are known: one may run a job that the records have lost.
        """
        return self._gate.is_open

    def gate_is_open(self, job: str) -> bool:
        """Tell whether a job may be given machines."""
        return self._gate.is_open_for(job)

    # The loop.

    async def run(self) -> None:
        """Look after the partitions for as long as the controller runs."""
        while True:
            await clock.pause(LOOK_EVERY)
            try:
                await self._look(clock.now())
            except (RefusedError, NoAnswerError, UnavailableError) as error:
                log.debug("state-store-unavailable", error=str(error)[:MAX_LOGGED_ERROR])
            except Exception:  # work from before waits for this loop: it must go on
                log.crash("recovery-failed")

    async def _look(self, now: datetime) -> None:
        for name in [name for name, row in self._partitions.items() if not self._is_ours(row)]:
            del self._partitions[name]
        for partition in list(self._partitions.values()):
            with partition.leader.lock:
                partition.advance(now)
                partition.decide_held(now)
        self._gate.update(now)
        for partition in list(self._partitions.values()):
            await self._look_for_lost_terms(partition)
            await self._read_ends(partition)
            await self._records.publish_unrecorded(partition)
            await self._records.record_progress(partition, inherited=self._gate.has_inherited)

    def _is_ours(self, partition: PartitionRecovery) -> bool:
        leader = partition.leader
        return self._context.election.leadership(leader.partition) == leader.leadership

    def _peers_heard_since(self) -> datetime | None:
        """Return since when every live controller was heard; now where there is none."""
        now = clock.now()
        heard = [
            link.peer_state.requested_at
            for link in self._controller.peers.links.values()
            if link.alive(now) and link.peer_state.requested_at is not None
        ]
        return min(heard, default=now)

    # Lost writes.

    def _note_lost_writes(self, partition: str) -> None:
        self._gate.note_lost_writes(partition)
        for recovery in self._partitions.values():
            recovery.gather_again()

    async def _look_for_lost_terms(self, partition: PartitionRecovery) -> None:
        """Find out whether the records have lost a term that machines have seen.

        They have if a read that began since then shows our term as the latest. Then the partition
        is acquired again, under a term above all that were seen.
        """
        if partition.terms_in_use.since is None:
            return
        with trio.move_on_after(READ_BARRIER_SECONDS) as scope:
            await self._context.reader.read_barrier()
        if scope.cancelled_caught or not self._is_ours(partition):
            return
        leader = partition.leader
        term = self._context.view.terms.get(leader.partition)
        if term is None or term.number != leader.leadership.term:
            return
        seen = partition.terms_in_use.take_highest()
        log.error(
            "lost-term-detected", partition=leader.partition, term=term.number, seen_term=seen
        )
        self._note_lost_writes(leader.partition)
        self._context.election.raise_term_above(leader.partition, seen)

    async def _read_ends(self, partition: PartitionRecovery) -> None:
        """Find out whether jobs that no record names as live have ended."""
        asked: set[str] = set()
        for held in partition.held_attempts.all():
            if held.job_over is not None or held.job in self._context.view.jobs:
                continue
            if held.job not in asked and len(asked) >= MAX_READS_A_LOOK:
                return
            asked.add(held.job)
            held.job_over = await self._context.state.get(keys.job_end_key(held.job)) is not None
