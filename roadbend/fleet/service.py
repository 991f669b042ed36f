"""The workers' interface of a controller, and what it does for machines beside that."""

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
        target = self._choose_redirect(heartbeat.zone, now)
        if target is None:
            return _refused(503, "no owner yet")
        return Response(421, messages.redirect(target))

    def _choose_redirect(self, partition: str, now: datetime) -> str | None:
        """Choose the controller to which a worker is redirected; None: it asks the next one."""
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

    def count_unserved(self, question: UnservedMachinesQuery, now: datetime) -> int:
        """Count which machines of a silent leader have lately turned to us."""
        return len(self._find_unserved(question, now))

    def _find_unserved(self, question: UnservedMachinesQuery, now: datetime) -> set[str]:
        """Return which machines of a silent leader have lately turned to us.

        After a pause of this process none has: what came meanwhile looks as if it came now.
        """
        if self.failure_detector.paused_since(now - UNSERVED_ROUND):
            return set()
        return self.foreign_heartbeats.find_unserved(question, now)

    def foreign_machines(self, now: datetime) -> dict[str, tuple[str, ...]]:
        """Return the machines of other leaders' partitions that we hear, by partition."""
        return self.foreign_heartbeats.machines(now, self._leaders)

    def heard_elsewhere(self, partition: str, machine: str, now: datetime) -> bool:
        """Whether a peer tells that it hears a machine of a partition."""
        return any(machine in names for names in self._peers.reporting_machines(partition, now))


def _refused(status: int, error: str) -> Response:
    return Response(status, {"error": error})
