"""Failure detector: distinguishes failed machines from those that are merely unreachable.

A machine is silent when no response is known to have reached it for some time. A silent machine is
probed. Without any sign that it is alive it is deleted, or its attempts are marked as terminated
when its worker's lease has expired.
"""

from collections.abc import Callable, Mapping
from datetime import datetime, timedelta

import trio

from roadbend import clock
from roadbend.cloud.client import Cloud
from roadbend.fleet import liveness_policy
from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.fleet.deletions import Deletions
from roadbend.fleet.fencing import Fencing
from roadbend.fleet.leader import Controller, Leader
from roadbend.fleet.liveness_policy import (
    ANSWERING_LEASES,
    RECLAIMED_SILENT_INTERVALS,
    UnreachableMachine,
)
from roadbend.fleet.machine_probe import MachineProbes, Probe
from roadbend.fleet.machines import Machine
from roadbend.fleet.process_pauses import CHECK_INTERVAL, ProcessPauses
from roadbend.fleet.zone_reachability import ZoneReachability
from roadbend.http.net import Net
from roadbend.log import Log

log = Log("fleet")
# Probes in progress, including those that wait for a connection or pause after a probe; further
# machines follow as these end.
MAX_SUSPECTS = 1024
# How long a probe may take; if it takes longer, this process itself paused.
MAX_PROBE_DURATION = timedelta(seconds=3)
# How long a machine is not probed again after a probe.
PROBE_PAUSE = timedelta(seconds=2)
# Returns whether a machine's heartbeats reach a peer, from partition, machine and current time.
ReachesPeers = Callable[[str, str, datetime], bool]


class FailureDetector:
    """Detects failed machines in all partitions that this controller leads."""

    def __init__(
        self,
        controller: Controller,
        net: Net,
        cloud: Cloud,
        inventory: CloudInventory,
        reachability: ZoneReachability,
        reaches_peers: ReachesPeers,
        leaders: Mapping[str, Leader],
    ) -> None:
        self._controller, self._leaders = controller, leaders
        self._inventory, self._reachability = inventory, reachability
        self._reaches_peers = reaches_peers
        self._probes = MachineProbes(net, inventory)
        self._fencing = Fencing(controller, Deletions(cloud))
        self._pauses = ProcessPauses(controller.settings.heartbeat_interval / 2)
        self._probing: set[tuple[str, str]] = set()

    async def watch(self, nursery: trio.Nursery) -> None:
        """Find silent machines every second, and probe them."""
        last = clock.now()
        while True:
            await clock.pause(CHECK_INTERVAL)
            self._pauses.record_time(last)
            last = clock.now()
            for leader in list(self._leaders.values()):
                try:
                    self._start_probes(leader, nursery)
                except Exception:
                    # The other partitions still have to be checked.
                    log.crash("failure-detection-failed", partition=leader.partition)

    def has_paused_since(self, instant: datetime) -> bool:
        """Return whether this process has resumed from a pause since an instant."""
        return self._pauses.has_ended_since(instant)

    def _start_probes(self, leader: Leader, nursery: trio.Nursery) -> None:
        """Start to probe a partition's silent machines, the longest silent first."""
        now = clock.now()
        recorded = leader.records.attempts_by_machine()
        known = leader.machines.keys() | recorded.keys()
        silent = [machine_id for machine_id in known if self._is_silent(leader, machine_id, now)]
        self._reachability.update(leader, recorded.keys(), now)
        since = leader.leadership.acquired_at
        silent_since = {
            machine_id: _acknowledged_at(leader.machines.get(machine_id)) or since
            for machine_id in silent
        }
        for machine_id in sorted(silent, key=silent_since.__getitem__):
            if len(self._probing) >= MAX_SUSPECTS:
                break
            if (leader.partition, machine_id) not in self._probing:
                self._probing.add((leader.partition, machine_id))
                nursery.start_soon(self._probe, leader, machine_id)

    def _is_silent(self, leader: Leader, machine_id: str, now: datetime) -> bool:
        """Return whether a machine has to be probed.

        What matters is not whether it sends heartbeats, but whether it receives the responses.
        """
        machine = leader.machines.get(machine_id)
        suspected = machine is not None and machine.contact.suspected
        if suspected or self._inventory.is_failed(machine_id):
            return True
        operator, interval = self._controller.operator, self._controller.settings.heartbeat_interval
        last = _acknowledged_at(machine)
        if last is None:
            since = leader.leadership.acquired_at
            return self._pauses.silence(since, now) > operator.find_owner
        if self._pauses.silence(last, now) > interval * operator.silent_reports:
            return True
        reclaimed = liveness_policy.is_reclaimed(machine, now)
        return reclaimed and now - last > interval * RECLAIMED_SILENT_INTERVALS

    async def _probe(self, leader: Leader, machine_id: str) -> None:
        try:
            await self._probe_once(leader, machine_id)
        except Exception:
            # The machine is probed again later; an error here must not end the controller.
            log.crash("machine-probe-failed", machine=machine_id)
        finally:
            self._probing.discard((leader.partition, machine_id))

    async def _probe_once(self, leader: Leader, machine_id: str) -> None:
        """Probe a silent machine; delete it unless there is a sign that it is alive."""
        probe = await self._probes.probe(leader, machine_id)
        settings = self._controller.settings
        if probe.answered and probe.silence() < settings.lease * ANSWERING_LEASES:
            # It is alive and will send a heartbeat, or its lease will expire; until then it is
            # given no more tasks.
            await clock.pause(PROBE_PAUSE)
            return
        if probe.duration > MAX_PROBE_DURATION:
            # This process paused during the probe, so responses may be waiting unread.
            return
        machine = leader.machines.get(machine_id)
        if machine is not None:
            machine.contact.suspected = False
            if liveness_policy.was_recently_acknowledged(
                machine, probe.acknowledged_at, probe.silence(), settings.heartbeat_interval
            ):
                return
        if self._controller.election.leadership(leader.partition) != leader.leadership:
            return
        unreachable = self._unreachable(leader, machine, probe, clock.now())
        if liveness_policy.may_be_alive(unreachable, settings.lease):
            log.info("machine-suspected", partition=leader.partition, machine=machine_id)
        elif await self._fencing.fence(leader, machine_id):
            return
        self._fencing.expire(leader, machine_id)
        await clock.pause(PROBE_PAUSE)

    def _unreachable(
        self, leader: Leader, machine: Machine | None, probe: Probe, now: datetime
    ) -> UnreachableMachine:
        """Collect what is known of a machine that did not answer."""
        heartbeat_at = machine.contact.last_heartbeat_at if machine is not None else None
        return UnreachableMachine(
            silence=probe.silence(),
            failed=probe.failed,
            reclaimed=liveness_policy.is_reclaimed(machine, now),
            unacknowledged=heartbeat_at is not None
            and heartbeat_at - probe.silent_since > liveness_policy.UNACKNOWLEDGED_AFTER,
            reaches_peers=self._reaches_peers(leader.partition, probe.machine_id, now),
            common_cause=self._reachability.has_common_cause(leader, probe.machine_id, now),
        )


def _acknowledged_at(machine: Machine | None) -> datetime | None:
    return machine.contact.acknowledged_at if machine is not None else None
