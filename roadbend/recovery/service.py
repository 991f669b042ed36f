"""Recovery of a controller: its partitions, the gate for work from before, and lost writes."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import trio

from roadbend import clock
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.placement import recovery_hooks
from roadbend.placement.leader import PartitionLeader
from roadbend.recovery.partition import PartitionRecovery
from roadbend.recovery.phases import PhaseName
from roadbend.recovery.settings import RecoverySettings
from roadbend.recovery.surroundings import Surroundings
from roadbend.recovery.unrecorded import HeldAttempt
from roadbend.store import keys
from roadbend.store.client import (
    Change,
    ConflictError,
    LeaseEndedError,
    RefusedError,
    UnavailableError,
    commit,
    delete,
    put,
)

if TYPE_CHECKING:
    from roadbend.controller import Controller

log = Log("recovery")
# How often the phases and what is held are looked at.
LOOK_EVERY = timedelta(milliseconds=250)
# Final records that are read in one look.
READS_A_LOOK = 8
# Writes of recovery wait no longer than this.
WRITE_WITHIN = timedelta(seconds=2)
GATHERED = {str(PhaseName.SETTLING), str(PhaseName.SETTLED)}


def install(controller: Controller, settings: RecoverySettings) -> RecoveryService:
    """Switches recovery on in a controller that has not started yet."""
    service = RecoveryService(controller, settings)
    controller.context.recovery = service
    controller.background.append(service.run)
    return service


class RecoveryService(recovery_hooks.Recovery):
    """Looks after the recovery of all partitions that this controller owns."""

    def __init__(self, controller: Controller, settings: RecoverySettings) -> None:
        self._controller, self._context, self.settings = controller, controller.context, settings
        self._parts: dict[str, PartitionRecovery] = {}
        # Jobs that were there when this controller took its first partition, and when that was.
        self._inherited: frozenset[str] = frozenset()
        self._since: datetime | None = None
        self._open = False
        self._lost: set[str] = set()
        self._written: dict[str, tuple[int, str, bool]] = {}
        self._around = Surroundings(
            settings,
            controller.fleet.inventory,
            lambda: controller.reader.contact,
            self._peers_heard,
            self.gate_is_open,
            self._note_lost_writes,
        )

    # What the core asks.

    def for_partition(self, leader: PartitionLeader) -> PartitionRecovery:
        """Begins the recovery of a partition that was just taken."""
        if self._since is None:
            self._since = clock.now()
            self._inherited = frozenset(self._context.view.jobs)
        partition = PartitionRecovery(
            leader, self._around, self.is_cold(), leader.partition in self._lost
        )
        self._parts[leader.partition] = partition
        log.info(
            "recovery-started",
            partition=leader.partition,
            term=leader.leadership.term,
            cold=partition.cold,
            held_jobs=len(self._context.view.assigned_jobs.get(leader.partition, ())),
        )
        return partition

    def holds_back(self, job: str) -> bool:
        """Whether a job that nobody holds is not offered for now: a machine may have it."""
        return not self.gate_is_open(job) or any(
            partition.held.indexes(job) for partition in self._parts.values()
        )

    def knows_jobs(self) -> bool:
        """Not before the machines are known: one may run a job that the records have lost."""
        return self._open

    def gate_is_open(self, job: str) -> bool:
        """Whether a job may be given machines: work that came after the restart always may, work
        from before once the machines that may have it are known."""
        if self._open:
            return True
        # Before the first partition was taken nobody here knows which jobs are from before.
        return self._since is not None and job not in self._inherited

    def is_cold(self) -> bool:
        """Whether no controller goes on from before: nobody knows what was on its way."""
        now = clock.now()
        limit = self.settings.cold_within
        if now - self._controller.began > limit:
            return False
        ages = [
            link.known.heartbeat.uptime
            for link in self._controller.peers.links.values()
            if link.alive(now) and link.known.heartbeat is not None
        ]
        return all(age < limit for age in ages)

    # The loop.

    async def run(self) -> None:
        """Runs for as long as the controller does."""
        while True:
            await clock.pause(LOOK_EVERY)
            try:
                await self._look(clock.now())
            except (RefusedError, NoAnswerError, UnavailableError) as error:
                log.debug("state-store-unavailable", error=str(error)[:80])
            except Exception:
                log.crash("recovery-failed")

    async def _look(self, now: datetime) -> None:
        for name in [
            name for name, partition in self._parts.items() if not self._is_ours(partition)
        ]:
            del self._parts[name]
        for partition in list(self._parts.values()):
            with partition.leader.lock:
                partition.advance(now)
                partition.judge_held(now)
        # Where a partition learns later that writes are lost, the gate is shut again.
        self._open = self._open and not self._lost_anywhere() or self._may_open(now)
        for partition in list(self._parts.values()):
            await self._look_for_lost_terms(partition)
            await self._read_ends(partition)
            await self._publish_unrecorded(partition)
            await self._record_progress(partition)

    def _is_ours(self, partition: PartitionRecovery) -> bool:
        leader = partition.leader
        return self._context.election.leadership(leader.partition) == leader.leadership

    def _peers_heard(self) -> datetime | None:
        """Since when every live controller was heard; now where there is none."""
        now = clock.now()
        heard = [
            link.known.asked_at
            for link in self._controller.peers.links.values()
            if link.alive(now) and link.known.asked_at is not None
        ]
        return min(heard, default=now)

    # The gate.

    def _may_open(self, now: datetime) -> bool:
        """Whether work from before the restart may be given machines."""
        if not self._context.view.loaded:
            return False
        partitions = self._all_partitions()
        since = self._since or self._controller.began
        if self._lost_anywhere():
            return now >= self._lost_until(since) or all(
                self._phase_of(partition) == PhaseName.SETTLED for partition in partitions
            )
        if not self.is_cold() or self._nothing_before():
            return True
        return now >= since + self.settings.gather_most or all(
            self._phase_of(partition) in GATHERED for partition in partitions
        )

    def _nothing_before(self) -> bool:
        """A first start: no job was there, and the cloud lists no machine that works."""
        inventory = self._controller.fleet.inventory
        running = any(row.status == "running" for row in inventory.rows.values())
        return (
            self._since is not None and not self._inherited and inventory.reads > 0 and not running
        )

    def _all_partitions(self) -> list[str]:
        return self._context.election.partitions()

    def _phase_of(self, partition: str) -> str | None:
        """How far a partition's recovery is under its present term, whoever owns it."""
        mine = self._parts.get(partition)
        if mine is not None:
            return str(mine.phase.name)
        progress = self._context.view.recoveries.get(partition)
        term = self._context.view.terms.get(partition)
        if progress is None or term is None or progress.term != term.number:
            return None
        return progress.phase

    def _lost_anywhere(self) -> bool:
        view = self._context.view
        return bool(self._lost) or any(
            progress.lost_writes
            and partition in view.terms
            and progress.term == view.terms[partition].number
            and progress.phase != PhaseName.SETTLED
            for partition, progress in view.recoveries.items()
        )

    def _lost_until(self, since: datetime) -> datetime:
        """From when on no machine has anything that was ordered before: what it did not hear from
        today's owners ended with its lease, and what they stopped has ended likewise."""
        settings, margin = self._context.settings, self._context.operator.state_margin
        longest = settings.cancel_within + settings.lease
        return since + longest * (1 + 2 * clock.DRIFT) + 2 * margin

    # Lost writes.

    def _note_lost_writes(self, partition: str) -> None:
        self._lost.add(partition)
        self._open = False
        for recovery in self._parts.values():
            recovery.gather_again()

    async def _look_for_lost_terms(self, partition: PartitionRecovery) -> None:
        """Machines have seen our term or a higher one. If a read that began since then shows ours
        as the latest, the records have lost theirs, and we take the partition again above it."""
        if partition.in_use_since is None:
            return
        with trio.move_on_after(WRITE_WITHIN.total_seconds()) as scope:
            await self._context.reader.read_barrier()
        if scope.cancelled_caught or not self._is_ours(partition):
            return
        leader = partition.leader
        term = self._context.view.terms.get(leader.partition)
        if term is None or term.number != leader.leadership.term:
            return
        seen = max(partition.terms_in_use.values())
        log.error(
            "lost-term-detected", partition=leader.partition, term=term.number, seen_term=seen
        )
        partition.terms_in_use, partition.in_use_since = {}, None
        self._note_lost_writes(leader.partition)
        self._context.election.raise_term_above(leader.partition, seen)

    async def _read_ends(self, partition: PartitionRecovery) -> None:
        """Whether jobs that no record names as live have ended."""
        asked: set[str] = set()
        for held in partition.held.all():
            if held.job_over is not None or held.job in self._context.view.jobs:
                continue
            if held.job not in asked and len(asked) >= READS_A_LOOK:
                return
            asked.add(held.job)
            held.job_over = await self._context.state.get(keys.job_end_key(held.job)) is not None

    async def _publish_unrecorded(self, partition: PartitionRecovery) -> None:
        """While machines have a job that no record names, it is not accepted anew: its tasks could
        start on other machines."""
        view, name = self._context.view, partition.leader.partition
        shown = {held.job: held for held in partition.held.all() if held.job_over is False}
        for job, held in shown.items():
            if job not in view.jobs and job not in view.unrecorded:
                await self._publish(partition, held)
        if partition.phase.name is PhaseName.GATHERING:
            return
        for job in [job for job, by in view.unrecorded.items() if by == name]:
            if job not in partition.held.jobs():
                key = keys.unrecorded_key(job)
                await self._write(partition, [delete(key)], {key: view.mod_revision(key)})

    async def _publish(self, partition: PartitionRecovery, held: HeldAttempt) -> None:
        key = keys.unrecorded_key(held.job)
        conditions = {key: 0, keys.job_key(held.job): 0, keys.job_end_key(held.job): 0}
        await self._write(
            partition, [put(key, {"v": 1, "part": partition.leader.partition})], conditions
        )

    # Progress.

    async def _record_progress(self, partition: PartitionRecovery) -> None:
        """Each phase is written once, for the other controllers' gates and for operators; nothing
        where nothing was there to recover."""
        leader, now = partition.leader, clock.now()
        if partition.phase.name is PhaseName.GATHERING and not partition.lost_writes:
            return
        mark = (leader.leadership.term, str(partition.phase.name), partition.lost_writes)
        written = self._written.get(leader.partition)
        if written == mark or not self._worth_recording(partition):
            return
        key = keys.recovery_key(leader.partition)
        row = put(key, partition.progress(now).to_value())
        if await self._write(partition, [row], {key: self._context.view.mod_revision(key)}):
            self._written[leader.partition] = mark

    def _worth_recording(self, partition: PartitionRecovery) -> bool:
        if partition.lost_writes or self._written.get(partition.leader.partition):
            return True
        return bool(partition.found) or partition.cold and bool(self._inherited)

    async def _write(
        self, partition: PartitionRecovery, rows: list[Change], conditions: dict[str, int]
    ) -> bool:
        """One small transaction, on the term's stamp."""
        leader = partition.leader
        conditions = {**conditions, keys.term_key(leader.partition): leader.leadership.mod_revision}
        try:
            revision = await commit(self._context.state, conditions, rows, within=WRITE_WITHIN)
        except (ConflictError, LeaseEndedError, UnavailableError) as error:
            log.debug(
                "recovery-progress-not-written", partition=leader.partition, error=str(error)[:80]
            )
            return False
        self._context.view.applied(rows, revision)
        return True
