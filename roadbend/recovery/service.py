"""Recovery of a controller: its parts, the gate for work from before, and lost writes."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

import trio

from roadbend import clock
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.placement import recovery_hooks
from roadbend.placement.runtime import PartRuntime
from roadbend.recovery.part import PartRecovery
from roadbend.recovery.phases import PhaseName
from roadbend.recovery.settings import RecoverySettings
from roadbend.recovery.surroundings import Surroundings
from roadbend.recovery.unrecorded import HeldAttempt
from roadbend.store import keys
from roadbend.store.client import (
    ConflictError,
    LeaseEndedError,
    RefusedError,
    UnavailableError,
    commit,
    delete,
    put,
)

if TYPE_CHECKING:
    from roadbend.node import Node

log = Log("recovery")
# How often the phases and what is held are looked at.
LOOK_EVERY = timedelta(milliseconds=250)
# Final records that are read in one look.
READS_A_LOOK = 8
# Writes of recovery wait no longer than this.
WRITE_WITHIN = timedelta(seconds=2)
GATHERED = {str(PhaseName.SETTLING), str(PhaseName.SETTLED)}


def install(node: Node, settings: RecoverySettings) -> RecoveryService:
    """Switches recovery on in a controller that has not started yet."""
    service = RecoveryService(node, settings)
    node.shared.recovery = service
    node.background.append(service.run)
    return service


class RecoveryService(recovery_hooks.Recovery):
    """Looks after the recovery of all parts that this controller owns."""

    def __init__(self, node: Node, settings: RecoverySettings) -> None:
        self._node, self._shared, self.settings = node, node.shared, settings
        self._parts: dict[str, PartRecovery] = {}
        # Jobs that were there when this controller took its first part, and when that was.
        self._inherited: frozenset[str] = frozenset()
        self._since: datetime | None = None
        self._open = False
        self._lost: set[str] = set()
        self._written: dict[str, tuple[int, str, bool]] = {}
        self._around = Surroundings(
            settings,
            node.fleet.listing,
            lambda: node.reader.contact,
            self._peers_heard,
            self.gate_is_open,
            self._note_lost_writes,
        )

    # What the core asks.

    def for_part(self, runtime: PartRuntime) -> PartRecovery:
        """Begins the recovery of a part that was just taken."""
        if self._since is None:
            self._since = clock.now()
            self._inherited = frozenset(self._shared.view.jobs)
        part = PartRecovery(runtime, self._around, self.is_cold(), runtime.part in self._lost)
        self._parts[runtime.part] = part
        log.info(
            "begin",
            part=runtime.part,
            term=runtime.tenure.term,
            cold=part.cold,
            held_jobs=len(self._shared.view.held.get(runtime.part, ())),
        )
        return part

    def holds_back(self, job: str) -> bool:
        """Whether a job that nobody holds is not offered for now: a machine may have it."""
        return not self.gate_is_open(job) or any(
            part.held.indexes(job) for part in self._parts.values()
        )

    def knows_jobs(self) -> bool:
        """Not before the machines are known: one may run a job that the records have lost."""
        return self._open

    def gate_is_open(self, job: str) -> bool:
        """Whether a job may be given machines: work that came after the restart always may, work
        from before once the machines that may have it are known."""
        if self._open:
            return True
        # Before the first part was taken nobody here knows which jobs are from before.
        return self._since is not None and job not in self._inherited

    def is_cold(self) -> bool:
        """Whether no controller goes on from before: nobody knows what was on its way."""
        now = clock.now()
        limit = self.settings.cold_within
        if now - self._node.began > limit:
            return False
        ages = [
            link.known.heartbeat.uptime
            for link in self._node.peers.links.values()
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
                log.debug("no-state", error=str(error)[:80])
            except Exception:
                log.crash("recovery-failed")

    async def _look(self, now: datetime) -> None:
        for name in [name for name, part in self._parts.items() if not self._is_ours(part)]:
            del self._parts[name]
        for part in list(self._parts.values()):
            with part.runtime.lock:
                part.advance(now)
                part.judge_held(now)
        # Where a part learns later that writes are lost, the gate is shut again.
        self._open = self._open and not self._lost_anywhere() or self._may_open(now)
        for part in list(self._parts.values()):
            await self._look_for_lost_terms(part)
            await self._read_ends(part)
            await self._publish_unrecorded(part)
            await self._record_progress(part)

    def _is_ours(self, part: PartRecovery) -> bool:
        runtime = part.runtime
        return self._shared.ownership.tenure(runtime.part) == runtime.tenure

    def _peers_heard(self) -> datetime | None:
        """Since when every live controller was heard; now where there is none."""
        now = clock.now()
        heard = [
            link.known.asked
            for link in self._node.peers.links.values()
            if link.alive(now) and link.known.asked is not None
        ]
        return min(heard, default=now)

    # The gate.

    def _may_open(self, now: datetime) -> bool:
        """Whether work from before the restart may be given machines."""
        if not self._shared.view.loaded:
            return False
        parts = self._all_parts()
        since = self._since or self._node.began
        if self._lost_anywhere():
            return now >= self._lost_until(since) or all(
                self._phase_of(part) == PhaseName.SETTLED for part in parts
            )
        if not self.is_cold() or self._nothing_before():
            return True
        return now >= since + self.settings.gather_most or all(
            self._phase_of(part) in GATHERED for part in parts
        )

    def _nothing_before(self) -> bool:
        """A first start: no job was there, and the cloud lists no machine that works."""
        listing = self._node.fleet.listing
        running = any(row.status == "running" for row in listing.rows.values())
        return self._since is not None and not self._inherited and listing.reads > 0 and not running

    def _all_parts(self) -> list[str]:
        return self._shared.ownership.parts()

    def _phase_of(self, part: str) -> str | None:
        """How far a part's recovery is under its present term, whoever owns it."""
        mine = self._parts.get(part)
        if mine is not None:
            return str(mine.phase.name)
        progress = self._shared.view.recoveries.get(part)
        term = self._shared.view.terms.get(part)
        if progress is None or term is None or progress.term != term.number:
            return None
        return progress.phase

    def _lost_anywhere(self) -> bool:
        view = self._shared.view
        return bool(self._lost) or any(
            progress.lost_writes
            and part in view.terms
            and progress.term == view.terms[part].number
            and progress.phase != PhaseName.SETTLED
            for part, progress in view.recoveries.items()
        )

    def _lost_until(self, since: datetime) -> datetime:
        """From when on no machine has anything that was ordered before: what it did not hear from
        today's owners ended with its lease, and what they stopped has ended likewise."""
        settings, margin = self._shared.settings, self._shared.operator.state_margin
        longest = settings.cancel_within + settings.lease
        return since + longest * (1 + 2 * clock.DRIFT) + 2 * margin

    # Lost writes.

    def _note_lost_writes(self, part: str) -> None:
        self._lost.add(part)
        self._open = False
        for recovery in self._parts.values():
            recovery.gather_again()

    async def _look_for_lost_terms(self, part: PartRecovery) -> None:
        """Machines have seen our term or a higher one. If a read that began since then shows ours
        as the latest, the records have lost theirs, and we take the part again above it."""
        if part.in_use_since is None:
            return
        with trio.move_on_after(WRITE_WITHIN.total_seconds()) as scope:
            await self._shared.reader.sync()
        if scope.cancelled_caught or not self._is_ours(part):
            return
        runtime = part.runtime
        term = self._shared.view.terms.get(runtime.part)
        if term is None or term.number != runtime.tenure.term:
            return
        seen = max(part.terms_in_use.values())
        log.error("lost-term", part=runtime.part, term=term.number, seen=seen)
        part.terms_in_use, part.in_use_since = {}, None
        self._note_lost_writes(runtime.part)
        self._shared.ownership.raise_above(runtime.part, seen)

    async def _read_ends(self, part: PartRecovery) -> None:
        """Whether jobs that no record names as live have ended."""
        asked: set[str] = set()
        for held in part.held.all():
            if held.job_over is not None or held.job in self._shared.view.jobs:
                continue
            if held.job not in asked and len(asked) >= READS_A_LOOK:
                return
            asked.add(held.job)
            held.job_over = await self._shared.state.get(keys.fin_key(held.job)) is not None

    async def _publish_unrecorded(self, part: PartRecovery) -> None:
        """While machines have a job that no record names, it is not accepted anew: its tasks could
        start on other machines."""
        view, name = self._shared.view, part.runtime.part
        shown = {held.job: held for held in part.held.all() if held.job_over is False}
        for job, held in shown.items():
            if job not in view.jobs and job not in view.unrecorded:
                await self._publish(part, held)
        if part.phase.name is PhaseName.GATHERING:
            return
        for job in [job for job, by in view.unrecorded.items() if by == name]:
            if job not in part.held.jobs():
                key = keys.unrecorded_key(job)
                await self._write(part, [delete(key)], {key: view.mod_revision(key)})

    async def _publish(self, part: PartRecovery, held: HeldAttempt) -> None:
        key = keys.unrecorded_key(held.job)
        when = {key: 0, keys.job_key(held.job): 0, keys.fin_key(held.job): 0}
        await self._write(part, [put(key, {"v": 1, "part": part.runtime.part})], when)

    # Progress.

    async def _record_progress(self, part: PartRecovery) -> None:
        """Each phase is written once, for the other controllers' gates and for operators; nothing
        where nothing was there to recover."""
        runtime, now = part.runtime, clock.now()
        if part.phase.name is PhaseName.GATHERING and not part.lost_writes:
            return
        mark = (runtime.tenure.term, str(part.phase.name), part.lost_writes)
        written = self._written.get(runtime.part)
        if written == mark or not self._worth_recording(part):
            return
        key = keys.recovery_key(runtime.part)
        row = put(key, part.progress(now).to_value())
        if await self._write(part, [row], {key: self._shared.view.mod_revision(key)}):
            self._written[runtime.part] = mark

    def _worth_recording(self, part: PartRecovery) -> bool:
        if part.lost_writes or self._written.get(part.runtime.part):
            return True
        return bool(part.found) or part.cold and bool(self._inherited)

    async def _write(self, part: PartRecovery, rows: list[dict], when: dict[str, int]) -> bool:
        """One small transaction, on the term's stamp."""
        runtime = part.runtime
        when = {**when, keys.term_key(runtime.part): runtime.tenure.mod_revision}
        try:
            revision = await commit(self._shared.state, when, rows, within=WRITE_WITHIN)
        except (ConflictError, LeaseEndedError, UnavailableError) as error:
            log.debug("not-written", part=runtime.part, error=str(error)[:80])
            return False
        self._shared.view.applied(rows, revision)
        return True
