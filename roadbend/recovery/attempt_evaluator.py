"""Decides about unrecorded attempts, from what a partition and its controller know."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from typing import TYPE_CHECKING

from roadbend.fleet.machines import Machine
from roadbend.placement import free_capacity
from roadbend.recovery.environment import RecoveryEnvironment
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
    from roadbend.placement.leader import PartitionLeader


class AttemptEvaluator:
    """Gathers the facts about held attempts, and decides by them.

    `machines_known` tells whether, at an instant, no machine of the partition can hold anything
    that was not seen.
    """

    def __init__(
        self,
        leader: PartitionLeader,
        environment: RecoveryEnvironment,
        held_attempts: HeldAttempts,
        machines_known: Callable[[datetime], bool],
    ) -> None:
        self._leader, self._environment, self._held_attempts = leader, environment, held_attempts
        self._machines_known = machines_known

    def decide(self, held: HeldAttempt, now: datetime) -> Decision:
        """Return what is done about an attempt now."""
        settings = self._environment.settings
        bounds = Bounds(settings.answer_most, settings.late_write)
        return decide(self._facts(held, now), bounds)

    def _facts(self, held: HeldAttempt, now: datetime) -> Facts:
        leader = self._leader
        job, machine = leader.records.live_job(held.job), leader.machines.get(held.machine)
        others = self._held_attempts.others(held)
        machine_current = (
            machine is not None
            and machine.token.confirmed
            and machine.lifecycle.draining is None
            and machine.lifecycle.reclaim_at is None
            and not machine.lifecycle.fencing
        )
        return Facts(
            records_read=_is_after(self._environment.records_read_at(), held.since),
            peers_heard=_is_after(self._environment.peers_heard_since(), held.since),
            superseded=job is not None and self.is_superseded(job, held.index),
            job_lives=job is not None,
            job_over=True if held.job in leader.context.cancellations.jobs else held.job_over,
            gang=job is not None and job.spec.gang,
            shows_done=held.shows_done,
            machine_current=machine_current,
            machine_allowed=job is not None and machine is not None and self._allows(job, machine),
            also_elsewhere=bool(others),
            higher_elsewhere=any(row.attempt > held.attempt for row in others),
            machines_known=self._machines_known(now),
            within_limit=job is not None
            and leader.context.fair_share.startable_tasks(job.spec, leader.partition) > 0,
            waited=now - held.since,
        )

    def _allows(self, job: Job, machine: Machine) -> bool:
        """Tell whether the job may run on a machine, given its other tasks."""
        if not free_capacity.allowed(job, machine.machine_type, machine.zone, machine.spot):
            return False
        if job.spec.together:
            return set(job.allocation) <= {self._leader.partition}
        here = ranges.size(job.allocation.get(self._leader.partition, ()))
        return not job.spec.apart or here < job.spec.zone_cap

    def is_superseded(self, job: Job, index: int) -> bool:
        """Tell whether the records name an attempt of a task anywhere, or say that it is done."""
        if index >= job.spec.task_count or ranges.has(job.done, index):
            return True
        for job_slices in self._leader.context.view.job_slices.values():
            job_slice = job_slices.get(job.id)
            if job_slice is not None and (
                index in job_slice.attempts or ranges.has(job_slice.done, index)
            ):
                return True
        return False


def _is_after(at: datetime | None, since: datetime) -> bool:
    return at is not None and at >= since
