"""Know which partitions' leaders are silent to us and to most of their workers.

A worker that is redirected to such a leader waits for its answer in vain, and its lease may end
meanwhile, although another controller has acquired the partition.
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

# Returns the machines that have turned to this controller lately.
FindUnserved = Callable[[UnservedMachinesQuery, datetime], set[str]]


@dataclass
class _Silence:
    """A leader's silence, and what its workers do meanwhile."""

    leader: LeaderRecord
    since: datetime
    # Whether its workers lost it when we did.
    is_for_all: bool = False
    # Whether most of its workers have lately turned to us or to live peers.
    most_turned: bool = False
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
        """Look at all leaders every second, for ever."""
        while True:
            await clock.pause(CHECK_INTERVAL)
            try:
                self.check(clock.now())
            except Exception:
                # Without this watch, workers are redirected to their silent leaders.
                log.crash("silent-leader-check-failed")

    def check(self, now: datetime) -> None:
        """Note which leaders are silent, and how many of their workers have turned to others."""
        for partition in {*self._controller.view.partition_leaders, *self._silences}:
            silence = self._current_silence(partition, now)
            if silence is None:
                self._silences.pop(partition, None)
            else:
                self._silences[partition] = silence
                self._note_workers(partition, silence, now)

    def is_avoided(self, partition: str, now: datetime) -> bool:
        """Tell whether workers of a partition are not to be redirected to its leader."""
        silence = self._silences.get(partition)
        if silence is None or self._current_silence(partition, now) is not silence:
            return False
        return self._is_avoided(silence, now)

    def _current_silence(self, partition: str, now: datetime) -> _Silence | None:
        """Return what is known of the silence of a partition's leader; None: it is not silent."""
        known = self._silences.get(partition)
        leader = self._latest_leader(partition)
        since = None if leader is None else self._silent_since(leader, now)
        if leader is None or since is None:
            return None
        if known is not None and known.since == since and known.leader.term == leader.term:
            return known
        return _Silence(leader, since)

    def _latest_leader(self, partition: str) -> LeaderRecord | None:
        """Return the latest leader that may answer workers, as far as it is known.

        Where its record is gone, or names us before we lead the partition, workers still hold the
        leases that it renewed.
        """
        leader = self._controller.view.partition_leaders.get(partition)
        if leader is not None and leader.controller != self._controller.settings.name:
            return leader
        known = self._silences.get(partition)
        return None if known is None else known.leader

    def _silent_since(self, leader: LeaderRecord, now: datetime) -> datetime | None:
        """Return when a leader that is silent now was last heard; None: it is not, or never was."""
        link = self._peers.links.get(leader.controller)
        if link is None or link.alive(now):
            return None
        return link.peer_state.received_at

    def _note_workers(self, partition: str, silence: _Silence, now: datetime) -> None:
        machines = self._controller.view.attempts_by_machine.get(partition, {})
        question = UnservedMachinesQuery(partition, silence.leader.term, silence.since, machines)
        turned = self._find_unserved(question, now)
        for names in self._peers.reporting_machines(partition, now):
            turned.update(name for name in names if name in machines)
        share = self._controller.operator.takeover_share
        silence.most_turned = len(turned) > len(machines) * share
        if silence.most_turned and now - silence.since <= self._limits.max_departure:
            silence.is_for_all = True
        if self._is_avoided(silence, now) and not silence.is_logged:
            silence.is_logged = True
            log.info(
                "silent-leader-avoided",
                partition=partition,
                leader=silence.leader.controller,
                term=silence.leader.term,
                running_machines=len(machines),
                unserved_machines=len(turned),
            )

    def _is_avoided(self, silence: _Silence, now: datetime) -> bool:
        limits = self._limits
        within_limits = limits.min_silence <= now - silence.since < limits.max_silence
        return silence.is_for_all and silence.most_turned and within_limits
