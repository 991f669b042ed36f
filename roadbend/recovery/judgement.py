"""Decides about unrecorded attempts, from what a part and its controller know."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from typing import TYPE_CHECKING

from roadbend.fleet.machines import Machine
from roadbend.placement import policy as placing
from roadbend.recovery.surroundings import Surroundings
from roadbend.recovery.unrecorded import (
    Bounds,
    Decision,
    Facts,
    HeldAttempt,
    HeldAttempts,
    decide,
)
from roadbend.store import ranges
from roadbend.store.records import Job

if TYPE_CHECKING:
    from roadbend.placement.runtime import PartRuntime


class Judgement:
    """Gathers the facts about held attempts. `machines_known`: whether no machine of the part can
    hold anything that was not seen, at that moment."""

    def __init__(
        self,
        runtime: PartRuntime,
        around: Surroundings,
        held: HeldAttempts,
        machines_known: Callable[[datetime], bool],
    ) -> None:
        self._runtime, self._around, self._held = runtime, around, held
        self._machines_known = machines_known

    def decide(self, held: HeldAttempt, now: datetime) -> Decision:
        """What is done about an attempt now."""
        settings = self._around.settings
        bounds = Bounds(settings.answer_most, settings.late_write)
        return decide(self._facts(held, now), bounds)

    def _facts(self, held: HeldAttempt, now: datetime) -> Facts:
        runtime = self._runtime
        job, machine = runtime.live(held.job), runtime.machines.get(held.machine)
        others = self._held.others(held)
        stays = (
            machine is not None
            and machine.ours
            and machine.draining is None
            and machine.recall_at is None
            and not machine.fencing
        )
        return Facts(
            records_read=_is_after(self._around.records_read(), held.since),
            peers_heard=_is_after(self._around.peers_heard(), held.since),
            superseded=job is not None and self.is_superseded(job, held.index),
            job_lives=job is not None,
            job_over=True if held.job in runtime.shared.cancelled else held.job_over,
            gang=job is not None and job.spec.gang,
            shows_done=held.shows_done,
            machine_current=stays,
            machine_allowed=job is not None and machine is not None and self._allows(job, machine),
            also_elsewhere=bool(others),
            higher_elsewhere=any(row.attempt > held.attempt for row in others),
            machines_known=self._machines_known(now),
            within_limit=job is not None and runtime.shared.room_left(job.spec, runtime.part) > 0,
            waited=now - held.since,
        )

    def _allows(self, job: Job, machine: Machine) -> bool:
        """The job may run there, given its other tasks."""
        if not placing.allowed(job, machine.machine_type, machine.zone, machine.spot):
            return False
        if job.spec.together:
            return set(job.alloc) <= {self._runtime.part}
        here = ranges.size(job.alloc.get(self._runtime.part, ()))
        return not job.spec.apart or here < job.spec.zone_cap

    def is_superseded(self, job: Job, index: int) -> bool:
        """Whether the records name an attempt of a task in any part, or say that it is done."""
        if index >= job.spec.task_count or ranges.has(job.done, index):
            return True
        for works in self._runtime.shared.view.slices.values():
            work = works.get(job.id)
            if work is not None and (index in work.run or ranges.has(work.done, index)):
                return True
        return False


def _is_after(at: datetime | None, since: datetime) -> bool:
    return at is not None and at >= since
