"""The worker interface of a controller, and its other services for machines."""

from collections.abc import Mapping
from datetime import datetime

from roadbend import clock
from roadbend.cloud.client import Cloud
from roadbend.fleet import messages
from roadbend.fleet.avoidance_policy import choose_other_controller, next_in_ring
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.direct_commands import DirectCommands
from roadbend.fleet.failure_detector import FailureDetector
from roadbend.fleet.foreign_heartbeats import UNSERVED_ROUND, ForeignHeartbeats
from roadbend.fleet.leader import Controller, Leader
from roadbend.fleet.messages import WorkerHeartbeat
from roadbend.fleet.silent_leaders import SilentLeaders
from roadbend.fleet.zone_reachability import ZoneReachability
from roadbend.http.net import Net
from roadbend.http.server import MalformedError, Request, Response, decode
from roadbend.partitions.unserved import UnservedMachinesQuery
from roadbend.peers.links import Peers

# Characters of an error message in the response to a worker.
MAX_ERROR_LENGTH = 200


class Fleet:
    """The worker interface of a controller."""

    def __init__(
        self,
        controller: Controller,
        net: Net,
        cloud: Cloud,
        peers: Peers,
        leaders: Mapping[str, Leader],
    ) -> None:
        self._controller, self._peers, self._leaders = controller, peers, leaders
        self.foreign_heartbeats = ForeignHeartbeats()
        self.silent_leaders = SilentLeaders(controller, peers, self._find_unserved)
        self.inventory = CloudInventory()
        self.reachability = ZoneReachability(controller, self.inventory)
        self.commands = DirectCommands(controller, net, leaders)
        self.failure_detector = FailureDetector(
            controller=controller,
            net=net,
            cloud=cloud,
            inventory=self.inventory,
            reachability=self.reachability,
            reaches_peers=self.reaches_peers,
            leaders=leaders,
        )

    async def handle_heartbeat(self, request: Request) -> Response:
        """Answer a worker's heartbeat, or redirect the worker to the leader of its partition."""
        now = clock.now()
        election = self._controller.election
        try:
            data = decode(request.body)
            leader = self._leaders.get(messages.sender_zone(data))
            if (
                leader is not None
                and election.leadership(leader.partition) == leader.leadership
                and election.may_renew(now)
            ):
                token = leader.heartbeats.answer_unchanged(data, now)
                if token is not None:
                    return Response(200, messages.heartbeat_answer(token))
            heartbeat = messages.parse_heartbeat(data)
        except (MalformedError, TypeError) as error:
            # A zone of an unhashable type raises `TypeError` at the lookup of the leader.
            return _refused(400, str(error)[:MAX_ERROR_LENGTH])
        if leader is not None and election.leadership(heartbeat.zone) == leader.leadership:
            return await self._answer(leader, heartbeat, now)
        return self._redirect(heartbeat, now, clock.from_steady_s(request.sent_after_s))

    async def _answer(self, leader: Leader, heartbeat: WorkerHeartbeat, now: datetime) -> Response:
        """Answer a heartbeat of a partition that this controller leads."""
        election = self._controller.election
        if not election.may_renew(now):
            return _refused(503, "no state")
        answer = await leader.heartbeats.handle(heartbeat)
        if answer is None:
            return _refused(503, "old report")
        if not election.may_renew(clock.now()):
            # Handling may have waited; whether the lease may be renewed is checked again right
            # before the response is sent.
            return _refused(503, "no state")
        return Response(200, messages.heartbeat_answer(*answer))

    def _redirect(
        self, heartbeat: WorkerHeartbeat, now: datetime, sent_after: datetime
    ) -> Response:
        """Redirect the worker to the leader of its partition, and record its heartbeat."""
        election = self._controller.election
        if heartbeat.zone not in election.partitions():
            return _refused(503, "no such part")
        self.foreign_heartbeats.record(heartbeat, now, sent_after)
        target = self._choose_redirect(heartbeat.zone, now)
        if target is None:
            return _refused(503, "no owner yet")
        return Response(421, messages.redirect(target))

    def _choose_redirect(self, partition: str, now: datetime) -> str | None:
        """Choose the controller to redirect a worker to; None: it tries the next one itself."""
        name = self._controller.settings.name
        leader = self._controller.election.leader_of(partition)
        if leader == name:
            leader = None
        if not self.silent_leaders.is_avoided(partition, now):
            return leader
        names = {name, *self._peers.links}
        other = choose_other_controller(name, {name, *self._peers.alive(now)}, names)
        if other is None:
            return leader
        return None if other == next_in_ring(name, names) else other

    def count_unserved(self, query: UnservedMachinesQuery, now: datetime) -> int:
        """Count the machines of a silent leader that have recently turned to this controller."""
        return len(self._find_unserved(query, now))

    def _find_unserved(self, query: UnservedMachinesQuery, now: datetime) -> set[str]:
        """Return the machines of a silent leader that have recently turned to this controller.

        None right after a pause of this process: heartbeats that arrived during the pause look as
        if they arrived now.
        """
        if self.failure_detector.has_paused_since(now - UNSERVED_ROUND):
            return set()
        return self.foreign_heartbeats.find_unserved(query, now)

    def foreign_machines(self, now: datetime) -> dict[str, tuple[str, ...]]:
        """Return the machines of other leaders that send heartbeats here, by partition."""
        return self.foreign_heartbeats.machines(now, self._leaders)

    def reaches_peers(self, partition: str, machine: str, now: datetime) -> bool:
        """Return whether a peer reports that it receives a machine's heartbeats."""
        return any(machine in names for names in self._peers.reporting_machines(partition, now))


def _refused(status: int, error: str) -> Response:
    return Response(status, {"error": error})
