"""Releases gangs that can't start where they are allocated, so that they are allocated again."""

from dataclasses import replace
from datetime import datetime

from roadbend.bidding.allocation import AllocationChange, AllocationRecorder, max_conditions
from roadbend.bidding.bid_service import LONG_WAIT
from roadbend.bidding.requester import Requester
from roadbend.log import Log
from roadbend.placement import apart_gangs, gangs
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.store.records import Job

log = Log("bidding")


class GangReleaser:
    """Removes the allocation of gangs whose tasks several partitions hold."""

    def __init__(
        self, context: ControllerContext, recorder: AllocationRecorder, requester: Requester
    ) -> None:
        self._context, self._recorder, self._requester = context, recorder, requester

    async def release_due(self, leader: PartitionLeader, now: datetime) -> None:
        """Release the gangs of a partition that are due, and queue them for allocation."""
        for job_id in list(self._context.view.assigned_jobs.get(leader.partition, ())):
            job = self._context.view.jobs[job_id]
            if not self._is_due(leader, job, now):
                continue
            conditions = leader.apart_gangs.release_conditions(job)
            if conditions is None or len(conditions) > max_conditions(self._context.settings):
                continue
            released = replace(job, allocation={})
            if await self._recorder.record(AllocationChange(job, released, conditions=conditions)):
                log.info(
                    "gang-released",
                    partition=leader.partition,
                    job=job_id,
                    tasks=job.spec.task_count,
                )
                leader.aging.forget(job_id)
                leader.gang_attempts.mark_released(job_id)
                self._requester.submit(job_id)

    def _is_due(self, leader: PartitionLeader, job: Job, now: datetime) -> bool:
        """Return whether a gang should be released.

        A gang with anti-affinity is released after a long wait, as one of its shares may find no
        capacity in its partition. Any other gang is released at once if several partitions hold
        tasks of it, since one partition must hold them all.
        """
        if not job.spec.gang or job.id in self._context.cancellations.jobs:
            return False
        if gangs.is_scattered(job):
            return True
        waits_long = leader.aging.waited(job.id, now) >= LONG_WAIT
        return apart_gangs.is_apart(job) and (
            waits_long or leader.gang_attempts.needs_release(job.id)
        )
