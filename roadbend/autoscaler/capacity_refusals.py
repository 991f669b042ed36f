"""Kinds of machines for which the cloud lacks capacity, and when they are requested again."""

import random
from dataclasses import dataclass
from datetime import datetime, timedelta

from roadbend import clock
from roadbend.cloud.messages import MachineKind
from roadbend.log import Log
from roadbend.retry import jittered
from roadbend.settings import OperatorSettings

log = Log("autoscaler")


@dataclass
class CapacityRefusal:
    """Until when a kind is not requested again in a zone, and the pause before jitter."""

    until: datetime
    pause: timedelta


class CapacityRefusals:
    """The kinds of machines that the cloud refused, by zone, with bounded exponential backoff."""

    def __init__(self, operator: OperatorSettings, rng: random.Random) -> None:
        self._operator, self._rng = operator, rng
        self._refusals: dict[tuple[str, MachineKind], CapacityRefusal] = {}

    def record_refusal(self, zone: str, kind: MachineKind) -> None:
        """Record that the cloud created fewer machines of a kind than requested."""
        operator, last = self._operator, self._refusals.get((zone, kind))
        pause = operator.refusal_pause
        if last is not None:
            pause = min(operator.refusal_pause_max, last.pause * 2)
        until = clock.now() + jittered(pause, self._rng)
        self._refusals[zone, kind] = CapacityRefusal(until, pause)
        log.info(
            "capacity-refused",
            partition=zone,
            machine_type=kind.machine_type,
            spot=kind.spot,
            pause_s=pause.total_seconds(),
        )

    def clear(self, zone: str, kind: MachineKind) -> None:
        """Remove the refusal of a kind: the cloud created all machines that were requested."""
        self._refusals.pop((zone, kind), None)

    def refused_kinds(self, zone: str, now: datetime) -> set[MachineKind]:
        """Return the kinds that are not to be requested in a zone now."""
        return {
            kind
            for (refused_zone, kind), refusal in self._refusals.items()
            if refused_zone == zone and refusal.until > now
        }
