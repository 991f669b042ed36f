"""Which machines a partition could create in the cloud for a job for which a bid is requested."""

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

# Returns the kinds of machines that can't be created in a partition now.
UnavailableKinds = Callable[[], set[MachineKind]]


class ScaleOutOffer(NamedTuple):
    """Machines that a partition can probably create for a job."""

    machine_type: MachineType
    # How many of the job's tasks fit on as many machines as one request creates.
    capacity: int

    @property
    def startup(self) -> float:
        """Seconds until the machines are up."""
        return self.machine_type.startup.total_seconds()


class ScaleOutEstimator:
    """Estimates which machines one partition could create for a job, and when they would be up."""

    def __init__(self, leader: PartitionLeader, unavailable_kinds: UnavailableKinds) -> None:
        self._leader, self._unavailable_kinds = leader, unavailable_kinds

    def expensive_machine_types(self, job: Job, waited: timedelta) -> set[str]:
        """Return the machine types that are too expensive for a service, as long as it can wait.

        A service would stay for good on a machine that costs much more per task than another type.
        Other jobs end, so for these the set is empty.
        """
        if not job.spec.service:
            return set()
        context = self._leader.context
        machine_types = context.machine_types.values()
        longest_startup = max(
            (machine_type.startup for machine_type in machine_types), default=clock.ZERO
        )
        if waited >= context.objectives.max_wait_for_cheaper_type(job.spec, longest_startup):
            return set()
        return machine_options.expensive_machine_types(
            job, machine_types, context.operator.dear, self._leader.partition
        )

    def offer(self, job: Job, request: BidRequest, excluded: Set[str]) -> ScaleOutOffer | None:
        """Return the cheapest machines that could be created, except of the excluded types.

        Returns None if none can be created, and also if the available ones are expensive and the
        job can wait, so that a partition with cheap machines gets it: the paper's acceptance takes
        the responder's own preferences into account (section 3).
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
        lowest_cost = machine_options.min_cost(task, machine_types, request.tasks)
        if price is None or lowest_cost is None:
            return None
        if price > lowest_cost * operator.dear and request.waited < operator.dear_wait:
            return None
        machine = machine_options.new_machine("", option, leader.partition)
        # As many as one request creates. If the cloud creates fewer, the autoscaler doesn't request
        # this kind of machine again for a while.
        return ScaleOutOffer(option.machine_type, machine.count(job.spec.resources) * MAX_CREATIONS)

    def startup_for(self, job: Job) -> float | None:
        """Return the seconds until the cheapest machine for a job would be up.

        None if no machine for it can be created.
        """
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
