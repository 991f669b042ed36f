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
# How many requests for machines of one kind a round sends at most; the next round plans anew.
MAX_REQUESTS = 8
# How often a request without an answer is tried, and the bounds of the pauses between tries.
MAX_TRIES = 6
FIRST_RETRY_PAUSE = timedelta(milliseconds=300)
MAX_RETRY_PAUSE = timedelta(seconds=10)


def while_leading(context: ControllerContext, leader: PartitionLeader) -> Precondition:
    """Return the precondition that the leader's term still holds and it may start tasks.

    It is required to create and delete a partition's machines: after a process pause, a new leader
    may have started tasks on machines that this one found empty before.
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
        """Create `count` machines of a kind, or fewer if the cloud lacks capacity.

        Sends several requests in a round if one does not suffice: with one request a round, a
        partition of a thousand machines got its machines minutes late, since rounds take longer the
        more machines there are. Raises the errors of `Cloud.create_machines` except
        `NoCapacityError`.
        """
        for _ in range(MAX_REQUESTS):
            requested = min(count, MAX_CREATIONS)
            created = await self._create(leader, kind, requested)
            count -= created
            if created < requested or count <= 0:
                return

    async def _create(self, leader: PartitionLeader, kind: MachineKind, count: int) -> int:
        """Create machines with one request; return how many the cloud created."""
        partition = leader.partition
        self._requests += 1
        # Unique: no other leader has this term, and the request number increases within it.
        name = f"{partition}-{leader.leadership.term}-{self._requests}"
        try:
            created = await self._request(leader, CreationRequest(name, kind, partition, count))
        except NoCapacityError:
            self._refusals.record_refusal(partition, kind)
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
            self._refusals.record_refusal(partition, kind)
        else:
            self._refusals.clear(partition, kind)
        return len(created)

    async def _request(self, leader: PartitionLeader, request: CreationRequest) -> list[str]:
        """Send a request until it is answered, and return the ids of the created machines.

        A request without an answer may have been carried out. Retries use the same request name, so
        that the cloud returns the machines that the first one created.
        """
        backoff = Backoff(FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE, self._rng)
        for _ in range(MAX_TRIES):
            try:
                return await self._cloud.create_machines(
                    request, while_leading(self._context, leader)
                )
            except NoAnswerError:
                await clock.pause(backoff.next_wait())
        raise NoAnswerError("creation of machines")
