"""Heartbeats that come to this controller from partitions that it does not lead."""

from collections import OrderedDict
from collections.abc import Container
from datetime import datetime, timedelta
from itertools import accumulate
from typing import NamedTuple

from roadbend import clock
from roadbend.fleet.messages import HeartbeatPosition, WorkerHeartbeat
from roadbend.partitions.unserved import UnservedMachinesQuery
from roadbend.store.records import INCARNATION_BITS

# Bytes of names of machines that we tell their leader we hear, a partition and all together (a peer
# heartbeat is one frame), and heartbeats of other leaders' machines that we remember.
MAX_HEARD = 64 * 1024
MAX_HEARD_IN_ALL = 3 * MAX_HEARD
MAX_FOREIGN_HEARTBEATS = 16_384
# Length of a name in a peer heartbeat, beside its characters.
NAME_OVERHEAD = 2
# For how long a machine counts as heard.
HEARD_FOR = timedelta(seconds=6)
# A worker that no controller serves comes to each of them once in this time: one does not answer it
# (4 s), and it waits a second before the next; sooner while that one is avoided. On a connection
# that it keeps it may have sent what comes in one round as early as in the round before.
UNSERVED_ROUND = timedelta(seconds=8)


class _Heard(NamedTuple):
    """The newest heartbeat of a machine."""

    at: datetime
    position: HeartbeatPosition
    # The term of the token that it carries.
    term: int
    # The machine can't have sent it before this instant.
    sent_after: datetime


class ForeignHeartbeats:
    """Which machines of other leaders' partitions we hear, lately."""

    def __init__(self) -> None:
        # By partition and machine, the one heard last at the end.
        self._heard: dict[str, OrderedDict[str, _Heard]] = {}

    def note(
        self, heartbeat: WorkerHeartbeat, now: datetime, sent_after: datetime = clock.ORIGIN
    ) -> None:
        """Note a heartbeat, unless it is a late copy, which is no sign of life.

        `sent_after` is the instant before which the machine can't have sent it.
        """
        heard = self._heard.setdefault(heartbeat.zone, OrderedDict())
        last = heard.get(heartbeat.machine)
        if last is None or heartbeat.position > last.position:
            term = heartbeat.token >> INCARNATION_BITS
            heard[heartbeat.machine] = _Heard(now, heartbeat.position, term, sent_after)
            heard.move_to_end(heartbeat.machine)
        while len(heard) > MAX_FOREIGN_HEARTBEATS:
            heard.popitem(last=False)

    def last(self, partition: str, machine: str) -> _Heard:
        """Return when a machine was last heard; raise `KeyError` if it was not."""
        return self._heard[partition][machine]

    def find_unserved(self, question: UnservedMachinesQuery, now: datetime) -> set[str]:
        """Return which machines have lately turned to us, so that their leader does not serve them.

        A worker that its leader serves stays with it. What was held back on its way does not count:
        it came on a connection from before.
        """
        heard: dict[str, _Heard] = self._heard.get(question.partition, OrderedDict())
        sent_since = max(question.silent_since, now - 2 * UNSERVED_ROUND)
        return {
            machine
            for machine in question.machines
            if (row := heard.get(machine)) is not None
            and row.term == question.term
            and now - row.at < UNSERVED_ROUND
            and row.sent_after > sent_since
        }

    def machines(self, now: datetime, led: Container[str]) -> dict[str, tuple[str, ...]]:
        """Return the machines heard lately, by partition, without the partitions that we lead."""
        out = {}
        most = min(MAX_HEARD, MAX_HEARD_IN_ALL // max(1, len(self._heard)))
        for partition, rows in self._heard.items():
            names = [name for name, heard in rows.items() if now - heard.at < HEARD_FOR]
            if names and partition not in led:
                # The latest; those beyond are taken for silent a little sooner.
                sizes = accumulate(len(name) + NAME_OVERHEAD for name in reversed(names))
                out[partition] = tuple(names[-sum(1 for size in sizes if size <= most) :])
        return out
