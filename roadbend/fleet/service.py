"""The workers' interface of a controller, and what it does for machines beside that."""

from collections.abc import Mapping
from datetime import datetime

from roadbend import clock
from roadbend.cloud.client import Cloud
from roadbend.fleet import messages
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.direct_commands import DirectCommands
from roadbend.fleet.failure_detector import FailureDetector
from roadbend.fleet.foreign_heartbeats import UNSERVED_ROUND, ForeignHeartbeats
from roadbend.fleet.leader import Controller, Leader
from roadbend.fleet.messages import WorkerHeartbeat
from roadbend.fleet.zone_reachability import ZoneReachability
from roadbend.http.net import Net
from roadbend.http.server import MalformedError, Request, Response, decode
from roadbend.partitions.unserved import UnservedQuestion
from roadbend.peers.links import Peers

# Most characters of an error that a worker is told.
ANSWERED_ERROR = 200


class Fleet:
    """The workers' interface of a controller."""

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
        self.inventory = CloudInventory()
        self.reachability = ZoneReachability(controller, self.inventory)
        self.commands = DirectCommands(controller, net, leaders)
        self.failure_detector = FailureDetector(
            controller=controller,
            net=net,
            cloud=cloud,
            inventory=self.inventory,
            reachability=self.reachability,
            heard_elsewhere=self.heard_elsewhere,
            leaders=leaders,
        )

    async def handle_heartbeat(self, request: Request) -> Response:
        """Answer a worker's heartbeat, or send the worker to the leader of its partition."""
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
            # A zone of a type that can't be looked up is a `TypeError`.
            return _refused(400, str(error)[:ANSWERED_ERROR])
        if leader is not None and election.leadership(heartbeat.zone) == leader.leadership:
            return await self._answer(leader, heartbeat, now)
        return self._redirect(heartbeat, now, clock.from_steady_s(request.sent_after_s))

    async def _answer(self, leader: Leader, heartbeat: WorkerHeartbeat, now: datetime) -> Response:
        """Answer a heartbeat of a partition that we lead."""
        election = self._controller.election
        if not election.may_renew(now):
            return _refused(503, "no state")
        answer = await leader.heartbeats.handle(heartbeat)
        if answer is None:
            return _refused(503, "old report")
        if not election.may_renew(clock.now()):
            # It waited for what the heartbeat called for; what we may answer is judged when the
            # answer goes out.
            return _refused(503, "no state")
        return Response(200, messages.heartbeat_answer(*answer))

    def _redirect(
        self, heartbeat: WorkerHeartbeat, now: datetime, sent_after: datetime
    ) -> Response:
        """Send the worker to the leader of its partition, and note that we hear it."""
        election = self._controller.election
        if heartbeat.zone not in election.partitions():
            return _refused(503, "no such part")
        self.foreign_heartbeats.note(heartbeat, now, sent_after)
        leader = election.leader_of(heartbeat.zone)
        if leader is None or leader == self._controller.settings.name:
            return _refused(503, "no owner yet")
        return Response(421, messages.redirect(leader))

    def count_unserved(self, question: UnservedQuestion, now: datetime) -> int:
        """Count which machines of a silent leader have lately turned to us.

        After a pause of this process none counts: what came meanwhile looks as if it came now.
        """
        if self.failure_detector.paused_since(now - UNSERVED_ROUND):
            return 0
        return self.foreign_heartbeats.count_unserved(question, now)

    def heard(self, now: datetime) -> dict[str, tuple[str, ...]]:
        """Return the machines of other leaders' partitions that we hear, by partition."""
        return self.foreign_heartbeats.machines(now, self._leaders)

    def heard_elsewhere(self, partition: str, machine: str, now: datetime) -> bool:
        """Whether a peer tells that it hears a machine of a partition."""
        return any(
            link.alive(now)
            and link.known.heartbeat is not None
            and machine in link.known.heartbeat.heard_machines.get(partition, ())
            for link in self._peers.links.values()
        )


def _refused(status: int, error: str) -> Response:
    return Response(status, {"error": error})
