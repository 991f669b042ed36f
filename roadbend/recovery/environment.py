"""What the recovery of one partition needs from its controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.recovery.settings import RecoverySettings


@dataclass(frozen=True)
class RecoveryEnvironment:
    """A controller, as the recovery of a partition sees it. Instants are of the steady clock."""

    settings: RecoverySettings
    inventory: CloudInventory
    # When the records were last read.
    records_read_at: Callable[[], datetime | None]
    # The earliest request time of the latest heartbeats of live peers: their states are at least as
    # recent as that.
    peer_states_as_of: Callable[[], datetime | None]
    # Returns whether the tasks of a job may be placed on machines.
    can_place: Callable[[str], bool]
    # Called once, with the partition, when its machines show that the state store lost writes.
    report_lost_writes: Callable[[str], None]
