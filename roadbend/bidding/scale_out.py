"""What a partition could create in the cloud for a job that it is asked to bid for."""

from collections.abc import Callable, Set
from datetime import timedelta
from typing import NamedTuple

from roadbend import clock
from roadbend.bidding.messages import BidRequest
from roadbend.cloud.client import MAX_CREATIONS
from roadbend.cloud.messages import MachineKind, MachineType
from roadbend.placement import machine_options
from roadbend.placement.leader import PartitionLeader
from roadbend.placement.queue_order import PendingTasks
from roadbend.store.records import Job

# Machine types, and whether as spot machines, that the cloud refuses in a partition for now.
UnavailableKinds = Callable[[], set[MachineKind]]


class ScaleOutOffer(NamedTuple):
    """Machines that a partition believes it could create for a job."""

    machine_type: MachineType
    # How many of the job's tasks fit on as many machines as one request creates.
    capacity: int

    @property
    def startup(self) -> float:
        """Seconds until the machines are up."""
        return self.machine_type.startup.total_seconds()


class ScaleOut:
    """Looks for the machines that one partition could create."""

    def __init__(self, leader: PartitionLeader, unavailable_kinds: UnavailableKinds) -> None:
        self._leader, self._unavailable_kinds = leader, unavailable_kinds

    def expensive_machine_types(self, job: Job, waited: timedelta) -> set[str]:
        """Return the machine types that a service should not settle on, as long as it can wait.

        It would hold a machine that costs much more a task than another type does. Other jobs
        leave their machines again: for these the set is empty.
        """
        if not job.spec.service:
            return set()
        context = self._leader.context
        machine_types = context.machine_types.values()
        longest_startup = max(
            (machine_type.startup for machine_type in machine_types), default=clock.ZERO
        )
        if waited >= context.objectives.patience(job.spec, longest_startup):
            return set()
        return machine_options.expensive_machine_types(
            job, machine_types, context.operator.dear, self._leader.partition
        )

    def offer(self, job: Job, request: BidRequest, excluded: Set[str]) -> ScaleOutOffer | None:
        """Return the cheapest machines that could be created, but for the excluded types.

        A partition in which only expensive ones can be had leaves a job to those that have cheap
        ones, as long as the job can wait: the paper's acceptance takes the responder's own
        preferences into account (section 3). Returns None then, or when nothing can be created.
        """
        leader, operator = self._leader, self._leader.context.operator
        machine_types = leader.context.machine_types.values()
        options = [
            option
            for option in machine_options.options(
                machine_types, leader.partition, self._unavailable_kinds()
            )
            if option.machine_type.name not in excluded
        ]
        task = _one_task(job)
        option = machine_options.cheapest(task, options, leader.partition, request.tasks)
        if option is None:
            return None
        price = machine_options.cost(task, option, leader.partition, request.tasks)
        least = machine_options.least_cost(task, machine_types, request.tasks)
        if price is None or least is None:
            return None
        if price > least * operator.dear and request.waited < operator.dear_wait:
            return None
        machine = machine_options.new_machine("", option, leader.partition)
        # As many as one request creates; where the cloud has fewer it says so, and the type is
        # closed here.
        return ScaleOutOffer(option.machine_type, machine.count(job.spec.resources) * MAX_CREATIONS)

    def startup_for(self, job: Job) -> float | None:
        """Return the seconds until the cheapest machine for a job would be up; None for none."""
        leader = self._leader
        options = machine_options.options(
            leader.context.machine_types.values(), leader.partition, self._unavailable_kinds()
        )
        option = machine_options.cheapest(
            _one_task(job), options, leader.partition, job.spec.task_count
        )
        return None if option is None else option.machine_type.startup.total_seconds()


def _one_task(job: Job) -> PendingTasks:
    return PendingTasks(job, ((0, 1),), guaranteed=False)
