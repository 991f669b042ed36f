"""Give up partitions whose workers reach other controllers but not this one."""

from datetime import datetime, timedelta

from roadbend import clock
from roadbend.log import Log
from roadbend.peers.links import Peers
from roadbend.placement.context import ControllerContext
from roadbend.placement.leader import PartitionLeader

log = Log("controller")
CHECK_INTERVAL = timedelta(seconds=1)
# A partition counts as silent after this many heartbeat intervals without a worker heartbeat.
SILENT_INTERVALS = 2.5


class WorkerReachability:
    """Watches whether the workers of partitions that this controller leads reach it."""

    def __init__(
        self, context: ControllerContext, peers: Peers, leaders: dict[str, PartitionLeader]
    ) -> None:
        self._context = context
        self._peers = peers
        self._leaders = leaders
        self._heartbeat_interval = context.settings.heartbeat_interval
        # Since when partitions have been silent here while peers received worker heartbeats.
        self._unreachable_since: dict[str, datetime] = {}

    async def watch(self) -> None:
        """Check all partitions every second, until cancelled."""
        while True:
            await clock.pause(CHECK_INTERVAL)
            now = clock.now()
            for partition, leader in list(self._leaders.items()):
                await self._check(partition, leader, now)

    async def _check(self, partition: str, leader: PartitionLeader, now: datetime) -> None:
        if not (self._is_silent(leader, now) and self._is_reachable_for_peers(partition, now)):
            self._unreachable_since.pop(partition, None)
            return
        since = self._unreachable_since.setdefault(partition, now)
        if now - since <= self._heartbeat_interval:
            return
        self._unreachable_since.pop(partition, None)
        try:
            await self._context.election.fail_over(partition)
        except Exception:
            # The partition is given up nevertheless; only its leader record remains for now. Keep
            # watching the other partitions.
            log.crash("failover-failed", partition=partition)

    def _is_silent(self, leader: PartitionLeader, now: datetime) -> bool:
        acquired_at = leader.leadership.acquired_at
        received_at = max(
            (
                m.contact.last_heartbeat_at
                for m in leader.machines.values()
                if m.contact.last_heartbeat_at
            ),
            default=acquired_at,
        )
        return now - max(received_at, acquired_at) > self._heartbeat_interval * SILENT_INTERVALS

    def _is_reachable_for_peers(self, partition: str, now: datetime) -> bool:
        return any(self._peers.reporting_machines(partition, now))
