"""What the recovery of one partition asks of its controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime

from roadbend.fleet.cloud_inventory import CloudInventory
from roadbend.recovery.settings import RecoverySettings


@dataclass(frozen=True)
class RecoveryEnvironment:
    """A controller, as the recovery of a partition sees it. Instants are steady."""

    settings: RecoverySettings
    inventory: CloudInventory
    # When the records were last read, and since when every live peer was heard.
    records_read_at: Callable[[], datetime | None]
    peers_heard_since: Callable[[], datetime | None]
    # Whether a job may be given machines.
    gate_is_open: Callable[[str], bool]
    # Told once, with the partition, when machines show that the state store lost writes.
    note_lost_writes: Callable[[str], None]
