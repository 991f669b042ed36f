"""Heartbeats that this controller receives from partitions that it does not lead."""

from collections import OrderedDict
from collections.abc import Container
from datetime import datetime, timedelta
from itertools import accumulate
from typing import NamedTuple

from roadbend import clock
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat
from roadbend.partitions.unserved import UnservedMachinesQuery
from roadbend.store.records import INCARNATION_BITS

# A peer heartbeat is one frame, so the machine names that it reports are limited in bytes, per
# partition and in total. MAX_FOREIGN_HEARTBEATS are remembered per partition.
MAX_HEARD = 64 * 1024
MAX_HEARD_TOTAL = 3 * MAX_HEARD
MAX_FOREIGN_HEARTBEATS = 16_384
# Bytes that a name takes in a peer heartbeat in addition to its characters.
NAME_OVERHEAD = 2
# For how long a machine is reported after its last heartbeat.
HEARTBEAT_VALIDITY = timedelta(seconds=6)
# A worker that no controller serves tries each of them once within this time: the silent one takes
# 4 s to time out, and the worker pauses for a second before each next one. A round is shorter while
# the silent leader is avoided. On a connection that is kept open, a heartbeat received in one round
# may have been sent as early as in the round before.
UNSERVED_ROUND = timedelta(seconds=8)


class _ReceivedHeartbeat(NamedTuple):
    """The newest heartbeat received from a machine."""

    at: datetime
    position: HeartbeatPosition
    # The term in the token that it carries.
    term: int
    # The machine can't have sent it before this instant.
    sent_after: datetime


class ForeignHeartbeats:
    """Recent heartbeats from the machines of other leaders' partitions."""

    def __init__(self) -> None:
        # By partition and machine, most recently received last.
        self._received: dict[str, OrderedDict[str, _ReceivedHeartbeat]] = {}

    def record(
        self, heartbeat: WorkerHeartbeat, now: datetime, sent_after: datetime = clock.ORIGIN
    ) -> None:
        """Record a heartbeat, unless it is a late copy, which does not prove the machine alive.

        `sent_after` is the instant before which the machine can't have sent it.
        """
        received = self._received.setdefault(heartbeat.zone, OrderedDict())
        last = received.get(heartbeat.machine)
        if last is None or heartbeat.position > last.position:
            term = heartbeat.token >> INCARNATION_BITS
            received[heartbeat.machine] = _ReceivedHeartbeat(
                now, heartbeat.position, term, sent_after
            )
            received.move_to_end(heartbeat.machine)
        while len(received) > MAX_FOREIGN_HEARTBEATS:
            received.popitem(last=False)

    def latest(self, partition: str, machine: str) -> _ReceivedHeartbeat:
        """Return the newest heartbeat of a machine; raise `KeyError` if there is none."""
        return self._received[partition][machine]

    def find_unserved(self, query: UnservedMachinesQuery, now: datetime) -> set[str]:
        """Return the machines that recently turned to this controller, unserved by their leader.

        A worker that its leader serves stays with it. Heartbeats that may have been delayed in
        transit do not count: they arrived on a connection from before the silence.
        """
        received: dict[str, _ReceivedHeartbeat] = self._received.get(query.partition, OrderedDict())
        sent_since = max(query.silent_since, now - 2 * UNSERVED_ROUND)
        return {
            machine
            for machine in query.machines
            if (row := received.get(machine)) is not None
            and row.term == query.term
            and now - row.at < UNSERVED_ROUND
            and row.sent_after > sent_since
        }

    def machines(self, now: datetime, led: Container[str]) -> dict[str, tuple[str, ...]]:
        """Return the machines with recent heartbeats by partition, except the partitions `led`."""
        reported = {}
        max_bytes = min(MAX_HEARD, MAX_HEARD_TOTAL // max(1, len(self._received)))
        for partition, rows in self._received.items():
            names = [
                name for name, received in rows.items() if now - received.at < HEARTBEAT_VALIDITY
            ]
            if names and partition not in led:
                # The most recent ones that fit; the others count as silent a little earlier.
                sizes = accumulate(len(name) + NAME_OVERHEAD for name in reversed(names))
                reported[partition] = tuple(names[-sum(1 for size in sizes if size <= max_bytes) :])
        return reported
