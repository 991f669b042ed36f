"""Answering workers' reports, and what this controller does for machines beside that."""

from collections import OrderedDict
from datetime import datetime, timedelta
from itertools import accumulate

from roadbend import clock
from roadbend.autoscaler.cloud import Cloud
from roadbend.fleet import messages
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.direct_commands import DirectCommands
from roadbend.fleet.failure_detector import FailureDetector
from roadbend.fleet.messages import HeartbeatPosition
from roadbend.fleet.zone_reachability import ZoneReachability
from roadbend.http.net import Net
from roadbend.http.server import MalformedError, Request, Response, decode
from roadbend.peers.links import Peers
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader

# Bytes of names of machines that we tell their owner we hear, a partition and all together (a
# heartbeat is one frame), and reports of other owners' machines that we remember.
MAX_HEARD = 64 * 1024
MAX_HEARD_IN_ALL = 3 * MAX_HEARD
MAX_FOREIGN_HEARTBEATS = 16_384


class Fleet:
    """The workers' interface of a controller."""

    def __init__(
        self,
        context: ControllerContext,
        net: Net,
        cloud: Cloud,
        peers: Peers,
        leaders: dict[str, PartitionLeader],
    ):
        self._peers, self._context, self._leaders = peers, context, leaders
        # Reports of partitions that we don't own, lately: partition -> machine -> when, and which
        # it was.
        self._foreign_heartbeats: dict[
            str, OrderedDict[str, tuple[datetime, HeartbeatPosition]]
        ] = {}
        self.inventory = CloudInventory()
        self.reachability = ZoneReachability(context, self.inventory)
        self.commands = DirectCommands(context, net, leaders)
        self.failure_detector = FailureDetector(
            context, net, cloud, self.inventory, self.reachability, self.heard_elsewhere, leaders
        )

    async def handle_heartbeat(self, request: Request) -> Response:
        now = clock.now()
        election = self._context.election
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
            return Response(400, {"error": str(error)[:200]})
        if leader is not None and election.leadership(heartbeat.zone) == leader.leadership:
            if not election.may_renew(now):
                return Response(503, {"error": "no state"})
            answer = await leader.heartbeats.handle(heartbeat)
            if answer is None:
                return Response(503, {"error": "old report"})
            if not election.may_renew(clock.now()):
                # It waited for what the report called for; what we may answer is judged when the
                # answer goes out.
                return Response(503, {"error": "no state"})
            return Response(200, messages.heartbeat_answer(*answer))
        if heartbeat.zone not in election.partitions():
            return Response(503, {"error": "no such part"})
        heard = self._foreign_heartbeats.setdefault(heartbeat.zone, OrderedDict())
        last = heard.get(heartbeat.machine)
        # A late copy is no sign of life, here or in what the owner is told.
        if last is None or heartbeat.position > last[1]:
            heard[heartbeat.machine] = (now, heartbeat.position)
            heard.move_to_end(heartbeat.machine)
        while len(heard) > MAX_FOREIGN_HEARTBEATS:
            heard.popitem(last=False)
        owner = election.leader_of(heartbeat.zone)
        if owner is None or owner == self._context.settings.name:
            return Response(503, {"error": "no owner yet"})
        return Response(421, messages.redirect(owner))

    def heard(self, now: datetime) -> dict[str, tuple[str, ...]]:
        out = {}
        most = min(MAX_HEARD, MAX_HEARD_IN_ALL // max(1, len(self._foreign_heartbeats)))
        for partition, rows in self._foreign_heartbeats.items():
            names = [name for name, (at, _) in rows.items() if now - at < timedelta(seconds=6)]
            if names and partition not in self._leaders:
                # The latest; those beyond are taken for silent a little sooner.
                sizes = accumulate(len(name) + 2 for name in reversed(names))
                out[partition] = tuple(names[-sum(1 for size in sizes if size <= most) :])
        return out

    def heard_elsewhere(self, partition: str, machine: str, now: datetime) -> bool:
        return any(
            link.alive(now)
            and link.known.heartbeat is not None
            and machine in link.known.heartbeat.heard_machines.get(partition, ())
            for link in self._peers.links.values()
        )
