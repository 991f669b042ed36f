"""Creates machines in the cloud."""

import random
from datetime import timedelta

from roadbend import clock
from roadbend.autoscaler.booting_machines import BootingMachines
from roadbend.autoscaler.capacity_refusals import CapacityRefusals
from roadbend.cloud.client import MAX_CREATIONS, Cloud, NoCapacityError, Precondition
from roadbend.cloud.messages import CreationRequest, MachineKind
from roadbend.http.client import NoAnswerError
from roadbend.log import Log
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader
from roadbend.retry import Backoff

log = Log("autoscaler")
# Requests for machines of one kind in a round; after these the queue is looked at anew.
MAX_REQUESTS = 8
# Tries of one request that gets no answer, and the pauses between them.
MAX_TRIES = 6
FIRST_RETRY_PAUSE = timedelta(milliseconds=300)
MAX_RETRY_PAUSE = timedelta(seconds=10)


def while_leading(context: ControllerContext, leader: PartitionLeader) -> Precondition:
    """Return the precondition that a partition is still led under the leader's term.

    Machines are created and deleted for a partition only then: a new leader may have put work on
    what was found empty before this process paused.
    """
    election = context.election
    return lambda: (
        election.leadership(leader.partition) == leader.leadership
        and election.may_start(clock.now())
    )


class MachineCreation:
    """Creates machines for the partitions that this controller leads."""

    def __init__(
        self,
        context: ControllerContext,
        cloud: Cloud,
        booting: BootingMachines,
        refusals: CapacityRefusals,
        rng: random.Random,
    ) -> None:
        self._context, self._cloud = context, cloud
        self._booting, self._refusals, self._rng = booting, refusals, rng
        self._requests = 0

    async def create_all(self, leader: PartitionLeader, kind: MachineKind, count: int) -> None:
        """Create so many machines of a kind, as long as the cloud has what is asked for.

        More than one request creates takes several at once: with one a round, and rounds that take
        longer the more machines there are, a partition of a thousand machines was minutes late.
        Raises as `Cloud.create_machines`, but for NoCapacityError.
        """
        for _ in range(MAX_REQUESTS):
            requested = min(count, MAX_CREATIONS)
            created = await self._create(leader, kind, requested)
            count -= created
            if created < requested or count <= 0:
                return

    async def _create(self, leader: PartitionLeader, kind: MachineKind, count: int) -> int:
        """Create machines with one request; return how many the cloud had."""
        partition = leader.partition
        self._requests += 1
        # Never used again: the term is ours alone, and the number grows within it.
        name = f"{partition}-{leader.leadership.term}-{self._requests}"
        try:
            created = await self._request(leader, CreationRequest(name, kind, partition, count))
        except NoCapacityError:
            self._refusals.refuse(partition, kind)
            return 0
        self._booting.record_created(partition, created, kind, clock.now())
        for machine in created:
            if machine not in leader.machines:
                leader.registry.record_created(machine)
        log.info(
            "machines-created",
            partition=partition,
            machine_type=kind.machine_type,
            spot=kind.spot,
            requested=count,
            created=len(created),
            machines=",".join(created),
        )
        if len(created) < count:
            self._refusals.refuse(partition, kind)
        else:
            self._refusals.clear(partition, kind)
        return len(created)

    async def _request(self, leader: PartitionLeader, request: CreationRequest) -> list[str]:
        """Send a request until it is answered.

        Without an answer it may have been carried out; the same name tells which machines it
        created.
        """
        waits = Backoff(FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE, self._rng)
        for _ in range(MAX_TRIES):
            try:
                return await self._cloud.create_machines(
                    request, while_leading(self._context, leader)
                )
            except NoAnswerError:
                await clock.pause(waits.next_wait())
        raise NoAnswerError("creation of machines")
