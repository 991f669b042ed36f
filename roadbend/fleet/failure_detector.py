"""Failure detector: tells machines that are dead from those that are only out of reach.

A machine is silent when no answer of ours has reached it for long. A silent machine is asked; where
nothing speaks for it, it is deleted, or given up when its worker's lease has expired.
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
from roadbend.fleet.liveness_policy import ANSWERING_LEASES, RECLAIMED_SILENCE, Unreachable
from roadbend.fleet.machine_probe import MachineProbes, Probe
from roadbend.fleet.machines import Machine
from roadbend.fleet.process_pauses import NOTE_INTERVAL, ProcessPauses
from roadbend.fleet.zone_reachability import ZoneReachability
from roadbend.http.net import Net
from roadbend.log import Log

log = Log("fleet")
# Machines that are looked into, those that wait to be asked or to be looked into again among them;
# the rest follow as these end.
MAX_SUSPECTS = 1024
# How long looking into a machine may take; more says that we ourselves paused.
PROBE_WITHIN = timedelta(seconds=3)
# How long a machine that was looked into is left alone.
PROBE_PAUSE = timedelta(seconds=2)
# Whether a peer hears a machine of a partition: partition, machine, now.
HeardElsewhere = Callable[[str, str, datetime], bool]


class FailureDetector:
    """Looks after the silent machines of all partitions that this controller leads."""

    def __init__(
        self,
        controller: Controller,
        net: Net,
        cloud: Cloud,
        inventory: CloudInventory,
        reachability: ZoneReachability,
        heard_elsewhere: HeardElsewhere,
        leaders: Mapping[str, Leader],
    ) -> None:
        self._controller, self._leaders = controller, leaders
        self._inventory, self._reachability = inventory, reachability
        self._heard_elsewhere = heard_elsewhere
        self._probes = MachineProbes(net, inventory)
        self._fencing = Fencing(controller, Deletions(cloud))
        self._pauses = ProcessPauses(controller.settings.heartbeat_interval / 2)
        self._probing: set[tuple[str, str]] = set()

    async def watch(self, nursery: trio.Nursery) -> None:
        """Look for silent machines every second, and look into them."""
        last = clock.now()
        while True:
            await clock.pause(NOTE_INTERVAL)
            self._pauses.note_time(last)
            last = clock.now()
            for leader in list(self._leaders.values()):
                try:
                    self._look(leader, nursery)
                except Exception:
                    # The machines of the other partitions have to be looked after all the same.
                    log.crash("failure-detection-failed", partition=leader.partition)

    def paused_since(self, instant: datetime) -> bool:
        """Tell whether this process went on after a pause since an instant."""
        return self._pauses.any_since(instant)

    def _look(self, leader: Leader, nursery: trio.Nursery) -> None:
        """Begin to look into a partition's silent machines, the longest silent first."""
        now = clock.now()
        recorded = leader.records.attempts_by_machine()
        known = leader.machines.keys() | recorded.keys()
        silent = [name for name in known if self._is_silent(leader, name, now)]
        self._reachability.note(leader, recorded.keys(), now)
        since = leader.leadership.acquired_at
        silent_since = {
            name: _acknowledged_at(leader.machines.get(name)) or since for name in silent
        }
        for name in sorted(silent, key=silent_since.__getitem__):
            if len(self._probing) >= MAX_SUSPECTS:
                break
            if (leader.partition, name) not in self._probing:
                self._probing.add((leader.partition, name))
                nursery.start_soon(self._probe, leader, name)

    def _is_silent(self, leader: Leader, name: str, now: datetime) -> bool:
        """Whether a machine has to be looked into.

        What counts is not that it sends heartbeats, but that it receives our answers.
        """
        machine = leader.machines.get(name)
        suspected = machine is not None and machine.contact.suspected
        if suspected or self._inventory.is_failed(name):
            return True
        operator, interval = self._controller.operator, self._controller.settings.heartbeat_interval
        last = _acknowledged_at(machine)
        if last is None:
            since = leader.leadership.acquired_at
            return self._pauses.silence(since, now) > operator.find_owner
        if self._pauses.silence(last, now) > interval * operator.silent_reports:
            return True
        reclaimed = liveness_policy.is_reclaimed(machine, now)
        return reclaimed and now - last > interval * RECLAIMED_SILENCE

    async def _probe(self, leader: Leader, name: str) -> None:
        try:
            await self._probe_once(leader, name)
        except Exception:
            # It is looked into again, and the task that runs this must not end the controller.
            log.crash("machine-probe-failed", machine=name)
        finally:
            self._probing.discard((leader.partition, name))

    async def _probe_once(self, leader: Leader, name: str) -> None:
        """Ask a silent machine; delete it where nothing speaks for it."""
        probe = await self._probes.ask(leader, name)
        settings = self._controller.settings
        if probe.answered and probe.silence() < settings.lease * ANSWERING_LEASES:
            # It lives and will send a heartbeat, or end its lease; till then nothing more is put
            # on it.
            await clock.pause(PROBE_PAUSE)
            return
        if probe.took > PROBE_WITHIN:
            # Its answers may lie unread: we paused while we asked.
            return
        machine = leader.machines.get(name)
        if machine is not None:
            machine.contact.suspected = False
            if liveness_policy.is_acknowledged_lately(
                machine, probe.acknowledged_at, probe.silence(), settings.heartbeat_interval
            ):
                return
        if self._controller.election.leadership(leader.partition) != leader.leadership:
            return
        unreachable = self._unreachable(leader, machine, probe, clock.now())
        if liveness_policy.may_be_alive(unreachable, settings.lease):
            log.info("machine-suspected", partition=leader.partition, machine=name)
        elif await self._fencing.fence(leader, name):
            return
        self._fencing.expire(leader, name)
        await clock.pause(PROBE_PAUSE)

    def _unreachable(
        self, leader: Leader, machine: Machine | None, probe: Probe, now: datetime
    ) -> Unreachable:
        """Return what is known of a machine that did not answer."""
        heartbeat_at = machine.contact.last_heartbeat_at if machine is not None else None
        return Unreachable(
            silence=probe.silence(),
            failed=probe.failed,
            reclaimed=liveness_policy.is_reclaimed(machine, now),
            unacknowledged=heartbeat_at is not None
            and heartbeat_at - probe.silent_since > liveness_policy.UNACKNOWLEDGED_AFTER,
            heard_by_peers=self._heard_elsewhere(leader.partition, probe.name, now),
            common_cause=self._reachability.common_cause(leader, probe.name, now),
        )


def _acknowledged_at(machine: Machine | None) -> datetime | None:
    return machine.contact.acknowledged_at if machine is not None else None
