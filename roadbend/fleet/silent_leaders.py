"""Detects leaders that are silent to this controller and to most of their workers.

A worker that is redirected to such a leader waits for a response that never comes. Its lease may
expire meanwhile, although another controller has acquired the partition.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.fleet.avoidance_policy import avoidance_limits
from roadbend.fleet.leader import Controller
from roadbend.log import Log
from roadbend.partitions.unserved import UnservedMachinesQuery
from roadbend.peers.links import Peers
from roadbend.store.records import LeaderRecord

log = Log("fleet")

CHECK_INTERVAL = timedelta(seconds=1)

# Returns the machines that have recently turned to this controller.
FindUnserved = Callable[[UnservedMachinesQuery, datetime], set[str]]


@dataclass
class _Silence:
    """A leader's silence, and the state of its workers meanwhile."""

    leader: LeaderRecord
    since: datetime
    # Whether its workers lost contact with it when this controller did.
    is_lost_by_workers: bool = False
    # Whether most of its workers have recently turned to this controller or to live peers.
    most_unserved: bool = False
    is_logged: bool = False


class SilentLeaders:
    """Watches the leaders that are silent to this controller."""

    def __init__(self, controller: Controller, peers: Peers, find_unserved: FindUnserved) -> None:
        self._controller, self._peers = controller, peers
        self._find_unserved = find_unserved
        self._limits = avoidance_limits(controller.settings, controller.operator)
        # By partition.
        self._silences: dict[str, _Silence] = {}

    async def watch(self) -> None:
        """Check all leaders every second, until cancelled."""
        while True:
            await clock.pause(CHECK_INTERVAL)
            try:
                self.check(clock.now())
            except Exception:
                # If this loop ended, workers would again be redirected to silent leaders.
                log.crash("silent-leader-check-failed")

    def check(self, now: datetime) -> None:
        """Update which leaders are silent, and how many of their workers are unserved."""
        for partition in {*self._controller.view.partition_leaders, *self._silences}:
            silence = self._current_silence(partition, now)
            if silence is None:
                self._silences.pop(partition, None)
            else:
                self._silences[partition] = silence
                self._update_workers(partition, silence, now)

    def is_avoided(self, partition: str, now: datetime) -> bool:
        """Return whether workers of a partition must not be redirected to its leader."""
        silence = self._silences.get(partition)
        if silence is None or self._current_silence(partition, now) is not silence:
            return False
        return self._is_avoided(silence, now)

    def _current_silence(self, partition: str, now: datetime) -> _Silence | None:
        """Return the silence of a partition's leader; None if it is not silent."""
        known = self._silences.get(partition)
        leader = self._latest_leader(partition)
        since = None if leader is None else self._silent_since(leader, now)
        if leader is None or since is None:
            return None
        if known is not None and known.since == since and known.leader.term == leader.term:
            return known
        return _Silence(leader, since)

    def _latest_leader(self, partition: str) -> LeaderRecord | None:
        """Return the latest known leader that may answer workers.

        That is the former leader while its record is deleted, or names this controller before it
        leads the partition: workers still hold the leases that the former leader renewed.
        """
        leader = self._controller.view.partition_leaders.get(partition)
        if leader is not None and leader.controller != self._controller.settings.name:
            return leader
        known = self._silences.get(partition)
        return None if known is None else known.leader

    def _silent_since(self, leader: LeaderRecord, now: datetime) -> datetime | None:
        """Return when a silent leader last sent a peer heartbeat; None if not silent, or never."""
        link = self._peers.links.get(leader.controller)
        if link is None or link.alive(now):
            return None
        return link.peer_state.received_at

    def _update_workers(self, partition: str, silence: _Silence, now: datetime) -> None:
        machines = self._controller.view.attempts_by_machine.get(partition, {})
        query = UnservedMachinesQuery(partition, silence.leader.term, silence.since, machines)
        unserved = self._find_unserved(query, now)
        for names in self._peers.reporting_machines(partition, now):
            unserved.update(name for name in names if name in machines)
        share = self._controller.operator.takeover_share
        silence.most_unserved = len(unserved) > len(machines) * share
        if silence.most_unserved and now - silence.since <= self._limits.max_departure:
            silence.is_lost_by_workers = True
        if self._is_avoided(silence, now) and not silence.is_logged:
            silence.is_logged = True
            log.info(
                "silent-leader-avoided",
                partition=partition,
                leader=silence.leader.controller,
                term=silence.leader.term,
                running_machines=len(machines),
                unserved_machines=len(unserved),
            )

    def _is_avoided(self, silence: _Silence, now: datetime) -> bool:
        limits = self._limits
        within_limits = limits.min_silence <= now - silence.since < limits.max_silence
        return silence.is_lost_by_workers and silence.most_unserved and within_limits
