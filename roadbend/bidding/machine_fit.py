"""Which of a partition's machines suit a job for which a bid is requested.

Machines on which the job's tasks failed don't count. No function changes its arguments.
"""

from collections.abc import Sequence
from datetime import timedelta

from roadbend import clock
from roadbend.cloud.messages import MachineType
from roadbend.placement import free_capacity
from roadbend.placement.free_capacity import FreeCapacity
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.queue_projection import QueueProjection
from roadbend.store.records import Job, JobSpec


def count_fitting(
    leader: PartitionLeader, job: Job, projection: QueueProjection
) -> tuple[int, int]:
    """Return how many tasks of a job fit on machines that are up, and on machines that boot."""
    if not leader.exclusions.failed_on(job.id):
        return projection.fitting(job)
    booting = [
        timeline.capacity for timeline in projection.timelines if timeline.capacity.ready_in > 0
    ]
    return count_tasks(leader, job, projection.ready), count_tasks(leader, job, booting)


def count_tasks(leader: PartitionLeader, job: Job, capacities: Sequence[FreeCapacity]) -> int:
    """Return how many tasks of a job fit into free capacity."""
    return sum(
        capacity.count(job.spec.resources)
        for capacity in capacities
        if free_capacity.allowed(job, capacity.machine_type, capacity.zone, capacity.spot)
        and capacity.id not in leader.exclusions.failed_on(job.id)
    )


def has_image(leader: PartitionLeader, job: Job, capacities: Sequence[FreeCapacity]) -> bool:
    """Return whether a task of a job fits on a machine that has its image."""
    return any(
        job.spec.image in capacity.images and count_tasks(leader, job, [capacity])
        for capacity in capacities
    )


def fastest_fetching_type(
    leader: PartitionLeader, job: Job, capacities: Sequence[FreeCapacity]
) -> MachineType | None:
    """Return the machine type that fetches a job's image fastest.

    Considers the types of machines on which a task fits now, else all types in the zone. Returns
    None if there are none.
    """
    machine_types = leader.context.machine_types
    candidates = [
        machine_types[capacity.machine_type]
        for capacity in capacities
        if capacity.machine_type in machine_types and count_tasks(leader, job, [capacity])
    ]
    if not candidates:
        candidates = [
            machine_type
            for machine_type in machine_types.values()
            if leader.partition in machine_type.zones
        ]
    return max(candidates, key=lambda machine_type: machine_type.fetch_gb_per_s, default=None)


def fetch_time(spec: JobSpec, machine_type: MachineType | None) -> timedelta:
    """Return how long a new machine of a type takes to fetch a job's image."""
    if machine_type is None:
        return clock.ZERO
    return timedelta(seconds=spec.image_gb / machine_type.fetch_gb_per_s)
