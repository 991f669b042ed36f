"""Decides on unrecorded attempts, from the state of a partition and its controller."""

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
    """Collects the facts about held attempts, and decides by them.

    `machines_known` returns whether, at an instant, no machine of the partition can run attempts
    that it has not reported.
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
        """Return the current decision on an attempt."""
        settings = self._environment.settings
        bounds = Bounds(settings.answer_most, settings.late_write)
        return decide(self._facts(held, now), bounds)

    def _facts(self, held: HeldAttempt, now: datetime) -> Facts:
        leader = self._leader
        job, machine = leader.records.live_job(held.job), leader.machines.get(held.machine)
        others = self._held_attempts.others(held)
        machine_confirmed = (
            machine is not None
            and machine.token.confirmed
            and machine.lifecycle.draining is None
            and machine.lifecycle.reclaim_at is None
            and not machine.lifecycle.fencing
        )
        return Facts(
            records_read=_is_after(self._environment.records_read_at(), held.since),
            peers_replied=_is_after(self._environment.peer_states_as_of(), held.since),
            superseded=job is not None and self.is_superseded(job, held.index),
            is_job_live=job is not None,
            job_ended=True if held.job in leader.context.cancellations.jobs else held.job_ended,
            gang=job is not None and job.spec.gang,
            reported_done=held.reported_done,
            machine_confirmed=machine_confirmed,
            machine_allowed=job is not None
            and machine is not None
            and self._is_allowed_on(job, machine),
            on_other_machines=bool(others),
            higher_attempt_elsewhere=any(row.attempt > held.attempt for row in others),
            machines_known=self._machines_known(now),
            within_quota=job is not None
            and leader.context.fair_share.startable_tasks(job.spec, leader.partition) > 0,
            held_for=now - held.since,
        )

    def _is_allowed_on(self, job: Job, machine: Machine) -> bool:
        """Return whether the job may run on a machine, given the zones of its other tasks."""
        if not free_capacity.allowed(job, machine.machine_type, machine.zone, machine.spot):
            return False
        if job.spec.together:
            return set(job.allocation) <= {self._leader.partition}
        here = ranges.size(job.allocation.get(self._leader.partition, ()))
        return not job.spec.apart or here < job.spec.zone_cap

    def is_superseded(self, job: Job, index: int) -> bool:
        """Return whether any partition's records name an attempt of a task or mark it as done."""
        if index >= job.spec.task_count or ranges.contains(job.done, index):
            return True
        for job_slices in self._leader.context.view.job_slices.values():
            job_slice = job_slices.get(job.id)
            if job_slice is not None and (
                index in job_slice.attempts or ranges.contains(job_slice.done, index)
            ):
                return True
        return False


def _is_after(at: datetime | None, since: datetime) -> bool:
    return at is not None and at >= since
